/** Staleness of a process's copy of the configuration. */
import type * as elapsedClock from './elapsed-clock.js'

/**
 * Age of a copy of something in the store. It counts from the start of the read that confirmed the copy, since a change may
 * have been acknowledged while the response was in transit.
 */
export class Freshness {
  private confirmedAtMs = -Infinity

  constructor (private readonly clock: elapsedClock.ElapsedClock) {}

  /** Returns the start time of a read, to be passed to {@link confirm} when the read has succeeded. */
  startRead (): number {
    return this.clock.now()
  }

  /** Notes that the copy was current at `readStartedAt`. */
  confirm (readStartedAt: number): void {
    this.confirmedAtMs = Math.max(this.confirmedAtMs, readStartedAt)
  }

  /** Forgets all confirmations: they were of another copy. */
  reset (): void {
    this.confirmedAtMs = -Infinity
  }

  /** Time up to which the copy is known to have been current, in ms on the clock; minus infinity before. */
  get confirmedAt (): number {
    return this.confirmedAtMs
  }

  /** Age in ms; infinite before the first confirmation. */
  get ageMs (): number {
    return this.clock.now() - this.confirmedAtMs
  }
}
