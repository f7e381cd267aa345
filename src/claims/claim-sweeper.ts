/** Deletes pages of claims whose keys have expired. */
import type { ObjectStore } from '../external/index.js'
import { ClaimPage as PageSchema } from '../schema/index.js'
import type { Env } from '../time/index.js'
import { pageKey, RETENTION_MS, SHARDS_PER_MINUTE } from './claim-key.js'
import { responseKey } from './page-claims.js'

/**
 * Time for which pages are kept beyond the retention, for clock differences and for long calls accepted at the last
 * moment, in ms.
 */
const SWEEP_MARGIN_MS = 15 * 60_000

const MINUTE_MS = 60_000

/** Minutes swept in one step, so that a long backlog does not use up the store's rate limit. */
const MINUTES_PER_STEP = 2

/** Key of the object that holds the last swept minute. */
const CURSOR_KEY = 'claims-swept'

/** Sweeps minute by minute; the position is in the store, so that any entry can continue. */
export class ClaimSweeper {
  constructor (private readonly env: Env, private readonly store: ObjectStore, private readonly shards = SHARDS_PER_MINUTE) {}

  /** Deletes a bounded number of expired pages; resolves with the number deleted. */
  async step (): Promise<number> {
    const lastMinute = Math.floor((this.env.clock.wallTimeMs() - RETENTION_MS - SWEEP_MARGIN_MS) / MINUTE_MS) - 1
    const cursor = await this.store.get(CURSOR_KEY)
    if (cursor.err) return 0
    const fromMinute = cursor.val === undefined ? lastMinute - 1 : Number(cursor.val.value)
    let deleted = 0
    let minute = fromMinute
    while (minute < Math.min(lastMinute, fromMinute + MINUTES_PER_STEP)) {
      const deletedPages = await this.sweepMinute(minute + 1)
      if (deletedPages === undefined) break
      deleted += deletedPages
      minute++
    }
    if (minute > fromMinute) await this.store.put(CURSOR_KEY, String(minute), cursor.val?.version ?? 'absent')
    return deleted
  }

  /** Resolves with the number of pages deleted, or with `undefined` when one could not be deleted. */
  private async sweepMinute (minute: number): Promise<number | undefined> {
    let deleted = 0
    for (let shard = 0; shard < this.shards; shard++) {
      const key = pageKey(minute, shard)
      const page = await this.store.get(key)
      if (page.err) return undefined
      if (page.val === undefined) continue
      await this.deleteResponses(key, page.val.value)
      const deletion = await this.store.delete(key, page.val.version)
      if (deletion.err && !(deletion.val.kind === 'conflict' && deletion.val.current === undefined)) return undefined
      deleted++
    }
    return deleted
  }

  private async deleteResponses (page: string, value: string): Promise<void> {
    for (const row of PageSchema.parse(JSON.parse(value)).rows.filter((other) => other.kept === 'object')) {
      const key = responseKey(page, row.nonce)
      const response = await this.store.get(key)
      if (response.ok && response.val !== undefined) await this.store.delete(key, response.val.version)
    }
  }
}
