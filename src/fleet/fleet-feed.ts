/**
 * Keeps the list of targets up to date. Relays poll the store; members get the list and its age from their relay, and read
 * the store themselves when that is too old.
 */
import * as z from 'zod'
import type * as exchange from '../exchange/index.js'
import * as external from '../external/index.js'
import type * as log from '../log/index.js'
import * as serving from '../serving/index.js'
import * as time from '../time/index.js'
import * as validation from '../validation/index.js'
import type * as fleet from './fleet.js'
import * as targetList from './target-list.js'

/** Interval between two reads, as a share of `leavePropagationMs`: one read within that bound may fail. */
const READ_INTERVAL_SHARE = 0.4

/** Time to the next read after a failed one, in ms. */
const RETRY_INTERVAL_MS = 250

/**
 * Age beyond the read interval up to which a member waits for its relay, as a share of the propagation bound: the read of the
 * relay, several exchanges and one that is late. With 350 ms, members of busy relays read the store as often as the relays did.
 */
const RELAY_SLACK_SHARE = 0.2

/** Time after which a list is applied again although it has not changed, in ms: targets may be kept for a while. */
const REAPPLY_INTERVAL_MS = 1_000

/**
 * Time after the return of the store within which targets whose records had expired meanwhile, or were lost in a restore,
 * have registered again, in ms; one that is still missing then has left.
 */
const REREGISTRATION_MS = 2_000

/** Time before the end of {@link REREGISTRATION_MS} at which the list is read once more, in ms. */
const LAST_READ_MARGIN_MS = 100

/**
 * Time after the first read of a restored list, as a multiple of the shortest expiry of a record, after which records that the
 * copy had brought back and that nobody writes are no longer listed: three heartbeats, and one as a margin.
 */
const COPIED_RECORD_EXPIRIES = 2

/** Failed reads in a row after which the store counts as having been away; a single one may be lost on the way. */
const OUTAGE_FAILED_READS = 2

/** Changes of the list, its age when this was sent, and its era; `complete`: other targets are not in the list. */
const ListChanges = z.object({ ageMs: z.number(), complete: z.boolean(), records: validation.list(targetList.TargetRecord), removed: validation.list(z.string()), era: z.int().optional() })
type ListChanges = z.infer<typeof ListChanges>

/** Dependencies of a {@link FleetFeed}. */
export interface FleetFeedDeps {
  readonly env: time.Env
  readonly elapsed: serving.ElapsedClock
  readonly store: external.ObjectStore
  readonly eras: external.StoreEras
  /** Prefix of the keys of target records. */
  readonly prefix: string
  /** Propagation bound, in ms: from this time after its acknowledgement on, a leaving target must get no new work. */
  readonly leavePropagationMs: number
  /** Shortest time without the store after which the record of a running target may have expired, in ms. */
  readonly shortestExpiryMs: number
  /** Whether this gateway reads for itself; a member of a relay does not. */
  readonly isReader: () => boolean
  /** Decodes a stored object; undefined when it describes no target. */
  readonly decode: (object: external.StoredObject) => serving.TargetRecord | undefined
  readonly fleet: fleet.Fleet
  readonly log: log.Logger
}

/** Keeps a {@link fleet.Fleet} up to date. */
export class FleetFeed implements Disposable, exchange.Topic {
  readonly name = 'targets'
  private readonly poller: time.Poller
  private freshness: serving.Freshness
  private readonly list = new targetList.TargetList()
  /** List of the relay of this gateway, to which the changes that the relay tells apply. */
  private readonly relayList = new targetList.TargetList()
  /** Whether the list in use is that of the relay, so that its next changes apply to it. */
  private followsRelay = false
  /** Era of the list in use; undefined before the first list. */
  private listEra: number | undefined
  private failing = false
  /** Failed reads that were started after the list in use was confirmed. */
  private failedReads = 0
  /** When targets whose records expired during the last outage have registered again, in ms on the monotonic clock. */
  private reregisteredAt = -Infinity
  /** From when on a list has no records any more that only a restore has brought back, in ms on the elapsed clock. */
  private copyExpiredAt = -Infinity
  private lastRead: Disposable | undefined
  private readsStarted = 0
  private lastAppliedRead = 0
  private loaded = false
  private appliedAt = -Infinity

