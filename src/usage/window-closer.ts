/** Closes the windows of one shard: reads the entries' usage and writes one final record per window. */
import { Err, Ok, type Result } from '../errors/index.js'
import type { Metrics } from '../metrics/index.js'
import type { ObjectStore, StoredObject, StoreError } from '../external/index.js'
import type { Clock } from '../time/index.js'
import { planClose, processOf, type VersionedUsage } from './close-plan.js'
import { changeObject, putResolved } from './conditional-write.js'
import type { StoreHealth } from './store-health.js'
import {
  decode, encode, EntryUsage, entryKey, entryPrefix, finalKey, FinalUsage, UsageProgress, progressKey, windowAt, type LateReason
} from './usage-records.js'

/** Grace period for incomplete usage records after the end of a window, in ms. */
const GRACE_MS = 30_000

/**
 * A window that closes later than this after its end is late, in ms: the grace period plus one change of lease holder
 * (11 s).
 */
export const LATE_AFTER_MS = 45_000

/** Windows for which the record of a terminated incarnation stays unchanged before it is sealed. */
const SEAL_AFTER_WINDOWS = 2

/** Final records that are kept after they were reported. */
const KEPT_FINAL_RECORDS = 3

/** Dependencies of the window closer. */
export interface WindowCloserDeps {
  readonly clock: Clock
  readonly store: ObjectStore
  readonly metrics: Metrics
  readonly health: StoreHealth
  readonly windowMs: number
  readonly shard: number
  /** Incarnations of entries that are alive. */
  readonly alive: () => readonly string[]
}

/** One term of a scope's lease holder: its fencing token, and whether it may still act. */
export interface LeaseTerm {
  readonly fence: number
  mayAct (): boolean
}

/** Closes windows during one lease term. */
export class WindowCloser {
  private readonly startedAt: number
  private progress: StoredObject | undefined
  private firstWindow = 0
  private reportedWindow = -1
  private lastRecord: FinalUsage | undefined
  private readonly unreported = new Map<number, FinalUsage>()

  constructor (private readonly deps: WindowCloserDeps, private readonly leaseTerm: LeaseTerm) {
    this.startedAt = deps.clock.wallTimeMs()
  }

  /**
   * Closes the next window if it has ended; reads the progress and the previous window first. True when there may be
   * more to do at once.
   */
  async closeNext (): Promise<Result<boolean, StoreError>> {
    const read = await this.readProgress()
    if (read.err || !this.leaseTerm.mayAct()) return read.err ? read : Ok(false)
    const window = (this.lastRecord?.window ?? this.reportedWindow) + 1
    if (window >= windowAt(this.deps.clock.wallTimeMs(), this.deps.windowMs)) return Ok(false)
    if (this.lastRecord === undefined && window !== this.firstWindow) return await this.readPrevious(window - 1)
    return await this.closeWindow(window)
  }

  /** The oldest closed window that is not completely reported. */
  nextToReport (): FinalUsage | undefined {
    return this.unreported.get(this.reportedWindow + 1)
  }

  /** Stores that a window is completely reported, and deletes the final record that is no longer needed. */
  async markReported (record: FinalUsage): Promise<Result<void, StoreError>> {
    const written = await this.writeProgress(record.window)
    if (written.err) return written
    this.unreported.delete(record.window)
    const oldKey = finalKey(record.window - KEPT_FINAL_RECORDS, this.deps.shard)
    const oldRecord = await this.trackFailure(this.deps.store.get(oldKey))
    if (oldRecord.err || oldRecord.val === undefined) return oldRecord.err ? oldRecord : Ok(undefined)
    return await this.trackFailure(this.deps.store.delete(oldKey, oldRecord.val.version))
  }

  /** Seals the records of terminated incarnations, and deletes those that are completely billed. */
  async prune (): Promise<void> {
    const { lastRecord } = this
    if (lastRecord === undefined) return
    const listed = await this.listRecords()
    if (listed.err) return
    const tombstones = new Set(lastRecord.tombstones)
    const unchangedVersions = new Map(lastRecord.included.filter((item) => lastRecord.window - item.since >= SEAL_AFTER_WINDOWS).map((item) => [item.incarnation, item.version]))
    const alive = new Set(this.deps.alive())
    for (const { version, usage } of listed.val) {
      if (!this.leaseTerm.mayAct()) return
      const key = entryKey(this.deps.shard, usage.incarnation)
      if (tombstones.has(usage.incarnation)) await this.trackFailure(this.deps.store.delete(key, version))
      else if (unchangedVersions.get(usage.incarnation) === version && usage.state !== 'sealed' && !alive.has(processOf(usage.incarnation))) {
        await this.trackFailure(putResolved(this.deps.store, key, encode(EntryUsage, { ...usage, state: 'sealed' }), version))
      }
    }
  }

