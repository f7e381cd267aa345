/** Leader duty of a spending scope: orders and releases targets of a service. */
import type { ScopeDuty, ScopeHandle } from '../authority/index.js'
import type { Logger } from '../log/index.js'
import type { Metrics } from '../metrics/index.js'
import type { OrderedTarget, TargetOrdering } from '../external/index.js'
import type { PriceClass } from '../schema/index.js'
import {
  noteOutOfStock, observeDemand, planSpending, INITIAL_SPENDING_STATE, initialDemand,
  type Demand, type SpendingLimits, type SpendingState, type SpendingTarget, type TargetOrderSender
} from '../spending/index.js'
import type { Clock } from '../time/index.js'
import type { IntentRunner } from './intent-runner.js'

/** Time for which a target gets no new work before its release, in ms; by then every entry knows that it is leaving. */
const MIN_LEAVING_MS = 5_000

/** Maximum number of placed orders remembered until the platform's list shows them; the list lags behind orders. */
const MAX_PLACED_ORDERS = 64

/** Time for which a placed order that the list does not show counts as pending, in ms. */
const PLACED_ORDER_LIFE_MS = 60_000

/** A target declared by operators. */
export interface DeclaredTarget {
  readonly name: string
  readonly domain: string
  readonly priceClass: PriceClass
  readonly leaving: boolean
}

/** State of a service, as the duty sees it. */
export interface SpendingView {
  /** Targets declared by operators. */
  declaredTargets (): readonly DeclaredTarget[]
  /** Number of requests running on a target; `undefined` when it is unknown. */
  runningRequests (target: string): number | undefined
  /** Number of targets that the arriving work keeps busy, refused work included; work already waiting is not counted. */
  busyTargets (): number
  limits (): SpendingLimits
  /** Sets the targets that get no new work; streams must have left a target by `leaveByWallMs` (wall clock). */
  setLeaving (targets: ReadonlyArray<{ readonly name: string, readonly leaveByWallMs: number | undefined }>): void
}

/** Dependencies of a {@link SpendingDuty}. */
export interface SpendingDutyDeps {
  readonly clock: Clock
  readonly log: Logger
  readonly metrics: Metrics
  readonly service: string
  readonly ordering: TargetOrdering
  readonly view: SpendingView
  readonly runner: IntentRunner
  /** The sender that `runner` uses. */
  readonly sender: TargetOrderSender
}

/** Orders targets, and releases them: a target is first marked as leaving, and released once it is idle. */
export class SpendingDuty implements ScopeDuty {
  private fence = -1
  private demand: Demand
  private planState: SpendingState = INITIAL_SPENDING_STATE
  private releasing: { readonly name: string, readonly leavingSince: number } | undefined
  private placedOrders: PlacedOrder[] = []
  private readonly firstListedAt = new Map<string, number>()

  constructor (private readonly deps: SpendingDutyDeps) {
    this.demand = initialDemand(deps.clock.now())
  }

  async tick (handle: ScopeHandle): Promise<void> {
    if (handle.fence !== this.fence) this.startTerm(handle)
    const now = this.deps.clock.now()
    this.demand = observeDemand(this.demand, { now, busyTargets: this.deps.view.busyTargets() })
    await this.deps.runner.advanceAll(handle)
    this.applyRejections()
    const listed = await this.deps.ordering.list()
    // Without the list the pending orders are unknown, so nothing may be ordered.
    if (listed.err || !handle.mayAct()) return
    const serviceTargets = listed.val.filter((target) => target.service === this.deps.service && target.state !== 'released')
    this.announceLeaving(serviceTargets)
    if (handle.intents().length > 0 || await this.continueRelease(handle, serviceTargets)) return
    await this.orderAndRelease(handle, this.planTargets(serviceTargets))
  }

  private startTerm (handle: ScopeHandle): void {
    this.fence = handle.fence
    this.demand = initialDemand(this.deps.clock.now())
    this.planState = INITIAL_SPENDING_STATE
    this.releasing = undefined
    this.placedOrders = []
  }

  private applyRejections (): void {
    const now = this.deps.clock.now()
    for (const order of this.placedOrders) {
      const rejection = this.deps.sender.consumeRejection(order.token)
      if (rejection === undefined) continue
      this.placedOrders = this.placedOrders.filter((other) => other !== order)
      this.planState = noteOutOfStock(this.planState, order.domain, order.priceClass, now)
    }
  }