  constructor (private readonly deps: FleetFeedDeps) {
    this.freshness = new serving.Freshness(deps.elapsed)
    const intervalMs = READ_INTERVAL_SHARE * deps.leavePropagationMs
    this.poller = new time.Poller({
      timers: deps.env.timers,
      intervalMs,
      mayWaitMs: () => deps.isReader() ? 0 : intervalMs + RELAY_SLACK_SHARE * deps.leavePropagationMs - this.freshness.ageMs,
      retryMs: RETRY_INTERVAL_MS,
      read: async () => await this.read(),
      onError: (err) => deps.log.error({ err }, 'target_list_failed')
    })
  }

  /** Starts reading. */
  start (): void {
    this.poller.start()
  }

  /** Whether the list was read at least once. */
  get ready (): boolean {
    return this.loaded
  }

  /** Age of the list, in ms; infinite before the first. */
  get listAgeMs (): number {
    return this.freshness.ageMs
  }

  /**
   * Whether the list may lack targets that run, or have targets that had left: shortly after an outage, and after a restore
   * until the records are gone that only the copy has brought back. Numbers of targets decide nothing meanwhile.
   */
  get isSettling (): boolean {
    const isOfEarlierEra = this.listEra !== undefined && (this.deps.eras.current ?? 0) > this.listEra
    return isOfEarlierEra || this.mayListRemoved || this.deps.env.clock.now() < this.reregisteredAt
  }

  changesSince (link: exchange.Link, position: number | undefined): exchange.Changes | undefined {
    if (link.kind !== 'member' || !this.loaded) return undefined
    const complete = position === undefined || !this.list.knowsChangesSince(position)
    const { records, removed } = this.list.changesSince(complete ? 0 : position)
    const payload: ListChanges = { ageMs: Math.ceil(this.freshness.ageMs), complete, records: [...records], removed: [...removed], era: this.listEra }
    return { next: this.list.position, payload }
  }

  // A list of the relay that is older than the one in use is not used before the relay has confirmed it again; ages compare
  // only within one era.
  apply (link: exchange.Link, payload: unknown, sentAt: number | undefined): boolean {
    if (link.kind !== 'relay' || sentAt === undefined) return true
    const { ageMs, complete, records, removed, era } = ListChanges.parse(payload)
    if (era !== undefined) this.deps.eras.note(era)
    if (complete) this.relayList.replace(records)
    else this.relayList.update(records, removed)
    const confirmedAt = sentAt - ageMs
    const listEra = era ?? this.era
    if (listEra < this.era || (listEra === this.era && confirmedAt < this.freshness.confirmedAt)) {
      this.followsRelay = false
      return true
    }
    const isIncremental = !complete && this.followsRelay
    if (isIncremental) this.list.update(records, removed)
    else this.list.replace(this.relayList.records())
    this.followsRelay = true
    this.confirm(confirmedAt, listEra)
    if (!isIncremental || records.length + removed.length > 0 || this.deps.env.clock.now() - this.appliedAt >= REAPPLY_INTERVAL_MS) this.applyToFleet()
    return true
  }

  linkEnded (): void {}

  [Symbol.dispose] (): void {
    this.poller[Symbol.dispose]()
    this.lastRead?.[Symbol.dispose]()
  }

  // Reads may overlap: a list is dropped when one whose read started later, or one of a later era, was applied already.
  private async read (): Promise<boolean> {
    const readNumber = ++this.readsStarted
    const startedAt = this.freshness.startRead()
    const listed = await this.deps.store.list(this.deps.prefix)
    if (listed.err) this.noteFailure(listed.val.message, startedAt)
    else if (readNumber > this.lastAppliedRead && this.eraOfRead(listed.val) >= this.era) this.applyRead(listed.val, readNumber, startedAt)
    return !this.failing
  }

