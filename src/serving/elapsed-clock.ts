/** Elapsed time that includes the time for which the VM was suspended. */
import type * as time from '../time/index.js'

/** Largest change of the offset between the clocks that counts as drift, in ms. */
const MAX_DRIFT_MS = 40

/**
 * The monotonic clock stops while a VM is suspended, the wall clock does not. A forward jump of the wall clock against the
 * monotonic clock counts as elapsed time, whether it was a suspension or a clock step: an age measured with this clock can
 * only be too high.
 */
export class ElapsedClock {
  private jumpTotalMs = 0
  private offsetMs: number

  constructor (private readonly clock: time.Clock) {
    this.offsetMs = clock.wallTimeMs() - clock.now()
  }

  /** Milliseconds since an arbitrary origin. */
  now (): number {
    const monotonicMs = this.clock.now()
    const offsetMs = this.clock.wallTimeMs() - monotonicMs
    const jumpMs = offsetMs - this.offsetMs
    if (jumpMs > MAX_DRIFT_MS) this.jumpTotalMs += jumpMs
    if (Math.abs(jumpMs) > MAX_DRIFT_MS) this.offsetMs = offsetMs
    return monotonicMs + this.jumpTotalMs
  }
}
