/** Plans which targets to order and which to release. */
import type { PriceClass } from '../schema/index.js'
import { expectedWork, type Demand } from './demand.js'

/** Utilization above which targets are ordered. */
const SCALE_UP_UTILIZATION = 0.75

/** Utilization below which targets are released, once it has lasted. */
const SCALE_DOWN_UTILIZATION = 0.5

/** Utilization that a release aims at; between the two bounds, so that it triggers neither. */
const UTILIZATION_AFTER_RELEASE = 0.6

/**
 * Time between two releases for low use, in ms. When load swung between low and high every 20 min, releasing all
 * surplus targets at once made 7% of the requests miss their objective.
 */
const RELEASE_INTERVAL_MS = 300_000

/** Utilization that the recorded peak may reach after a release; a target takes longer to arrive than load takes to return. */
const PEAK_UTILIZATION = 0.85

/** Time for which utilization must have been low before a release, in ms. */
const LOW_USE_MS = 600_000

/** Time for which a price class is not ordered in a failure domain that was out of stock of it, in ms. */
const OUT_OF_STOCK_BACKOFF_MS = 300_000

/** Time for which no preemptible targets are ordered in a failure domain that reclaimed them, in ms. */
const RECLAIM_BACKOFF_MS = 600_000

/** Time after its order at which a pending target stops counting as capacity, in ms; five delivery times. */
const DELIVERY_TIMEOUT_MS = 600_000

/** Time for which cheaper targets must have been possible before standard ones are exchanged one by one, in ms. */
const EXCHANGE_DELAY_MS = 600_000

/** Orders placed by one plan. */
const MAX_ORDERS_PER_PLAN = 4

/** A target of the service. */
export interface SpendingTarget {
  readonly name: string
  readonly domain: string
  readonly priceClass: PriceClass
  readonly state: 'pending' | 'running' | 'reclaiming' | 'leaving'
  readonly price: number
  /** Whether it was ordered through the platform and can be released; others are declared by operators. */
  readonly owned: boolean
  readonly running: number
  /** Time of the order in ms, for a pending target. */
  readonly orderedAt?: number | undefined
}

/** Limits of the profile and the service; prices are per hour. */
export interface SpendingLimits {
  readonly minTargets: number
  readonly maxTargets: number
  readonly minSurvivingShare: number
  readonly budgetPerHour: number
  readonly domains: readonly string[]
  readonly prices: Readonly<Record<PriceClass, number>>
  /** Time from an order until the target runs, in ms. */
  readonly deliveryMs: number
}

/** State of the planner between decisions; immutable. */
export interface SpendingState {
  /** Since when utilization has been low, in ms. */
  readonly lowSince: number | undefined
  /** Since when a standard target could be replaced by a preemptible one, in ms. */
  readonly expensiveSince: number | undefined
  /** Time of the last release for low use, in ms. */
  readonly lastReleaseAt: number | undefined
  /** A standard target to be released once its cheaper replacement runs. */
  readonly pendingExchange: string | undefined
  /** Failure domains and price classes that are not ordered before a time, in ms. */
  readonly backoffs: ReadonlyArray<{ readonly domain: string, readonly priceClass: PriceClass, readonly until: number }>
}

/** Input of a decision. */
export interface SpendingInput {
  readonly now: number
  readonly demand: Demand
  readonly targets: readonly SpendingTarget[]
  readonly limits: SpendingLimits
}

/** An order to place. */
export interface PlannedOrder {
  readonly domain: string
  readonly priceClass: PriceClass
  readonly reason: 'demand' | 'survival' | 'price'
}

/** A target to release. */
export interface PlannedRelease {
  readonly name: string
  readonly reason: 'low_use' | 'price' | 'overdue'
}

/** The new state, orders, and at most one release. */
export interface SpendingPlan {
  readonly state: SpendingState
  readonly desiredCount: number
  readonly orders: readonly PlannedOrder[]
  readonly release: PlannedRelease | undefined
  /** Why the plan does not order all desired targets. */
  readonly shortage: 'budget' | 'stock' | 'max_targets' | undefined
}

