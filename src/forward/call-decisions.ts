/** Decisions on one call, as functions over its state. Times are ms on the monotonic clock. */
import * as errors from '../errors/index.js'
import type * as placement from '../placement/index.js'
import type * as attempt from './attempt.js'
import type * as callState from './call-state.js'
import * as responseStatus from './response-status.js'

/** Least time in which a target can respond, in ms; with less left before the deadline nothing is sent. */
const MIN_SEND_MS = 15

/** Time within which the first event must arrive: until the deadline or the idle timeout of the caller, in ms. */
export function firstEventTimeoutMs ({ call, progress }: callState.CallState, now: number): number {
  const lastEventAt = progress.lastRelayedAt ?? call.arrivedAt
  return Math.min(call.deadlineAt, lastEventAt + call.route.callerIdleTimeoutMs) - now
}

/** Time by which the first event of a placement would be too late, in ms; 0 or less when it is in time. */
export function lateMs (state: callState.CallState, choice: placement.Placement, now: number): number {
  return choice.expectedMs - firstEventTimeoutMs(state, now)
}

/** Whether the route allows the call to be sent again. */
export function mayRetry ({ call, mayHaveExecuted }: callState.CallState): boolean {
  return call.route.idempotency !== 'non_idempotent' || !mayHaveExecuted
}

/** Why nothing may be sent for the call any more, apart from its key and its prompt; undefined when something may. */
export function endOfCall ({ call, endedBy, progress }: callState.CallState, now: number): errors.RefusalReason | undefined {
  if (endedBy === 'deadline') return 'deadline_exceeded'
  if (endedBy === 'caller_left') return 'caller_disconnected'
  if (call.deadlineAt - now < MIN_SEND_MS) return 'deadline_unreachable'
  // Another attempt would run from the start, and pieces of two runs would be joined.
  return progress.isResumable ? undefined : 'target_failed'
}

/** Whether a response with status 500 or above is kept back because the call may be sent to another target. */
export function isRepeatedAfter ({ call, sent, retries }: callState.CallState, status: number): boolean {
  return status >= 500 && call.route.idempotency !== 'non_idempotent' && sent.sendsLeft(0) && retries.has(1)
}

/** Whether the response of an attempt may end the call, with `inFlight` attempts in flight, that one included. */
export function mayUseResponse (status: number, inFlight: number): boolean {
  return inFlight === 1 || responseStatus.isUsable(status)
}

/** Why an attempt failed, for the caller and the log. */
export function failureMessage ({ endedBy }: callState.CallState, result: attempt.AttemptResult): string {
  if (result.kind === 'answered') return `status ${result.head.status}`
  if (result.kind === 'streamed') return ''
  return result.kind === 'stopped' ? endedBy ?? 'stopped' : result.message
}

/** The refusal of a call without a response; `retryAfterMs` is used only when the call was certainly not executed. */
export function refusalOf ({ mayHaveExecuted, lastMessage }: callState.CallState, cause: errors.RefusalReason | errors.Refusal, retryAfterMs: () => number): errors.Refusal {
  const ran = mayHaveExecuted ? 'maybe' : 'no'
  if (cause instanceof errors.Refusal && ran === 'no') return cause
  return new errors.Refusal(reasonOf(cause), {
    step: 'route',
    ran,
    ...(lastMessage === '' ? {} : { message: lastMessage }),
    ...(ran === 'no' ? { retryAfterMs: retryAfterMs() } : {})
  })
}

/** The reason of a refusal. */
export function reasonOf (cause: errors.RefusalReason | errors.Refusal): errors.RefusalReason {
  return cause instanceof errors.Refusal ? cause.reason : cause
}
