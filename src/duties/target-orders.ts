/** Orders targets while this gateway holds the lease. */
import * as external from '../external/index.js'
import type * as fleet from '../fleet/index.js'
import type * as log from '../log/index.js'
import type * as serving from '../serving/index.js'
import * as time from '../time/index.js'
import * as validation from '../validation/index.js'
import * as z from 'zod'
import type * as capacityOrders from './capacity-orders.js'
import type * as lease from './lease.js'
import * as orderPlan from './order-plan.js'
import * as orderRecord from './order-record.js'
import type * as types from './types.js'

/** Key of the initial sizes: the number of targets of each service when the system was first started. */
export const SIZES_KEY = 'godwitpoint-duties/sizes'

/** Time between two checks, in ms. */
const CHECK_INTERVAL_MS = 700

/** Time without a change of the number of targets after which the initial sizes are stored, in ms. */
const SIZE_SETTLE_MS = 1_600

/** Time after a restore of the store for which nothing is ordered, in ms; the targets write their records again in it. */
const RESTORE_SETTLE_MS = 2_500

const Sizes = validation.record(z.string(), z.int())
type Sizes = z.infer<typeof Sizes>

/** Dependencies of the target orders. */
export interface TargetOrdersDeps {
  readonly env: time.Env
  readonly store: external.ObjectStore
  readonly eras: external.StoreEras
  readonly lease: Pick<lease.Lease, 'stamp'>
  readonly dutyApi: types.DutyApi
  readonly fleet: fleet.Fleet
  readonly services: () => Iterable<serving.ServingService>
  readonly domains: readonly string[]
  /** Orders by demand; absent where no demand is measured. */
  readonly capacity?: capacityOrders.CapacityOrders | undefined
  readonly log: log.Logger
}

interface PlacedOrder {
  readonly count: number
  readonly reorderAt: number
}

/** Keeps the number of targets at the planned number. */
export class TargetOrders implements Disposable {
  private task: Disposable | undefined
  /** Kept for the life of the process, as a restore of the store may lose the object. */
  private sizes: Sizes | undefined
  /** Era in which this holder has read or written the stored sizes. */
  private sizesEra: number | undefined
  private settledAt = 0
  private readonly placedOrders = new Map<string, PlacedOrder>()
  private readonly surplusSince = new Map<string, number>()
  private targetCount = -1
  private targetCountSince = 0

  constructor (private readonly deps: TargetOrdersDeps) {
    deps.eras.onRestored((era) => this.onRestored(era))
  }

  /** Starts the periodic check. */
  start (): void {
    const { env, log } = this.deps
    this.task = new time.RepeatingTask(env.timers, CHECK_INTERVAL_MS, async () => await this.check(), (err) => log.error({ err }, 'target_orders_failed'))
  }

  [Symbol.dispose] (): void {
    this.task?.[Symbol.dispose]()
  }

  private async check (): Promise<void> {
    this.trackTargetCount()
    this.deps.capacity?.observe()
    if (this.deps.lease.stamp() === undefined) {
      this.surplusSince.clear()
      this.deps.capacity?.suspend()
      this.sizesEra = undefined
      return
    }
    if (this.deps.env.clock.now() < this.settledAt) return
    const services = [...this.deps.services()].filter((service) => service.orders !== undefined)
    if (services.length === 0) return
    const sizes = await this.confirmedSizes(services)
    if (sizes === undefined) return
    for (const service of services) {
      const size = sizes[service.name] ?? 0
      if (this.deps.capacity?.appliesTo(service, size) === true) await this.deps.capacity.order(service, size)
      else await this.orderTargets(service, size)
    }
  }

  private onRestored (era: number): void {
    this.settledAt = this.deps.env.clock.now() + RESTORE_SETTLE_MS
    this.surplusSince.clear()
    this.deps.log.info({ era, settle_ms: RESTORE_SETTLE_MS, sizes_known: this.sizes !== undefined }, 'target_orders_paused')
  }

  private trackTargetCount (): void {
    const count = [...this.deps.fleet.all()].length
    if (count === this.targetCount) return
    this.targetCount = count
    this.targetCountSince = this.deps.env.clock.now()
  }

