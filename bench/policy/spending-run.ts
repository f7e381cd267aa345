/** A model of targets that are ordered, delivered, reclaimed and released, in steps of one second. */
import type { PriceClass } from '../../src/schema/index.js'
import type { SpendingTarget } from '../../src/spending/index.js'
import { SeededRandom } from '../../src/time/index.js'
import { roundToThousandths } from './fleet.js'

/** Requests per second that a busy target serves: 8 slots, 4 s per request. */
const REQUESTS_PER_TARGET_SECOND = 2

/** Duration of a request, in ms. */
const REQUEST_MS = 4_000

/** Wait above which a request is late, in ms. */
const LATE_WAIT_MS = 390

/** Notice before a reclaim, in ms. */
const RECLAIM_NOTICE_MS = 10_000

export const PRICES = { standard: 4, preemptible: 1.2 } as const

export const SPENDING_SCENARIOS = ['steady', 'drifting', 'swinging', 'reclaim_with_notice', 'out_of_stock'] as const
export type SpendingScenario = typeof SPENDING_SCENARIOS[number]

/** A deployment and a scenario. */
export interface SpendingSpec {
  readonly targets: number
  readonly domains: readonly string[]
  readonly minTargets: number
  readonly maxTargets: number
  readonly budgetPerHour: number
  readonly minSurvivingShare: number
  readonly scenario: SpendingScenario
  readonly hours: number
  readonly deliveryMs: number
  readonly seed: number
}

/** Orders and releases that a policy decides on. */
export interface SpendingActions {
  readonly orders: ReadonlyArray<{ readonly domain: string, readonly priceClass: PriceClass }>
  readonly releases: readonly string[]
}

/** A policy that decides once a second. */
export interface SpendingPolicy {
  readonly name: string
  /** Whether targets with notice of a reclaim get no new work. */
  readonly movesWork: boolean
  /** Price classes of the targets at the start. */
  start (spec: SpendingSpec): readonly PriceClass[]
  decide (now: number, busyTargets: number, targets: readonly SpendingTarget[], spec: SpendingSpec): SpendingActions
  outOfStock (domain: string, priceClass: PriceClass, now: number): void
}

/** Results of a run. */
export interface SpendingOutcome {
  readonly in_time: number
  readonly late: number
  readonly cut: number
  readonly moved: number
  readonly cost: number
  readonly cost_per_1000_in_time: number
  readonly preemptible_work: number
  readonly orders: number
  readonly releases: number
}

/** Runs a policy; each policy gets the same demand. */
export function runSpending (spec: SpendingSpec, policy: SpendingPolicy): SpendingOutcome {
  return new SpendingRun(spec, policy).run()
}

interface LiveTarget { target: SpendingTarget, readyAt: number, reclaimAt: number | undefined }

class SpendingRun {
  private readonly random: SeededRandom
  private liveTargets: LiveTarget[]
  private targetCount = 0
  private backlog = 0
  private readonly totals = { requests: 0, late: 0, cut: 0, moved: 0, cost: 0, preemptibleWork: 0, served: 0, orders: 0, releases: 0 }

  constructor (private readonly spec: SpendingSpec, private readonly policy: SpendingPolicy) {
    this.random = new SeededRandom(spec.seed)
    this.liveTargets = policy.start(spec).map((priceClass, index) => this.create(spec.domains[index % spec.domains.length]!, priceClass, 0, 0))
  }

  run (): SpendingOutcome {
    for (let now = 0; now < this.spec.hours * 3_600_000; now += 1_000) {
      this.deliverAndReclaim(now)
      const demand = this.demand(now)
      this.serve(demand)
      this.applyPolicy(now, demand)
    }
    const { requests, late, cut, moved, cost, preemptibleWork, served, orders, releases } = this.totals
    const inTimeRequests = requests - late - cut
    return {
      in_time: roundToThousandths(inTimeRequests / requests),
      late: roundToThousandths(late / requests),
      cut: Math.round(cut / requests * 1e6) / 1e6,
      moved: Math.round(moved / requests * 1e6) / 1e6,
      cost: roundToThousandths(cost),
      cost_per_1000_in_time: roundToThousandths(cost / inTimeRequests * 1_000),
      preemptible_work: roundToThousandths(preemptibleWork / served),
      orders,
      releases
    }
  }

