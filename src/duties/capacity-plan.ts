/**
 * Plans the targets of a service by its need: it is met without the preemptible targets of any one failure domain, and the
 * mean load is carried without those of any two. Preemptible targets come first; standard ones make up for what is missing.
 */
import type * as serving from '../serving/index.js'
import * as orderPlan from './order-plan.js'
import type * as types from './types.js'

/**
 * Capacity for which preemptible targets are ordered, and below which no standard ones are released, as a multiple of the need:
 * after the crash of a few, no standard ones are ordered again.
 */
export const KEPT_MARGIN = 1.05

/** A plan for more domains is preferred while it costs at most this many times as much: it loses less at once. */
const SPREAD_COST_FACTOR = 1.03

/**
 * Whether a domain has the preemptible targets that were ordered, or will have them soon; `lost`: they were reclaimed, refused
 * or are overdue; `unavailable`: for so long that the other domains must cover a further loss.
 */
export type PreemptibleSupply = 'available' | 'lost' | 'unavailable'

/** Targets of a service in a failure domain; those that are being released are not counted. */
export interface PlannedDomain extends orderPlan.DomainTargets {
  /** Targets that still count towards the limit: standard ones that are listed, and all leaving ones. */
  readonly occupied: number
  readonly supply: PreemptibleSupply
}

/** Number of targets that a service needs. */
export interface NeededTargets {
  /** To meet objectives at the highest demand of the recent past. */
  readonly engines: number
  /** To meet objectives at the mean demand. */
  readonly steadyEngines: number
  /** To carry the mean demand. */
  readonly meanEngines: number
}

/** Input of a plan. */
export interface CapacityPlanInput {
  readonly service: string
  readonly limits: serving.OrderLimits
  readonly need: NeededTargets
  readonly domains: readonly PlannedDomain[]
}

/** Returns the desired number of targets of each kind in each failure domain. */
export function planCapacity (input: CapacityPlanInput): types.DesiredTargets[] {
  const { service, domains, limits } = input
  const standardPresent = domains.map((domain) => domain.standard)
  const planned = planPreemptible(input)
  // A standard target to be released counts towards the limit until it has left.
  const preemptible = planned.map((count, index) => Math.max(0, Math.min(count, limits.max - domains[index]!.occupied)))
  const standard = planStandard(input, preemptible, standardPresent)
  return domains.flatMap(({ domain }, index) => [
    { service, domain, count: standard[index]!, preemptible: false },
    { service, domain, count: Math.max(0, Math.min(preemptible[index]!, limits.max - standard[index]!)), preemptible: true }
  ])
}

/** Targets that remain when the preemptible ones of the `losses` domains with most of them are reclaimed. */
export function remainingAfter (losses: number, preemptible: readonly number[]): number {
  return sum([...preemptible].sort((a, b) => b - a).slice(losses))
}

// Where none come for long, the usual number is asked for again and again, and the other domains do without it.
function planPreemptible (input: CapacityPlanInput): number[] {
  const { domains } = input
  if (!orderPlan.preemptibleTargetsPay(input.limits)) return domains.map(() => 0)
  const usual = divide(input, orderPlan.indexesByPrice(input))
  const available = orderPlan.indexesByPrice(input).filter((index) => domains[index]!.supply !== 'unavailable')
  if (available.length === domains.length) return usual
  const reduced = divide(input, available)
  return usual.map((count, index) => available.includes(index) ? Math.max(count, reduced[index]!) : count)
}

// The number of cheapest domains among which the targets are divided is the one of lowest cost.
function divide (input: CapacityPlanInput, indexes: readonly number[]): number[] {
  const { limits, domains } = input
  const minimal = domains.map(() => limits.min)
  let best = minimal
  for (let count = 2; count <= indexes.length; count++) {
    for (const perDomain of sizesFor(count, input.need)) {
      const candidate = [...minimal]
      for (const index of indexes.slice(0, count)) candidate[index] = Math.min(limits.max, Math.max(limits.min, perDomain))
      if (costOf(candidate, input) <= costOf(best, input) * SPREAD_COST_FACTOR) best = candidate
    }
  }
  return best
}

// Without one of `count` equal domains the need is met; without two also the mean load, or else standard targets carry it.
function sizesFor (count: number, { engines, meanEngines }: NeededTargets): number[] {
  const forOneLoss = Math.ceil(engines * KEPT_MARGIN / (count - 1))
  return count < 3 ? [forOneLoss] : [forOneLoss, Math.max(forOneLoss, Math.ceil(meanEngines * KEPT_MARGIN / (count - 2)))]
}

function costOf (preemptible: readonly number[], input: CapacityPlanInput): number {
  const price = (index: number): number => orderPlan.priceOf(input, index)
  const cheapest = Math.min(...preemptible.map((_, index) => price(index)))
  const standard = missing(input.need, preemptible, 1, KEPT_MARGIN)
  return sum(preemptible.map((count, index) => count * price(index))) * input.limits.preemptiblePrice! + standard * cheapest
}

// Standard targets that are missing after `losses` domains, and one more for the mean load.
function missing ({ engines, meanEngines }: NeededTargets, preemptible: readonly number[], losses: number, margin = 1): number {
  return Math.max(0, Math.ceil(engines * margin) - remainingAfter(losses, preemptible), Math.ceil(meanEngines * margin) - remainingAfter(losses + 1, preemptible))
}

function planStandard (input: CapacityPlanInput, planned: readonly number[], present: readonly number[]): number[] {
  const { domains, limits, need } = input
  const standard = [...present]
  const listed = domains.map((domain, index) => Math.min(domain.preemptible, planned[index]!))
  const expected = domains.map((domain, index) => domain.supply === 'available' ? planned[index]! : listed[index]!)
  // A loss that has happened is the one that the need is met without.
  const isLost = domains.some((domain, index) => domain.supply === 'lost' && listed[index]! < planned[index]! / 2)
  // Peaks are left to preemptible targets: standard ones cost several times as much, and arrive when most peaks have passed.
  const standardNeed = orderPlan.preemptibleTargetsPay(limits) ? { ...need, engines: need.steadyEngines } : need
  orderPlan.addMissing(standard, missing(standardNeed, expected, isLost ? 0 : 1), { domains, limits })
  removeSurplus(standard, missing(standardNeed, listed, 1, KEPT_MARGIN), listed, input)
  return standard
}

// One at a time from the domain whose standard targets cost most together, so that the cheapest stay; each domain keeps its minimum.
function removeSurplus (standard: number[], kept: number, listed: readonly number[], input: CapacityPlanInput): void {
  const cost = (index: number): number => (standard[index]! + 1) * orderPlan.priceOf(input, index)
  for (let surplus = sum(standard) - kept; surplus > 0; surplus--) {
    const removable = standard.map((_, index) => index).filter((index) => standard[index]! > 0 && standard[index]! + listed[index]! > input.limits.min)
    const next = removable.sort((a, b) => cost(b) - cost(a))[0]
    if (next === undefined) return
    standard[next]!--
  }
}

function sum (values: readonly number[]): number {
  return values.reduce((total, value) => total + value, 0)
}
