/** Closes windows of one shard: reads the entries' usage and writes final records, one a window. */
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

/** Wait for incomplete figures after a window's end, in ms. */
const GRACE_MS = 30_000

/** A window closed later than this after its end is late, in ms: the grace period plus one change of holder (11 s). */
export const LATE_MS = 45_000

/** Windows an incarnation's record stays unchanged after its end before it is sealed. */
const QUIET_WINDOWS = 2

/** Reported final records that are kept. */
const KEEP_FINALS = 3

/** What a closer works with. */
export interface CloserDeps {
  readonly clock: Clock
  readonly store: ObjectStore
  readonly metrics: Metrics
  readonly health: StoreHealth
  readonly windowMs: number
  readonly shard: number
  /** Incarnations of entries that are alive. */
  readonly alive: () => readonly string[]
}

/** The right to act, as a tenure of a scope gives it. */
export interface LeaseTerm {
  readonly fence: number
  mayAct (): boolean
}

/** One tenure's work on the windows of a shard. */
export class WindowCloser {
  private readonly since: number
  private progress: StoredObject | undefined
  private first = 0
  private reportedWindow = -1
  private last: FinalUsage | undefined
  private readonly unreported = new Map<number, FinalUsage>()

  constructor (private readonly deps: CloserDeps, private readonly tenure: LeaseTerm) {
    this.since = deps.clock.wallTimeMs()
  }

  /** Reads how far the shard is, then closes the next window if it is over; true when a window was closed. */
  async closeNext (): Promise<Result<boolean, StoreError>> {
    const begun = await this.begin()
    if (begun.err || !this.tenure.mayAct()) return begun.err ? begun : Ok(false)
    const window = (this.last?.window ?? this.reportedWindow) + 1
    if (window >= windowAt(this.deps.clock.wallTimeMs(), this.deps.windowMs)) return Ok(false)
    if (this.last === undefined && window !== this.first) return await this.readPrevious(window - 1)
    return await this.close(window)
  }

  /** The oldest closed window that is not wholly reported. */
  nextToReport (): FinalUsage | undefined {
    return this.unreported.get(this.reportedWindow + 1)
  }

  /** Records that a window is wholly reported and removes what is no longer needed. */
  async reported (record: FinalUsage): Promise<Result<void, StoreError>> {
    const written = await this.advance(record.window)
    if (written.err) return written
    this.unreported.delete(record.window)
    const old = finalKey(record.window - KEEP_FINALS, this.deps.shard)
    const found = await this.noted(this.deps.store.get(old))
    if (found.err || found.val === undefined) return found.err ? found : Ok(undefined)
    return await this.noted(this.deps.store.delete(old, found.val.version))
  }

  /** Seals records of incarnations that are gone, and deletes those that are wholly billed. */
  async prune (): Promise<void> {
    const { last } = this
    if (last === undefined) return
    const listed = await this.list()
    if (listed.err) return
    const buried = new Set(last.tombstones)
    const quiet = new Map(last.included.filter((item) => last.window - item.since >= QUIET_WINDOWS).map((item) => [item.incarnation, item.version]))
    const alive = new Set(this.deps.alive())
    for (const { version, usage } of listed.val) {
      if (!this.tenure.mayAct()) return
      const key = entryKey(this.deps.shard, usage.incarnation)
      if (buried.has(usage.incarnation)) await this.noted(this.deps.store.delete(key, version))
      else if (quiet.get(usage.incarnation) === version && usage.state !== 'sealed' && !alive.has(processOf(usage.incarnation))) {
        await this.noted(putResolved(this.deps.store, key, encode(EntryUsage, { ...usage, state: 'sealed' }), version))
      }
    }
  }