  /**
   * Reads the shard's progress by a conditional update with this lease term's fencing token: a plain read may come
   * from an old copy, and a window whose final record was deleted since must not be closed again.
   */
  private async readProgress (): Promise<Result<void, StoreError>> {
    if (this.progress !== undefined) return Ok(undefined)
    const key = progressKey(this.deps.shard)
    const stored = await this.trackFailure(this.deps.store.get(key))
    if (stored.err) return stored
    return await this.writeProgress(undefined, stored.val)
  }

  private async writeProgress (reportedWindow: number | undefined, lastKnown = this.progress): Promise<Result<void, StoreError>> {
    const lastEnded = windowAt(this.deps.clock.wallTimeMs(), this.deps.windowMs) - 1
    let next: UsageProgress | undefined
    const written = await this.trackFailure(changeObject(this.deps.store, progressKey(this.deps.shard), lastKnown, (current) => {
      const progress = current === undefined ? undefined : decode(UsageProgress, current.value)
      if (progress !== undefined && progress.fence > this.leaseTerm.fence) return undefined
      next = {
        first: progress?.first ?? lastEnded + 1,
        reported: Math.max(progress?.reported ?? lastEnded, reportedWindow ?? -1),
        fence: this.leaseTerm.fence
      }
      return encode(UsageProgress, next)
    }))
    if (written.err) return written
    if (written.val === undefined || next === undefined) return Err({ kind: 'conflict', message: 'a later lease holder has taken over' })
    this.progress = written.val
    this.firstWindow = next.first
    this.reportedWindow = next.reported
    return Ok(undefined)
  }

  private async readPrevious (window: number): Promise<Result<boolean, StoreError>> {
    const object = await this.trackFailure(this.deps.store.get(finalKey(window, this.deps.shard)))
    if (object.err) return object
    // The record exists, since its window is reported; an old copy of the store may not have it yet.
    if (object.val === undefined) return Ok(false)
    this.lastRecord = decode(FinalUsage, object.val.value)
    return Ok(true)
  }

  private async closeWindow (window: number): Promise<Result<boolean, StoreError>> {
    const listed = await this.listRecords()
    if (listed.err) return listed
    const now = this.deps.clock.wallTimeMs()
    const endMs = (window + 1) * this.deps.windowMs
    const plan = planClose({
      window,
      shard: this.deps.shard,
      previous: this.lastRecord,
      records: listed.val,
      alive: this.deps.alive(),
      graceOver: now >= endMs + GRACE_MS && now >= this.startedAt + GRACE_MS,
      now,
      late: now > endMs + LATE_AFTER_MS ? this.lateReason(endMs) : undefined
    })
    if (plan.kind !== 'close') {
      this.deps.metrics.count('godwitpoint_usage_close_waits_total', `reason="${plan.kind}"`)
      return Ok(false)
    }
    return await this.writeFinal(plan.record)
  }

  /** Creates the final record; if another lease holder has created it, that record counts. */
  private async writeFinal (record: FinalUsage): Promise<Result<boolean, StoreError>> {
    if (!this.leaseTerm.mayAct()) return Ok(false)
    const written = await this.trackFailure(putResolved(this.deps.store, finalKey(record.window, this.deps.shard), encode(FinalUsage, record), 'absent'))
    const object = written.ok ? written.val : written.val.current
    if (object === undefined) return Err(written.val as StoreError)
    this.lastRecord = decode(FinalUsage, object.value)
    this.unreported.set(record.window, this.lastRecord)
    this.deps.metrics.count('godwitpoint_usage_windows_closed_total', `late="${this.lastRecord.late ?? 'no'}"`)
    return Ok(true)
  }

  private lateReason (endMs: number): LateReason {
    if (this.deps.health.failedSince(endMs)) return 'store_unavailable'
    return this.startedAt > endMs ? 'no_holder' : 'entry_unreachable'
  }

  private async listRecords (): Promise<Result<VersionedUsage[], StoreError>> {
    const listed = await this.trackFailure(this.deps.store.list(entryPrefix(this.deps.shard)))
    return listed.map((objects) => objects.map((object) => ({ version: object.version, usage: decode(EntryUsage, object.value) })))
  }

  private async trackFailure<T> (call: Promise<Result<T, StoreError>>): Promise<Result<T, StoreError>> {
    const outcome = await call
    if (outcome.err && outcome.val.kind !== 'conflict') this.deps.health.noteFailure(this.deps.clock.wallTimeMs())
    return outcome
  }
}
