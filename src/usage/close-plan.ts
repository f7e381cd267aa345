/** Decides whether a usage window can be closed, and with which figures. */
import type { UsageRow } from '../schema/index.js'
import type { EntryUsage, FinalUsage, LateReason } from './usage-records.js'
import { UsageTable } from './usage-rows.js'

/**
 * Bound of the tombstones, which are incarnations that are completely billed; at the target size entries restart
 * 2,700 times a day.
 */
const MAX_TOMBSTONES = 4_096

/** A stored usage record and its version. */
export interface VersionedUsage {
  readonly version: number
  readonly usage: EntryUsage
}

/** Input of `planClose`. */
export interface CloseInput {
  readonly window: number
  readonly shard: number
  /** Final record of the previous window; `undefined` for the first window. */
  readonly previous: FinalUsage | undefined
  readonly records: readonly VersionedUsage[]
  /** Incarnations of entries that are alive. */
  readonly alive: readonly string[]
  /** Whether the grace period for incomplete figures has ended. */
  readonly graceOver: boolean
  /** Wall-clock time, ms since the Unix epoch. */
  readonly now: number
  /** Why the close is late; `undefined` when it is not. */
  readonly late: LateReason | undefined
}

/** The final record to write, or the incarnations to wait for. */
export type ClosePlan =
  | { readonly kind: 'close', readonly record: FinalUsage }
  | { readonly kind: 'wait', readonly for: readonly string[] }
  /** The records come from an older copy of the store than the one that the previous window was closed with. */
  | { readonly kind: 'stale', readonly incarnation: string }

/** Plans the close of a window. */
export function planClose (input: CloseInput): ClosePlan {
  const { previous } = input
  const tombstones = new Set(previous?.tombstones)
  const records = input.records.filter(({ usage }) => !tombstones.has(usage.incarnation))
  const staleIncarnation = findStaleIncarnation(previous, records)
  if (staleIncarnation !== undefined) return { kind: 'stale', incarnation: staleIncarnation }
  const missing = incompleteIncarnations(input, records)
  const missingBefore = new Set(previous?.missing)
  const awaited = missing.filter((id) => input.alive.includes(id) || !missingBefore.has(id))
  if (awaited.length > 0 && !input.graceOver) return { kind: 'wait', for: awaited }
  return { kind: 'close', record: makeRecord(input, records, missing) }
}

/** Incarnation of the process: the record's id without the suffix of records that follow a sealed or deleted one. */
export function processOf (incarnation: string): string {
  return incarnation.split('~', 1)[0]!
}

function findStaleIncarnation (previous: FinalUsage | undefined, records: readonly VersionedUsage[]): string | undefined {
  const versions = new Map(records.map(({ usage, version }) => [usage.incarnation, version]))
  return previous?.included.find(({ incarnation, version }) => (versions.get(incarnation) ?? -1) < version)?.incarnation
}

function incompleteIncarnations (input: CloseInput, records: readonly VersionedUsage[]): string[] {
  const complete = new Set<string>()
  const open = new Set<string>(input.alive)
  for (const { usage } of records) {
    if (usage.state === 'ended' || usage.through >= input.window) complete.add(processOf(usage.incarnation))
    else if (usage.state === 'open') open.add(processOf(usage.incarnation))
  }
  return [...open].filter((id) => !complete.has(id)).sort()
}

function makeRecord (input: CloseInput, records: readonly VersionedUsage[], missing: string[]): FinalUsage {
  const { previous, window } = input
  const includedBefore = new Map(previous?.included.map((item) => [item.incarnation, item]))
  const sealed = records.filter(({ usage }) => usage.state === 'sealed')
  const unsealed = records.filter(({ usage }) => usage.state !== 'sealed')
  const retired = sumUsage(previous?.retired ?? [], sealed)
  const totals = sumUsage(retired, unsealed)
  const tombstones = [...previous?.tombstones ?? [], ...sealed.map(({ usage }) => usage.incarnation)].slice(-MAX_TOMBSTONES)
  return {
    window,
    shard: input.shard,
    closed_at: input.now,
    ...(input.late === undefined ? {} : { late: input.late }),
    included: unsealed.map(({ usage, version }) => {
      const earlier = includedBefore.get(usage.incarnation)
      return { incarnation: usage.incarnation, version, since: earlier?.version === version ? earlier.since : window }
    }),
    missing,
    tombstones,
    retired,
    totals,
    bills: new UsageTable(totals).minus(new UsageTable(previous?.totals))
  }
}

function sumUsage (base: readonly UsageRow[], records: readonly VersionedUsage[]): UsageRow[] {
  const table = new UsageTable(base)
  for (const { usage } of records) table.add(usage.rows)
  return table.rows()
}
