/**
 * Plans how many targets of each price class a service has in each failure domain. A reclaim takes all preemptible
 * targets of one domain, so what the service needs must be there without those of any one domain. Standard targets make up
 * for what the preemptible ones do not guarantee; beyond that they are released, as they cost several times as much.
 */
import type * as serving from '../serving/index.js'
import type * as types from './types.js'

/** Highest price of a preemptible target, as a share of the standard price, at which preemptible targets are ordered. */
const MAX_PREEMPTIBLE_PRICE_SHARE = 0.6

/**
 * Capacity that preemptible targets are ordered for, and above which standard targets are released, as a multiple of the
 * size. Swings of the mix need more than the mean load does.
 */
const CAPACITY_MARGIN = 1.5

/** Number of targets of a service in a failure domain that accept work. */
export interface DomainTargets {
  readonly domain: string
  readonly standard: number
  readonly preemptible: number
}

/** Input of a plan. */
export interface OrderPlanInput {
  readonly service: string
  readonly limits: serving.OrderLimits
  /** Number of targets that the service needs. */
  readonly size: number
  readonly domains: readonly DomainTargets[]
}

/** Limits, and the targets in each failure domain. */
export type DomainPrices = Pick<OrderPlanInput, 'limits' | 'domains'>

/** Whether preemptible targets are offered, and cheap enough to be ordered. */
export function preemptibleTargetsPay ({ preemptiblePrice }: serving.OrderLimits): boolean {
  return preemptiblePrice !== undefined && preemptiblePrice <= MAX_PREEMPTIBLE_PRICE_SHARE
}

/** Returns the desired number of targets of each kind in each failure domain; empty when preemptible targets do not pay. */
export function planOrders (input: OrderPlanInput): types.DesiredTargets[] {
  const { limits, domains, service } = input
  if (!preemptibleTargetsPay(limits)) return []
  const standard = planStandard(input)
  // With one domain lost, the others still provide the capacity.
  const preemptible = Math.ceil(input.size * CAPACITY_MARGIN / Math.max(1, domains.length - 1))
  return domains.flatMap((present, index) => [
    { service, domain: present.domain, count: standard[index]!, preemptible: false },
    // A standard target to be released counts towards the limit until it has left.
    { service, domain: present.domain, count: Math.max(0, Math.min(preemptible, limits.max - Math.max(standard[index]!, present.standard))), preemptible: true }
  ])
}

function planStandard (input: OrderPlanInput): number[] {
  const { size, domains } = input
  const preemptible = domains.map((counts) => counts.preemptible)
  const guaranteed = sum(preemptible) - Math.max(0, ...preemptible)
  const standard = domains.map((counts) => counts.standard)
  addMissing(standard, size - guaranteed, input)
  removeSurplus(standard, Math.max(0, Math.ceil(size * CAPACITY_MARGIN) - guaranteed), input)
  return standard
}

/** Indexes of the domains, the cheapest first. */
export function indexesByPrice (input: DomainPrices): number[] {
  return input.domains.map((_, index) => index).sort((a, b) => priceOf(input, a) - priceOf(input, b))
}

/** Adds standard targets up to the number needed, in the cheapest domains first, one in each at a time. */
export function addMissing (standard: number[], needed: number, input: DomainPrices): void {
  const { domains, limits } = input
  const indexes = indexesByPrice(input)
  const room = (index: number): number => limits.max - domains[index]!.preemptible - standard[index]!
  let missing = needed - sum(standard)
  while (missing > 0 && indexes.some((index) => room(index) > 0)) {
    for (const index of indexes) {
      if (missing <= 0 || room(index) <= 0) continue
      standard[index]!++
      missing--
    }
  }
}

// From the domain that has most targets, of several the most expensive one; each domain keeps its minimum.
function removeSurplus (standard: number[], needed: number, input: OrderPlanInput): void {
  const { domains, limits } = input
  const total = (index: number): number => standard[index]! + domains[index]!.preemptible
  for (let surplus = sum(standard) - needed; surplus > 0; surplus--) {
    const removable = domains.map((_, index) => index).filter((index) => standard[index]! > 0 && total(index) > limits.min)
    const largest = removable.sort((a, b) => total(b) - total(a) || priceOf(input, b) - priceOf(input, a))[0]
    if (largest === undefined) return
    standard[largest]!--
  }
}

/** Price of a target in a domain. */
export function priceOf ({ domains, limits }: DomainPrices, index: number): number {
  return limits.domainPrices.get(domains[index]!.domain) ?? 1
}

function sum (values: readonly number[]): number {
  return values.reduce((total, value) => total + value, 0)
}
