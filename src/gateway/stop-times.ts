/** Times of a planned stop, derived from the grace period after which the process is killed. */

/** Longest time for which new calls are accepted, in ms: callers still use addresses given before. */
const MAX_ACCEPT_MS = 3_200

/** Share of the grace period for which new calls are accepted at most. */
const ACCEPT_SHARE = 0.4

/** Share of the grace period after which the stop no longer waits for calls. */
const WAIT_SHARE = 0.8

/** Share of the grace period that is the deadline of the last calls. */
const CALLS_END_SHARE = 0.85

/** Share of the grace period after which the process must have ended. */
const EXIT_SHARE = 0.925

/** When the steps of a stop end, in ms on the monotonic clock. */
export class StopTimes {
  /** When new calls are no longer accepted. */
  readonly acceptUntil: number
  /** When the stop no longer waits for calls. */
  readonly waitUntil: number
  /** Deadline of the calls that arrive during the stop. */
  readonly callsEndAt: number
  /** When the process ends at the latest. */
  readonly exitAt: number

  constructor (readonly startedAt: number, graceMs: number) {
    this.acceptUntil = startedAt + Math.min(MAX_ACCEPT_MS, graceMs * ACCEPT_SHARE)
    this.waitUntil = startedAt + graceMs * WAIT_SHARE
    this.callsEndAt = startedAt + graceMs * CALLS_END_SHARE
    this.exitAt = startedAt + graceMs * EXIT_SHARE
  }
}