  private applyRead (objects: readonly external.StoredObject[], readNumber: number, startedAt: number): void {
    this.lastAppliedRead = readNumber
    this.list.replace(objects.flatMap((object) => this.deps.decode(object) ?? []))
    this.followsRelay = false
    this.confirm(startedAt, this.eraOfRead(objects))
    this.applyToFleet()
  }

  /** Era of the list in use; that of a store that was never restored before the first list. */
  private get era (): number {
    return this.listEra ?? 0
  }

  // An empty list carries no version; the client of the store drops responses of an earlier era than the latest.
  private eraOfRead (objects: readonly external.StoredObject[]): number {
    const [first] = objects
    return first === undefined ? this.deps.eras.current ?? this.era : external.eraOf(first.version)
  }

  // Notes that the list was current at `confirmedAt`. After an outage a record may expire shortly after it was listed again,
  // since its target has not yet written it. After a restore, records are missing until their targets have written them again, and
  // the age of the earlier list says nothing of the restored one.
  private confirm (confirmedAt: number, era: number): void {
    const isRestored = this.listEra !== undefined && era > this.listEra
    const wasAway = isRestored || (this.failedReads >= OUTAGE_FAILED_READS && confirmedAt - this.freshness.confirmedAt >= this.deps.shortestExpiryMs)
    if (isRestored) this.freshness = new serving.Freshness(this.deps.elapsed)
    this.listEra = era
    if (confirmedAt > this.freshness.confirmedAt) this.failedReads = 0
    this.freshness.confirm(confirmedAt)
    if (!wasAway) return
    const remainingMs = REREGISTRATION_MS - (this.deps.elapsed.now() - confirmedAt)
    if (isRestored) this.noteRestore(era, confirmedAt, remainingMs)
    if (this.readsForItself) this.scheduleLastRead(remainingMs - LAST_READ_MARGIN_MS)
    this.reregisteredAt = this.deps.env.clock.now() + remainingMs
  }

  private noteRestore (era: number, confirmedAt: number, remainingMs: number): void {
    this.copyExpiredAt = confirmedAt + Math.max(REREGISTRATION_MS, COPIED_RECORD_EXPIRIES * this.deps.shortestExpiryMs)
    this.deps.log.info({ era, targets: this.list.size, for_ms: Math.round(remainingMs) }, 'target_list_restored')
  }

  /** Whether the list in use may have records of targets that had left before the last restore. */
  private get mayListRemoved (): boolean {
    return this.freshness.confirmedAt < this.copyExpiredAt
  }

  // A member gets the list that its relay reads, unless its own read is newer.
  private get readsForItself (): boolean {
    return this.deps.isReader() || !this.followsRelay
  }

  private scheduleLastRead (delayMs: number): void {
    this.lastRead?.[Symbol.dispose]()
    this.lastRead = this.deps.env.timers.after(Math.max(0, delayMs), () => {
      if (!this.readsForItself) return
      this.poller.readNow().catch((err: unknown) => this.deps.log.error({ err }, 'target_list_failed'))
    })
  }

  private applyToFleet (): void {
    this.appliedAt = this.deps.env.clock.now()
    const keepUntil = this.appliedAt < this.reregisteredAt ? this.reregisteredAt : undefined
    this.deps.fleet.apply(this.list.records(), { era: this.era, keepUntil, mayListRemoved: this.mayListRemoved })
    this.loaded = true
    if (this.failing) this.deps.log.info({ dependency: 'target_list', targets: this.list.size }, 'dependency_regained')
    this.failing = false
  }

  // A read that was started before the list in use was confirmed tells nothing about the store since then.
  private noteFailure (reason: string, startedAt: number): void {
    if (startedAt <= this.freshness.confirmedAt) return
    this.failedReads++
    const readMs = Math.round(this.deps.elapsed.now() - startedAt)
    if (!this.failing) this.deps.log.warn({ dependency: 'target_list', reason, age_ms: Math.round(this.listAgeMs), read_ms: readMs }, 'dependency_lost')
    this.failing = true
  }
}
