/** Runs a task periodically, one run at a time. */
import type { Timers } from './types.js'

/** Calls `run` every `periodMs`; a run that is due while the last one is still in progress is skipped. */
export class RepeatingTask implements Disposable {
  private readonly timer: Disposable
  private running = false

  constructor (timers: Timers, periodMs: number, private readonly run: () => Promise<void>, private readonly onError: (err: unknown) => void) {
    this.timer = timers.every(periodMs, () => this.runNow())
  }

  /** Starts a run immediately unless one is in progress. */
  runNow (): void {
    if (this.running) return
    this.running = true
    this.run().catch(this.onError).finally(() => { this.running = false })
  }

  [Symbol.dispose] (): void {
    this.timer[Symbol.dispose]()
  }
}
