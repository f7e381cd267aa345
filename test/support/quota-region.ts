/** Gateways with quotas in virtual time, over a simulated exchange with delay, loss, partitions, kills and suspensions. */
import * as errors from '../../src/errors/index.js'
import type * as exchange from '../../src/exchange/index.js'
import * as log from '../../src/log/index.js'
import * as metrics from '../../src/metrics/index.js'
import type * as peer from '../../src/peer/index.js'
import * as quota from '../../src/quota/index.js'
import * as serving from '../../src/serving/index.js'
import * as time from '../../src/time/index.js'

export const ACCOUNT = 'acc'

/** Interval of the exchange, time after which a link has ended, and interval at which the list of gateways is read, in ms. */
const SYNC_MS = 100
const LINK_MS = 700
const LIST_MS = 2_000

/** Longest time from the write of a call to its execution, in ms. */
const MAX_TRANSIT_MS = 250

/** Gateways up to which all exchange with all; with more, the first three are relays. */
const ALL_RELAYS = 8
const RELAYS = 3

/** A call that was executed. */
export interface Execution {
  readonly at: number
  readonly cost: number
}

/** How a call goes on once it is admitted. */
export interface CallCourse {
  /** Time from the admission to the first send, in ms. */
  readonly waitMs?: number
  /** Sends that targets reject without executing them, before the one that is executed. */
  readonly rejections?: number
  /** Whether the caller leaves before the first send. */
  readonly leaves?: boolean
}

export function aQuota (ratePerS: number, burst = ratePerS): serving.AccountQuota {
  return { unit: 'tokens', ratePerMs: ratePerS / 1_000, burst, plainTokens: 200 }
}

export class QuotaGateway {
  readonly handlers = new Map<string, peer.PeerHandler>()
  readonly quotas: quota.Quotas
  readonly metrics = new metrics.Metrics()
  readonly events: string[] = []
  alive = true
  private suspendedMs = 0
  private suspendedAt: number | undefined
  private readonly deferred: Array<() => void> = []
  private readonly heardAt = new Map<string, number>()
  private readonly links = new Map<string, string>()
  private readonly positions = new Map<string, number>()
  private listed: ReadonlySet<string> = new Set()
  private readonly wasListed: boolean

  constructor (private readonly region: QuotaRegion, readonly name: string, readonly incarnation: string, readonly index: number) {
    const { virtual } = region
    const clock: time.Clock = { now: () => (this.suspendedAt ?? virtual.now()) - this.suspendedMs, wallTimeMs: () => virtual.wallTimeMs() }
    const timers: time.Timers = {
      after: (ms, fn) => virtual.after(ms, () => this.do(fn)),
      every: (ms, fn) => virtual.every(ms, () => this.do(fn))
    }
    const env = { clock, timers, random: region.random }
    const peers: peer.Peers = { handle: (method, handler) => { this.handlers.set(method, handler) }, call: async (address, method, params, timeoutMs) => await region.call(this, address, method, params, timeoutMs) }
    this.wasListed = region.listed.has(name)
    const logger: log.Logger = { ...log.SILENT_LOGGER, info: (_fields, event) => { this.events.push(event) }, error: (fields) => { throw new Error(JSON.stringify(fields)) } }
    this.quotas = new quota.Quotas({ env, elapsed: new serving.ElapsedClock(clock), bounds: region.bounds, peers, gateways: () => this.gateways(), log: logger, metrics: this.metrics })
    this.readList()
    timers.every(LIST_MS, () => this.readList())
    timers.every(SYNC_MS, () => region.sync(this))
    this.quotas.start()
  }

  /** Runs `fn` in this process: never when it is dead, and after the suspension while it is suspended. */
  do (fn: () => void): void {
    if (!this.alive) return
    if (this.suspendedAt === undefined) fn()
    else this.deferred.push(fn)
  }

  suspend (): void {
    this.suspendedAt ??= this.region.virtual.now()
  }

  resume (): void {
    if (this.suspendedAt === undefined) return
    this.suspendedMs += this.region.virtual.now() - this.suspendedAt
    this.suspendedAt = undefined
    for (const fn of this.deferred.splice(0)) this.do(fn)
  }

  /** The changes for another gateway, and the other one's part in the exchange. */
  changesFor (to: QuotaGateway): exchange.Changes | undefined {
    return this.quotas.topic.changesSince(this.link(to), this.positions.get(to.name))
  }

  hear (from: QuotaGateway, changes: exchange.Changes | undefined): void {
    this.heardAt.set(from.name, this.region.virtual.now())
    if (changes === undefined) return
    this.quotas.topic.apply(this.link(from), changes.payload)
    from.positions.set(this.name, changes.next)
  }

  /** Sends a call through this gateway. */
  run (tokens: number, course: CallCourse = {}): void {
    const admit = async (): Promise<void> => {
      const admitted = await this.quotas.admit(ACCOUNT, tokens)
      if (admitted instanceof errors.Refusal) this.region.refusals.push(admitted.detail.retryAfterMs!)
      else if (admitted !== undefined) this.region.virtual.after(course.waitMs ?? 0, () => this.do(() => this.send(admitted, tokens, course)))
    }
    admit().catch((err: unknown) => { throw err })
  }

