/** How often calls use a shared segment, and how many engines should have it cached. */
import type * as fleet from '../fleet/index.js'
import type * as segmentSource from './segment-source.js'

/** Time after which a use counts half, in ms. */
const HALF_LIFE_MS = 2_000

/** Segments that are counted; the least recently used one is forgotten first. */
const MAX_SEGMENTS = 2_000

/** Uses of a segment, decayed, from which on it counts as hot: a single one tells nothing about its rate. */
const MIN_HOT_USES = 2

/** Copies of a hot segment, at most. */
const MAX_COPIES = 6

/** Share of its time that an engine may spend on the calls of one segment before it needs a further copy. */
const HOLDER_SHARE = 0.3

/** Holders count as busy when each has this much to prefill first, in ms. */
const BUSY_BACKLOG_MS = 30

interface SegmentUse {
  readonly uses: number
  readonly at: number
}

/** Copies of a segment against the need for them. */
export interface CopyNeed {
  /** Whether a further copy is needed now. */
  readonly isNeeded: boolean
  /** Whether there are already as many as needed, or more. */
  readonly isSurplus: boolean
}

/** What determines the need for copies. */
export interface CopyDemand {
  /** Time of one call's own part at an engine that has the segment, in ms. */
  readonly callMs: number
  readonly holders: readonly segmentSource.SegmentSource[]
  /** Gateways that are assumed to use the segment as often as this one. */
  readonly gateways: number
  readonly now: number
}

/** Uses of segments by the calls of this gateway. */
export class SegmentDemand {
  private readonly segments = new Map<string, SegmentUse>()

  /** Notes that a call uses the segment at `now` (ms, monotonic). */
  note (id: string, now: number): void {
    const uses = this.usesOf(id, now) + 1
    this.segments.delete(id)
    this.segments.set(id, { uses, at: now })
    if (this.segments.size > MAX_SEGMENTS) this.segments.delete(this.segments.keys().next().value!)
  }

  /** Whether engines that have the segment are too few for the calls that use it. */
  copyNeed (id: string, { callMs, holders, gateways, now }: CopyDemand): CopyNeed {
    const uses = this.usesOf(id, now)
    const callsPerMs = uses < MIN_HOT_USES ? 0 : uses * Math.LN2 / HALF_LIFE_MS * gateways
    const wanted = Math.min(MAX_COPIES, Math.max(1, Math.ceil(callsPerMs * callMs / HOLDER_SHARE)))
    const isNeeded = holders.length > 0 && holders.length < wanted && holders.every(({ state }) => isBusy(state, now))
    return { isNeeded, isSurplus: holders.length >= wanted }
  }

  private usesOf (id: string, now: number): number {
    const use = this.segments.get(id)
    return use === undefined ? 0 : use.uses * 0.5 ** ((now - use.at) / HALF_LIFE_MS)
  }
}

function isBusy (state: fleet.TargetState, now: number): boolean {
  return state.prefillTokensAhead() / state.prefillTokensPerMs(now) >= BUSY_BACKLOG_MS
}
