/** Cache changes of engines, as the gateways that follow an engine relay them to the others. */
import type * as calls from '../call/index.js'
import * as z from 'zod'

/** Changes retained for others; a gateway that polls too late misses the oldest, which costs some wrong estimates. */
const RETAINED_CHANGES = 8_192

/** Changes in one reply: the replies of all gateways together must leave room for calls on a slow link. */
const MAX_CHANGES_PER_REPLY = 200

/** Cache changes of one target. */
const CacheRow = z.object({
  target: z.string(),
  /** Whether the target restarted with an empty cache before the listed changes. */
  restarted: z.boolean(),
  changes: z.array(z.object({ id: z.string(), tokens: z.number() }))
})
export type CacheRow = z.infer<typeof CacheRow>

/** Changes from a position on, and the position after them. */
export const CacheBatch = z.object({ next: z.int(), rows: z.array(CacheRow) })
export type CacheBatch = z.infer<typeof CacheBatch>

/** One change of a target's cache. */
interface CacheUpdate {
  readonly target: string
  /** Undefined for a restart. */
  readonly change: calls.CacheChange | undefined
}

/** The newest changes; positions count all changes from 0. */
export class CacheUpdates {
  private updates: CacheUpdate[] = []
  /** Position of the oldest retained change. */
  private firstPosition = 0

  /** Records changes of a target's cache. */
  add (target: string, changes: readonly calls.CacheChange[]): void {
    for (const change of changes) this.push({ target, change })
  }

  /** Records that a target restarted with an empty cache. */
  addRestart (target: string): void {
    this.push({ target, change: undefined })
  }

  /**
   * Changes from `position` on; without one, only the position after the newest: a gateway that has just started does
   * not catch up.
   */
  changesSince (position?: number): CacheBatch {
    if (position === undefined) return { next: this.firstPosition + this.updates.length, rows: [] }
    const start = Math.max(0, position - this.firstPosition)
    const updates = this.updates.slice(start, start + MAX_CHANGES_PER_REPLY)
    const rows = new Map<string, CacheRow>()
    for (const { target, change } of updates) {
      if (change === undefined) rows.set(target, { target, restarted: true, changes: [] })
      else rowFor(rows, target).changes.push({ id: change.id, tokens: change.tokens })
    }
    return { next: this.firstPosition + start + updates.length, rows: [...rows.values()] }
  }

  private push (update: CacheUpdate): void {
    this.updates.push(update)
    if (this.updates.length < 2 * RETAINED_CHANGES) return
    this.firstPosition += this.updates.length - RETAINED_CHANGES
    this.updates = this.updates.slice(-RETAINED_CHANGES)
  }
}

function rowFor (rows: Map<string, CacheRow>, target: string): CacheRow {
  const row = rows.get(target) ?? { target, restarted: false, changes: [] }
  rows.set(target, row)
  return row
}