  /** Marks the targets that are being reclaimed or released, so that they get no new work. */
  private announceLeaving (ordered: readonly OrderedTarget[]): void {
    const reclaimed = ordered.filter((target) => target.state === 'reclaiming').map(({ name, reclaimAt }) => ({ name, leaveByWallMs: reclaimAt }))
    const released = this.releasing === undefined ? [] : [{ name: this.releasing.name, leaveByWallMs: undefined }]
    this.deps.view.setLeaving([...reclaimed, ...released])
  }

  /** Releases the leaving target once it is idle; true while a release is in progress. */
  private async continueRelease (handle: ScopeHandle, ordered: readonly OrderedTarget[]): Promise<boolean> {
    const { releasing } = this
    if (releasing === undefined) return false
    const target = ordered.find(({ name }) => name === releasing.name)
    if (target === undefined || target.state === 'reclaiming') {
      this.releasing = undefined
      return false
    }
    const idle = target.state === 'pending' || this.deps.view.runningRequests(target.name) === 0
    if (idle && this.deps.clock.now() - releasing.leavingSince >= MIN_LEAVING_MS) await this.submit(handle, target.name, { type: 'release_target' })
    return true
  }

  private planTargets (ordered: readonly OrderedTarget[]): SpendingTarget[] {
    const now = this.deps.clock.now()
    this.placedOrders = this.placedOrders.filter((order) => now - order.placedAt < PLACED_ORDER_LIFE_MS && !ordered.some((target) => target.token === order.token)).slice(-MAX_PLACED_ORDERS)
    for (const name of this.firstListedAt.keys()) if (!ordered.some((target) => target.name === name)) this.firstListedAt.delete(name)
    const { prices } = this.deps.view.limits()
    const declared = this.deps.view.declaredTargets().map((target): SpendingTarget => ({
      ...target, state: target.leaving ? 'leaving' : 'running', price: prices[target.priceClass], owned: false, running: this.runningRequests(target.name)
    }))
    const listed = ordered.map((target): SpendingTarget => {
      const orderedAt = this.firstListedAt.get(target.name) ?? now
      this.firstListedAt.set(target.name, orderedAt)
      const state = target.state === 'released' ? 'leaving' : target.state
      return { name: target.name, domain: target.domain, priceClass: target.priceClass, state, price: target.price, owned: true, running: this.runningRequests(target.name), orderedAt }
    })
    const unlisted = this.placedOrders.map(({ token, domain, priceClass, placedAt }): SpendingTarget => (
      { name: token, domain, priceClass, state: 'pending', price: prices[priceClass], owned: false, running: 0, orderedAt: placedAt }
    ))
    return [...declared, ...listed, ...unlisted]
  }

  private async orderAndRelease (handle: ScopeHandle, targets: readonly SpendingTarget[]): Promise<void> {
    const now = this.deps.clock.now()
    const plan = planSpending(this.planState, { now, demand: this.demand, targets, limits: this.deps.view.limits() })
    this.planState = plan.state
    if (plan.shortage !== undefined) this.deps.metrics.count('godwitpoint_targets_short_total', `reason="${plan.shortage}"`)
    for (const [index, { domain, priceClass, reason }] of plan.orders.entries()) {
      const id = await this.submit(handle, `new/${domain}/${priceClass}/${index}`, { type: 'order_target', service: this.deps.service, domain, price_class: priceClass })
      if (id === undefined) return
      this.placedOrders.push({ token: id, domain, priceClass, placedAt: now })
      this.deps.log.info({ service: this.deps.service, domain, class: priceClass, reason, order: id }, 'target_ordered')
    }
    if (plan.release === undefined) return
    this.releasing = { name: plan.release.name, leavingSince: now }
    this.deps.log.info({ target: plan.release.name, reason: plan.release.reason }, 'target_leaving')
  }

  private runningRequests (target: string): number {
    return this.deps.view.runningRequests(target) ?? 0
  }

  private async submit (handle: ScopeHandle, subject: string, body: Parameters<IntentRunner['submit']>[2]): Promise<string | undefined> {
    const submitted = await this.deps.runner.submit(handle, subject, body)
    if (submitted.ok) return submitted.val.id
    this.deps.log.warn({ step: 'intent', peer: subject, err: submitted.val }, 'target_order_failed')
    return undefined
  }
}

interface PlacedOrder {
  readonly token: string
  readonly domain: string
  readonly priceClass: PriceClass
  readonly placedAt: number
}