  /**
   * Reads the shard's progress by a conditional update under this tenure's fence: a plain read may come from an
   * old copy, and a window that was closed and pruned since must not be closed again.
   */
  private async begin (): Promise<Result<void, StoreError>> {
    if (this.progress !== undefined) return Ok(undefined)
    const key = progressKey(this.deps.shard)
    const known = await this.noted(this.deps.store.get(key))
    if (known.err) return known
    return await this.advance(undefined, known.val)
  }

  private async advance (reported: number | undefined, known = this.progress): Promise<Result<void, StoreError>> {
    const initial = windowAt(this.deps.clock.wallTimeMs(), this.deps.windowMs) - 1
    let next: UsageProgress | undefined
    const written = await this.noted(changeObject(this.deps.store, progressKey(this.deps.shard), known, (current) => {
      const present = current === undefined ? undefined : decode(UsageProgress, current.value)
      if (present !== undefined && present.fence > this.tenure.fence) return undefined
      next = {
        first: present?.first ?? initial + 1,
        reported: Math.max(present?.reported ?? initial, reported ?? -1),
        fence: this.tenure.fence
      }
      return encode(UsageProgress, next)
    }))
    if (written.err) return written
    if (written.val === undefined || next === undefined) return Err({ kind: 'conflict', message: 'a later holder has taken over' })
    this.progress = written.val
    this.first = next.first
    this.reportedWindow = next.reported
    return Ok(undefined)
  }

  private async readPrevious (window: number): Promise<Result<boolean, StoreError>> {
    const object = await this.noted(this.deps.store.get(finalKey(window, this.deps.shard)))
    if (object.err) return object
    // The record exists, since a later window is due; an old copy of the store does not have it yet.
    if (object.val === undefined) return Ok(false)
    this.last = decode(FinalUsage, object.val.value)
    return Ok(true)
  }

  private async close (window: number): Promise<Result<boolean, StoreError>> {
    const listed = await this.list()
    if (listed.err) return listed
    const now = this.deps.clock.wallTimeMs()
    const end = (window + 1) * this.deps.windowMs
    const plan = planClose({
      window,
      shard: this.deps.shard,
      previous: this.last,
      records: listed.val,
      alive: this.deps.alive(),
      graceOver: now >= end + GRACE_MS && now >= this.since + GRACE_MS,
      now,
      late: now > end + LATE_MS ? this.lateReason(end) : undefined
    })
    if (plan.kind !== 'close') {
      this.deps.metrics.count('godwitpoint_usage_close_waits_total', `reason="${plan.kind}"`)
      return Ok(false)
    }
    return await this.write(plan.record)
  }

  /** Creates the record; when another holder was first, its record is the one that counts. */
  private async write (record: FinalUsage): Promise<Result<boolean, StoreError>> {
    if (!this.tenure.mayAct()) return Ok(false)
    const written = await this.noted(putResolved(this.deps.store, finalKey(record.window, this.deps.shard), encode(FinalUsage, record), 'absent'))
    const object = written.ok ? written.val : written.val.current
    if (object === undefined) return Err(written.val as StoreError)
    this.last = decode(FinalUsage, object.value)
    this.unreported.set(record.window, this.last)
    this.deps.metrics.count('godwitpoint_usage_windows_closed_total', `late="${this.last.late ?? 'no'}"`)
    return Ok(true)
  }

  private lateReason (end: number): LateReason {
    if (this.deps.health.failedSince(end)) return 'store_unavailable'
    return this.since > end ? 'no_holder' : 'entry_unreachable'
  }

  private async list (): Promise<Result<VersionedUsage[], StoreError>> {
    const listed = await this.noted(this.deps.store.list(entryPrefix(this.deps.shard)))
    return listed.map((objects) => objects.map((object) => ({ version: object.version, usage: decode(EntryUsage, object.value) })))
  }

  private async noted<T> (work: Promise<Result<T, StoreError>>): Promise<Result<T, StoreError>> {
    const outcome = await work
    if (outcome.err && outcome.val.kind !== 'conflict') this.deps.health.failed(this.deps.clock.wallTimeMs())
    return outcome
  }
}
