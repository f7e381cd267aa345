/** Elapsed time that includes time for which the VM was suspended. */
import type * as time from '../time/index.js'

/** Differences between the clocks below this are drift, in ms. */
const DRIFT_MS = 40

/**
 * The steady clock stands still while a VM is suspended, the time of day does not. A forward jump of the time of
 * day against the steady clock is counted as elapsed time, whether it was a suspension or a clock step: what ages
 * by this clock can only look older than it is.
 */
export class ElapsedClock {
  private lostMs = 0
  private offset: number

  constructor (private readonly clock: time.Clock) {
    this.offset = clock.wallTimeMs() - clock.now()
  }

  /** Milliseconds since an arbitrary origin. */
  now (): number {
    const steady = this.clock.now()
    const offset = this.clock.wallTimeMs() - steady
    const jump = offset - this.offset
    if (jump > DRIFT_MS) this.lostMs += jump
    if (Math.abs(jump) > DRIFT_MS) this.offset = offset
    return steady + this.lostMs
  }
}
