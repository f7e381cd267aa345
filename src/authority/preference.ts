/** Distributes scopes over entries by rendezvous hashing. */
import { hash32 } from '../hash/index.js'

/** Rank of `self` among the candidates for a scope by rendezvous hashing; 0 is the most preferred. */
export function preferenceRank (scope: string, self: string, candidates: readonly string[]): number {
  const ownWeight = hashWeight(scope, self)
  return candidates.filter((other) => other !== self && precedes(hashWeight(scope, other), other, ownWeight, self)).length
}

/** A process that may hold the leases of scopes. */
export interface Candidate {
  readonly name: string
  readonly region: string
}

/**
 * Like {@link preferenceRank}, but candidates in the scope's region, the first part of its name, rank before all
 * others.
 */
export function regionalRank (scope: string, self: Candidate, candidates: readonly Candidate[]): number {
  const region = scope.slice(0, scope.indexOf('/'))
  const sameRegion = candidates.filter((other) => other.region === region).map((other) => other.name)
  if (self.region === region) return preferenceRank(scope, self.name, sameRegion)
  const otherRegions = candidates.filter((other) => other.region !== region).map((other) => other.name)
  return sameRegion.length + preferenceRank(scope, self.name, otherRegions)
}

function hashWeight (scope: string, node: string): number {
  return hash32(`${scope}\u0000${node}`)
}

function precedes (weightA: number, nodeA: string, weightB: number, nodeB: string): boolean {
  return weightA > weightB || (weightA === weightB && nodeA < nodeB)
}