  private send (credit: quota.ChargedCall, tokens: number, course: CallCourse): void {
    if (course.leaves !== true && credit.mayWrite()) {
      const rejections = course.rejections ?? 0
      const transitMs = this.region.random.next() * MAX_TRANSIT_MS
      if (rejections === 0) this.region.virtual.after(transitMs, () => this.region.execute(tokens))
      else {
        this.region.virtual.after(transitMs + 300, () => this.do(() => {
          credit.noteNotExecuted()
          this.send(credit, tokens, { ...course, rejections: rejections - 1 })
        }))
        return
      }
    }
    this.quotas.end(credit, undefined)
  }

  private link (to: QuotaGateway): exchange.Link {
    const former = this.links.get(to.name)
    const kind = this.region.linkKind(this, to)
    const link = { gateway: to.name, incarnation: to.incarnation, kind }
    if (former !== undefined && former !== to.incarnation) {
      this.quotas.topic.linkEnded(link)
      this.positions.delete(to.name)
    }
    this.links.set(to.name, to.incarnation)
    return link
  }

  private gateways (): quota.Gateways {
    const now = this.region.virtual.now()
    const others = [...this.region.gateways.values()].filter((other) => other !== this)
    // Beyond the relays, contact is what the relay tells.
    const hears = (other: QuotaGateway): boolean => this.region.gateways.size > ALL_RELAYS ? other.alive && this.region.reaches(this, other) : now - (this.heardAt.get(other.name) ?? -Infinity) < LINK_MS
    const inContact = others.filter(hears).map(({ name }) => ({ name, peer: name }))
    return { known: new Set([this.name, ...this.listed, ...inContact.map(({ name }) => name)]).size, inContact, registered: true, wasListed: this.wasListed }
  }

  private readList (): void {
    this.region.listed.add(this.name)
    this.listed = new Set(this.region.listed)
  }
}

export class QuotaRegion {
  readonly virtual = new time.VirtualTime()
  readonly random = new time.SeededRandom(7)
  readonly gateways = new Map<string, QuotaGateway>()
  /** Names in the store's list. */
  readonly listed = new Set<string>()
  readonly executions: Execution[] = []
  /** Retry-after of the refused calls, in ms. */
  readonly refusals: number[] = []
  /** Side of a partition, by name. */
  readonly sides = new Map<string, number>()
  lossRate = 0
  maxDelayMs = 20
  private starts = 0
  private config: readonly serving.ServingAccount[] = []

  constructor (readonly bounds: quota.QuotaBounds) {}

  start (name: string): QuotaGateway {
    const gateway = new QuotaGateway(this, name, `${name}-${this.starts++}`, Number(name.slice(1)))
    this.gateways.set(name, gateway)
    gateway.quotas.applyConfig(this.config)
    return gateway
  }

  startMany (count: number): QuotaGateway[] {
    return Array.from({ length: count }, (_, index) => this.start(`g${index}`))
  }

  /** Puts a quota in force: at each gateway within `withinMs`. */
  setQuota (accountQuota: serving.AccountQuota | undefined, withinMs = 0): void {
    this.config = [{ name: ACCOUNT, keys: [], quota: accountQuota }]
    const { config } = this
    for (const gateway of this.gateways.values()) {
      this.virtual.after(this.random.next() * withinMs, () => { if (config === this.config) gateway.quotas.applyConfig(config) })
    }
  }

  execute (cost: number): void {
    this.executions.push({ at: this.virtual.now(), cost })
  }

  reaches (a: QuotaGateway, b: QuotaGateway): boolean {
    return (this.sides.get(a.name) ?? 0) === (this.sides.get(b.name) ?? 0)
  }

  linkKind (from: QuotaGateway, to: QuotaGateway): exchange.LinkKind {
    if (this.gateways.size <= ALL_RELAYS) return 'fellow'
    if (to.index < RELAYS) return from.index < RELAYS ? 'fellow' : 'relay'
    return 'member'
  }

  /** One exchange of a gateway with those that it has links to. */
  sync (from: QuotaGateway): void {
    for (const to of this.gateways.values()) {
      const isLinked = this.gateways.size <= ALL_RELAYS || (from.index < RELAYS ? to.index < RELAYS || to.index % RELAYS === from.index : to.index === from.index % RELAYS)
      if (to === from || !isLinked) continue
      const changes = from.changesFor(to)
      this.deliver(from, to, () => to.hear(from, changes))
    }
  }

  async call<T> (from: QuotaGateway, address: string, method: string, params: unknown, timeoutMs: number): Promise<errors.Result<T, peer.PeerError>> {
    return await new Promise((resolve) => {
      const timer = from.do.bind(from)
      this.virtual.after(timeoutMs, () => timer(() => resolve(errors.Err({ kind: 'timeout', message: 'no reply' }))))
      const to = this.gateways.get(address)
      if (to === undefined) return
      this.deliver(from, to, () => {
        to.handlers.get(method)!(JSON.parse(JSON.stringify(params))).then((reply) => {
          this.deliver(to, from, () => resolve(errors.Ok(reply as T)))
        }).catch((err: unknown) => { throw err })
      })
    })
  }

  private deliver (from: QuotaGateway, to: QuotaGateway, fn: () => void): void {
    if (!this.reaches(from, to) || this.random.next() < this.lossRate) return
    this.virtual.after(1 + this.random.next() * this.maxDelayMs, () => to.do(fn))
  }
}
