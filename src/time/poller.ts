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
  /** Time between the starts of two reads after one that failed, in ms. */
  readonly retryMs: number
  /** Reads once; resolves to whether the read succeeded. */
  readonly read: () => Promise<boolean>
  /** Called with the error when a read throws. */
  readonly onError: (err: unknown) => void
}

/** Repeats a read until disposed. */
export class Poller implements Disposable {
  private timer: Disposable | undefined
  private activeReads = 0
  private lastReadFailed = false

  constructor (private readonly deps: PollerDeps) {}

  /** Starts the first read and schedules the others. */
  start (): void {
    this.tick()
  }

  /** Reads immediately, unless the maximum number of reads is in progress. */
  async readNow (): Promise<void> {
    if (this.activeReads >= MAX_CONCURRENT_READS) return
    this.activeReads++
    try {
      this.lastReadFailed = !await this.deps.read()
    } finally {
      this.activeReads--
    }
  }

  [Symbol.dispose] (): void {
    this.timer?.[Symbol.dispose]()
    this.timer = undefined
  }

  private tick (): void {
    const { timers, intervalMs, mayWaitMs, retryMs, onError } = this.deps
    const waitMs = mayWaitMs?.() ?? 0
    if (waitMs > 0) {
      this.timer = timers.after(Math.max(MIN_WAIT_MS, waitMs), () => this.tick())
      return
    }
    // The timer is set before the read ends: the read after a failure still comes after `intervalMs`, the one after that
    // sooner.
    this.timer = timers.after(this.lastReadFailed ? retryMs : intervalMs, () => this.tick())
    this.readNow().catch(onError)
  }
}
