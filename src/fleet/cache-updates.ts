/** What engines keep, as the gateways that follow them pass it on to the others. */
import type * as calls from '../call/index.js'
import * as z from 'zod'

/** Changes kept for others; one that asks too late misses the oldest, which costs it some wrong guesses. */
const KEPT_CHANGES = 8_192

/** Changes in one answer: those of all gateways together must leave room for calls on a slow link. */
const MAX_CHANGES = 200

/** Changes at one target. */
const CacheRow = z.object({
  target: z.string(),
  /** The target has started again with nothing kept, before the changes listed. */
  restarted: z.boolean(),
  changes: z.array(z.object({ id: z.string(), tokens: z.number() }))
})
export type CacheRow = z.infer<typeof CacheRow>

/** Changes since a position, and the position after them. */
export const CacheBatch = z.object({ next: z.int(), rows: z.array(CacheRow) })
export type CacheBatch = z.infer<typeof CacheBatch>

interface Entry {
  readonly target: string
  /** Undefined for a restart. */
  readonly change: calls.CacheChange | undefined
}

/** The newest changes, numbered from 0. */
export class CacheUpdates {
  private entries: Entry[] = []
  private dropped = 0

  /** Notes changes at a target. */
  add (target: string, changes: readonly calls.CacheChange[]): void {
    for (const change of changes) this.push({ target, change })
  }

  /** Notes that a target has started again. */
  addRestart (target: string): void {
    this.push({ target, change: undefined })
  }

  /** Changes from `position` on; without one, where the newest end: who has just started does not catch up. */
  changesSince (position?: number): CacheBatch {
    if (position === undefined) return { next: this.dropped + this.entries.length, rows: [] }
    const start = Math.max(0, position - this.dropped)
    const entries = this.entries.slice(start, start + MAX_CHANGES)
    const rows = new Map<string, CacheRow>()
    for (const { target, change } of entries) {
      if (change === undefined) rows.set(target, { target, restarted: true, changes: [] })
      else rowOf(rows, target).changes.push({ id: change.id, tokens: change.tokens })
    }
    return { next: this.dropped + start + entries.length, rows: [...rows.values()] }
  }

  private push (entry: Entry): void {
    this.entries.push(entry)
    if (this.entries.length < 2 * KEPT_CHANGES) return
    this.dropped += this.entries.length - KEPT_CHANGES
    this.entries = this.entries.slice(-KEPT_CHANGES)
  }
}

function rowOf (rows: Map<string, CacheRow>, target: string): CacheRow {
  const row = rows.get(target) ?? { target, restarted: false, changes: [] }
  rows.set(target, row)
  return row
}
