/**
 * Counts the requests that began to execute, and makes the counts durable: a member tells them to its relay, and a relay
 * stores its own and those of its members. A member stores its counts itself while no relay confirms them.
 */
import type * as errors from '../errors/index.js'
import type * as exchange from '../exchange/index.js'
import * as external from '../external/index.js'
import type * as log from '../log/index.js'
import type * as time from '../time/index.js'
import * as usageCounts from './usage-counts.js'

/** Key prefix of the objects that hold the counts. */
export const COUNTS_PREFIX = 'godwitpoint-usage/'

/** Time between two writes, in ms: counts that no other gateway knows are lost with a process for at most this time. */
const WRITE_INTERVAL_MS = 1_250

/** Written position while the store may hold none of the counts. */
const NOTHING_WRITTEN = -1

/** Dependencies of the usage ledger. */
export interface UsageLedgerDeps {
  readonly env: time.Env
  readonly store: external.ObjectStore
  readonly eras: external.StoreEras
  /** Node and incarnation; the object's key ends with it. */
  readonly name: string
  readonly windowMs: number
  /** Whether this gateway is a relay. */
  readonly isRelay: () => boolean
  readonly log: log.Logger
}

/** Counts of this process and its members, and their copy in the store; a topic of the exchange. */
export class UsageLedger implements AsyncDisposable, exchange.Topic {
  /** Name of the topic. */
  readonly name = 'usage'
  private readonly held = new usageCounts.UsageCounts()
  private writtenPosition = 0
  private writing: Promise<void> | undefined
  private version: external.ExpectedVersion = 'absent'
  private timer: Disposable | undefined
  /** Position that the relay has confirmed, and the position at the last check of the writes. */
  private confirmedPosition = 0
  private checkedPosition = 0

  constructor (private readonly deps: UsageLedgerDeps) {
    deps.eras.onRestored((era) => this.writeAgain(era))
  }

  /** Starts the periodic writes. */
  start (): void {
    this.timer = this.deps.env.timers.every(WRITE_INTERVAL_MS, () => {
      this.writeIfNeeded().catch((err: unknown) => this.deps.log.error({ err }, 'usage_write_failed'))
    })
  }

  /** Counts a request that has begun to execute. */
  countRequest (account: string): void {
    this.held.count(this.deps.name, this.currentWindow(), account)
  }

  /** Name under which this process stores its counts. */
  get processName (): string {
    return this.deps.name
  }

  /** Counts of this process. */
  get ownCounts (): usageCounts.WindowCounts {
    return this.held.of(this.deps.name)
  }

  /** Counts of this process and of its members. */
  get allCounts (): usageCounts.ProcessCounts {
    return this.held.since(0)
  }

  /** Number of the current window. */
  currentWindow (): number {
    return Math.floor(this.deps.env.clock.wallTimeMs() / this.deps.windowMs)
  }

  /** Number of the last window that is due to be closed. */
  lastDueWindow (): number {
    return usageCounts.lastDueWindow(this.deps.env.clock.wallTimeMs(), this.deps.windowMs)
  }

  changesSince (link: exchange.Link, position: number | undefined): exchange.Changes | undefined {
    if (link.kind !== 'relay') return undefined
    this.confirmedPosition = position ?? 0
    if (this.held.position === this.confirmedPosition) return undefined
    return { next: this.held.position, payload: this.held.since(this.confirmedPosition) }
  }

  apply (link: exchange.Link, payload: unknown): boolean {
    if (link.kind !== 'member') return true
    for (const [process, windows] of Object.entries(usageCounts.ProcessCounts.parse(payload))) {
      if (process !== this.deps.name) this.held.merge(process, windows)
    }
    return true
  }

  linkEnded (link: exchange.Link): void {
    if (link.kind === 'relay') this.confirmedPosition = 0
  }

  /** Stops the periodic writes and writes the remaining counts. */
  async [Symbol.asyncDispose] (): Promise<void> {
    this.timer?.[Symbol.dispose]()
    await this.writing
    await this.write()
  }

  // A member leaves to its relay what the relay has confirmed within one interval.
  private async writeIfNeeded (): Promise<void> {
    const confirmedInTime = this.confirmedPosition >= this.checkedPosition
    this.checkedPosition = this.held.position
    if (this.deps.isRelay() || !confirmedInTime) await this.write()
  }

  private async write (): Promise<void> {
    if (this.held.position === this.writtenPosition || this.writing !== undefined) return
    this.writing = this.writeCounts().finally(() => { this.writing = undefined })
    await this.writing
  }

  // A restored store holds older counts, or none.
  private writeAgain (era: number): void {
    if (this.held.position === 0) return
    this.writtenPosition = NOTHING_WRITTEN
    this.deps.log.info({ era }, 'usage_counts_rewritten')
  }

  private async writeCounts (): Promise<void> {
    this.held.dropOld(this.currentWindow())
    const first = await this.putCounts()
    if (first.ok || first.val.kind === 'unavailable') return
    if (await this.readVersion() && first.val.kind === 'conflict') await this.putCounts()
  }

  private async putCounts (): Promise<errors.Result<external.StoredObject, external.StoreError>> {
    const { position } = this.held
    const put = await this.deps.store.put(COUNTS_PREFIX + this.deps.name, JSON.stringify(this.allCounts), this.version)
    if (put.ok) this.noteWritten(put.val, position)
    return put
  }

  // What an earlier era acknowledged is lost.
  private noteWritten (object: external.StoredObject, position: number): void {
    this.version = object.version
    if (external.eraOf(object.version) >= (this.deps.eras.current ?? 0)) this.writtenPosition = position
  }

  // Only this process writes the object, so a conflict means that an earlier write took effect or that the store was restored.
  private async readVersion (): Promise<boolean> {
    const stored = await this.deps.store.get(COUNTS_PREFIX + this.deps.name)
    if (stored.ok) this.version = stored.val?.version ?? 'absent'
    return stored.ok
  }
}
