/** Closes usage windows and reports them. The final counts are stored before they are sent. */
import * as external from '../external/index.js'
import type * as log from '../log/index.js'
import * as time from '../time/index.js'
import * as validation from '../validation/index.js'
import type * as lease from './lease.js'
import type * as types from './types.js'
import type * as usageCollector from './usage-collector.js'
import * as usageCounts from './usage-counts.js'
import * as usageFinals from './usage-finals.js'
import * as usageLedger from './usage-ledger.js'

/** Key of the final counts. */
export const FINAL_COUNTS_KEY = 'godwitpoint-duties/finals'

/** Time between two checks, in ms. */
const CHECK_INTERVAL_MS = 700

/** Longest logged reason why an object is malformed, in characters. */
const MAX_REASON_CHARS = 200

/** Age of the newest window of a process at which its stored counts are deleted, in windows. */
const DELETE_AFTER_WINDOWS = 24

/** Dependencies of the usage closer. */
export interface UsageCloserDeps {
  readonly env: time.Env
  readonly store: external.ObjectStore
  readonly eras: external.StoreEras
  readonly lease: lease.Lease
  readonly dutyApi: types.DutyApi
  readonly collector: usageCollector.UsageCollector
  readonly windowMs: number
  readonly log: log.Logger
}

/** Decodes the stored final counts by window; throws when the object does not hold final counts. */
export function decodeFinalCounts (object: external.StoredObject): usageFinals.FinalCounts {
  return usageFinals.decodeStoredFinals(object.value).windows
}

interface ReadFinals {
  readonly finals: usageFinals.StoredFinals
  readonly version: external.ExpectedVersion
  /** Era of the store at the time of the read or write. */
  readonly era: number
}

/** Closes each window once and reports it; a later lease holder sends the same stored counts again, never others. */
export class UsageCloser implements Disposable {
  private task: Disposable | undefined
  private stored: ReadFinals | undefined
  private lastClosed: number | undefined
  /** Windows of which the store or another relay has other final counts, which may have been reported: this process reports none. */
  private readonly disputed = new Set<number>()

  /** Version of an object that this process wrote for an earlier era than that in which the write took effect. */
  private lateVersion: number | undefined

  constructor (private readonly deps: UsageCloserDeps) {
    deps.eras.onRestored(() => this.forgetStored())
  }

  /** Starts to close windows whenever this gateway holds the lease. */
  start (): void {
    const { env, log } = this.deps
    this.task = new time.RepeatingTask(env.timers, CHECK_INTERVAL_MS, async () => await this.check(), (err) => log.error({ err }, 'usage_close_failed'))
  }

  [Symbol.dispose] (): void {
    this.task?.[Symbol.dispose]()
  }

  private async check (): Promise<void> {
    if (this.deps.lease.stamp() === undefined) {
      this.forgetStored()
      return
    }
    this.stored ??= await this.readFinalCounts()
    if (this.stored === undefined) return
    const lastDue = usageCounts.lastDueWindow(this.deps.env.clock.wallTimeMs(), this.deps.windowMs)
    if (this.lastClosed === undefined || this.lastClosed < lastDue) await this.closeWindows(lastDue)
    await this.reportWindows(lastDue)
  }

  // What is read next is merged with what is known before anything is reported.
  private forgetStored (): void {
    this.stored = undefined
    this.lastClosed = undefined
  }

  private async readFinalCounts (): Promise<ReadFinals | undefined> {
    const object = await this.deps.store.get(FINAL_COUNTS_KEY)
    if (object.err) return undefined
    if (object.val === undefined) return { finals: usageFinals.NO_FINALS, version: 'absent', era: this.deps.eras.current ?? 0 }
    const { version } = object.val
    return { finals: version === this.lateVersion ? usageFinals.LOST_FINALS : this.decodeOrReplace(object.val), version, era: external.eraOf(version) }
  }

  private decodeOrReplace (object: external.StoredObject): usageFinals.StoredFinals {
    try {
      return usageFinals.decodeStoredFinals(object.value)
    } catch (err) {
      this.deps.log.warn({ key: object.key, version: object.version, reason: String(err).slice(0, MAX_REASON_CHARS) }, 'usage_finals_malformed')
      return usageFinals.LOST_FINALS
    }
  }

  private async closeWindows (lastDue: number): Promise<void> {
    const { stored } = this
    const { collector } = this.deps
    const list = await this.deps.store.list(usageLedger.COUNTS_PREFIX)
    if (list.err || stored === undefined) return
    const merged: usageCounts.ProcessCounts = {}
    for (const object of list.val) this.addStoredCounts(object, lastDue, merged)
    const collected = await collector.collect()
    for (const counts of collected.counts) mergeCounts(merged, counts)
    for (const window of collected.differing) this.disputed.add(window)
    const totals = sumByWindow(Object.values(merged))
    for (const window of collector.finals.add(stored.finals.windows)) this.disputed.add(window)
    const windows = collector.finals.after(lastDue - usageFinals.ABANDON_AFTER_WINDOWS)
    const missing = Object.keys(windows).filter((window) => stored.finals.windows[window] === undefined)
    if (missing.length > 0) this.deps.log.info({ windows: missing }, 'usage_finals_rewritten')
    const withheldTo = this.withheldTo(stored, lastDue)
    const withheld: number[] = []
    for (const [window, counts] of totals) {
      if (window > lastDue || window <= lastDue - usageFinals.ABANDON_AFTER_WINDOWS || windows[window] !== undefined) continue
      if (window <= withheldTo) withheld.push(window)
      else windows[window] = { counts, reported: false }
    }
    if (withheldTo > stored.finals.withheldTo && withheld.length > 0) this.deps.log.warn({ windows: withheld, era: stored.era }, 'usage_windows_withheld')
    for (const window of this.disputed) if (window <= lastDue - usageFinals.ABANDON_AFTER_WINDOWS) this.disputed.delete(window)
    if (await this.writeFinals(stored, { era: stored.era, withheldTo, windows })) this.lastClosed = lastDue
  }

