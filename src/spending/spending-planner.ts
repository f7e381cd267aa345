/** Decides which targets to order and which to give back. */
import type { PriceClass } from '../schema/index.js'
import { expectedWork, type Demand } from './demand.js'

/** Share of capacity in use above which targets are ordered. */
const SCALE_UP_UTILIZATION = 0.75

/** Share of capacity in use below which targets are given back, once it has lasted. */
const SCALE_DOWN_UTILIZATION = 0.5

/** Share of capacity in use that is left after targets were given back; between the two bounds, so that neither follows. */
const UTILIZATION_AFTER_RELEASE = 0.6

/**
 * Time between two targets given back for low use, in ms. With a swing of 20 min between low and high, giving all of
 * them back at once left 7% of the requests late.
 */
const RELEASE_INTERVAL_MS = 300_000

/** Share of capacity that the remembered peak may use after targets were given back; a target arrives later than a swing. */
const PEAK_UTILIZATION = 0.85

/** Time for which use must have been low, in ms. */
const LOW_USE_MS = 600_000

/** Time for which a failure domain is not asked again for a class it did not have, in ms. */
const OUT_OF_STOCK_BACKOFF_MS = 300_000

/** Time for which no preemptible targets are ordered in a domain that reclaimed them, in ms. */
const RECLAIM_BACKOFF_MS = 600_000

/** Time after which a target that does not arrive no longer counts as capacity, in ms; five deliveries. */
const DELIVERY_TIMEOUT_MS = 600_000

/** Time for which standard targets could have been cheaper before they are exchanged, one after the other, in ms. */
const EXCHANGE_DELAY_MS = 600_000

/** Orders of one round. */
const MAX_ORDERS_PER_PLAN = 4

/** A target of the service. */
export interface SpendingTarget {
  readonly name: string
  readonly domain: string
  readonly priceClass: PriceClass
  readonly state: 'pending' | 'running' | 'reclaiming' | 'leaving'
  readonly price: number
  /** Whether it was ordered through the platform and can be given back; others are declared by operators. */
  readonly owned: boolean
  readonly running: number
  /** Time of the order, for a pending target. */
  readonly orderedAt?: number | undefined
}

/** What the profile and service allow. */
export interface SpendingLimits {
  readonly minTargets: number
  readonly maxTargets: number
  readonly minSurvivingShare: number
  readonly budgetPerHour: number
  readonly domains: readonly string[]
  readonly prices: Readonly<Record<PriceClass, number>>
  /** Time from an order to a running target, in ms. */
  readonly deliveryMs: number
}

/** The planner's memory; a value that is never changed. */
export interface SpendingState {
  readonly lowSince: number | undefined
  readonly expensiveSince: number | undefined
  /** Time of the last target given back for low use. */
  readonly lastReleaseAt: number | undefined
  /** A standard target to be given back once the cheaper one that was ordered for it runs. */
  readonly pendingExchange: string | undefined
  /** Domains and classes that are not asked before a time. */
  readonly backoffs: ReadonlyArray<{ readonly domain: string, readonly priceClass: PriceClass, readonly until: number }>
}

/** What a decision is made from. */
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

/** A target to give back. */
export interface PlannedRelease {
  readonly name: string
  readonly reason: 'low_use' | 'price' | 'overdue'
}

/** The new memory, orders, and at most one release. */
export interface SpendingPlan {
  readonly state: SpendingState
  readonly desiredCount: number
  readonly orders: readonly PlannedOrder[]
  readonly release: PlannedRelease | undefined
  /** Set when the budget or a lack of stock kept the plan from ordering what is wanted. */
  readonly shortage: 'budget' | 'stock' | 'max_targets' | undefined
}

/** Memory before the first decision. */
export const INITIAL_SPENDING_STATE: SpendingState = { lowSince: undefined, expensiveSince: undefined, lastReleaseAt: undefined, pendingExchange: undefined, backoffs: [] }

/** Notes that a domain has no targets of a class. */
export function noteOutOfStock (state: SpendingState, domain: string, priceClass: PriceClass, now: number): SpendingState {
  return { ...state, pendingExchange: undefined, backoffs: [...state.backoffs, { domain, priceClass, until: now + OUT_OF_STOCK_BACKOFF_MS }] }
}

/** Makes one decision. */
export function planSpending (before: SpendingState, input: SpendingInput): SpendingPlan {
  const { now, limits } = input
  const usable = input.targets.filter((target) => isUsable(target, now))
  const expected = expectedWork(input.demand, limits.deliveryMs)
  const state = nextState(before, input, usable, expected)
  const clamp = (count: number): number => Math.min(limits.maxTargets, Math.max(limits.minTargets, count))
  const utilization = expected / Math.max(1, usable.length)
  const needed = clamp(Math.ceil(expected / SCALE_UP_UTILIZATION))
  const isLow = state.lowSince !== undefined && now - state.lowSince >= LOW_USE_MS && now - (state.lastReleaseAt ?? -Infinity) >= RELEASE_INTERVAL_MS
  const desiredCount = utilization > SCALE_UP_UTILIZATION ? needed : isLow ? clamp(Math.max(needed, Math.ceil(expected / UTILIZATION_AFTER_RELEASE), Math.ceil(input.demand.peak / PEAK_UTILIZATION))) : clamp(usable.length)
  // What must survive a reclaim is judged by the present work; the trend only brings orders forward.
  const neededNow = clamp(Math.ceil(input.demand.average / SCALE_UP_UTILIZATION))
  const draft = new OrderDraft(usable, state, input, neededNow, desiredCount)
  draft.orderUpTo(desiredCount)
  const release = chooseRelease(input, usable, { desiredCount, needed: neededNow, isLow, pendingExchange: state.pendingExchange })
  const nonePending = usable.every((target) => target.state !== 'pending')
  if (draft.orders.length > 0 || release !== undefined || !isExchangeDue(state, now) || state.pendingExchange !== undefined) {
    const pendingExchange = nonePending && draft.orders.length === 0 ? undefined : state.pendingExchange
    const lastReleaseAt = release?.reason === 'low_use' ? now : state.lastReleaseAt
    return { state: { ...state, pendingExchange, lastReleaseAt }, desiredCount, orders: draft.orders, release, shortage: draft.shortage }
  }
  const exchange = new OrderDraft(usable, state, input, sustainedTargets(input), usable.length)
  const pendingExchange = exchange.exchange(usable)
  return { state: { ...state, pendingExchange }, desiredCount, orders: exchange.orders, release, shortage: draft.shortage }
}

