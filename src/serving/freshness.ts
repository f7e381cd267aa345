/** How old a process's knowledge of the configuration may be. */
import type * as elapsedClock from './elapsed-clock.js'

/**
 * Age of a copy of something in the store. It counts from before the question whose answer confirmed the copy, since
 * a change may have been acknowledged while the answer was on its way.
 */
export class Freshness {
  private confirmedAt = -Infinity

  constructor (private readonly clock: elapsedClock.ElapsedClock) {}

  /** Time to be passed to {@link confirm} when the question is answered. */
  startRead (): number {
    return this.clock.now()
  }

  /** Notes that the copy was current at `askedAt`. */
  confirm (askedAt: number): void {
    this.confirmedAt = Math.max(this.confirmedAt, askedAt)
  }

  /** Age in ms; infinite before the first proof. */
  get ageMs (): number {
    return this.clock.now() - this.confirmedAt
  }
}
