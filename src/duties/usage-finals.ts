/** Final counts of closed windows, as this process knows them besides the store, which may return from an older copy. */
import type * as external from '../external/index.js'
import type * as log from '../log/index.js'
import * as validation from '../validation/index.js'
import * as z from 'zod'

/** Age at which the report of a window is abandoned and its final counts are deleted, in windows. */
export const ABANDON_AFTER_WINDOWS = 12

/** Windows for which final counts are retained in memory beyond those that may still be reported. */
const RETAINED_MARGIN_WINDOWS = 4

const Counts = validation.record(z.string(), z.int())
type Counts = z.infer<typeof Counts>

/** Final counts by window number. */
export const FinalCounts = validation.record(z.string(), z.object({ counts: Counts, reported: z.boolean() }))
export type FinalCounts = z.infer<typeof FinalCounts>

/** The stored object of final counts. */
export const StoredFinals = z.object({
  /** Era of the store in which the object was written: in a later one, the store may have lost windows that were closed. */
  era: z.int(),
  /** Last window that may have been closed and reported before a restore: without known final counts it is not closed again. */
  withheldTo: z.int(),
  windows: FinalCounts
})
export type StoredFinals = z.infer<typeof StoredFinals>

/** Final counts of a store that was never restored and in which no window was closed. */
export const NO_FINALS: StoredFinals = { era: 0, withheldTo: -1, windows: {} }

/** Stands for an object that cannot be used: windows that were due may have been closed in any era. */
export const LOST_FINALS: StoredFinals = { ...NO_FINALS, era: -1 }

/** Decodes stored final counts; throws when they are malformed. Objects of earlier builds hold the windows alone. */
export function decodeStoredFinals (text: string): StoredFinals {
  const value: unknown = JSON.parse(text)
  const windows = FinalCounts.safeParse(value)
  return windows.success ? { ...NO_FINALS, windows: windows.data } : StoredFinals.parse(value)
}

/** Last window that may have been closed before the restore with which an era began. */
export const RestoreBound = z.object({ era: z.int(), lastDue: z.int() })
export type RestoreBound = z.infer<typeof RestoreBound>

/** Dependencies of the known final counts. */
export interface KnownFinalsDeps {
  readonly eras: external.StoreEras
  readonly currentWindow: () => number
  /** Last window that is due to be closed. */
  readonly lastDueWindow: () => number
  readonly log: log.Logger
}

/** Final counts that were stored or reported; for each window the reported counts, else the first that became known. */
export class KnownFinals {
  private readonly finals = new Map<number, FinalCounts[string]>()
  private latestBound: RestoreBound | undefined

  constructor (private readonly deps: KnownFinalsDeps) {
    deps.eras.onRestored((era) => this.addBound({ era, lastDue: deps.lastDueWindow() }))
  }

  /** Bound of the latest restore that this process or one that it asked has noticed. */
  get restoreBound (): RestoreBound | undefined {
    return this.latestBound
  }

  /** Adds a bound that this or another process noticed: each holds, so the lowest one of an era does. */
  addBound (bound: RestoreBound): void {
    const { latestBound: latest } = this
    if (latest === undefined || bound.era > latest.era || (bound.era === latest.era && bound.lastDue < latest.lastDue)) this.latestBound = bound
  }

  /**
   * Adds final counts; of two of one window the reported ones stay, else those known first. Returns the windows whose known
   * counts differ.
   */
  add (finalCounts: FinalCounts): number[] {
    const current = this.deps.currentWindow()
    const differing: number[] = []
    for (const [key, { counts, reported }] of Object.entries(finalCounts)) {
      const window = Number(key)
      if (!Number.isInteger(window) || window > current) continue
      const known = this.finals.get(window)
      const differs = known !== undefined && !hasSameCounts(known.counts, counts)
      if (differs) differing.push(window)
      if (!differs || (reported && !known.reported)) this.finals.set(window, { counts, reported: reported || known?.reported === true })
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
