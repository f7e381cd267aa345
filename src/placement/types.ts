/** Types of placement. */
import type * as fleet from '../fleet/index.js'
import type * as calls from '../call/index.js'
import type * as explanation from './explanation.js'

/**
 * Where the shared beginning of a prompt comes from: the engine has it, it fetches it, or it prefills it. `none`: the prompt has
 * no such part.
 */
export type PrefixWay = 'held' | 'fetched' | 'prefilled' | 'none'

/** How a placement deals with the shared beginning of a prompt. */
export interface PrefixChoice {
  readonly way: PrefixWay
  /** Tokens that the engine is expected to prefill. */
  readonly prefillTokens: number
  /** Expected time of that, in ms; the mean over the segment being there when the call starts, or not. */
  readonly prefillMs: number
  /** From where the engine fetches segments; undefined for no fetch. */
  readonly fetchFrom: fleet.TargetState | undefined
  /** Expected time of the fetch, in ms, and its tokens. */
  readonly fetchMs: number
  readonly fetchedTokens: number
  /** Shared tokens that the engine prefills although another one has them cached. */
  readonly againTokens: number
  /** Cost of the segments that a further copy displaces, in ms. */
  readonly displacementMs: number
  /** Whether the fetch makes a copy ahead of need. */
  readonly copiesAhead: boolean
}

/** Where a call is sent: the target that executes it and, when another one prefills its prompt first, that target. */
export interface Placement {
  readonly target: fleet.TargetState
  /** Prefills the prompt before a KV transfer to `target`; absent when `target` prefills it itself. */
  readonly prefillTarget?: fleet.TargetState | undefined
  /** From where the engine that prefills first fetches segments that it has not cached; absent for none. */
  readonly fetchFrom?: fleet.TargetState | undefined
  /** How the shared beginning of the prompt is dealt with; absent for plain calls. */
  readonly prefix?: PrefixChoice | undefined
  /** Tokens that the engine is expected to prefill; absent for plain calls. */
  readonly prefillTokens?: number | undefined
  /** Priority under which the call is sent: its own, or a deferred one. */
  readonly priority: number
  /** Expected time to the first event, in ms. */
  readonly expectedMs: number
}

/** Chooses targets. */
export interface Placer {
  /** The cheapest usable target whose id is not in `tried`; undefined when there is none. */
  place (call: calls.Call, tried: ReadonlySet<string>): Placement | undefined
  /** Where a call would be placed now and why; changes nothing. */
  explain (call: calls.Call): explanation.Explanation
}
