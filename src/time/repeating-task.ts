/** Work that is done again and again, one turn at a time. */
import type { Timers } from './types.js'

/** Calls `run` every `periodMs`; a run that is due while the last one is still in progress is skipped. */
export class RepeatingTask implements Disposable {
  private readonly timer: Disposable
  private busy = false

  constructor (timers: Timers, periodMs: number, private readonly run: () => Promise<void>, private readonly onError: (err: unknown) => void) {
    this.timer = timers.every(periodMs, () => this.runNow())
  }

  /** Starts a turn at once unless one is under way. */
  runNow (): void {
    if (this.busy) return
    this.busy = true
    this.run().catch(this.onError).finally(() => { this.busy = false })
  }

  [Symbol.dispose] (): void {
    this.timer[Symbol.dispose]()
  }
}
