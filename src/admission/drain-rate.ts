/** Rate at which a queue drains, measured while requests are waiting. */

/** Time constant of the exponential average, in ms. */
const AVERAGING_TIME_MS = 10_000

/** Minimum busy time before the rate is used, in ms; over a shorter time single requests dominate it. */
const MIN_BUSY_MS = 1_000

/**
 * Estimated work of finished requests per ms of busy time. Waiting and finished requests are measured with the same
 * estimate, so callers that request more tokens than they use do not distort the expected wait.
 */
export class DrainRate {
  private busyMs = 0
  private finishedWork = 0
  private workSinceObservation = 0
  private observedAt = 0

  /** Adds the estimated work of a finished request. */
  addFinished (work: number): void {
    this.workSinceObservation += work
  }

  /** Ends the interval up to `now`; `busy` tells whether requests were waiting during it. */
  observe (now: number, busy: boolean): void {
    const elapsedMs = now - this.observedAt
    this.observedAt = now
    if (busy) {
      const decay = Math.exp(-elapsedMs / AVERAGING_TIME_MS)
      this.busyMs = this.busyMs * decay + elapsedMs
      this.finishedWork = this.finishedWork * decay + this.workSinceObservation
    }
    this.workSinceObservation = 0
  }

  /** Work units per ms, `undefined` until there was enough busy time. */
  get workPerMs (): number | undefined {
    return this.busyMs >= MIN_BUSY_MS && this.finishedWork > 0 ? this.finishedWork / this.busyMs : undefined
  }
}