  private async confirmedSizes (services: readonly serving.ServingService[]): Promise<Sizes | undefined> {
    if (this.sizes !== undefined && this.sizesEra !== undefined && this.sizesEra === this.deps.eras.current) return this.sizes
    const stored = await this.deps.store.get(SIZES_KEY)
    if (stored.err) return undefined
    const sizes = stored.val === undefined ? undefined : validation.decodeJson(Sizes, stored.val.value)
    if (stored.val === undefined || sizes === undefined) return await this.storeSizes(services, stored.val?.version ?? 'absent')
    this.sizes = sizes
    this.sizesEra = external.eraOf(stored.val.version)
    return sizes
  }

  /** Stores the sizes, those that this process knows before the present ones, once the targets have been listed. */
  private async storeSizes (services: readonly serving.ServingService[], expected: external.ExpectedVersion): Promise<Sizes | undefined> {
    const isSettled = this.targetCount > 0 && this.deps.env.clock.now() - this.targetCountSince >= SIZE_SETTLE_MS
    if (this.sizes === undefined && !isSettled) return undefined
    const sizes = this.sizes ?? Object.fromEntries(services.map((service) => [service.name, this.deps.fleet.ofService(service.name).length]))
    const put = await this.deps.store.put(SIZES_KEY, JSON.stringify(sizes), expected)
    if (put.err) return undefined
    this.deps.log.info({ sizes, known: this.sizes !== undefined, malformed: expected !== 'absent' }, 'service_sizes_stored')
    this.sizes = sizes
    this.sizesEra = external.eraOf(put.val.version)
    return sizes
  }

  private async orderTargets (service: serving.ServingService, size: number): Promise<void> {
    if (service.orders === undefined || size === 0) return
    const domainCounts = this.deps.domains.map((domain) => this.countTargets(service.name, domain))
    for (const desired of orderPlan.planOrders({ service: service.name, limits: service.orders, size, domains: domainCounts })) {
      const present = domainCounts.find((counts) => counts.domain === desired.domain)!
      await this.placeOrder(desired, desired.preemptible ? present.preemptible : present.standard, service.orders.deliveryMs)
    }
  }

  private countTargets (service: string, domain: string): orderPlan.DomainTargets {
    const targets = this.deps.fleet.ofService(service).filter((target) => target.record.domain === domain && !target.record.leaving)
    const preemptible = targets.filter((target) => target.record.preemptible).length
    return { domain, preemptible, standard: targets.length - preemptible }
  }

  private async placeOrder (desired: types.DesiredTargets, presentCount: number, deliveryMs: number): Promise<void> {
    const key = `${desired.service}/${desired.domain}/${desired.preemptible ? 'preemptible' : 'standard'}`
    const now = this.deps.env.clock.now()
    if (desired.count === presentCount) {
      this.surplusSince.delete(key)
      if (this.placedOrders.get(key)?.count !== desired.count) this.placedOrders.delete(key)
      return
    }
    if (desired.count > presentCount) this.surplusSince.delete(key)
    else if (!this.surplusPersists(key, now)) return
    const lastOrder = this.placedOrders.get(key)
    if (lastOrder !== undefined && lastOrder.count === desired.count && now < lastOrder.reorderAt) return
    const stamp = this.deps.lease.stamp()
    if (stamp === undefined) return
    const result = await this.deps.dutyApi.orderTargets(stamp, desired)
    this.placedOrders.set(key, { count: desired.count, reorderAt: now + (result.ok ? deliveryMs + orderRecord.REORDER_MARGIN_MS : orderRecord.FAILED_RETRY_MS) })
    this.deps.log.info({ ...desired, present: presentCount, token: stamp.token, outcome: result.ok ? 'accepted' : result.val.message }, 'targets_ordered')
  }

  // A target that is missing for a moment comes back, so a surplus may pass; a released target does not come back.
  private surplusPersists (key: string, now: number): boolean {
    const since = this.surplusSince.get(key)
    if (since === undefined) this.surplusSince.set(key, now)
    return since !== undefined && now - since >= orderRecord.RELEASE_DELAY_MS
  }
}