/** State before the first decision. */
export const INITIAL_SPENDING_STATE: SpendingState = { lowSince: undefined, expensiveSince: undefined, lastReleaseAt: undefined, pendingExchange: undefined, backoffs: [] }

/** Records that a failure domain is out of stock of a price class. */
export function noteOutOfStock (state: SpendingState, domain: string, priceClass: PriceClass, now: number): SpendingState {
  return { ...state, pendingExchange: undefined, backoffs: [...state.backoffs, { domain, priceClass, until: now + OUT_OF_STOCK_BACKOFF_MS }] }
}

/** Decides on orders and releases. */
export function planSpending (before: SpendingState, input: SpendingInput): SpendingPlan {
  const { now, limits } = input
  const usable = input.targets.filter((target) => isUsable(target, now))
  const expected = expectedWork(input.demand, limits.deliveryMs)
  const state = nextState(before, input, usable, expected)
  const clamp = (count: number): number => Math.min(limits.maxTargets, Math.max(limits.minTargets, count))
  const utilization = expected / Math.max(1, usable.length)
  const needed = clamp(Math.ceil(expected / SCALE_UP_UTILIZATION))
  const isReleaseDue = state.lowSince !== undefined && now - state.lowSince >= LOW_USE_MS && now - (state.lastReleaseAt ?? -Infinity) >= RELEASE_INTERVAL_MS
  const desiredCount = utilization > SCALE_UP_UTILIZATION ? needed : isReleaseDue ? clamp(Math.max(needed, Math.ceil(expected / UTILIZATION_AFTER_RELEASE), Math.ceil(input.demand.peak / PEAK_UTILIZATION))) : clamp(usable.length)
  // The capacity that must survive a reclaim follows from the current work; the trend only brings orders forward.
  const neededNow = clamp(Math.ceil(input.demand.average / SCALE_UP_UTILIZATION))
  const draft = new OrderDraft(usable, state, input, neededNow, desiredCount)
  draft.orderUpTo(desiredCount)
  const release = chooseRelease(input, usable, { desiredCount, needed: neededNow, isReleaseDue, pendingExchange: state.pendingExchange })
  const nonePending = usable.every((target) => target.state !== 'pending')
  if (draft.orders.length > 0 || release !== undefined || !isExchangeDue(state, now) || state.pendingExchange !== undefined) {
    const pendingExchange = nonePending && draft.orders.length === 0 ? undefined : state.pendingExchange
    const lastReleaseAt = release?.reason === 'low_use' ? now : state.lastReleaseAt
    return { state: { ...state, pendingExchange, lastReleaseAt }, desiredCount, orders: draft.orders, release, shortage: draft.shortage }
  }
  const exchangeDraft = new OrderDraft(usable, state, input, sustainedTargets(input), usable.length)
  const pendingExchange = exchangeDraft.orderExchange(usable)
  return { state: { ...state, pendingExchange }, desiredCount, orders: exchangeDraft.orders, release, shortage: draft.shortage }
}

/** Targets needed now or again soon, by the recorded peak; exchanges use them, so that a swing of load undoes none. */
function sustainedTargets ({ demand, limits }: SpendingInput): number {
  return Math.min(limits.maxTargets, Math.max(limits.minTargets, Math.ceil(demand.average / SCALE_UP_UTILIZATION), Math.ceil(demand.peak / PEAK_UTILIZATION)))
}

/** Maximum number of preemptible targets of one domain among `total`; the others keep `minSurvivingShare` of `needed`. */
export function preemptibleLimit (total: number, needed: number, minSurvivingShare: number): number {
  return Math.max(0, total - Math.ceil(needed * minSurvivingShare))
}

