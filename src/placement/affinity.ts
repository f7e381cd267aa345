/** Affinity between prompt segments and engines: the same order of engines at all gateways. */
import type * as calls from '../call/index.js'
import type * as fleet from '../fleet/index.js'
import * as hash from '../hash/index.js'

/**
 * Id of the segment that determines the affinity target: the last one that other requests may share. Without a shared
 * segment it is the request's own segment, and without segments the id of the call.
 */
export function affinityKey (call: calls.Call): string {
  const segments = call.prompt?.segments ?? []
  return segments[segments.length - 2]?.id ?? segments[0]?.id ?? call.id
}

/**
 * Engines by weighted rendezvous hashing, the affinity target first. The weight is the prefill speed of the stage, so a
 * prefill-only engine is the affinity target of more segments than a mixed one.
 */
export function rankByAffinity (key: string, states: readonly fleet.TargetState[], weights: Readonly<Record<'prefill' | 'decode', number>>): fleet.TargetState[] {
  const keyHash = hash.hash32(key)
  return states
    .map((state) => ({ state, score: affinityScore(keyHash, state.record.id, weights[state.record.stage ?? 'decode']) }))
    .sort((a, b) => b.score - a.score)
    .map((entry) => entry.state)
}

// Weighted rendezvous hashing orders by `u ** (1 / weight)` for a uniform number u.
function affinityScore (keyHash: number, id: string, weight: number): number {
  const uniform = hash.hash32(id, keyHash) / 2 ** 32
  return weight === 1 ? uniform : uniform ** (1 / weight)
}
