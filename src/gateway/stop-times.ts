/** Times of a planned stop, derived from the grace period after which the process is killed. */

/**
 * Longest time for which new calls are accepted, in ms: callers still use addresses given before. Calls that arrive later
 * would have to run to their own deadline, which may be after the end of the process.
 */
const MAX_ACCEPT_MS = 3_000

/** Share of the grace period for which new calls are accepted at most. */
const ACCEPT_SHARE = 0.4

/**
 * Share of the grace period after which calls without a response end: in its last sixth, before which no call that a target
 * still executes may be ended.
 */
const CALLS_END_SHARE = 0.85

/** Share of the grace period by which streams must end and the responses be written. */
const RESPONSES_END_SHARE = 0.94

/** Share of the grace period after which the process must have ended. */
const EXIT_SHARE = 0.96

/** When the steps of a stop end, in ms on the monotonic clock; none is later than the next. */
export class StopTimes {
  /** When new calls are no longer accepted. */
  readonly acceptUntil: number
  /** When calls end whose response has not started. */
  readonly callsEndAt: number
  /** When the stop no longer waits for responses. */
  readonly responsesEndAt: number
  /** When the process ends at the latest. */
  readonly exitAt: number

  constructor (readonly startedAt: number, graceMs: number) {
    this.acceptUntil = startedAt + Math.min(MAX_ACCEPT_MS, graceMs * ACCEPT_SHARE)
    this.callsEndAt = startedAt + graceMs * CALLS_END_SHARE
    this.responsesEndAt = startedAt + graceMs * RESPONSES_END_SHARE
    this.exitAt = startedAt + graceMs * EXIT_SHARE
  }
}