function isUsable (target: SpendingTarget, now: number): boolean {
  if (target.state === 'running') return true
  return target.state === 'pending' && now - (target.orderedAt ?? now) < DELIVERY_TIMEOUT_MS
}

function isExchangeDue (state: SpendingState, now: number): boolean {
  return state.expensiveSince !== undefined && now - state.expensiveSince >= EXCHANGE_DELAY_MS
}

function nextState (before: SpendingState, input: SpendingInput, usable: readonly SpendingTarget[], expected: number): SpendingState {
  const { now, targets, limits } = input
  const reclaimed = [...new Set(targets.filter((target) => target.state === 'reclaiming').map((target) => target.domain))]
  const backoffs = [
    ...before.backoffs.filter((item) => item.until > now && !(reclaimed.includes(item.domain) && item.priceClass === 'preemptible')),
    ...reclaimed.map((domain) => ({ domain, priceClass: 'preemptible' as const, until: now + RECLAIM_BACKOFF_MS }))
  ]
  const isLow = expected < usable.length * SCALE_DOWN_UTILIZATION && usable.length > limits.minTargets
  const draft = new OrderDraft(usable, { ...before, backoffs }, input, sustainedTargets(input), usable.length)
  const isExpensive = usable.some((target) => target.owned && target.priceClass === 'standard') && draft.chooseDomain('preemptible', usable.length) !== undefined
  return {
    pendingExchange: before.pendingExchange,
    lastReleaseAt: before.lastReleaseAt,
    lowSince: isLow ? before.lowSince ?? now : undefined,
    expensiveSince: isExpensive ? before.expensiveSince ?? now : undefined,
    backoffs
  }
}

interface ReleaseCriteria { readonly desiredCount: number, readonly needed: number, readonly isReleaseDue: boolean, readonly pendingExchange: string | undefined }

/** Chooses one target to release: the most expensive of the fullest failure domain whose loss the others can bear. */
function chooseRelease (input: SpendingInput, usable: readonly SpendingTarget[], criteria: ReleaseCriteria): PlannedRelease | undefined {
  const { limits, targets, now } = input
  const overdue = targets.find((target) => target.owned && target.state === 'pending' && !isUsable(target, now))
  if (overdue !== undefined) return { name: overdue.name, reason: 'overdue' }
  if (targets.some((target) => target.state === 'leaving') || usable.some((target) => target.state === 'pending')) return undefined
  const replacedTarget = usable.find((target) => target.name === criteria.pendingExchange)
  if (replacedTarget !== undefined && usable.length > criteria.needed && survivesWithout(usable, replacedTarget, criteria.needed, limits)) return { name: replacedTarget.name, reason: 'price' }
  const surplus = usable.length - Math.max(limits.minTargets, criteria.desiredCount)
  if (!criteria.isReleaseDue || surplus <= 0) return undefined
  const candidates = usable
    .filter((target) => target.owned)
    .filter((target) => survivesWithout(usable, target, criteria.needed, limits))
    .sort((a, b) => countInDomain(usable, b.domain) - countInDomain(usable, a.domain) || b.price - a.price || a.running - b.running || (a.name < b.name ? -1 : 1))
  const chosen = candidates[0]
  return chosen === undefined ? undefined : { name: chosen.name, reason: 'low_use' }
}

function survivesWithout (usable: readonly SpendingTarget[], released: SpendingTarget, needed: number, limits: SpendingLimits): boolean {
  const remaining = usable.filter((other) => other !== released)
  const maxPreemptible = preemptibleLimit(remaining.length, needed, limits.minSurvivingShare)
  return limits.domains.every((domain) => countInDomain(remaining, domain, 'preemptible') <= maxPreemptible)
}

function countInDomain (targets: ReadonlyArray<{ readonly domain: string, readonly priceClass: PriceClass }>, domain: string, priceClass?: PriceClass): number {
  return targets.filter((target) => target.domain === domain && (priceClass === undefined || target.priceClass === priceClass)).length
}

