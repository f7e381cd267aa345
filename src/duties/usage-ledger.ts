/** Counts the requests that began to execute, by window and account, and stores the counts. */
import type * as external from '../external/index.js'
import type * as log from '../log/index.js'
import type * as time from '../time/index.js'

/** Key prefix of the objects that hold the counts of each process. */
export const COUNTS_PREFIX = 'godwitpoint-usage/'

/** Time between two writes, in ms: the counts of at most this time are lost with a process. */
const WRITE_INTERVAL_MS = 1_250

/** Number of past windows whose counts are retained; older ones have been reported. */
const RETAINED_WINDOWS = 6

/** Dependencies of the usage ledger. */
export interface UsageLedgerDeps {
  readonly env: time.Env
  readonly store: external.ObjectStore
  /** Node and incarnation; the object's key ends with it. */
  readonly name: string
  readonly windowMs: number
  readonly log: log.Logger
}

/** Counts of one process by window number and account. */
export type WindowCounts = Record<string, Record<string, number>>

/** Counts of this process and their copy in the store. */
export class UsageLedger implements AsyncDisposable {
  private readonly windows: WindowCounts = {}
  private dirty = false
  private writing = false
  private version: external.ExpectedVersion = 'absent'
  private timer: Disposable | undefined

  constructor (private readonly deps: UsageLedgerDeps) {}

  /** Starts the periodic writes. */
  start (): void {
    this.timer = this.deps.env.timers.every(WRITE_INTERVAL_MS, () => {
      this.write().catch((err: unknown) => this.deps.log.error({ err }, 'usage_write_failed'))
    })
  }

  /** Counts a request that has begun to execute. */
  countRequest (account: string): void {
    const window = String(this.currentWindow())
    const counts = this.windows[window] ??= {}
    counts[account] = (counts[account] ?? 0) + 1
    this.dirty = true
  }

  /** Name under which this process stores its counts. */
  get name (): string {
    return this.deps.name
  }

  /** All retained counts. */
  get counts (): WindowCounts {
    return this.windows
  }

  /** Number of the current window. */
  currentWindow (): number {
    return Math.floor(this.deps.env.clock.wallTimeMs() / this.deps.windowMs)
  }

  /** Stops the periodic writes and writes the remaining counts. */
  async [Symbol.asyncDispose] (): Promise<void> {
    this.timer?.[Symbol.dispose]()
    await this.write()
  }

  private async write (): Promise<void> {
    if (!this.dirty || this.writing) return
    this.writing = true
    this.dirty = false
    this.deleteOldWindows()
    try {
      const key = COUNTS_PREFIX + this.deps.name
      const put = await this.deps.store.put(key, JSON.stringify(this.windows), this.version)
      if (put.ok) this.version = put.val.version
      else await this.recover(key, put.val)
    } finally {
      this.writing = false
    }
  }

  // Only this process writes the object, so a conflict means that an earlier write took effect.
  private async recover (key: string, err: external.StoreError): Promise<void> {
    this.dirty = true
    if (err.kind === 'unavailable') return
    const stored = await this.deps.store.get(key)
    if (stored.ok) this.version = stored.val?.version ?? 'absent'
  }

  private deleteOldWindows (): void {
    const oldest = this.currentWindow() - RETAINED_WINDOWS
    for (const window of Object.keys(this.windows)) {
      if (Number(window) < oldest) delete this.windows[window]
    }
  }
}
