/** Decides the orders for one service by its demand; without timers or messages. */
import * as capacity from '../capacity/index.js'
import type * as serving from '../serving/index.js'
import * as capacityPlan from './capacity-plan.js'
import * as neededTargets from './needed-targets.js'
import * as orderPlan from './order-plan.js'
import * as orderRecord from './order-record.js'
import * as preemptibleSupply from './preemptible-supply.js'
import * as releasePacer from './release-pacer.js'
import type * as types from './types.js'

/** Targets of a service in one failure domain. */
export interface ListedTargets extends orderPlan.DomainTargets {
  /** Targets of both kinds that are leaving. */
  readonly leaving: number
}

/** What a decision is based on. */
export interface CapacityView {
  readonly service: string
  readonly limits: serving.OrderLimits
  readonly engine: serving.EngineLimits
  /** Number of targets at the first start. */
  readonly initialSize: number
  readonly domains: readonly ListedTargets[]
  readonly present: capacity.PresentEngines
  /** Tokens of the shared segments that are in use. */
  readonly segmentTokens: number
  /** Whether most gateways can be reached; otherwise part of the demand may be unknown. */
  readonly reachesMost: boolean
}

/** An order to be sent, and the number of targets that are listed. */
export interface PlannedOrder {
  readonly desired: types.DesiredTargets
  readonly present: number
}

/** A decision and its inputs. */
export interface CapacityDecision {
  readonly demand: capacity.RecentDemand | undefined
  /** Need by the demand; undefined while none is known. */
  readonly estimate: capacity.CapacityNeed | undefined
  readonly pressure: number
  /** Need that the plan follows. */
  readonly need: capacityPlan.NeededTargets
  readonly desired: readonly types.DesiredTargets[]
  readonly orders: readonly PlannedOrder[]
}

/** Follows the demand and the orders of one service; time is given with each call, in ms on the monotonic clock. */
export class ServiceCapacity {
  private readonly history = new capacity.DemandHistory()
  private readonly need = new neededTargets.HeldNeed()
  private readonly pacer = new releasePacer.ReleasePacer()
  private readonly records = new Map<string, orderRecord.OrderRecord>()
  private readonly supplies = new Map<string, preemptibleSupply.PreemptibleSupply>()
  private pressure = 1
  private observedAt: number | undefined

  /** Notes the work of all gateways so far. */
  observe (total: capacity.Work, now: number): void {
    this.history.note(total, now)
    const lateShare = this.history.recent(now)?.latest.lateShare ?? 0
    this.pressure = capacity.nextPressure(this.pressure, lateShare, now - (this.observedAt ?? now))
    this.observedAt = now
  }

  /** Forgets the demand: this process no longer hears of it. */
  forgetDemand (): void {
    this.history.clear()
  }

  /** Forgets what must last anew before it is acted upon: another gateway decides meanwhile. */
  suspend (): void {
    this.need.reset()
    for (const record of this.records.values()) record.forgetSurplus()
  }

  /** Decides which orders to send now. */
  decide (view: CapacityView, now: number): CapacityDecision {
    const demand = this.history.recent(now)
    const estimate = demand === undefined ? undefined : this.estimate(view, demand)
    const initial = this.need.initial(guaranteedBy(view.domains), view.initialSize)
    const need = demand === undefined || estimate === undefined ? initial : this.need.update(estimate, demand.observedMs, now)
    const planned = { service: view.service, limits: view.limits, need, domains: view.domains.map((listed) => this.toPlanned(listed, now)) }
    const desired = capacityPlan.planCapacity(planned)
    for (const listed of view.domains) this.updateSupply(listed, desired, now)
    const settled = view.reachesMost && neededTargets.HeldNeed.maySettle(demand?.observedMs, this.history.idleMs(now))
    const orders = [...this.raises(desired, view, now), ...this.releases(desired, view, settled, now)]
    return { demand, estimate, pressure: this.pressure, need, desired, orders }
  }

  /** Notes the outcome of an order. */
  noteOrder ({ desired, present }: PlannedOrder, outcome: orderRecord.OrderOutcome, deliveryMs: number, now: number): void {
    this.record(desired).note(desired.count, outcome, deliveryMs, now)
    if (desired.preemptible && desired.count > present && outcome === 'refused') this.supply(desired.domain).noteLost(now)
  }

