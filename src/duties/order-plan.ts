/**
 * Plans how many targets of each price class a service has in each failure domain. Standard targets that the service was
 * sized for stay: replacing them costs seconds of capacity and loses their KV caches. Preemptible targets come on top, the
 * same number in each failure domain, since a reclaim takes all of one domain. Standard targets are ordered only while the
 * size is not met.
 */
import type * as serving from '../serving/index.js'
import type * as types from './types.js'

/** Highest price of a preemptible target, as a share of the standard price, at which preemptible targets are ordered. */
const MAX_PREEMPTIBLE_PRICE_SHARE = 0.6

/** Preemptible targets in each failure domain beyond those that the size requires. */
const SPARE_TARGETS_PER_DOMAIN = 1

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
  /** Number of targets that the service was sized for. */
  readonly size: number
  readonly domains: readonly DomainTargets[]
}

/** Returns the desired number of targets of each kind in each failure domain; empty when preemptible targets do not pay. */
export function planOrders (input: OrderPlanInput): types.DesiredTargets[] {
  const { limits, domains, size, service } = input
  if (limits.preemptiblePrice === undefined || limits.preemptiblePrice > MAX_PREEMPTIBLE_PRICE_SHARE) return []
  const perDomain = Math.ceil(size / Math.max(1, domains.length))
  const standard = domains.map((counts) => Math.min(counts.standard, perDomain))
  addMissingStandard(standard, size - domains.reduce((sum, counts) => sum + counts.preemptible, 0), input)
  const preemptible = preemptiblePerDomain(size, domains.length)
  return domains.flatMap(({ domain }, index) => [
    { service, domain, count: standard[index]!, preemptible: false },
    { service, domain, count: Math.min(preemptible, limits.max - standard[index]!), preemptible: true }
  ])
}

// With one domain lost, the others still provide the size; the spare in each absorbs swings of the prompt-to-output mix.
function preemptiblePerDomain (size: number, domainCount: number): number {
  return Math.ceil(size / Math.max(1, domainCount - 1)) + SPARE_TARGETS_PER_DOMAIN
}

// Standard targets make up the part of the size that preemptible ones do not cover, in the cheapest domains first.
function addMissingStandard (standard: number[], needed: number, input: OrderPlanInput): void {
  const { domains, limits } = input
  const price = (index: number): number => limits.domainPrices.get(domains[index]!.domain) ?? 1
  const indexesByPrice = domains.map((_, index) => index).sort((a, b) => price(a) - price(b))
  const room = (index: number): number => limits.max - domains[index]!.preemptible - standard[index]!
  let remaining = needed - standard.reduce((sum, count) => sum + count, 0)
  while (remaining > 0 && indexesByPrice.some((index) => room(index) > 0)) {
    for (const index of indexesByPrice) {
      if (remaining <= 0 || room(index) <= 0) continue
      standard[index]!++
      remaining--
    }
  }
}
