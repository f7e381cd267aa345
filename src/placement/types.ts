/** Where a call goes. */
import type * as fleet from '../fleet/index.js'
import type * as calls from '../call/index.js'

/** A choice: the target that runs the call and, if another one reads its prompt first, that one. */
export interface Placement {
  readonly target: fleet.TargetState
  readonly prefillTarget?: fleet.TargetState | undefined
  /** Rank under which the call is sent. */
  readonly priority: number
  /** Expected time to the first event, in ms. */
  readonly expectedMs: number
}

/** Chooses targets. */
export interface Placer {
  /** The best target that is not in `tried`; undefined when there is none. */
  place (call: calls.Call, tried: ReadonlySet<string>): Placement | undefined
}
