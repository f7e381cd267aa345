/** Closes usage windows and reports them: the final counts are stored before they are sent. */
import type * as external from '../external/index.js'
import type * as log from '../log/index.js'
import * as time from '../time/index.js'
import * as z from 'zod'
import type * as lease from './lease.js'
import type * as types from './types.js'
import type * as usageCollector from './usage-collector.js'
import * as usageLedger from './usage-ledger.js'

/** Key of the final counts. */
export const FINAL_COUNTS_KEY = 'godwitpoint-duties/finals'

/** Time between two looks, in ms. */
const LOOK_MS = 700

/** Time after the end of a window at which it is closed, in ms: every process has written its counts twice. */
const CLOSE_DELAY_MS = 3_200

/** Windows after which an unreported one is given up. */
const GIVE_UP_WINDOWS = 12

/** Age at which the counts of a process are deleted, in windows. */
const DELETE_WINDOWS = 24

const Counts = z.record(z.string(), z.int())
const FinalCounts = z.record(z.string(), z.object({ counts: Counts, reported: z.boolean() }))
export type FinalCounts = z.infer<typeof FinalCounts>
const Windows = z.record(z.string(), Counts)

/** What a closer needs from its surroundings. */
export interface UsageCloserDeps {
  readonly env: time.Env
  readonly store: external.ObjectStore
  readonly lease: lease.Lease
  readonly calls: types.DutyApi
  readonly collector: usageCollector.UsageCollector
  readonly windowMs: number
  readonly log: log.Logger
}

/** Final counts by window as they are stored; throws when the object holds none. */
export function decodeFinalCounts (object: external.StoredObject): FinalCounts {
  return FinalCounts.parse(JSON.parse(object.value))
}

interface StoredFinalCounts {
  finals: FinalCounts
  version: external.ExpectedVersion
}

/** Reports each window once; a successor sends the stored counts again, never others. */
export class UsageCloser implements Disposable {
  private task: Disposable | undefined
  private stored: StoredFinalCounts | undefined
  private lastClosed: number | undefined

  constructor (private readonly deps: UsageCloserDeps) {}

  /** Starts to close windows whenever this gateway holds the lease. */
  start (): void {
    const { env, log } = this.deps
    this.task = new time.RepeatingTask(env.timers, LOOK_MS, async () => await this.look(), (err) => log.error({ err }, 'usage_close_failed'))
  }

  [Symbol.dispose] (): void {
    this.task?.[Symbol.dispose]()
  }

  private async look (): Promise<void> {
    if (this.deps.lease.stamp() === undefined) {
      this.stored = undefined
      this.lastClosed = undefined
      return
    }
    this.stored ??= await this.read()
    if (this.stored === undefined) return
    const due = Math.floor((this.deps.env.clock.wallTimeMs() - CLOSE_DELAY_MS) / this.deps.windowMs) - 1
    if (this.lastClosed === undefined || this.lastClosed < due) await this.close(due)
    await this.report(due)
  }

  private async read (): Promise<StoredFinalCounts | undefined> {
    const found = await this.deps.store.get(FINAL_COUNTS_KEY)
    if (found.err) return undefined
    if (found.val === undefined) return { finals: {}, version: 'absent' }
    return { finals: decodeFinalCounts(found.val), version: found.val.version }
  }

  private async close (due: number): Promise<void> {
    const listed = await this.deps.store.list(usageLedger.COUNTS_PREFIX)
    if (listed.err || this.stored === undefined) return
    const processes = new Map<string, usageLedger.WindowCounts>()
    for (const object of listed.val) this.take(object, due, processes)
    for (const { name, windows } of await this.deps.collector.collect()) merge(processes, name, windows)
    const totals = totalsOf(processes.values())
    const finals: FinalCounts = {}
    for (const [window, final] of Object.entries(this.stored.finals)) {
      if (Number(window) > due - GIVE_UP_WINDOWS) finals[window] = final
    }
    for (const [window, counts] of totals) {
      if (window <= due && window > due - GIVE_UP_WINDOWS) finals[window] ??= { counts, reported: false }
    }
    if (await this.write(finals)) this.lastClosed = due
  }

  private take (object: external.StoredObject, due: number, processes: Map<string, usageLedger.WindowCounts>): void {
    const parsed = Windows.safeParse(JSON.parse(object.value))
    if (!parsed.success) return
    merge(processes, object.key.slice(usageLedger.COUNTS_PREFIX.length), parsed.data)
    const newest = Math.max(...Object.keys(parsed.data).map(Number))
    if (newest < due - DELETE_WINDOWS) this.forget(object)
  }

  private forget (object: external.StoredObject): void {
    this.deps.store.delete(object.key, object.version).then(
      (done) => { if (done.err) this.deps.log.warn({ key: object.key, reason: done.val.message }, 'usage_delete_failed') },
      (err: unknown) => this.deps.log.error({ err }, 'usage_delete_failed')
    )
  }

  private async write (finals: FinalCounts): Promise<boolean> {
    const stored = this.stored
    if (stored === undefined) return false
    if (JSON.stringify(finals) === JSON.stringify(stored.finals)) return true
    const put = await this.deps.store.put(FINAL_COUNTS_KEY, JSON.stringify(finals), stored.version)
    if (put.ok) this.stored = { finals, version: put.val.version }
    else this.stored = undefined
    return put.ok
  }

  private async report (due: number): Promise<void> {
    const stored = this.stored
    if (stored === undefined) return
    for (const [window, final] of Object.entries(stored.finals)) {
      if (final.reported || Number(window) > due) continue
      const stamp = this.deps.lease.stamp()
      if (stamp === undefined) return
      const sent = await this.deps.calls.reportUsage(stamp, Number(window), final.counts)
      this.deps.log.info({ window: Number(window), token: stamp.token, outcome: sent.ok ? 'accepted' : sent.val.message }, 'usage_reported')
      if (sent.err) return
      // Stored with the next window; until then a successor sends the same counts again.
      final.reported = true
    }
  }
}

// Counts of a process only grow, so of two statements the higher one is the later one.
function merge (processes: Map<string, usageLedger.WindowCounts>, name: string, windows: usageLedger.WindowCounts): void {
  const held = processes.get(name) ?? {}
  processes.set(name, held)
  for (const [window, counts] of Object.entries(windows)) {
    const known = held[window] = { ...held[window] }
    for (const [account, count] of Object.entries(counts)) known[account] = Math.max(known[account] ?? 0, count)
  }
}

function totalsOf (processes: Iterable<usageLedger.WindowCounts>): Map<number, Record<string, number>> {
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
