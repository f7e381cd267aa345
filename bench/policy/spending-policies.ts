/** The compared policies for the number and price class of targets. */
import type { PriceClass } from '../../src/schema/index.js'
import {
  noteOutOfStock, observeDemand, planSpending, INITIAL_SPENDING_STATE, initialDemand, type SpendingLimits, type SpendingTarget
} from '../../src/spending/index.js'
import { PRICES, type SpendingActions, type SpendingPolicy, type SpendingSpec } from './spending-run.js'

/** A fixed number of standard targets. */
export class FixedTargets implements SpendingPolicy {
  readonly name = 'fixed'
  readonly movesWork = false

  start (spec: SpendingSpec): PriceClass[] {
    return Array.from({ length: spec.targets }, () => 'standard')
  }

  decide (): SpendingActions {
    return { orders: [], releases: [] }
  }

  outOfStock (): void {}
}

/** Follows the current load with the cheapest targets, without history. */
export class ThresholdTargets implements SpendingPolicy {
  readonly name = 'threshold'
  readonly movesWork = false
  private outOfStockDomains = new Set<string>()

  start (spec: SpendingSpec): PriceClass[] {
    return Array.from({ length: spec.targets }, () => 'preemptible')
  }

  decide (_now: number, busyTargets: number, targets: readonly SpendingTarget[], spec: SpendingSpec): SpendingActions {
    const desired = Math.min(spec.maxTargets, Math.max(spec.minTargets, Math.ceil(busyTargets / 0.75)))
    const surplus = targets.length - desired
    if (surplus > 0) return { orders: [], releases: targets.slice(-surplus).map(({ name }) => name) }
    const orders = Array.from({ length: -surplus }, (_, index) => {
      const domain = spec.domains[(targets.length + index) % spec.domains.length]!
      return { domain, priceClass: this.outOfStockDomains.has(domain) ? 'standard' as const : 'preemptible' as const }
    })
    this.outOfStockDomains = new Set()
    return { orders, releases: [] }
  }

  outOfStock (domain: string): void {
    this.outOfStockDomains.add(domain)
  }
}

/** The planner of `src/spending`. */
export class PlannedTargets implements SpendingPolicy {
  readonly name = 'planner'
  readonly movesWork = true
  private demand = initialDemand(-1_000)
  private state = INITIAL_SPENDING_STATE

  start (spec: SpendingSpec): PriceClass[] {
    return Array.from({ length: spec.targets }, () => 'standard')
  }

  decide (now: number, busyTargets: number, targets: readonly SpendingTarget[], spec: SpendingSpec): SpendingActions {
    this.demand = observeDemand(this.demand, { now, busyTargets })
    const plan = planSpending(this.state, { now, demand: this.demand, targets, limits: limitsOf(spec) })
    this.state = plan.state
    return { orders: plan.orders, releases: plan.release === undefined ? [] : [plan.release.name] }
  }

  outOfStock (domain: string, priceClass: PriceClass, now: number): void {
    this.state = noteOutOfStock(this.state, domain, priceClass, now)
  }
}

function limitsOf (spec: SpendingSpec): SpendingLimits {
  return {
    minTargets: spec.minTargets,
    maxTargets: spec.maxTargets,
    minSurvivingShare: spec.minSurvivingShare,
    budgetPerHour: spec.budgetPerHour,
    domains: spec.domains,
    prices: PRICES,
    deliveryMs: spec.deliveryMs
  }
}
