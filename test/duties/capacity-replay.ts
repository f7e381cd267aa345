/** Engines and a load in virtual time, against which the orders by demand are replayed. */
import * as capacity from '../../src/capacity/index.js'
import * as duties from '../../src/duties/index.js'
import * as external from '../../src/external/index.js'
import * as log from '../../src/log/index.js'
import * as metrics from '../../src/metrics/index.js'
import * as standin from '../../src/standin/index.js'
import * as time from '../../src/time/index.js'
import * as build from '../support/gateway-builders.js'

export const DOMAINS = ['w', 'c', 'e']
const LIST_INTERVAL_MS = 300
const STEP_MS = 100
/** Speed of a prefill-only engine as a multiple of that of a mixed one: the speeds that are assumed before any sample. */
const PREFILL_RATIO = 2.5
const MIXED_TOKENS_PER_MS = 40

export interface ReplayOptions {
  readonly perDomain?: number
  readonly max?: number
  /** Mean number of busy mixed engines, and slots in use, at a time in ms. */
  readonly load: (atMs: number) => number
  readonly slots?: (atMs: number) => number
  /** Plans by the initial size alone, for comparison. */
  readonly presentPlan?: boolean
}

/** Engines, orders and load; `run` advances and measures. */
export class Replay {
  readonly virtual = new time.VirtualTime()
  readonly engines = new standin.MemoryEngines(this.virtual, (index, properties) => build.aTarget(`e${index}`, { ...properties, slots: 64, address: `10.0.${index >> 8}.${index & 255}:1` }))
  readonly counters = new metrics.Metrics()
  readonly lines: Array<Record<string, unknown>> = []
  private readonly fleet = build.aFleet(this.virtual, [])
  private work = capacity.NO_WORK
  holdsLease = true
  hearsDemand = true
  reachesMost = true
  /** Price of all engine seconds so far. */
  paid = 0
  /** Highest share of the engines' time that the load took. */
  worst = 0

  constructor (private readonly options: ReplayOptions) {
    const { perDomain = 33, max = 66, presentPlan = false } = options
    for (const domain of DOMAINS) for (let index = 0; index < perDomain; index++) this.engines.start(domain, false, 0)
    const orders = { min: 1, max, deliveryMs: 4_000, preemptiblePrice: 0.22, domainPrices: new Map() }
    const service = build.aService({ engine: { slots: 64, kvCapacityTokens: 464_000 }, orders })
    const logger = { ...log.SILENT_LOGGER, info: (fields: object, event: string): void => { this.lines.push({ event, ...fields }) } }
    const eras = new external.StoreEras()
    const shared = { lease: { stamp: () => this.holdsLease ? { holder: 'a', token: 1 } : undefined }, dutyApi: this.engines, fleet: this.fleet, services: () => [service], domains: DOMAINS, log: logger }
    const isHeard = (): boolean => this.hearsDemand
    const demand = { total: () => this.work, segmentTokens: () => 0, get hearsAll () { return isHeard() } }
    const byDemand = new duties.CapacityOrders({ ...shared, clock: this.virtual, demand, meter: { throughput: (_, stage) => stage === 'prefill' ? MIXED_TOKENS_PER_MS * PREFILL_RATIO : MIXED_TOKENS_PER_MS }, reachesMost: () => this.reachesMost, metrics: this.counters })
    this.fleet.apply(this.engines.listed())
    new duties.TargetOrders({ ...shared, env: this.virtual.env(1), store: new standin.MemoryStore(this.virtual).client(eras), eras, capacity: presentPlan ? undefined : byDemand }).start()
  }

  async run (seconds: number, onStep: () => void = () => {}): Promise<void> {
    for (let step = 0; step < seconds * 1_000 / STEP_MS; step++) {
      await this.virtual.advance(STEP_MS)
      this.measure()
      if (this.virtual.now() % LIST_INTERVAL_MS === 0) this.fleet.apply(this.engines.listed())
      onStep()
    }
  }

  /** Engines that accept work. */
  count (domain?: string, preemptible?: boolean): number {
    return this.serving().filter((record) => (domain === undefined || record.domain === domain) && (preemptible === undefined || record.preemptible === preemptible)).length
  }

  get mixed (): number {
    return this.serving().filter((record) => record.stage !== 'prefill').length
  }

  get capacity (): number {
    return this.mixed + (this.serving().length - this.mixed) * PREFILL_RATIO
  }

  private serving (): ReturnType<standin.MemoryEngines['listed']> {
    return this.engines.listed().filter((record) => !record.leaving)
  }

  private measure (): void {
    const load = this.options.load(this.virtual.now())
    const slots = this.options.slots?.(this.virtual.now()) ?? 0
    this.work = capacity.addWork(this.work, { ...capacity.NO_WORK, mixedPrefillTokens: load * MIXED_TOKENS_PER_MS * STEP_MS, slotMs: slots * STEP_MS, calls: load > 0 ? 10 : 0 })
    this.worst = Math.max(this.worst, load / this.capacity)
    this.paid += this.engines.price * STEP_MS / 1_000
  }
}
