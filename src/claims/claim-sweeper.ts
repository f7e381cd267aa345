/** Deletes pages of claims whose keys can no longer be accepted. */
import type { ObjectStore } from '../external/index.js'
import { ClaimPage as PageSchema } from '../schema/index.js'
import type { Env } from '../time/index.js'
import { pageKey, RETENTION_MS, SHARDS } from './claim-key.js'
import { answerKey } from './page-claims.js'

/** Kept beyond the retention for clocks that differ and for calls that were accepted last and run long, in ms. */
const MARGIN_MS = 15 * 60_000

const MINUTE_MS = 60_000

/** Minutes swept in one step, so that a long backlog does not take the store's whole rate. */
const MINUTES_PER_STEP = 2

/** Object that holds the last minute that was swept. */
const CURSOR_KEY = 'claims-swept'

/** Sweeps one minute after the other; the position is in the store, so any entry can go on. */
export class ClaimSweeper {
  constructor (private readonly env: Env, private readonly store: ObjectStore, private readonly shards = SHARDS) {}

  /** Deletes what is due, up to a bounded amount; returns the number of pages deleted. */
  async step (): Promise<number> {
    const last = Math.floor((this.env.clock.wallTimeMs() - RETENTION_MS - MARGIN_MS) / MINUTE_MS) - 1
    const cursor = await this.store.get(CURSOR_KEY)
    if (cursor.err) return 0
    const from = cursor.val === undefined ? last - 1 : Number(cursor.val.value)
    let deleted = 0
    let minute = from
    while (minute < Math.min(last, from + MINUTES_PER_STEP)) {
      const count = await this.sweepMinute(minute + 1)
      if (count === undefined) break
      deleted += count
      minute++
    }
    if (minute > from) await this.store.put(CURSOR_KEY, String(minute), cursor.val?.version ?? 'absent')
    return deleted
  }

  /** `undefined` when a page could not be deleted. */
  private async sweepMinute (minute: number): Promise<number | undefined> {
    let deleted = 0
    for (let shard = 0; shard < this.shards; shard++) {
      const key = pageKey(minute, shard)
      const page = await this.store.get(key)
      if (page.err) return undefined
      if (page.val === undefined) continue
      await this.deleteAnswers(key, page.val.value)
      const gone = await this.store.delete(key, page.val.version)
      if (gone.err && !(gone.val.kind === 'conflict' && gone.val.current === undefined)) return undefined
      deleted++
    }
    return deleted
  }

  private async deleteAnswers (page: string, value: string): Promise<void> {
    for (const row of PageSchema.parse(JSON.parse(value)).rows.filter((item) => item.kept === 'object')) {
      const key = answerKey(page, row.nonce)
      const answer = await this.store.get(key)
      if (answer.ok && answer.val !== undefined) await this.store.delete(key, answer.val.version)
    }
  }
}
