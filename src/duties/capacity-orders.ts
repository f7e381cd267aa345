/** Orders targets by the demand of all gateways, for services with a large fleet of engines. */
import type * as capacity from '../capacity/index.js'
import type * as fleet from '../fleet/index.js'
import type * as log from '../log/index.js'
import type * as metrics from '../metrics/index.js'
import type * as serving from '../serving/index.js'
import type * as time from '../time/index.js'
import type * as lease from './lease.js'
import type * as orderRecord from './order-record.js'
import * as serviceCapacity from './service-capacity.js'
import type * as types from './types.js'

/** Smallest initial size, for each failure domain, with which targets are ordered by demand: one engine is at most 4% of three domains. */
const MIN_SIZE_PER_DOMAIN = 8

/** Dependencies of the orders by demand. */
export interface CapacityOrdersDeps {
  readonly clock: time.Clock
  readonly demand: Pick<capacity.DemandTopic, 'total' | 'segmentTokens' | 'hearsAll'>
  readonly meter: Pick<capacity.DemandMeter, 'throughput'>
  /** Whether this gateway reaches most of the others. */
  readonly reachesMost: () => boolean
  readonly lease: Pick<lease.Lease, 'stamp'>
  readonly dutyApi: types.DutyApi
  readonly fleet: fleet.Fleet
  readonly services: () => Iterable<serving.ServingService>
  readonly domains: readonly string[]
  readonly log: log.Logger
  readonly metrics: metrics.Metrics
}

/** A service with engines that may be ordered. */
type OrderedService = serving.ServingService & Required<Pick<serving.ServingService, 'engine' | 'orders'>>

/** Keeps the number of engines at what the demand needs. */
export class CapacityOrders {
  private readonly states = new Map<string, serviceCapacity.ServiceCapacity>()
  /** Need that was logged last, by service. */
  private readonly loggedNeeds = new Map<string, string>()

  constructor (private readonly deps: CapacityOrdersDeps) {}

  /** Whether the targets of a service with this initial size are ordered by demand. */
  appliesTo (service: serving.ServingService, initialSize: number): boolean {
    return isOrdered(service) && initialSize >= MIN_SIZE_PER_DOMAIN * this.deps.domains.length
  }

  /** Notes the demand so far; called at intervals, also while another gateway has the lease. */
  observe (): void {
    const now = this.deps.clock.now()
    for (const service of this.deps.services()) {
      if (!isOrdered(service)) continue
      const state = this.stateOf(service.name)
      if (!this.deps.demand.hearsAll) state.forgetDemand()
      else state.observe(this.deps.demand.total(service.name), now)
    }
  }

  /** Notes that another gateway has the lease. */
  suspend (): void {
    for (const state of this.states.values()) state.suspend()
  }

  /** Sends the orders that are due for a service to which this applies. */
  async order (service: serving.ServingService, initialSize: number): Promise<void> {
    if (!isOrdered(service)) return
    const state = this.stateOf(service.name)
    const view = this.viewOf(service, initialSize)
    const decision = state.decide(view, this.deps.clock.now())
    this.report(view, decision)
    await Promise.all(decision.orders.map(async (order) => await this.send(state, order, service.orders.deliveryMs)))
  }

  private async send (state: serviceCapacity.ServiceCapacity, order: serviceCapacity.PlannedOrder, deliveryMs: number): Promise<void> {
    const stamp = this.deps.lease.stamp()
    if (stamp === undefined) return
    const result = await this.deps.dutyApi.orderTargets(stamp, order.desired)
    const outcome: orderRecord.OrderOutcome = result.ok ? 'accepted' : result.val.kind
    state.noteOrder(order, outcome, deliveryMs, this.deps.clock.now())
    const { service, preemptible } = order.desired
    this.deps.metrics.count('godwitpoint_target_orders_total', `service="${service}",preemptible="${preemptible}",outcome="${outcome}"`)
    this.deps.log.info({ ...order.desired, present: order.present, token: stamp.token, outcome: result.ok ? outcome : result.val.message }, 'targets_ordered')
  }

