/** Repeats a read at an interval; reads may overlap, so that one that hangs does not delay the next. */
import type { Timers } from './types.js'

/** Maximum number of concurrent reads. */
const MAX_CONCURRENT_READS = 3

/** Shortest wait of a read that is due, in ms. */
const MIN_WAIT_MS = 20

/** Dependencies of a poller. */
export interface PollerDeps {
  readonly timers: Timers
  /** Time between the starts of two reads, in ms. */
  readonly intervalMs: number
  /** Time for which a read that is due can still wait, in ms; absent when it never can. */
  readonly mayWaitMs?: () => number
  /** Time from a failed read to the next one, and between the starts of two reads while they fail, in ms. */
  readonly retryMs: number
  /** Reads once; resolves to whether the read succeeded. */
  readonly read: () => Promise<boolean>
  /** Called with the error when a read throws. */
  readonly onError: (err: unknown) => void
}

/** Repeats a read until disposed. */
export class Poller implements Disposable {
  private timer: Disposable | undefined
  private stopped = false
  private activeReads = 0
  private readsStarted = 0
  /** Number of the read that was started last among those that have ended. */
  private newestEnded = 0
  private failing = false

  constructor (private readonly deps: PollerDeps) {}

  /** Starts the first read and schedules the others. */
  start (): void {
    this.tick()
  }

  /** Reads immediately, unless the maximum number of reads is in progress. */
  async readNow (): Promise<void> {
    if (this.activeReads >= MAX_CONCURRENT_READS) return
    const number = ++this.readsStarted
    this.activeReads++
    try {
      this.noteOutcome(number, await this.deps.read())
    } finally {
      this.activeReads--
    }
  }

  [Symbol.dispose] (): void {
    this.stopped = true
    this.timer?.[Symbol.dispose]()
  }

  // A read that ends after one that was started later tells nothing new.
  private noteOutcome (number: number, succeeded: boolean): void {
    if (number < this.newestEnded) return
    this.newestEnded = number
    const firstFailure = !succeeded && !this.failing
    this.failing = !succeeded
    if (firstFailure) this.schedule(this.deps.retryMs)
  }

  private tick (): void {
    const { intervalMs, mayWaitMs, retryMs, onError } = this.deps
    const waitMs = mayWaitMs?.() ?? 0
    if (waitMs > 0) {
      this.schedule(Math.max(MIN_WAIT_MS, waitMs))
      return
    }
    this.schedule(this.failing ? retryMs : intervalMs)
    this.readNow().catch(onError)
  }

  private schedule (delayMs: number): void {
    this.timer?.[Symbol.dispose]()
    if (!this.stopped) this.timer = this.deps.timers.after(delayMs, () => this.tick())
  }
}
