/** Reads that are repeated at intervals and may overlap, so that one that hangs does not hold up the next. */
import type { Timers } from './types.js'

/** Reads under way at once. */
const MAX_READS = 3

/** What a poll reads, and how often. */
export interface PollerDeps {
  readonly timers: Timers
  /** Time between the starts of two reads, in ms. */
  readonly intervalMs: number
  /** The same after a read that failed, in ms. */
  readonly retryMs: number
  /** Makes one read; resolves with whether it succeeded. */
  readonly read: () => Promise<boolean>
  /** Called when a read throws. */
  readonly onError: (err: unknown) => void
}

/** Repeats a read until disposed. */
export class Poller implements Disposable {
  private timer: Disposable | undefined
  private reads = 0
  private failing = false

  constructor (private readonly deps: PollerDeps) {}

  /** Starts the first read. */
  start (): void {
    this.tick()
  }

  /** Reads at once, unless too many reads are under way. */
  async readNow (): Promise<void> {
    if (this.reads >= MAX_READS) return
    this.reads++
    try {
      this.failing = !await this.deps.read()
    } finally {
      this.reads--
    }
  }

  [Symbol.dispose] (): void {
    this.timer?.[Symbol.dispose]()
    this.timer = undefined
  }

  private tick (): void {
    const { timers, intervalMs, retryMs, onError: failed } = this.deps
    // A read that fails after the timer was set is repeated at the interval once, then sooner.
    this.timer = timers.after(this.failing ? retryMs : intervalMs, () => this.tick())
    this.readNow().catch(failed)
  }
}
