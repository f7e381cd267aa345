/** What the status of a target's response allows. */

/** Whether a response with this status ends a call while another attempt is running. */
export function isUsable (status: number): boolean {
  return status < 500 && !impliesNotExecuted(status)
}

/**
 * Whether callers take the status to mean that the call was not executed. A target's response with such a status and
 * without an explicit report that the call was not executed does not guarantee that, so it must not be relayed.
 */
export function impliesNotExecuted (status: number): boolean {
  return status === 408 || status === 421 || status === 429 || status === 503
}
