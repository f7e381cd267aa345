/** Decides whether an attempt may be repeated. */
import type { RetryReason } from '../errors/index.js'
import type { TargetError } from '../target-clients/index.js'

/**
 * The reason for a retry, or `undefined` when the attempt must not be repeated. A call that may not be
 * repeated is retried only when it is certain that it did not run.
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
