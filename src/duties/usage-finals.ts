/** Final counts of closed windows, as this process knows them besides the store, which may return from an older copy. */
import type * as log from '../log/index.js'
import * as z from 'zod'

/** Age at which the report of a window is abandoned and its final counts are deleted, in windows. */
export const ABANDON_AFTER_WINDOWS = 12

/** Windows for which final counts are retained in memory beyond those that may still be reported. */
const RETAINED_MARGIN_WINDOWS = 4

const Counts = z.record(z.string(), z.int())
type Counts = z.infer<typeof Counts>

/** Final counts by window number. */
export const FinalCounts = z.record(z.string(), z.object({ counts: Counts, reported: z.boolean() }))
export type FinalCounts = z.infer<typeof FinalCounts>

/** Dependencies of the known final counts. */
export interface KnownFinalsDeps {
  readonly currentWindow: () => number
  readonly log: log.Logger
}

/** Final counts that were stored or reported; for each window the first counts that became known. */
export class KnownFinals {
  private readonly finals = new Map<number, FinalCounts[string]>()

  constructor (private readonly deps: KnownFinalsDeps) {}

  /** Adds final counts; for a window that is known already, only that it was reported. Returns the windows whose known counts differ. */
  add (finalCounts: FinalCounts): number[] {
    const current = this.deps.currentWindow()
    const differing: number[] = []
    for (const [key, { counts, reported }] of Object.entries(finalCounts)) {
      const window = Number(key)
      if (!Number.isInteger(window) || window > current) continue
      const known = this.finals.get(window)
      if (known !== undefined && !hasSameCounts(known.counts, counts)) differing.push(window)
      else this.finals.set(window, { counts, reported: reported || known?.reported === true })
    }
    if (differing.length > 0) this.deps.log.warn({ windows: differing }, 'usage_finals_differ')
    for (const window of this.finals.keys()) {
      if (window <= current - ABANDON_AFTER_WINDOWS - RETAINED_MARGIN_WINDOWS) this.finals.delete(window)
    }
    return differing
  }

  /** Known final counts of the windows after `window`. */
  after (window: number): FinalCounts {
    return Object.fromEntries([...this.finals].filter(([known]) => known > window).sort(([a], [b]) => a - b).map(([known, final]) => [known, { ...final }]))
  }
}

function hasSameCounts (a: Counts, b: Counts): boolean {
  const accounts = Object.keys(a)
  return accounts.length === Object.keys(b).length && accounts.every((account) => a[account] === b[account])
}
