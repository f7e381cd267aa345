/** Engines of one service that the platform starts and ends as target orders ask, in virtual time. */
import type * as duties from '../duties/index.js'
import * as errors from '../errors/index.js'
import type * as serving from '../serving/index.js'
import type * as time from '../time/index.js'

/** Time from an order to a running engine, and from the end of an engine's service to its exit, in ms. */
const BOOT_MS = 4_000
const DRAIN_MS = 3_000

/** Time for which a reclaimed domain has no preemptible engines, in ms. */
const RECLAIM_MS = 10_000

/** Price of a preemptible engine as a share of the standard price. */
const PREEMPTIBLE_PRICE = 0.22

/** Of the engines that are started, one in this many only prefills. */
const PREFILL_EVERY = 3

interface StartedEngine {
  readonly record: serving.TargetRecord
  readonly readyAt: number
  leavesAt: number
}

/** An order, and when it arrived, in ms. */
export interface ReceivedTargets extends duties.DesiredTargets {
  readonly at: number
}

/** Starts and ends engines; a test reclaims them, and has orders refused, lost or carried out late. */
export class MemoryEngines implements duties.DutyApi {
  /** Orders in the order of arrival. */
  received: ReceivedTargets[] = []
  /** Until when a failure domain has no preemptible engines, in ms. */
  readonly noneUntil = new Map<string, number>()
  /** Time after which an order is carried out, in ms; undefined when it is lost. */
  delayOf: (order: duties.DesiredTargets) => number | undefined = () => 0
  private engines: StartedEngine[] = []
  private started = 0

  /** `create` makes the record of an engine by its number. */
  constructor (private readonly virtual: time.VirtualTime, private readonly create: (index: number, properties: Pick<serving.TargetRecord, 'domain' | 'preemptible' | 'stage'>) => serving.TargetRecord) {}

  async reportUsage (): Promise<errors.Result<void, duties.DutyError>> {
    return errors.Ok(undefined)
  }

  async orderTargets (_stamp: duties.LeaseStamp, desired: duties.DesiredTargets): Promise<errors.Result<void, duties.DutyError>> {
    const now = this.virtual.now()
    this.received.push({ ...desired, at: now })
    const isRaise = desired.count > this.staying(desired.domain, desired.preemptible).length
    if (isRaise && desired.preemptible && now < (this.noneUntil.get(desired.domain) ?? 0)) return errors.Err({ kind: 'refused', message: 'status 409' })
    const delayMs = this.delayOf(desired)
    if (delayMs === 0) this.carryOut(desired)
    else if (delayMs !== undefined) this.virtual.after(delayMs, () => this.carryOut(desired))
    return errors.Ok(undefined)
  }

  /** Starts an engine that serves from `readyAt` on. */
  start (domain: string, preemptible: boolean, readyAt: number): void {
    const index = this.started++
    const stage = index % PREFILL_EVERY === 0 ? 'prefill' : 'decode'
    this.engines.push({ record: this.create(index, { domain, preemptible, stage }), readyAt, leavesAt: Infinity })
  }

  /** Ends the engines of which `isEnded` holds. */
  end (isEnded: (record: serving.TargetRecord) => boolean): void {
    this.engines = this.engines.filter(({ record }) => !isEnded(record))
  }

  /** Ends all preemptible engines of a domain, which has none for a while. */
  reclaim (domain: string): void {
    this.noneUntil.set(domain, this.virtual.now() + RECLAIM_MS)
    this.end((record) => record.domain === domain && record.preemptible)
  }

  /** Records of the engines that run, leaving ones included. */
  listed (): serving.TargetRecord[] {
    return this.running().map(({ record, leavesAt }) => ({ ...record, leaving: leavesAt < Infinity }))
  }

  /** Price of the engines that run or start for one second. */
  get price (): number {
    return this.running(Infinity).reduce((sum, { record }) => sum + (record.preemptible ? PREEMPTIBLE_PRICE : 1), 0)
  }

  private running (readyBy = this.virtual.now()): StartedEngine[] {
    const now = this.virtual.now()
    return this.engines.filter((engine) => engine.readyAt <= readyBy && engine.leavesAt > now)
  }

  private staying (domain: string, preemptible: boolean): StartedEngine[] {
    return this.engines.filter(({ record, leavesAt }) => record.domain === domain && record.preemptible === preemptible && leavesAt === Infinity)
  }

  private carryOut ({ domain, preemptible, count }: duties.DesiredTargets): void {
    const now = this.virtual.now()
    const staying = this.staying(domain, preemptible)
    for (let index = staying.length; index < count; index++) this.start(domain, preemptible, now + BOOT_MS)
    for (const engine of staying.slice(count)) engine.leavesAt = now + DRAIN_MS
  }
}
