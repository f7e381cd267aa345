/** Usage objects in the store, and their keys. */
import * as z from 'zod'
import { UsageRow } from '../schema/index.js'
import * as validation from '../validation/index.js'
import { decodeRow, encodeRow } from './usage-rows.js'

const Rows = z.codec(validation.list(z.string()), validation.list(UsageRow), {
  decode: (texts) => texts.map(decodeRow),
  encode: (rows) => rows.map(encodeRow)
})

/** Cumulative usage of one incarnation of an entry, for the accounts of one shard. */
export const EntryUsage = z.object({
  incarnation: z.string(),
  /** Last window whose usage is completely included; -1 before the first. */
  through: z.int(),
  /** Sequence number of the last change of the incarnation's counters. */
  seq: z.int(),
  /** `ended`: the entry stopped, or a peer wrote its replica. `sealed`: the record no longer changes. */
  state: z.enum(['open', 'ended', 'sealed']),
  rows: Rows
})
export type EntryUsage = z.infer<typeof EntryUsage>

/** Why a window was closed or reported late. */
export const LateReason = z.enum(['store_unavailable', 'entry_unreachable', 'no_holder', 'quarantine', 'report_unavailable'])
export type LateReason = z.infer<typeof LateReason>

/** Final record of a window and shard; written once and never changed. */
export const FinalUsage = z.object({
  window: z.int(),
  shard: z.int(),
  /** Wall-clock time of the close, ms since the Unix epoch. */
  closed_at: z.number(),
  late: LateReason.optional(),
  /**
   * Incarnations whose usage is in `totals`, with the version of the record read and the first window that included
   * this version.
   */
  included: validation.list(z.object({ incarnation: z.string(), version: z.int(), since: z.int() })),
  /** Incarnations whose usage was not complete at the close. */
  missing: validation.list(z.string()),
  /** Incarnations whose usage has moved to `retired`; if a record of one of them appears again, it is ignored. */
  tombstones: validation.list(z.string()),
  /** Sum over incarnations that are completely billed. */
  retired: Rows,
  /** Sum over all incarnations. */
  totals: Rows,
  /** `totals` minus the totals of the previous window: the usage that is reported. */
  bills: Rows
})
export type FinalUsage = z.infer<typeof FinalUsage>

/** How far a shard's windows are reported, with the fencing token of the lease holder that wrote it. */
export const UsageProgress = z.object({
  /** The first window of the shard, which has no previous window. */
  first: z.int(),
  /** Last window that is completely reported. */
  reported: z.int(),
  fence: z.int()
})
export type UsageProgress = z.infer<typeof UsageProgress>

/** Key of an incarnation's usage record; the shard comes first, so that the records of a shard can be listed. */
export function entryKey (shard: number, incarnation: string): string {
  return `${entryPrefix(shard)}${incarnation}`
}

/** Key prefix of the usage records of a shard. */
export function entryPrefix (shard: number): string {
  return `usage/entry/${shard}/`
}

/** Key of a final record. */
export function finalKey (window: number, shard: number): string {
  return `usage/final/${window}/${shard}`
}

/** Key of a shard's progress. */
export function progressKey (shard: number): string {
  return `usage/progress/${shard}`
}

/** Number of the window that contains a wall-clock time. */
export function windowAt (wallTimeMs: number, windowMs: number): number {
  return Math.floor(wallTimeMs / windowMs)
}

/** Encodes an object as JSON text. */
export function encode<S extends z.ZodType> (schema: S, value: z.output<S>): string {
  return JSON.stringify(z.encode(schema, value))
}

/** Decodes an object from JSON text; throws on invalid input. */
export function decode<S extends z.ZodType> (schema: S, text: string): z.output<S> {
  return z.decode(schema, JSON.parse(text) as z.input<S>)
}