  // A window that was due before a restore may have been closed and reported with counts that the store has lost.
  private withheldTo ({ finals, era }: ReadFinals, lastDue: number): number {
    if (finals.era >= era) return finals.withheldTo
    const bound = this.deps.collector.finals.restoreBound
    // A malformed object tells no era, so windows may have been closed since the restore too.
    const isBound = bound?.era === era && finals !== usageFinals.LOST_FINALS
    return Math.max(finals.withheldTo, isBound ? Math.min(bound.lastDue, lastDue) : lastDue)
  }

  private addStoredCounts (object: external.StoredObject, lastDue: number, merged: usageCounts.ProcessCounts): void {
    const counts = decodeCounts(object)
    if (counts === undefined) {
      this.deps.log.warn({ key: object.key }, 'usage_counts_malformed')
      return
    }
    mergeCounts(merged, counts)
    const windows = Object.values(counts).flatMap((processWindows) => Object.keys(processWindows).map(Number))
    if (windows.length > 0 && Math.max(...windows) < lastDue - DELETE_AFTER_WINDOWS) this.deleteCounts(object)
  }

  private deleteCounts (object: external.StoredObject): void {
    this.deps.store.delete(object.key, object.version).then(
      (result) => { if (result.err) this.deps.log.warn({ key: object.key, reason: result.val.message }, 'usage_delete_failed') },
      (err: unknown) => this.deps.log.error({ err }, 'usage_delete_failed')
    )
  }

  // Returns false when nothing may be reported before the stored counts are read again.
  private async writeFinals (stored: ReadFinals, finals: usageFinals.StoredFinals): Promise<boolean> {
    if (this.stored !== stored) return false
    if (JSON.stringify(finals) === JSON.stringify(stored.finals)) return true
    const put = await this.deps.store.put(FINAL_COUNTS_KEY, JSON.stringify(finals), stored.version)
    if (put.ok && external.eraOf(put.val.version) > stored.era) this.noteLateWrite(put.val.version)
    if (put.err || this.stored !== stored) {
      this.forgetStored()
      return false
    }
    this.deps.collector.finals.add(finals.windows)
    this.stored = { finals, version: put.val.version, era: external.eraOf(put.val.version) }
    return true
  }

  // The expected version was of an earlier era, so what the write replaced is not known, and windows may have been closed by others.
  private noteLateWrite (version: number): void {
    this.deps.log.warn({ era: external.eraOf(version) }, 'usage_finals_written_late')
    this.lateVersion = version
    this.forgetStored()
  }

  // The other relays are told first: the store may lose the final counts, and this process may end.
  private async reportWindows (lastDue: number): Promise<void> {
    const { stored } = this
    const { collector, log } = this.deps
    if (stored === undefined || this.lastClosed === undefined) return
    const due = Object.entries(stored.finals.windows).filter(([window, final]) => !final.reported && Number(window) <= lastDue && !this.disputed.has(Number(window)))
    if (due.length === 0) return
    for (const window of await collector.tellFinals(Object.fromEntries(due))) this.disputed.add(window)
    for (const [window, final] of due) {
      const stamp = this.deps.lease.stamp()
      if (stamp === undefined || this.stored !== stored) return
      if (this.disputed.has(Number(window))) continue
      const result = await this.deps.dutyApi.reportUsage(stamp, Number(window), final.counts)
      log.info({ window: Number(window), token: stamp.token, outcome: result.ok ? 'accepted' : result.val.message }, 'usage_reported')
      if (result.err) return
      // Stored with the next window; until then a later lease holder sends the same counts again.
      final.reported = true
      collector.finals.add({ [window]: final })
    }
  }
}

/** Counts by process; those that were stored before a process stored others' too are of the process that the key names. */
function decodeCounts (object: external.StoredObject): usageCounts.ProcessCounts | undefined {
  const value = validation.parseJson(object.value)
  const processes = usageCounts.ProcessCounts.safeParse(value)
  if (processes.success) return processes.data
  const windows = usageCounts.WindowCounts.safeParse(value)
  return windows.success ? { [object.key.slice(usageLedger.COUNTS_PREFIX.length)]: windows.data } : undefined
}

function mergeCounts (into: usageCounts.ProcessCounts, counts: usageCounts.ProcessCounts): void {
  for (const [process, windows] of Object.entries(counts)) usageCounts.mergeWindows(into[process] ??= {}, windows)
}

function sumByWindow (processes: Iterable<usageCounts.WindowCounts>): Map<number, Record<string, number>> {
  const totals = new Map<number, Record<string, number>>()
  for (const windows of processes) {
    for (const [window, counts] of Object.entries(windows)) {
      const total = totals.get(Number(window)) ?? {}
      totals.set(Number(window), total)
      for (const [account, count] of Object.entries(counts)) total[account] = (total[account] ?? 0) + count
    }
  }
  return totals
}
