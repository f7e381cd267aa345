/** Orders targets while this gateway holds the duties. */
import type * as external from '../external/index.js'
import type * as fleet from '../fleet/index.js'
import type * as log from '../log/index.js'
import type * as serving from '../serving/index.js'
import * as time from '../time/index.js'
import * as z from 'zod'
import type * as lease from './lease.js'
import * as orderPlan from './order-plan.js'
import type * as types from './types.js'

/** Key of the sizes that the services had when the system started for the first time. */
export const SIZES_KEY = 'godwitpoint-duties/sizes'

/** Time between two looks, in ms. */
const LOOK_MS = 700

/** Time without a change of the number of targets after which the first size is taken, in ms. */
const SETTLED_MS = 1_600

/** Time after which an order that has not been filled is placed again, in ms; added to the time of delivery. */
const REPEAT_MS = 1_500

/** Time after which an order that was turned away is placed again, in ms. */
const REFUSED_MS = 2_000

/** Time for which fewer standard targets must be wanted before one is given back, in ms. */
const GIVE_BACK_MS = 3_000

const Sizes = z.record(z.string(), z.int())
type Sizes = z.infer<typeof Sizes>

/** What target orders need from their surroundings. */
export interface TargetOrdersDeps {
  readonly env: time.Env
  readonly store: external.ObjectStore
  readonly lease: lease.Lease
  readonly calls: types.DutyApi
  readonly fleet: fleet.Fleet
  readonly services: () => Iterable<serving.ServingService>
  readonly domains: readonly string[]
  readonly log: log.Logger
}

interface PlacedOrder {
  readonly count: number
  readonly nextAt: number
}

/** Keeps the number of targets as planned. */
export class TargetOrders implements Disposable {
  private task: Disposable | undefined
  private sizes: Sizes | undefined
  private readonly placed = new Map<string, PlacedOrder>()
  private readonly lowerSince = new Map<string, number>()
  private lastCount = -1
  private countSince = 0

  constructor (private readonly deps: TargetOrdersDeps) {}

  /** Starts to look. */
  start (): void {
    const { env, log } = this.deps
    this.task = new time.RepeatingTask(env.timers, LOOK_MS, async () => await this.look(), (err) => log.error({ err }, 'target_orders_failed'))
  }

  [Symbol.dispose] (): void {
    this.task?.[Symbol.dispose]()
  }

  private async look (): Promise<void> {
    this.noteCount()
    if (this.deps.lease.stamp() === undefined) {
      this.placed.clear()
      this.sizes = undefined
      return
    }
    const services = [...this.deps.services()].filter((service) => service.orders !== undefined)
    if (services.length === 0) return
    this.sizes ??= await this.readSizes(services)
    if (this.sizes === undefined) return
    for (const service of services) await this.order(service, this.sizes[service.name] ?? 0)
  }

  private noteCount (): void {
    const count = [...this.deps.fleet.all()].length
    if (count === this.lastCount) return
    this.lastCount = count
    this.countSince = this.deps.env.clock.now()
  }

  /** The sizes in the store; written once, when the targets that were there at first have been listed. */
  private async readSizes (services: readonly serving.ServingService[]): Promise<Sizes | undefined> {
    const found = await this.deps.store.get(SIZES_KEY)
    if (found.err) return undefined
    if (found.val !== undefined) return Sizes.parse(JSON.parse(found.val.value))
    if (this.lastCount === 0 || this.deps.env.clock.now() - this.countSince < SETTLED_MS) return undefined
    const sizes = Object.fromEntries(services.map((service) => [service.name, this.deps.fleet.ofService(service.name).length]))
    const put = await this.deps.store.put(SIZES_KEY, JSON.stringify(sizes), 'absent')
    if (put.err) return undefined
    this.deps.log.info({ sizes }, 'service_sizes_stored')
    return sizes
  }

  private async order (service: serving.ServingService, size: number): Promise<void> {
    if (service.orders === undefined || size === 0) return
    const domains = this.deps.domains.map((domain) => this.count(service.name, domain))
    for (const wish of orderPlan.planOrders({ service: service.name, limits: service.orders, size, domains })) {
      const present = domains.find((one) => one.domain === wish.domain)!
      await this.place(wish, wish.preemptible ? present.preemptible : present.standard, service.orders.deliveryMs)
    }
  }

  private count (service: string, domain: string): orderPlan.DomainTargets {
    const there = this.deps.fleet.ofService(service).filter((state) => state.record.domain === domain && !state.record.leaving)
    const preemptible = there.filter((state) => state.record.preemptible).length
    return { domain, preemptible, standard: there.length - preemptible }
  }

  private async place (wish: types.DesiredTargets, present: number, deliveryMs: number): Promise<void> {
    const key = `${wish.service}/${wish.domain}/${wish.preemptible ? 'preemptible' : 'standard'}`
    const now = this.deps.env.clock.now()
    if (wish.count === present) {
      this.lowerSince.delete(key)
      if (this.placed.get(key)?.count !== wish.count) this.placed.delete(key)
      return
    }
    if (wish.count < present && !this.lowerForLong(key, now)) return
    const placed = this.placed.get(key)
    if (placed !== undefined && placed.count === wish.count && now < placed.nextAt) return
    const stamp = this.deps.lease.stamp()
    if (stamp === undefined) return
    const sent = await this.deps.calls.orderTargets(stamp, wish)
    this.placed.set(key, { count: wish.count, nextAt: now + (sent.ok ? deliveryMs + REPEAT_MS : REFUSED_MS) })
    this.deps.log.info({ ...wish, present, token: stamp.token, outcome: sent.ok ? 'accepted' : sent.val.message }, 'targets_ordered')
  }

  // Targets that are missing for a moment come back; one that is given back is gone.
  private lowerForLong (key: string, now: number): boolean {
    const since = this.lowerSince.get(key)
    if (since === undefined) this.lowerSince.set(key, now)
    return since !== undefined && now - since >= GIVE_BACK_MS
  }
}
