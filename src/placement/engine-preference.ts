/**
 * Preference of a gateway for some engines. Gateways learn of each other's calls some 100 ms late, and those that decide on the same
 * loads would all choose the engine that was least loaded then. Each prefers other engines, so that their choices differ,
 * and most of what is sent to an engine comes from gateways that know of it at once.
 */
import type * as fleet from '../fleet/index.js'
import type * as time from '../time/index.js'

/** Largest cost by preference, as a multiple of the mean prefill work of other gateways at an engine: the busier they are, the more they collide. */
const LARGEST_COST_SHARE = 8

/**
 * Largest cost by preference, in ms: loads are at most about this old. Under overload a larger one would keep a gateway at engines
 * with long backlogs while others are idle.
 */
const LARGEST_COST_MS = 300

/** Preferences of one gateway. */
export class EnginePreference {
  /** 0 for an engine that is preferred most, up to 1. */
  private readonly shares = new WeakMap<fleet.TargetState, number>()

  constructor (private readonly random: time.Random) {}

  /** Cost of an engine by preference, as a share of the largest one. */
  costShare (state: fleet.TargetState): number {
    let share = this.shares.get(state)
    if (share === undefined) {
      share = this.random.next()
      this.shares.set(state, share)
    }
    return share
  }
}

/** Largest cost of an engine by preference, in ms; 0 while no other gateway has work. */
export function largestCostMs (states: readonly fleet.TargetState[], now: number): number {
  const [first] = states
  if (first === undefined) return 0
  let peerTokens = 0
  for (const state of states) peerTokens += state.peerPrefillTokens()
  return Math.min(LARGEST_COST_MS, LARGEST_COST_SHARE * peerTokens / states.length / first.prefillTokensPerMs(now))
}
