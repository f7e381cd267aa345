/**
 * How many targets of which price there are to be. Standard targets that the service was sized for stay: to replace them
 * takes seconds of capacity and loses what they keep in memory. Preemptible ones come on top, as many in each failure
 * domain, since a reclaim takes all of one domain; standard ones are ordered only while the size is not met.
 */
import type * as serving from '../serving/index.js'
import type * as types from './types.js'

/** Preemptible targets are ordered up to this share of the standard price. */
const WORTHWHILE_PRICE = 0.6

/** Preemptible targets in each failure domain beyond what the size asks for. */
const SPARE_EACH = 1

/** Targets of a service in a failure domain that take work. */
export interface DomainTargets {
  readonly domain: string
  readonly standard: number
  readonly preemptible: number
}

/** What a plan is made from. */
export interface OrderPlanInput {
  readonly service: string
  readonly limits: serving.OrderLimits
  /** Targets that the service was sized for. */
  readonly size: number
  readonly domains: readonly DomainTargets[]
}

/** The wanted number of targets of each kind in each failure domain. */
export function planOrders (state: OrderPlanInput): types.DesiredTargets[] {
  const { limits, domains, size, service } = state
  if (limits.preemptiblePrice === undefined || limits.preemptiblePrice > WORTHWHILE_PRICE) return []
  const share = Math.ceil(size / Math.max(1, domains.length))
  const standard = domains.map((one) => Math.min(one.standard, share))
  addMissing(standard, size - domains.reduce((sum, one) => sum + one.preemptible, 0), state)
  const each = preemptibleEach(size, domains.length)
  return domains.flatMap(({ domain }, index) => [
    { service, domain, count: standard[index]!, preemptible: false },
    { service, domain, count: Math.min(each, limits.max - standard[index]!), preemptible: true }
  ])
}

// With one domain lost, the others still hold the size; one more in each carries what the mix swings by.
function preemptibleEach (size: number, domains: number): number {
  return Math.ceil(size / Math.max(1, domains - 1)) + SPARE_EACH
}

// Standard targets fill what preemptible ones leave of the size, where they cost least.
function addMissing (standard: number[], needed: number, state: OrderPlanInput): void {
  const { domains, limits } = state
  const price = (index: number): number => limits.domainPrices.get(domains[index]!.domain) ?? 1
  const byPrice = domains.map((_, index) => index).sort((a, b) => price(a) - price(b))
  const room = (index: number): number => limits.max - domains[index]!.preemptible - standard[index]!
  let left = needed - standard.reduce((sum, count) => sum + count, 0)
  while (left > 0 && byPrice.some((index) => room(index) > 0)) {
    for (const index of byPrice) {
      if (left <= 0 || room(index) <= 0) continue
      standard[index]!++
      left--
    }
  }
}
