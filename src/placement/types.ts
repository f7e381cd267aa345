/** Types of placement. */
import type * as fleet from '../fleet/index.js'
import type * as calls from '../call/index.js'

/** Where a call is sent: the target that executes it and, when another one prefills its prompt first, that target. */
export interface Placement {
  readonly target: fleet.TargetState
  /** Prefills the prompt before a KV transfer to `target`; absent when `target` prefills it itself. */
  readonly prefillTarget?: fleet.TargetState | undefined
  /** From where the engine that prefills first fetches segments that it has not cached; absent for none. */
  readonly fetchFrom?: fleet.TargetState | undefined
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
}
