/** In-memory platform: object store, VM list, target ordering and usage reports. */
import { Err, Ok, type Result } from '../errors/index.js'
import type {
  OrderedTarget, OrderError, Platform, ReportError, StoreError, TargetOrder, TargetOrdering, UsageBill, UsageReports, VmDirectory, VmRecord
} from '../external/index.js'
import type { PriceClass } from '../schema/index.js'
import { delay, type Env } from '../time/index.js'
import { MemoryStore } from './memory-store.js'

/** Time from an order to a running target, in ms; longer than the request mix takes to change. */
const DELIVERY_MS = 120_000

/** Price of a target per hour, by price class. */
const PRICE_PER_HOUR: Readonly<Record<PriceClass, number>> = { standard: 4, preemptible: 1.2 }

/** Faults of the ordering and report interfaces. */
export interface PlatformFaults {
  down: boolean
  /** Number of next calls that are executed but whose reply is lost. */
  loseReplies: number
  /** Failure domains that have no preemptible targets to offer. */
  outOfStock: Set<string>
}

/** All interfaces of the platform, in memory. */
export class MemoryPlatform implements Platform {
  readonly store: MemoryStore
  readonly vms: MemoryVms
  readonly ordering: MemoryOrdering
  readonly reports: MemoryReports

  constructor (env: Env, deliveryMs = DELIVERY_MS) {
    this.store = new MemoryStore(env.timers)
    this.vms = new MemoryVms()
    this.ordering = new MemoryOrdering(env, deliveryMs)
    this.reports = new MemoryReports(env)
  }
}

/** VM list that tests edit; a lagging list is simulated by editing it late. */
export class MemoryVms implements VmDirectory {
  readonly records = new Map<string, VmRecord>()
  down = false

  async list (): Promise<Result<readonly VmRecord[], StoreError>> {
    return this.down ? Err({ kind: 'unavailable', message: 'VM list is down' }) : Ok([...this.records.values()])
  }
}

/** Target orders, idempotent by token: a repeated order returns the target of the first one. */
export class MemoryOrdering implements TargetOrdering {
  readonly faults: PlatformFaults = { down: false, loseReplies: 0, outOfStock: new Set() }
  readonly targets = new Map<string, OrderedTarget>()
  /** Orders in the order of arrival, for assertions. */
  readonly received: Array<TargetOrder & { readonly at: number }> = []
  /** Starts the server of a delivered target and returns its URL. */
  startTarget: (target: OrderedTarget) => Promise<string> = async (target) => `http://127.0.0.1:1/${target.name}`
  private targetCount = 0

  constructor (private readonly env: Env, private readonly deliveryMs: number) {}

  async order (order: TargetOrder): Promise<Result<OrderedTarget, OrderError>> {
    await delay(this.env.timers, 2)
    if (this.faults.down) return Err({ kind: 'unavailable', message: 'ordering is down' })
    this.received.push({ ...order, at: this.env.clock.now() })
    return this.loseReplyIfDue(this.placeOrder(order))
  }

  async release (name: string, token: string): Promise<Result<void, OrderError>> {
    await delay(this.env.timers, 2)
    if (this.faults.down) return Err({ kind: 'unavailable', message: 'ordering is down' })
    const target = this.targets.get(name)
    if (target === undefined || target.token !== token) return Err({ kind: 'refused', message: `unknown target ${name}` })
    this.targets.set(name, { ...target, state: 'released' })
    return this.loseReplyIfDue(Ok(undefined))
  }

  async list (): Promise<Result<readonly OrderedTarget[], OrderError>> {
    await delay(this.env.timers, 2)
    return this.faults.down ? Err({ kind: 'unavailable', message: 'ordering is down' }) : Ok([...this.targets.values()])
  }

  /** Announces that the preemptible targets of a failure domain are reclaimed at `at` (ms since the Unix epoch). */
  reclaim (domain: string, at: number): void {
    for (const target of this.targets.values()) {
      if (target.domain === domain && target.priceClass === 'preemptible' && target.state !== 'released') {
        this.targets.set(target.name, { ...target, state: 'reclaiming', reclaimAt: at })
      }
    }
  }

  private placeOrder (order: TargetOrder): Result<OrderedTarget, OrderError> {
    const existing = [...this.targets.values()].find((target) => target.token === order.token)
    if (existing !== undefined) return Ok(existing)
    if (order.priceClass === 'preemptible' && this.faults.outOfStock.has(order.domain)) {
      return Err({ kind: 'out_of_stock', message: `no preemptible targets in ${order.domain}` })
    }
    const { token, service, domain, priceClass } = order
    const name = `${service}-${domain}-p${++this.targetCount}`
    const target: OrderedTarget = {
      token, name, service, domain, priceClass, state: 'pending', url: '', price: PRICE_PER_HOUR[priceClass], checksFence: true
    }
    this.targets.set(name, target)
    this.env.timers.after(this.deliveryMs, () => { this.deliver(name).catch(() => {}) })
    return Ok(target)
  }

  private async deliver (name: string): Promise<void> {
    const target = this.targets.get(name)
    if (target?.state !== 'pending') return
    const url = await this.startTarget(target)
    if (this.targets.get(name)?.state === 'pending') this.targets.set(name, { ...target, state: 'running', url })
  }

  private loseReplyIfDue<T> (outcome: Result<T, OrderError>): Result<T, OrderError> {
    if (this.faults.loseReplies === 0) return outcome
    this.faults.loseReplies--
    return Err({ kind: 'unknown', message: 'reply lost' })
  }
}

/** Usage reports; the first figures for a window and account are final. */
export class MemoryReports implements UsageReports {
  readonly faults = { down: false, loseReplies: 0 }
  readonly bills = new Map<string, UsageBill>()
  /** Reports in the order of arrival, for assertions. */
  readonly received: UsageBill[] = []

  constructor (private readonly env: Env) {}

  async report (bill: UsageBill): Promise<Result<'accepted' | 'already_reported', ReportError>> {
    await delay(this.env.timers, 2)
    if (this.faults.down) return Err({ kind: 'unavailable', message: 'reports are down' })
    this.received.push(bill)
    const outcome = this.recordBill(bill)
    if (this.faults.loseReplies === 0) return outcome
    this.faults.loseReplies--
    return Err({ kind: 'unknown', message: 'reply lost' })
  }

  private recordBill (bill: UsageBill): Result<'accepted' | 'already_reported', ReportError> {
    const key = `${bill.window}/${bill.account}`
    const firstBill = this.bills.get(key)
    if (firstBill === undefined) {
      this.bills.set(key, bill)
      return Ok('accepted')
    }
    if (JSON.stringify(firstBill.rows) === JSON.stringify(bill.rows)) return Ok('already_reported')
    return Err({ kind: 'conflict', message: `window ${bill.window} of ${bill.account} was reported with other figures` })
  }
}
