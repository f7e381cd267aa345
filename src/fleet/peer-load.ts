/** Load that other gateways put on targets, as the exchange between gateways tells it. */
import * as exchange from '../exchange/index.js'

/** Load on one target: the target's id, calls in flight, prompt tokens still to be prefilled, and tokens that its calls hold and no other call; 0 is left out. */
export type LoadRow = exchange.SumRow

/** Dependencies of a {@link PeerLoad}: `ownRows` is the load of this gateway. */
export type PeerLoadDeps = exchange.PeerSumsDeps

/** Places of the figures in a row. */
const RUNNING = 0
const PREFILL_TOKENS = 1
const HELD_TOKENS = 2

/** Sums the load of all gateways. */
export class PeerLoad extends exchange.PeerSums {
  constructor (deps: PeerLoadDeps) {
    super('load', deps)
  }

  /** Calls of other gateways in flight at a target. */
  running (target: string): number {
    return this.other(target, RUNNING)
  }

  /** Prompt tokens of other gateways' calls that a target has still to prefill. */
  pendingPrefillTokens (target: string): number {
    return this.other(target, PREFILL_TOKENS)
  }

  /** Tokens of KV cache that other gateways' calls hold at a target, without shared segments: gateways may hold the same ones. */
  heldTokens (target: string): number {
    return this.other(target, HELD_TOKENS)
  }
}
