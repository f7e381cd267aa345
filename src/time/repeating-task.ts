/** Work that is done again and again, one turn at a time. */
import type { Timers } from './types.js'

/** Runs `turn` every `periodMs`; a turn that is due while the last one is still under way is left out. */
export class RepeatingTask implements Disposable {
  private readonly timer: Disposable
  private busy = false

  constructor (timers: Timers, periodMs: number, private readonly turn: () => Promise<void>, private readonly failed: (err: unknown) => void) {
    this.timer = timers.every(periodMs, () => this.runNow())
  }

  /** Starts a turn at once unless one is under way. */
  runNow (): void {
    if (this.busy) return
    this.busy = true
    this.turn().catch(this.failed).finally(() => { this.busy = false })
  }

  [Symbol.dispose] (): void {
    this.timer[Symbol.dispose]()
  }
}
