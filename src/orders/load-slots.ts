/** Limits concurrent model loads in a region, so that all scopes together stay within the weight store's rate limit. */
import * as z from 'zod'
import type { Metrics } from '../metrics/index.js'
import type { ObjectStore } from '../external/index.js'
import type { Clock } from '../time/index.js'
import * as validation from '../validation/index.js'

/** Concurrent model loads in a region; more would exceed the weight store's rate limit. */
export const MAX_CONCURRENT_LOADS = 2

/** Age from which a running load is dropped, in ms: its holder has terminated without releasing the slot. */
const RUNNING_LOAD_TTL_MS = 900_000

/** Time since the last request from which a waiting load is dropped, in ms. */
const WAITING_LOAD_TTL_MS = 60_000

/** Age of a waiting row from which a request refreshes it, in ms. */
const WAITING_REFRESH_MS = 20_000

/** Bound on the rows of a page; further loads wait without a row. */
const MAX_ROWS = 256

/** Attempts at a conditional update; after them the caller retries in its next round. */
const MAX_UPDATE_ATTEMPTS = 3

const LoadRow = z.object({
  /** Id of the intent. */
  id: z.string(),
  /** Whether requests wait for the model. */
  urgent: z.boolean(),
  /** Wall-clock time of the first and of the latest request for the slot, in ms. */
  asked_at: z.number(),
  seen_at: z.number(),
  /** Wall-clock time at which the slot was acquired, in ms; absent while the load waits. */
  started_at: z.number().optional()
})

/** Running and waiting model loads of a region, as stored. */
export const LoadPage = z.object({ rows: validation.list(LoadRow) })
export type LoadPage = z.infer<typeof LoadPage>

/** Requests a slot for a load at wall-clock time `now` in ms: urgent loads go first, then those that have waited longest. */
export function requestSlot (page: LoadPage, id: string, urgent: boolean, now: number): LoadPage {
  const rows = page.rows.filter((row) => row.started_at === undefined ? now - row.seen_at < WAITING_LOAD_TTL_MS : now - row.started_at < RUNNING_LOAD_TTL_MS)
  const existing = rows.find((row) => row.id === id)
  if (existing?.started_at !== undefined) return { rows }
  if (existing === undefined && rows.length >= MAX_ROWS) return { rows }
  const ownRow = { id, urgent, asked_at: existing?.asked_at ?? now, seen_at: now }
  const others = rows.filter((row) => row.id !== id)
  const freeSlots = MAX_CONCURRENT_LOADS - others.filter((row) => row.started_at !== undefined).length
  const loadsAhead = others.filter((row) => row.started_at === undefined && precedes(row, ownRow)).length
  return { rows: [...others, loadsAhead < freeSlots ? { ...ownRow, started_at: now } : ownRow] }
}

/** Removes a load from the page, which frees its slot. */
export function freeSlot (page: LoadPage, id: string): LoadPage {
  return { rows: page.rows.filter((row) => row.id !== id) }
}

/** Whether a load holds a slot. */
export function hasSlot (page: LoadPage, id: string): boolean {
  return page.rows.some((row) => row.id === id && row.started_at !== undefined)
}

/** Dependencies of {@link LoadSlots}. */
export interface LoadSlotsDeps {
  readonly clock: Clock
  readonly store: ObjectStore
  readonly metrics: Metrics
}

/** Load slots of one region, stored in one object and changed by conditional updates. */
export class LoadSlots {
  private readonly key: string

  constructor (private readonly deps: LoadSlotsDeps, region: string) {
    this.key = `loads/${region}`
  }

  /** Requests a slot for a load; true once it holds one. False also when the store does not respond. */
  async acquire (id: string, urgent: boolean): Promise<boolean> {
    const now = this.deps.clock.wallTimeMs()
    const page = await this.update((current) => isUpToDate(current, id, urgent, now) ? current : requestSlot(current, id, urgent, now))
    return page !== undefined && hasSlot(page, id)
  }

  /** Releases the slot of a load; when the store does not respond, the row expires. */
  async release (id: string): Promise<void> {
    await this.update((current) => current.rows.some((row) => row.id === id) ? freeSlot(current, id) : current)
  }

  /** Applies `change` and returns the stored page; `undefined` when it could not be stored. */
  private async update (change: (page: LoadPage) => LoadPage): Promise<LoadPage | undefined> {
    for (let attempt = 0; attempt < MAX_UPDATE_ATTEMPTS; attempt++) {
      const stored = await this.deps.store.get(this.key)
      if (stored.err) return undefined
      const page = stored.val === undefined ? { rows: [] } : LoadPage.parse(JSON.parse(stored.val.value))
      const updated = change(page)
      if (updated === page) return page
      const written = await this.deps.store.put(this.key, JSON.stringify(updated), stored.val?.version ?? 'absent')
      if (written.ok) return updated
      this.deps.metrics.countRetry(written.val.kind === 'conflict' ? 'store_conflict' : 'store_reply_lost')
      if (written.val.kind === 'unavailable') return undefined
    }
    return undefined
  }
}

type LoadRow = z.infer<typeof LoadRow>

function precedes (row: LoadRow, other: LoadRow): boolean {
  if (row.urgent !== other.urgent) return row.urgent
  return row.asked_at !== other.asked_at ? row.asked_at < other.asked_at : row.id < other.id
}

/** Whether a request for a slot would change nothing that matters, so that no write is needed. */
function isUpToDate (page: LoadPage, id: string, urgent: boolean, now: number): boolean {
  const row = page.rows.find((other) => other.id === id)
  if (row === undefined) return false
  if (row.started_at !== undefined) return true
  return row.urgent === urgent && now - row.seen_at < WAITING_REFRESH_MS && !hasSlot(requestSlot(page, id, urgent, now), id)
}