/** Targets that are needed now or again soon: exchanges are judged by these, so that a swing does not undo them. */
function sustainedTargets ({ demand, limits }: SpendingInput): number {
  return Math.min(limits.maxTargets, Math.max(limits.minTargets, Math.ceil(demand.average / SCALE_UP_UTILIZATION), Math.ceil(demand.peak / PEAK_UTILIZATION)))
}

/** Most preemptible targets one domain may have among `total`, so that the rest still carries its share of `needed`. */
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

interface ReleaseInput { readonly desiredCount: number, readonly needed: number, readonly isLow: boolean, readonly pendingExchange: string | undefined }

/** One target to give back: the dearest of the fullest domain that the rest can do without. */
function chooseRelease (input: SpendingInput, usable: readonly SpendingTarget[], release: ReleaseInput): PlannedRelease | undefined {
  const { limits, targets, now } = input
  const overdue = targets.find((target) => target.owned && target.state === 'pending' && !isUsable(target, now))
  if (overdue !== undefined) return { name: overdue.name, reason: 'overdue' }
  if (targets.some((target) => target.state === 'leaving') || usable.some((target) => target.state === 'pending')) return undefined
  const replaced = usable.find((target) => target.name === release.pendingExchange)
  if (replaced !== undefined && usable.length > release.needed && survivesWithout(usable, replaced, release.needed, limits)) return { name: replaced.name, reason: 'price' }
  const surplus = usable.length - Math.max(limits.minTargets, release.desiredCount)
  if (!release.isLow || surplus <= 0) return undefined
  const candidates = usable
    .filter((target) => target.owned)
    .filter((target) => survivesWithout(usable, target, release.needed, limits))
    .sort((a, b) => countInDomain(usable, b.domain) - countInDomain(usable, a.domain) || b.price - a.price || a.running - b.running || (a.name < b.name ? -1 : 1))
  const first = candidates[0]
  return first === undefined ? undefined : { name: first.name, reason: 'low_use' }
}

function survivesWithout (usable: readonly SpendingTarget[], released: SpendingTarget, needed: number, limits: SpendingLimits): boolean {
  const remaining = usable.filter((other) => other !== released)
  const limit = preemptibleLimit(remaining.length, needed, limits.minSurvivingShare)
  return limits.domains.every((domain) => countInDomain(remaining, domain, 'preemptible') <= limit)
}

function countInDomain (targets: ReadonlyArray<{ readonly domain: string, readonly priceClass: PriceClass }>, domain: string, priceClass?: PriceClass): number {
  return targets.filter((target) => target.domain === domain && (priceClass === undefined || target.priceClass === priceClass)).length
}

/** Orders of one decision, chosen one after the other. */
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

  /** Orders a preemptible target; returns the standard one of the fullest domain that it is to replace. */
  exchange (usable: readonly SpendingTarget[]): string | undefined {
    const domain = this.chooseDomain('preemptible', usable.length)
    const standard = usable.filter((target) => target.owned && target.priceClass === 'standard')
      .sort((a, b) => countInDomain(usable, b.domain) - countInDomain(usable, a.domain) || a.running - b.running)[0]
    if (domain === undefined || standard === undefined || this.planned.length >= this.input.limits.maxTargets) return undefined
    this.recordOrder(domain, 'preemptible', 'price')
    return standard.name
  }

  /** The emptiest domain that may take one more target of a class among `total`, at a price within the budget. */
  chooseDomain (priceClass: PriceClass, total = Math.max(this.planned.length + 1, this.goalCount)): string | undefined {
    const { limits, now } = this.input
    // An exchange lowers a cost that is above the budget already.
    const isExchange = total === this.planned.length && this.hourlyCost() > limits.budgetPerHour
    if (!isExchange && this.hourlyCost() + limits.prices[priceClass] > limits.budgetPerHour) return undefined
    const limit = preemptibleLimit(total, this.needed, limits.minSurvivingShare)
    const open = limits.domains.filter((domain) => !this.state.backoffs.some((item) => item.domain === domain && item.priceClass === priceClass && item.until > now))
    const allowed = priceClass === 'standard' ? open : open.filter((domain) => countInDomain(this.planned, domain, 'preemptible') < limit)
    return [...allowed].sort((a, b) => countInDomain(this.planned, a) - countInDomain(this.planned, b))[0]
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
    const limit = preemptibleLimit(this.planned.length, this.needed, limits.minSurvivingShare)
    return limits.domains.some((domain) => countInDomain(this.planned, domain, 'preemptible') > limit)
  }

  private hourlyCost (): number {
    return this.planned.reduce((sum, target) => sum + target.price, 0)
  }
}
