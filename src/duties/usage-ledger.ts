/** Counts the requests that began to run, by window and account, and keeps them in the store. */
import type * as external from '../external/index.js'
import type * as log from '../log/index.js'
import type * as time from '../time/index.js'

/** Prefix of the objects with the counts of each process. */
export const COUNTS_PREFIX = 'godwitpoint-usage/'

/** Time between two writes, in ms: at most this much is lost with a process. */
const WRITE_MS = 1_250

/** Windows kept; older ones have been reported. */
const KEPT_WINDOWS = 6

/** What a ledger needs from its surroundings. */
export interface UsageLedgerDeps {
  readonly env: time.Env
  readonly store: external.ObjectStore
  /** Node and incarnation; names the object. */
  readonly name: string
  readonly windowMs: number
  readonly log: log.Logger
}

/** Counts of one process by window number. */
export type WindowCounts = Record<string, Record<string, number>>

/** Counters of this process and their copy in the store. */
export class UsageLedger implements AsyncDisposable {
  private readonly windows: WindowCounts = {}
  private dirty = false
  private writing = false
  private version: external.ExpectedVersion = 'absent'
  private timer: Disposable | undefined

  constructor (private readonly deps: UsageLedgerDeps) {}

  /** Starts to write. */
  start (): void {
    this.timer = this.deps.env.timers.every(WRITE_MS, () => {
      this.write().catch((err: unknown) => this.deps.log.error({ err }, 'usage_write_failed'))
    })
  }

  /** Counts a request that has begun to run. */
  count (account: string): void {
    const window = String(this.windowNow())
    const counts = this.windows[window] ??= {}
    counts[account] = (counts[account] ?? 0) + 1
    this.dirty = true
  }

  /** Name of this process's object. */
  get name (): string {
    return this.deps.name
  }

  /** All counts that are kept. */
  get counts (): WindowCounts {
    return this.windows
  }

  /** Number of the present window. */
  windowNow (): number {
    return Math.floor(this.deps.env.clock.wallTimeMs() / this.deps.windowMs)
  }

  /** Writes what is left. */
  async [Symbol.asyncDispose] (): Promise<void> {
    this.timer?.[Symbol.dispose]()
    await this.write()
  }

  private async write (): Promise<void> {
    if (!this.dirty || this.writing) return
    this.writing = true
    this.dirty = false
    this.forgetOld()
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
    const found = await this.deps.store.get(key)
    if (found.ok) this.version = found.val?.version ?? 'absent'
  }

  private forgetOld (): void {
    const oldest = this.windowNow() - KEPT_WINDOWS
    for (const window of Object.keys(this.windows)) {
      if (Number(window) < oldest) delete this.windows[window]
    }
  }
}
