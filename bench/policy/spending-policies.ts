/** Policies for the number and class of targets that are compared. */
import type { PriceClass } from '../../src/schema/index.js'
import {
  noteOutOfStock, observeDemand, planSpending, INITIAL_SPENDING_STATE, initialDemand, type SpendingLimits, type SpendingTarget
} from '../../src/spending/index.js'
import { PRICES, type SpendingActions, type SpendingPolicy, type SpendingSpec } from './spending-run.js'

/** Standard targets only, as many as the deployment starts with. */
export class FixedTargets implements SpendingPolicy {
  readonly name = 'fixed'
  readonly moves = false

  start (spec: SpendingSpec): PriceClass[] {
    return Array.from({ length: spec.targets }, () => 'standard')
  }

  decide (): SpendingActions {
    return { orders: [], releases: [] }
  }

  outOfStock (): void {}
}

/** Follows the present load with the cheapest targets, without memory. */
export class ThresholdTargets implements SpendingPolicy {
  readonly name = 'threshold'
  readonly moves = false
  private empty = new Set<string>()

  start (spec: SpendingSpec): PriceClass[] {
    return Array.from({ length: spec.targets }, () => 'preemptible')
  }

  decide (_now: number, busyTargets: number, targets: readonly SpendingTarget[], spec: SpendingSpec): SpendingActions {
    const wanted = Math.min(spec.maxTargets, Math.max(spec.minTargets, Math.ceil(busyTargets / 0.75)))
    const spare = targets.length - wanted
    if (spare > 0) return { orders: [], releases: targets.slice(-spare).map(({ name }) => name) }
    const orders = Array.from({ length: -spare }, (_, index) => {
      const domain = spec.domains[(targets.length + index) % spec.domains.length]!
      return { domain, priceClass: this.empty.has(domain) ? 'standard' as const : 'preemptible' as const }
    })
    this.empty = new Set()
    return { orders, releases: [] }
  }

  outOfStock (domain: string): void {
    this.empty.add(domain)
  }
}

/** The planner of `src/spending`. */
export class PlannedTargets implements SpendingPolicy {
  readonly name = 'planner'
  readonly moves = true
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
    minSurvivingShare: spec.share,
    budgetPerHour: spec.budget,
    domains: spec.domains,
    prices: PRICES,
    deliveryMs: spec.deliveryMs
  }
}
