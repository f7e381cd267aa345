/** A platform with engines and a load in virtual time, against which the orders by demand are replayed. */
import * as capacity from '../../src/capacity/index.js'
import * as duties from '../../src/duties/index.js'
import * as errors from '../../src/errors/index.js'
import * as external from '../../src/external/index.js'
import * as log from '../../src/log/index.js'
import * as metrics from '../../src/metrics/index.js'
import type * as serving from '../../src/serving/index.js'
import * as standin from '../../src/standin/index.js'
import * as time from '../../src/time/index.js'
import * as build from '../support/gateway-builders.js'

export const DOMAINS = ['w', 'c', 'e']
const BOOT_MS = 4_000
const DRAIN_MS = 3_000
const LIST_DELAY_MS = 300
const STEP_MS = 100
/** Speed of a prefill-only engine as a multiple of that of a mixed one: the speeds that are assumed before any sample. */
const PREFILL_RATIO = 2.5

interface Engine {
  readonly record: serving.TargetRecord
  readonly readyAt: number
  leavesAt: number
}

export interface ReplayOptions {
  readonly perDomain?: number
  readonly max?: number
  readonly domainPrices?: ReadonlyMap<string, number>
  /** Mean number of busy mixed engines at a time, in ms. */
  readonly load: (atMs: number) => number
  /** Stage of the engine with this number. */
  readonly stage?: (index: number) => serving.Stage
  /** Slots in use at a time. */
  readonly slots?: (atMs: number) => number
  /** Plans by the initial size alone, for comparison. */
  readonly presentPlan?: boolean
}

/** Engines, orders and load; `run` advances and measures. */
export class Replay {
  readonly virtual = new time.VirtualTime()
  readonly sent: Array<duties.DesiredTargets & { readonly at: number }> = []
  readonly counters = new metrics.Metrics()
  readonly lines: Array<Record<string, unknown>> = []
  private readonly fleet = build.aFleet(this.virtual, [])
  private engines: Engine[] = []
  private made = 0
  private work = capacity.NO_WORK
  /** Until when a domain has no preemptible engines. */
  readonly noneUntil = new Map<string, number>()
  /** Orders that are lost or delayed: how an order is carried out, ms later; undefined: never. */
  delayOf: (order: duties.DesiredTargets) => number | undefined = () => 0
  holdsLease = true
  isRelay = true
  reachesMost = true
  paid = 0
  /** Highest share of the engines' time that the load took, from `measureFrom` on. */
  worst = 0
  measureFrom = 0

  constructor (private readonly options: ReplayOptions) {
    const { perDomain = 33, max = 66, domainPrices = new Map() } = options
    for (const domain of DOMAINS) for (let index = 0; index < perDomain; index++) this.add(domain, false, 0)
    const service = build.aService({
      engine: { slots: 64, kvCapacityTokens: 464_000 },
      orders: { min: 1, max, deliveryMs: BOOT_MS, preemptiblePrice: 0.22, domainPrices }
    })
    const note = (fields: object, event: string): void => { this.lines.push({ event, ...fields }) }
    const logger = { ...log.SILENT_LOGGER, info: note }
    const eras = new external.StoreEras()
    const shared = { lease: { stamp: () => this.holdsLease ? { holder: 'a', token: 1 } : undefined }, dutyApi: this.dutyApi(), fleet: this.fleet, services: () => [service], domains: DOMAINS, log: logger }
    const capacityOrders = new duties.CapacityOrders({ ...shared, clock: this.virtual, demand: { total: () => this.work, segmentTokens: () => 0 }, isRelay: () => this.isRelay, reachesMost: () => this.reachesMost, metrics: this.counters })
    this.list()
    new duties.TargetOrders({ ...shared, env: this.virtual.env(1), store: new standin.MemoryStore(this.virtual).client(eras), eras, capacity: options.presentPlan === true ? undefined : capacityOrders }).start()
  }

  async run (seconds: number, onStep: () => void = () => {}): Promise<void> {
    for (let step = 0; step < seconds * 1_000 / STEP_MS; step++) {
      await this.virtual.advance(STEP_MS)
      this.measure()
      if (this.virtual.now() % LIST_DELAY_MS === 0) this.list()
      onStep()
    }
  }