  private viewOf (service: OrderedService, initialSize: number): serviceCapacity.CapacityView {
    const targets = this.deps.fleet.ofService(service.name)
    return {
      service: service.name,
      limits: service.orders,
      engine: service.engine,
      initialSize,
      domains: this.deps.domains.map((domain) => countTargets(targets.filter((target) => target.record.domain === domain), domain)),
      present: this.presentEngines(service.name, targets),
      segmentTokens: this.deps.demand.segmentTokens(service.name),
      reachesMost: this.deps.reachesMost()
    }
  }

  private presentEngines (service: string, targets: readonly fleet.TargetState[]): capacity.PresentEngines {
    const serving = targets.filter((target) => !target.record.leaving)
    return {
      count: serving.length,
      mixedCount: serving.filter((target) => target.record.stage !== 'prefill').length,
      tokensPerMs: serving.reduce((sum, target) => sum + this.throughputOf(target), 0),
      prefillTokensPerMs: this.stageThroughput(service, 'prefill'),
      mixedTokensPerMs: this.stageThroughput(service, 'decode'),
      measured: this.deps.meter.throughput(service, 'prefill') !== undefined || this.deps.meter.throughput(service, 'decode') !== undefined
    }
  }

  private stageThroughput (service: string, stage: serving.Stage): number {
    return this.deps.meter.throughput(service, stage) ?? this.deps.fleet.speeds.tokensPerMs({ service, stage })
  }

  // Engines of one stage differ as their measured speeds do.
  private throughputOf (target: fleet.TargetState): number {
    const { service, stage = 'decode' } = target.record
    const relativeSpeed = target.prefillTokensPerMs(this.deps.clock.now()) / this.deps.fleet.speeds.tokensPerMs({ service, stage })
    return relativeSpeed * this.stageThroughput(service, stage)
  }

  private report (view: serviceCapacity.CapacityView, decision: serviceCapacity.CapacityDecision): void {
    const { metrics, log } = this.deps
    const { demand, estimate, need, desired, orders } = decision
    const label = `service="${view.service}"`
    const desiredCount = desired.reduce((sum, targets) => sum + targets.count, 0)
    metrics.set('godwitpoint_engines_needed', label, need.engines)
    metrics.set('godwitpoint_engines_present', label, view.present.count)
    metrics.set('godwitpoint_engines_desired', label, desiredCount)
    const text = `${need.engines}/${need.meanEngines}`
    if (orders.length === 0 && this.loggedNeeds.get(view.service) === text) return
    this.loggedNeeds.set(view.service, text)
    log.info({
      service: view.service,
      need: need.engines,
      mean_need: need.meanEngines,
      present: view.present.count,
      present_mixed: view.present.mixedCount,
      present_tokens_per_ms: round(view.present.tokensPerMs),
      desired: desiredCount,
      tokens_per_ms: round(demand?.latest.prefillTokens),
      mixed_tokens_per_ms: round(demand?.latest.mixedPrefillTokens),
      peak_tokens_per_ms: round(demand?.peakPrefillTokens),
      mean_tokens_per_ms: round(demand?.meanPrefillTokens),
      peak_slots: round(demand?.peakSlots),
      peak_kv_tokens: round(demand?.peakKvTokens),
      segment_tokens: round(view.segmentTokens),
      for_prefill: round(estimate?.forPrefill),
      for_slots: round(estimate?.forSlots),
      for_cache: round(estimate?.forCache),
      late_share: round(demand?.latest.lateShare),
      throughput_measured: view.present.measured,
      pressure: round(decision.pressure),
      observed_ms: round(demand?.observedMs),
      orders: orders.length
    }, 'capacity_planned')
  }

  private stateOf (service: string): serviceCapacity.ServiceCapacity {
    let state = this.states.get(service)
    if (state === undefined) this.states.set(service, state = new serviceCapacity.ServiceCapacity())
    return state
  }
}

function isOrdered (service: serving.ServingService): service is OrderedService {
  return service.orders !== undefined && service.engine !== undefined
}

function countTargets (targets: readonly fleet.TargetState[], domain: string): serviceCapacity.ListedTargets {
  const serving = targets.filter((target) => !target.record.leaving)
  const preemptible = serving.filter((target) => target.record.preemptible).length
  return { domain, preemptible, standard: serving.length - preemptible, leaving: targets.length - serving.length }
}

function round (value: number | undefined): number | undefined {
  return value === undefined ? undefined : Math.round(value * 100) / 100
}