/** Builds the orders of one decision one by one. */
class OrderDraft {
  readonly orders: PlannedOrder[] = []
  shortage: SpendingPlan['shortage']
  private readonly planned: Array<{ readonly domain: string, readonly priceClass: PriceClass, readonly price: number }>

  constructor (
    usable: readonly SpendingTarget[], private readonly state: SpendingState, private readonly input: SpendingInput,
    private readonly needed: number, private readonly goalCount: number
  ) {
    this.planned = [...usable]
  }

  orderUpTo (desiredCount: number): void {
    while (this.planned.length < desiredCount && this.orders.length < MAX_ORDERS_PER_PLAN) if (!this.addOrder('demand')) return
    while (this.lacksSurvivingCapacity() && this.orders.length < MAX_ORDERS_PER_PLAN) if (!this.addOrder('survival')) return
  }

  /** Orders a preemptible target; returns the standard target of the fullest failure domain that it is to replace. */
  orderExchange (usable: readonly SpendingTarget[]): string | undefined {
    const domain = this.chooseDomain('preemptible', usable.length)
    const standard = usable.filter((target) => target.owned && target.priceClass === 'standard')
      .sort((a, b) => countInDomain(usable, b.domain) - countInDomain(usable, a.domain) || a.running - b.running)[0]
    if (domain === undefined || standard === undefined || this.planned.length >= this.input.limits.maxTargets) return undefined
    this.recordOrder(domain, 'preemptible', 'price')
    return standard.name
  }

  /** The failure domain with the fewest targets that may have one more of a price class among `total`, within the budget. */
  chooseDomain (priceClass: PriceClass, total = Math.max(this.planned.length + 1, this.goalCount)): string | undefined {
    const { limits, now } = this.input
    // An exchange is allowed above the budget, since it lowers the cost.
    const isExchangeOverBudget = total === this.planned.length && this.hourlyCost() > limits.budgetPerHour
    if (!isExchangeOverBudget && this.hourlyCost() + limits.prices[priceClass] > limits.budgetPerHour) return undefined
    const maxPreemptible = preemptibleLimit(total, this.needed, limits.minSurvivingShare)
    const openDomains = limits.domains.filter((domain) => !this.state.backoffs.some((item) => item.domain === domain && item.priceClass === priceClass && item.until > now))
    const allowedDomains = priceClass === 'standard' ? openDomains : openDomains.filter((domain) => countInDomain(this.planned, domain, 'preemptible') < maxPreemptible)
    return [...allowedDomains].sort((a, b) => countInDomain(this.planned, a) - countInDomain(this.planned, b))[0]
  }

  private addOrder (reason: PlannedOrder['reason']): boolean {
    if (this.planned.length >= this.input.limits.maxTargets) {
      this.shortage = 'max_targets'
      return false
    }
    const preemptibleDomain = reason === 'survival' ? undefined : this.chooseDomain('preemptible')
    const domain = preemptibleDomain ?? this.chooseDomain('standard')
    if (domain === undefined) {
      const { limits } = this.input
      this.shortage = this.hourlyCost() + limits.prices.preemptible > limits.budgetPerHour ? 'budget' : 'stock'
      return false
    }
    this.recordOrder(domain, preemptibleDomain === undefined ? 'standard' : 'preemptible', reason)
    return true
  }

  private recordOrder (domain: string, priceClass: PriceClass, reason: PlannedOrder['reason']): void {
    this.planned.push({ domain, priceClass, price: this.input.limits.prices[priceClass] })
    this.orders.push({ domain, priceClass, reason })
  }

  private lacksSurvivingCapacity (): boolean {
    const { limits } = this.input
    const maxPreemptible = preemptibleLimit(this.planned.length, this.needed, limits.minSurvivingShare)
    return limits.domains.some((domain) => countInDomain(this.planned, domain, 'preemptible') > maxPreemptible)
  }

  private hourlyCost (): number {
    return this.planned.reduce((sum, target) => sum + target.price, 0)
  }
}