  /** Engines that accept work. */
  count (domain?: string, preemptible?: boolean): number {
    return this.serving().filter(({ record }) => (domain === undefined || record.domain === domain) && (preemptible === undefined || record.preemptible === preemptible)).length
  }

  /** Takes all preemptible engines of a domain; none come for 10 s. */
  reclaim (domain: string): void {
    const now = this.virtual.now()
    this.noneUntil.set(domain, now + 10_000)
    for (const engine of this.engines) if (engine.record.domain === domain && engine.record.preemptible) engine.leavesAt = Math.min(engine.leavesAt, now)
    this.engines = this.engines.filter((engine) => engine.leavesAt > now)
    this.list()
  }

  /** Removes all engines of a stage; those that are ordered later come in any. */
  removeStage (stage: serving.Stage): void {
    this.engines = this.engines.filter((engine) => engine.record.stage !== stage)
    this.list()
  }

  get capacity (): number {
    return this.serving().reduce((sum, { record }) => sum + (record.stage === 'prefill' ? PREFILL_RATIO : 1), 0)
  }

  get mixed (): number {
    return this.serving().filter(({ record }) => record.stage === 'decode').length
  }

  private serving (): Engine[] {
    const now = this.virtual.now()
    return this.engines.filter((engine) => engine.readyAt <= now && engine.leavesAt === Infinity)
  }

  private measure (): void {
    const now = this.virtual.now()
    const load = this.options.load(now)
    this.work = capacity.addWork(this.work, { ...capacity.NO_WORK, mixedPrefillMs: load * STEP_MS, slotMs: (this.options.slots?.(now) ?? 0) * STEP_MS, calls: load > 0 ? 10 : 0 })
    this.engines = this.engines.filter((engine) => engine.leavesAt > now)
    if (now >= this.measureFrom) this.worst = Math.max(this.worst, load / this.capacity)
    for (const { record } of this.engines) this.paid += (record.preemptible ? 0.22 : 1) * (this.options.domainPrices?.get(record.domain) ?? 1) * STEP_MS / 1_000
  }

  private add (domain: string, preemptible: boolean, readyAt: number): void {
    const index = this.made++
    const stage = this.options.stage?.(index) ?? (index % 3 === 0 ? 'prefill' : 'decode')
    this.engines.push({ record: build.aTarget(`e${index}`, { domain, preemptible, stage, slots: 64, address: `10.0.${index >> 8}.${index & 255}:1` }), readyAt, leavesAt: Infinity })
  }

  private list (): void {
    const now = this.virtual.now()
    this.fleet.apply(this.engines.filter((engine) => engine.readyAt <= now).map((engine) => ({ ...engine.record, leaving: engine.leavesAt < Infinity })))
  }

  private dutyApi (): duties.DutyApi {
    return {
      reportUsage: async () => errors.Ok(undefined),
      orderTargets: async (_stamp, desired) => {
        this.sent.push({ ...desired, at: this.virtual.now() })
        if (desired.preemptible && this.virtual.now() < (this.noneUntil.get(desired.domain) ?? 0) && desired.count > this.count(desired.domain, true)) return errors.Err({ kind: 'refused', message: 'status 409' } as const)
        const delayMs = this.delayOf(desired)
        if (delayMs === 0) this.carryOut(desired)
        else if (delayMs !== undefined) this.virtual.after(delayMs, () => this.carryOut(desired))
        return errors.Ok(undefined)
      }
    }
  }

  private carryOut ({ domain, preemptible, count }: duties.DesiredTargets): void {
    const now = this.virtual.now()
    const staying = this.engines.filter((engine) => engine.record.domain === domain && engine.record.preemptible === preemptible && engine.leavesAt === Infinity)
    for (let index = staying.length; index < count; index++) this.add(domain, preemptible, now + BOOT_MS)
    for (const engine of staying.slice(count)) engine.leavesAt = now + DRAIN_MS
  }
}
