/** Decides whether a failed attempt may be retried. */
import type { RetryReason } from '../errors/index.js'
import type { TargetError } from '../target-clients/index.js'

/**
 * The reason for a retry, or `undefined` when the attempt must not be retried. A non-idempotent call is retried
 * only when it is certain that it was not executed.
 */
export function retryReason (err: TargetError, idempotent: boolean): RetryReason | undefined {
  if (err.kind === 'cancelled') return undefined
  if (err.ran === 'maybe' && !idempotent) return undefined
  return REASON_BY_KIND[err.kind]
}

const REASON_BY_KIND: Readonly<Record<Exclude<TargetError['kind'], 'cancelled'>, RetryReason>> = {
  connect_failed: 'connect_failed',
  not_run: 'not_run',
  silent: 'connection_silent',
  broken: 'stream_broken',
  error: 'target_error'
}
