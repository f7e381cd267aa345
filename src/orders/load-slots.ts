/** Shares the weight store's rate limit between the scopes of a region. */
import * as z from 'zod'
import type { Metrics } from '../metrics/index.js'
import type { ObjectStore } from '../external/index.js'
import type { Clock } from '../time/index.js'

/** Model loads that run at once in a region; more would exceed the weight store's rate limit. */
export const MAX_CONCURRENT_LOADS = 2

/** Time after which a running load counts as over, in ms; its holder is gone. */
const RUNNING_LOAD_TTL_MS = 900_000

/** Time after which a waiting load that was not asked for again is dropped, in ms. */
const WAITING_LOAD_TTL_MS = 60_000

/** Age of a waiting row from which it is written anew, in ms. */
const WAITING_REFRESH_MS = 20_000

/** Rows of a page; further loads wait outside it. */
const MAX_ROWS = 256

/** Attempts at a conditional update before the caller tries again in its next round. */
const MAX_UPDATE_ATTEMPTS = 3

const LoadRow = z.object({
  /** Id of the intent. */
  id: z.string(),
  /** Whether requests wait for it. */
  urgent: z.boolean(),
  /** Wall time of the first and of the latest request for a slot, in ms. */
  asked_at: z.number(),
  seen_at: z.number(),
  /** Wall time of the start, in ms; absent while it waits. */
  started_at: z.number().optional()
})

/** Loads that run or wait in a region. */
export const LoadPage = z.object({ rows: z.array(LoadRow) })
export type LoadPage = z.infer<typeof LoadPage>

/** Asks for a slot: urgent loads go first, then those that have waited longest. */
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

/** Frees the slot of a load. */
export function freeSlot (page: LoadPage, id: string): LoadPage {
  return { rows: page.rows.filter((row) => row.id !== id) }
}

/** Whether a load has a slot. */
export function hasSlot (page: LoadPage, id: string): boolean {
  return page.rows.some((row) => row.id === id && row.started_at !== undefined)
}

/** What the slots use. */
export interface LoadSlotsDeps {
  readonly clock: Clock
  readonly store: ObjectStore
  readonly metrics: Metrics
}

/** The slots of one region, kept in one object of the store. */
export class LoadSlots {
  private readonly key: string

  constructor (private readonly deps: LoadSlotsDeps, region: string) {
    this.key = `loads/${region}`
  }

  /** True once the load may run. */
  async acquire (id: string, urgent: boolean): Promise<boolean> {
    const now = this.deps.clock.wallTimeMs()
    const page = await this.update((current) => isUpToDate(current, id, urgent, now) ? current : requestSlot(current, id, urgent, now))
    return page !== undefined && hasSlot(page, id)
  }

  /** Gives the slot back; when the store does not answer, the row expires. */
  async release (id: string): Promise<void> {
    await this.update((current) => current.rows.some((row) => row.id === id) ? freeSlot(current, id) : current)
  }

  /** The page after `change`; `undefined` when it could not be stored. */
  private async update (change: (page: LoadPage) => LoadPage): Promise<LoadPage | undefined> {
    for (let attempt = 0; attempt < MAX_UPDATE_ATTEMPTS; attempt++) {
      const read = await this.deps.store.get(this.key)
      if (read.err) return undefined
      const page = read.val === undefined ? { rows: [] } : LoadPage.parse(JSON.parse(read.val.value))
      const next = change(page)
      if (next === page) return page
      const put = await this.deps.store.put(this.key, JSON.stringify(next), read.val?.version ?? 'absent')
      if (put.ok) return next
      this.deps.metrics.countRetry(put.val.kind === 'conflict' ? 'store_conflict' : 'store_reply_lost')
      if (put.val.kind === 'unavailable') return undefined
    }
    return undefined
  }
}

type LoadRow = z.infer<typeof LoadRow>

function precedes (row: LoadRow, other: LoadRow): boolean {
  if (row.urgent !== other.urgent) return row.urgent
  return row.asked_at !== other.asked_at ? row.asked_at < other.asked_at : row.id < other.id
}

/** Whether asking would change nothing that matters, so that no write is needed. */
function isUpToDate (page: LoadPage, id: string, urgent: boolean, now: number): boolean {
  const row = page.rows.find((other) => other.id === id)
  if (row === undefined) return false
  if (row.started_at !== undefined) return true
  return row.urgent === urgent && now - row.seen_at < WAITING_REFRESH_MS && !hasSlot(requestSlot(page, id, urgent, now), id)
}