  private estimate (view: CapacityView, demand: capacity.RecentDemand): capacity.CapacityNeed {
    const { present, engine, segmentTokens, initialSize } = view
    return capacity.estimateNeed({ demand, present, slots: engine.slots, kvCapacityTokens: engine.kvCapacityTokens, segmentTokens, initialSize, pressure: this.pressure })
  }

  // Targets whose release was ordered do not count, although they are still listed as serving.
  private toPlanned ({ domain, standard, preemptible, leaving }: ListedTargets, now: number): capacityPlan.PlannedDomain {
    return {
      domain,
      standard: this.record({ domain, preemptible: false }).lowest(standard, now),
      preemptible: this.record({ domain, preemptible: true }).lowest(preemptible, now),
      occupied: standard + leaving,
      supply: this.supply(domain).state(now)
    }
  }

  private updateSupply (listed: ListedTargets, desired: readonly types.DesiredTargets[], now: number): void {
    const count = desired.find((targets) => targets.domain === listed.domain && targets.preemptible)?.count ?? 0
    const areMissing = this.record({ domain: listed.domain, preemptible: true }).areMissing(listed.preemptible, now)
    this.supply(listed.domain).update(listed.preemptible, count, areMissing, now)
  }

  private raises (desired: readonly types.DesiredTargets[], view: CapacityView, now: number): PlannedOrder[] {
    return desired
      .map((targets) => ({ desired: targets, present: presentOf(targets, view) }))
      .filter((order) => this.record(order.desired).isRaiseDue(order.desired.count, order.present, now))
  }

  private releases (desired: readonly types.DesiredTargets[], view: CapacityView, settled: boolean, now: number): PlannedOrder[] {
    const surplus = desired
      .map((targets) => ({ desired: targets, present: presentOf(targets, view) }))
      .filter((order) => this.record(order.desired).surplusPersists(order.desired.count, order.present, now))
    return settled ? this.step(surplus, view, now) : []
  }

  // Standard targets first; of each kind from the domain with the largest surplus, of several the dearest.
  private step (surplus: readonly PlannedOrder[], view: CapacityView, now: number): PlannedOrder[] {
    const price = (index: number): number => view.limits.domainPrices.get(surplus[index]!.desired.domain) ?? 1
    const serving = surplus.map(({ desired, present }) => this.record(desired).lowest(present, now))
    const left = [...serving]
    const excess = (index: number): number => left[index]! - surplus[index]!.desired.count
    for (let allowance = this.allowance(view, now); allowance > 0; allowance--) {
      const candidates = surplus.map((_, index) => index).filter((index) => excess(index) > 0)
      const standard = candidates.filter((index) => !surplus[index]!.desired.preemptible)
      const next = (standard.length > 0 ? standard : candidates).sort((a, b) => excess(b) - excess(a) || price(b) - price(a))[0]
      if (next === undefined) break
      left[next]!--
      this.pacer.noteStep(now)
    }
    return surplus.flatMap(({ desired, present }, index) => left[index]! < serving[index]! ? [{ desired: { ...desired, count: left[index]! }, present }] : [])
  }

  // Engines that have had no work hold no cached segments that would be lost with them.
  private allowance ({ present }: CapacityView, now: number): number {
    return this.history.idleMs(now) > 0 ? present.count : this.pacer.allowance(present.count, now)
  }

  private record ({ domain, preemptible }: Pick<types.DesiredTargets, 'domain' | 'preemptible'>): orderRecord.OrderRecord {
    const key = `${domain}/${preemptible ? 'preemptible' : 'standard'}`
    let record = this.records.get(key)
    if (record === undefined) this.records.set(key, record = new orderRecord.OrderRecord())
    return record
  }

  private supply (domain: string): preemptibleSupply.PreemptibleSupply {
    let supply = this.supplies.get(domain)
    if (supply === undefined) this.supplies.set(domain, supply = new preemptibleSupply.PreemptibleSupply())
    return supply
  }
}

/** Targets that remain when the preemptible ones of any one domain are reclaimed. */
function guaranteedBy (domains: readonly ListedTargets[]): number {
  const standard = domains.reduce((total, domain) => total + domain.standard, 0)
  return standard + capacityPlan.remainingAfter(1, domains.map((domain) => domain.preemptible))
}

function presentOf ({ domain, preemptible }: types.DesiredTargets, view: CapacityView): number {
  const listed = view.domains.find((counts) => counts.domain === domain)
  return (preemptible ? listed?.preemptible : listed?.standard) ?? 0
}
