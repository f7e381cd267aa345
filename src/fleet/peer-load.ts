/** Load that other gateways put on targets, as the exchange between gateways tells it. */
import * as exchange from '../exchange/index.js'

/** Load on one target: the target's id, calls in flight, and prompt tokens still to be prefilled. */
export type LoadRow = exchange.SumRow

/** Dependencies of a {@link PeerLoad}: `ownRows` is the load of this gateway. */
export type PeerLoadDeps = exchange.PeerSumsDeps

/** Sums the load of all gateways. */
export class PeerLoad extends exchange.PeerSums {
  constructor (deps: PeerLoadDeps) {
    super('load', deps)
  }

  /** Calls of other gateways in flight at a target. */
  running (target: string): number {
    return this.others(target).first
  }

  /** Prompt tokens of other gateways' calls that a target has still to prefill. */
  pendingPrefillTokens (target: string): number {
    return this.others(target).second
  }
}