  /** Arriving work, in busy targets. */
  private demand (now: number): number {
    const minutes = now / 60_000
    const base = this.spec.targets * 0.55
    const noise = 0.9 + 0.2 * this.random.next()
    if (this.spec.scenario === 'drifting' || this.spec.scenario === 'out_of_stock') return base * noise * (1 + 0.5 * Math.sin(minutes / 120 * 2 * Math.PI))
    if (this.spec.scenario === 'swinging') return base * noise * (Math.floor(minutes / 20) % 2 === 0 ? 0.7 : 1.4)
    return base * noise
  }

  private serve (demand: number): void {
    const runningTargets = this.liveTargets.filter(({ target }) => target.state === 'running')
    const capacity = runningTargets.length
    const work = demand + this.backlog
    const served = Math.min(capacity, work)
    const waitMs = capacity === 0 ? Infinity : Math.max(0, work - capacity) / capacity * 1_000
    // Callers give up after a deadline of 20 s.
    this.backlog = Math.min(work - served, capacity * 20)
    const requests = demand * REQUESTS_PER_TARGET_SECOND
    this.totals.requests += requests
    if (waitMs > LATE_WAIT_MS) this.totals.late += requests
    this.totals.served += served
    this.totals.preemptibleWork += served * runningTargets.filter(({ target }) => target.priceClass === 'preemptible').length / Math.max(1, capacity)
    this.totals.cost += this.liveTargets.filter(({ readyAt }) => readyAt === 0).reduce((sum, { target }) => sum + target.price, 0) / 3_600
    for (const live of this.liveTargets) live.target = { ...live.target, running: capacity === 0 ? 0 : Math.round(8 * Math.min(1, served / capacity)) }
  }

  /** Delivers ordered targets; each hour, reclaims the preemptible targets of one failure domain. */
  private deliverAndReclaim (now: number): void {
    for (const live of this.liveTargets) {
      if (live.readyAt > 0 && live.readyAt <= now) Object.assign(live, { readyAt: 0, target: { ...live.target, state: 'running' } })
    }
    if (this.spec.scenario !== 'reclaim_with_notice') return
    const hour = Math.floor(now / 3_600_000)
    if (now % 3_600_000 === 1_800_000) {
      const domain = this.spec.domains[hour % this.spec.domains.length]
      for (const live of this.liveTargets.filter(({ target }) => target.domain === domain && target.priceClass === 'preemptible')) {
        live.reclaimAt = now + RECLAIM_NOTICE_MS
        live.target = { ...live.target, state: this.policy.movesWork ? 'reclaiming' : live.target.state }
      }
    }
    const reclaimed = this.liveTargets.filter(({ reclaimAt }) => reclaimAt !== undefined && reclaimAt <= now)
    for (const { target } of reclaimed) {
      // Without new work during the notice, only requests that run longer are left; these are resumed elsewhere.
      if (this.policy.movesWork) this.totals.moved += target.running * Math.exp(-RECLAIM_NOTICE_MS / REQUEST_MS)
      else this.totals.cut += target.running
    }
    this.liveTargets = this.liveTargets.filter((live) => !reclaimed.includes(live))
  }

  private applyPolicy (now: number, demand: number): void {
    const { orders, releases } = this.policy.decide(now, demand, this.liveTargets.map(({ target }) => target), this.spec)
    for (const { domain, priceClass } of orders) {
      const isOutOfStock = this.spec.scenario === 'out_of_stock' && priceClass === 'preemptible' && domain === this.spec.domains[0]
      if (isOutOfStock) this.policy.outOfStock(domain, priceClass, now)
      else this.liveTargets.push(this.create(domain, priceClass, now, now + this.spec.deliveryMs))
      this.totals.orders++
    }
    this.totals.releases += releases.length
    this.liveTargets = this.liveTargets.filter(({ target }) => !releases.includes(target.name))
  }

  private create (domain: string, priceClass: PriceClass, now: number, readyAt: number): LiveTarget {
    const target: SpendingTarget = {
      name: `t${++this.targetCount}`, domain, priceClass, state: readyAt > 0 ? 'pending' : 'running', price: PRICES[priceClass], owned: true, running: 0, orderedAt: now
    }
    return { target, readyAt, reclaimAt: undefined }
  }
}
