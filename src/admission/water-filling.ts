/** Weighted max-min division of a service's slots between entries (water filling). */

/** Claim of one entry. */
export interface SlotClaim {
  readonly entry: string
  /** Weight of the entry's accounts with demand, corrected by feedback. */
  readonly weight: number
  /** Requests that the entry could run concurrently. */
  readonly demand: number
}

/** Result of a division. */
export interface SlotDivision {
  /** Slots by entry, for each entry with a claim. */
  readonly slots: ReadonlyMap<string, number>
  /** Slots per unit of weight; `Infinity` when all demand is met. */
  readonly slotsPerWeight: number
}

/**
 * Raises the slots of all entries in proportion to weight until each demand is met or no slots are left. Slots that no
 * entry demands are divided evenly, so that a new request finds a free slot at once. An entry with demand gets at least
 * one slot, which may exceed the total.
 */
export function divideSlots (claims: readonly SlotClaim[], totalSlots: number): SlotDivision {
  const slotsPerWeight = computeSlotsPerWeight(claims, totalSlots)
  const totalDemand = claims.reduce((sum, claim) => sum + claim.demand, 0)
  const spareSlots = slotsPerWeight === Infinity ? (totalSlots - totalDemand) / Math.max(1, claims.length) : 0
  const shares = claims.map((claim) => ({ claim, share: (slotsPerWeight === Infinity ? claim.demand : Math.min(claim.demand, slotsPerWeight * claim.weight)) + spareSlots }))
  return { slots: roundShares(shares, totalSlots), slotsPerWeight }
}

interface FractionalShare {
  readonly claim: SlotClaim
  readonly share: number
}

function computeSlotsPerWeight (claims: readonly SlotClaim[], totalSlots: number): number {
  const bySaturation = claims.filter((claim) => claim.demand > 0 && claim.weight > 0)
    .sort((a, b) => a.demand / a.weight - b.demand / b.weight)
  let remainingSlots = totalSlots
  let remainingWeight = bySaturation.reduce((sum, claim) => sum + claim.weight, 0)
  for (const claim of bySaturation) {
    if (remainingSlots * claim.weight < claim.demand * remainingWeight) return Math.max(0, remainingSlots) / remainingWeight
    remainingSlots -= claim.demand
    remainingWeight -= claim.weight
  }
  return Infinity
}

// Rounds by largest remainder; ties are resolved by entry name, so that each computation gives the same result.
function roundShares (shares: readonly FractionalShare[], totalSlots: number): Map<string, number> {
  const slots = new Map(shares.map(({ claim, share }) => [claim.entry, Math.floor(share)]))
  let remainingSlots = Math.min(totalSlots, Math.round(shares.reduce((sum, item) => sum + item.share, 0)))
  for (const count of slots.values()) remainingSlots -= count
  const byRemainder = [...shares].sort((a, b) => b.share % 1 - a.share % 1 || (a.claim.entry < b.claim.entry ? -1 : 1))
  for (const { claim } of byRemainder.slice(0, Math.max(0, remainingSlots))) slots.set(claim.entry, (slots.get(claim.entry) ?? 0) + 1)
  for (const { claim } of shares) {
    if (claim.demand > 0 && slots.get(claim.entry) === 0) slots.set(claim.entry, 1)
  }
  return slots
}
