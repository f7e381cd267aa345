/** Maps transport errors and HTTP statuses to target errors. */
import type { TargetError } from './types.js'

/** Error codes that show that no byte of a request reached the target. */
const CONNECT_CODES = new Set([
  'ECONNREFUSED', 'EHOSTUNREACH', 'ENETUNREACH', 'EADDRNOTAVAIL', 'ETIMEDOUT_CONNECT', 'UND_ERR_CONNECT_TIMEOUT'
])

/** Error codes of a stalled connection. */
const STALL_CODES = new Set(['UND_ERR_BODY_TIMEOUT', 'UND_ERR_HEADERS_TIMEOUT'])

/** The target error for an exception of a call. */
export function toTargetError (err: unknown, url: string): TargetError {
  if (isAbort(err)) return { kind: 'cancelled', ran: 'maybe', message: 'cancelled' }
  const code = errorCode(err)
  const message = `${url}: ${err instanceof Error ? err.message : String(err)}`
  if (CONNECT_CODES.has(code)) return { kind: 'connect_failed', ran: 'no', message }
  if (STALL_CODES.has(code)) return { kind: 'silent', ran: 'maybe', message }
  return { kind: 'broken', ran: 'maybe', message }
}

/** The target error for an HTTP status outside 2xx; a body with `ran: no` is trusted to mean that the call was not executed. */
export function statusError (status: number, body: string, url: string): TargetError {
  const ran = reportsNotExecuted(body) ? 'no' : 'maybe'
  return { kind: ran === 'no' ? 'not_run' : 'error', ran, message: `${url}: status ${status}` }
}

function reportsNotExecuted (body: string): boolean {
  try {
    return (JSON.parse(body) as { error?: { ran?: string } }).error?.ran === 'no'
  } catch {
    return false
  }
}

function isAbort (err: unknown): boolean {
  return err instanceof Error && (err.name === 'AbortError' || errorCode(err) === 'UND_ERR_ABORTED')
}

function errorCode (err: unknown): string {
  return String((err as { code?: unknown } | null)?.code ?? '')
}
