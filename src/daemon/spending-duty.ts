/** What the holder of a spending scope does in each tick. */
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

/** Time for which a target gets no new work before it is given back, in ms; by then every entry has the news. */
const LEAVING_MS = 5_000

/** Orders remembered until the platform's list shows them; the list lags. */
const MAX_PLACED = 64

/** Time for which an order that the list does not show counts as pending, in ms. */
const PLACED_MS = 60_000

/** A target declared by operators. */
export interface ServiceTarget {
  readonly name: string
  readonly domain: string
  readonly priceClass: PriceClass
  readonly leaving: boolean
}

/** What is known of a service. */
export interface SpendingView {
  /** Targets that operators declare. */
  declared (): readonly ServiceTarget[]
  /** Requests that run on a target; `undefined` when it is not known. */
  running (target: string): number | undefined
  /** Targets kept busy by the work that arrives, refused work included, without what has been waiting. */
  busyTargets (): number
  limits (): SpendingLimits
  /** Announces the targets that get no new work; `moveBy` (wall time) is when streams must have left. */
  setLeaving (targets: ReadonlyArray<{ readonly name: string, readonly moveBy: number | undefined }>): void
}

/** What the spending duty works with. */
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

/** Orders targets and gives them back: marked as leaving, idle, then released. */
export class SpendingDuty implements ScopeDuty {
  private fence = -1
  private demand: Demand
  private state: SpendingState = INITIAL_SPENDING_STATE
  private leaving: { readonly name: string, readonly since: number } | undefined
  private placed: Placed[] = []
  private readonly firstSeen = new Map<string, number>()

  constructor (private readonly deps: SpendingDutyDeps) {
    this.demand = initialDemand(deps.clock.now())
  }

  async tick (handle: ScopeHandle): Promise<void> {
    if (handle.fence !== this.fence) this.begin(handle)
    const now = this.deps.clock.now()
    this.demand = observeDemand(this.demand, { now, busyTargets: this.deps.view.busyTargets() })
    await this.deps.runner.advanceAll(handle)
    this.takeRejections()
    const listed = await this.deps.ordering.list()
    // Without the list nothing is known of pending orders, so nothing may be ordered.
    if (listed.err || !handle.mayAct()) return
    const own = listed.val.filter((target) => target.service === this.deps.service && target.state !== 'released')
    this.announce(own)
    if (handle.intents().length > 0 || await this.finishRelease(handle, own)) return
    await this.decide(handle, this.targets(own))
  }

  private begin (handle: ScopeHandle): void {
    this.fence = handle.fence
    this.demand = initialDemand(this.deps.clock.now())
    this.state = INITIAL_SPENDING_STATE
    this.leaving = undefined
    this.placed = []
  }

  private takeRejections (): void {
    const now = this.deps.clock.now()
    for (const order of this.placed) {
      const rejection = this.deps.sender.consumeRejection(order.token)
      if (rejection === undefined) continue
      this.placed = this.placed.filter((other) => other !== order)
      this.state = noteOutOfStock(this.state, order.domain, order.priceClass, now)
    }
  }

  /** Targets that are reclaimed or being given back get no new work. */
  private announce (own: readonly OrderedTarget[]): void {
    const reclaimed = own.filter((target) => target.state === 'reclaiming').map(({ name, reclaimAt }) => ({ name, moveBy: reclaimAt }))
    const released = this.leaving === undefined ? [] : [{ name: this.leaving.name, moveBy: undefined }]
    this.deps.view.setLeaving([...reclaimed, ...released])
  }

  /** True while a target is on its way out. */
  private async finishRelease (handle: ScopeHandle, own: readonly OrderedTarget[]): Promise<boolean> {
    const { leaving } = this
    if (leaving === undefined) return false
    const target = own.find(({ name }) => name === leaving.name)
    if (target === undefined || target.state === 'reclaiming') {
      this.leaving = undefined
      return false
    }
    const idle = target.state === 'pending' || this.deps.view.running(target.name) === 0
    if (idle && this.deps.clock.now() - leaving.since >= LEAVING_MS) await this.submit(handle, target.name, { type: 'release_target' })
    return true
  }

  private targets (own: readonly OrderedTarget[]): SpendingTarget[] {
    const now = this.deps.clock.now()
    this.placed = this.placed.filter((order) => now - order.at < PLACED_MS && !own.some((target) => target.token === order.token)).slice(-MAX_PLACED)
    for (const name of this.firstSeen.keys()) if (!own.some((target) => target.name === name)) this.firstSeen.delete(name)
    const { prices } = this.deps.view.limits()
    const declared = this.deps.view.declared().map((target): SpendingTarget => ({
      ...target, state: target.leaving ? 'leaving' : 'running', price: prices[target.priceClass], owned: false, running: this.running(target.name)
    }))
    const ordered = own.map((target): SpendingTarget => {
      const orderedAt = this.firstSeen.get(target.name) ?? now
      this.firstSeen.set(target.name, orderedAt)
      const state = target.state === 'released' ? 'leaving' : target.state
      return { name: target.name, domain: target.domain, priceClass: target.priceClass, state, price: target.price, owned: true, running: this.running(target.name), orderedAt }
    })
    const unseen = this.placed.map(({ token, domain, priceClass, at }): SpendingTarget => (
      { name: token, domain, priceClass, state: 'pending', price: prices[priceClass], owned: false, running: 0, orderedAt: at }
    ))
    return [...declared, ...ordered, ...unseen]
  }

  private async decide (handle: ScopeHandle, targets: readonly SpendingTarget[]): Promise<void> {
    const now = this.deps.clock.now()
    const plan = planSpending(this.state, { now, demand: this.demand, targets, limits: this.deps.view.limits() })
    this.state = plan.state
    if (plan.shortage !== undefined) this.deps.metrics.count('godwitpoint_targets_short_total', `reason="${plan.shortage}"`)
    for (const [index, { domain, priceClass, reason }] of plan.orders.entries()) {
      const id = await this.submit(handle, `new/${domain}/${priceClass}/${index}`, { type: 'order_target', service: this.deps.service, domain, price_class: priceClass })
      if (id === undefined) return
      this.placed.push({ token: id, domain, priceClass, at: now })
      this.deps.log.info({ service: this.deps.service, domain, class: priceClass, reason, order: id }, 'target_ordered')
    }
    if (plan.release === undefined) return
    this.leaving = { name: plan.release.name, since: now }
    this.deps.log.info({ target: plan.release.name, reason: plan.release.reason }, 'target_leaving')
  }

  private running (target: string): number {
    return this.deps.view.running(target) ?? 0
  }

  private async submit (handle: ScopeHandle, subject: string, body: Parameters<IntentRunner['submit']>[2]): Promise<string | undefined> {
    const opened = await this.deps.runner.submit(handle, subject, body)
    if (opened.ok) return opened.val.id
    this.deps.log.warn({ step: 'intent', peer: subject, err: opened.val }, 'target_order_failed')
    return undefined
  }
}

interface Placed {
  readonly token: string
  readonly domain: string
  readonly priceClass: PriceClass
  readonly at: number
}
