/** A gateway process: composes the parts and stops them in order. */
import * as directory from '../directory/index.js'
import * as duties from '../duties/index.js'
import type * as external from '../external/index.js'
import * as fleet from '../fleet/index.js'
import * as forward from '../forward/index.js'
import type * as calls from '../call/index.js'
import type * as log from '../log/index.js'
import type * as metrics from '../metrics/index.js'
import * as peer from '../peer/index.js'
import * as placement from '../placement/index.js'
import * as retry from '../retry/index.js'
import * as serving from '../serving/index.js'
import * as time from '../time/index.js'
import * as upstream from '../upstream/index.js'
import * as gateway from './gateway.js'
import * as httpFrontend from './http-frontend.js'
import type * as types from './types.js'

/** Time after the start of a stop for which new calls are taken: callers keep the addresses that they were told, in ms. */
const TAKE_CALLS_MS = 3_200

/** Time before the end of the grace period at which the last calls are ended, in ms. */
const LAST_CALLS_MS = 1_200

/** Time before the end of the grace period at which the process ends, in ms. */
const EXIT_MARGIN_MS = 600

/** Time between two looks whether the last call has ended, in ms. */
const IDLE_LOOK_MS = 50

/** Time allowed for giving back what others wait for, in ms. */
const HAND_BACK_MS = 1_000

/** Settings of a gateway process. */
export interface NodeSettings {
  readonly name: string
  /** Changes with each start of a process. */
  readonly incarnation: string
  readonly domain: string
  /** All failure domains in which targets may be ordered. */
  readonly domains: readonly string[]
  readonly frontHost: string
  readonly frontPort: number
  readonly peerHost: string
  readonly peerPort: number
  readonly bounds: gateway.GatewayBounds & {
    readonly retryLimits: retry.RetryLimits
    /** Time after its acknowledgement from which a leaving target must get no new work, in ms. */
    readonly leavePropagationMs: number
    /** Time that a stop may take, in ms. */
    readonly graceMs: number
    /** Time within which holders of duties must not take turns, in ms. */
    readonly takeoverDelayMs: number
    readonly usageWindowMs: number
  }
}

/** What the adapter supplies. */
export interface NodeDeps {
  readonly settings: NodeSettings
  readonly env: time.Env
  readonly store: external.ObjectStore
  readonly callerProtocol: types.CallerProtocol
  readonly targetProtocol: calls.TargetProtocol & calls.CacheProtocol
  readonly dutyCalls: duties.DutyApi
  readonly config: Pick<serving.ConfigFeedDeps, 'key' | 'decode'>
  readonly targets: Pick<fleet.FleetFeedDeps, 'prefix' | 'decode'>
  readonly log: log.Logger
  readonly metrics: metrics.Metrics
}

/** The parts of a running gateway. */
export class GatewayNode implements AsyncDisposable {
  private readonly elapsed: serving.ElapsedClock
  private readonly feed: serving.ConfigFeed
  private readonly fleet: fleet.Fleet
  private readonly fleetFeed: fleet.FleetFeed
  private readonly cacheFeed: fleet.CacheFeed
  private readonly pool: upstream.ConnectionPool
  private readonly peers: peer.TcpPeers
  private readonly directory: directory.Directory
  private readonly gateway: gateway.Gateway
  private readonly front: httpFrontend.HttpFrontend
  private readonly lease: duties.Lease
  private readonly ledger: duties.UsageLedger
  private readonly closer: duties.UsageCloser
  private readonly orders: duties.TargetOrders
  private readonly budgets = new Map<string, retry.SharedRetryBudget>()
  private stopAt: number | undefined

  constructor (private readonly deps: NodeDeps) {
    const { env, store, log, metrics, settings } = deps
    this.elapsed = new serving.ElapsedClock(env.clock)
    this.feed = new serving.ConfigFeed({ env, elapsed: this.elapsed, store, propagationMs: settings.bounds.configPropagationMs, log, metrics, ...deps.config })
    this.pool = new upstream.ConnectionPool({ env, metrics })
    this.fleet = new fleet.Fleet({ clock: env.clock, log, onRemoved: (address) => this.pool.drop(address) })
    this.fleetFeed = new fleet.FleetFeed({ env, store, fleet: this.fleet, leavePropagationMs: settings.bounds.leavePropagationMs, log, ...deps.targets })
    this.peers = new peer.TcpPeers(env.timers)
    this.directory = new directory.Directory({ env, store, peers: this.peers, fleet: this.fleet, self: this.record(), ready: () => this.ready, log })
    this.cacheFeed = this.createCacheFeed()
    const takeoverDelayMs = settings.bounds.takeoverDelayMs
    this.lease = new duties.Lease({ env, elapsed: this.elapsed, store, holder: settings.name, incarnation: settings.incarnation, takeoverDelayMs, log })
    const windowMs = settings.bounds.usageWindowMs
    this.ledger = new duties.UsageLedger({ env, store, name: `${settings.name}.${settings.incarnation}`, windowMs, log })
    const collector = new duties.UsageCollector({ peers: this.peers, ledger: this.ledger, peerAddresses: () => this.directory.peerAddresses() })
    this.closer = new duties.UsageCloser({ env, store, lease: this.lease, dutyApi: deps.dutyCalls, collector, windowMs, log })
    this.orders = this.createOrders()
    this.gateway = this.createGateway()
    const limits = (): serving.CallerLimits | undefined => this.feed.current()?.config.limits
    this.front = new httpFrontend.HttpFrontend({ env, protocol: deps.callerProtocol, handler: this.gateway, limits, log, metrics })
    this.feed.onChange((config) => this.front.applyLimits(config.limits))
  }

  /** Opens the sockets and starts the tasks. */
  async start (): Promise<void> {
    const { settings } = this.deps
    this.feed.start()
    this.fleetFeed.start()
    this.cacheFeed.start()
    await this.peers.listen(settings.peerHost, settings.peerPort)
    await this.front.listen(settings.frontHost, settings.frontPort)
    this.directory.start()
    this.lease.start()
    this.ledger.start()
    this.closer.start()
    this.orders.start()
  }

  /** Whether callers are served. */
  get ready (): boolean {
    return this.stopAt === undefined && this.gateway.keysAreFresh && this.fleetFeed.ready
  }

  /** Addresses that callers are told. */
  addresses (): string[] {
    return this.directory.addresses()
  }

  /** Stops: hands back duties, serves what comes until callers have other addresses, and ends the last calls. */
  async stop (): Promise<void> {
    const { env, settings } = this.deps
    if (this.stopAt !== undefined) return
    this.stopAt = env.clock.now()
    const endAt = this.stopAt + settings.bounds.graceMs - EXIT_MARGIN_MS
    this.front.beginClose()
    this.closer[Symbol.dispose]()
    this.orders[Symbol.dispose]()
    await time.withTimeout(env.timers, HAND_BACK_MS, this.handBack(), () => undefined)
    while (!this.refusing) await time.delay(env.timers, IDLE_LOOK_MS)
    this.front.stopListening()
    while (this.front.busy > 0 && env.clock.now() < endAt - HAND_BACK_MS) await time.delay(env.timers, IDLE_LOOK_MS)
    await time.withTimeout(env.timers, HAND_BACK_MS, this.ledger[Symbol.asyncDispose](), () => undefined)
  }

  /** Closes all sockets and ends all tasks at once. */
  async [Symbol.asyncDispose] (): Promise<void> {
    const { env } = this.deps
    this.stopAt ??= env.clock.now()
    for (const task of [this.closer, this.orders, this.feed, this.fleetFeed, this.cacheFeed, this.pool]) task[Symbol.dispose]()
    await time.withTimeout(env.timers, HAND_BACK_MS, this.handBack(), () => undefined)
    await this.ledger[Symbol.asyncDispose]()
    await this.front[Symbol.asyncDispose]()
    await this.peers[Symbol.asyncDispose]()
  }

  private async handBack (): Promise<void> {
    await this.lease[Symbol.asyncDispose]()
    await this.directory[Symbol.asyncDispose]()
  }

  private get refusing (): boolean {
    return this.stopAt !== undefined && this.deps.env.clock.now() - this.stopAt > TAKE_CALLS_MS
  }

  private record (): directory.GatewayRecord {
    const { name, incarnation, domain, frontHost, frontPort, peerHost, peerPort } = this.deps.settings
    return { name, incarnation, domain, front: `${frontHost}:${frontPort}`, peer: `${peerHost}:${peerPort}` }
  }

  private createCacheFeed (): fleet.CacheFeed {
    const { env, settings, targetProtocol, log } = this.deps
    const gateways = (): readonly string[] => this.directory.gatewayNames()
    return new fleet.CacheFeed({ env, fleet: this.fleet, upstream: this.pool, protocol: targetProtocol, selfName: settings.name, gateways, log })
  }

  private createOrders (): duties.TargetOrders {
    const { env, store, dutyCalls, settings, log } = this.deps
    const services = (): Iterable<serving.ServingService> => this.feed.current()?.config.services.values() ?? []
    return new duties.TargetOrders({ env, store, lease: this.lease, dutyApi: dutyCalls, fleet: this.fleet, services, domains: settings.domains, log })
  }

  private createGateway (): gateway.Gateway {
    const { env, settings, targetProtocol, log, metrics } = this.deps
    const gateways = (): number => this.directory.gatewayCount
    const plain = new placement.PlainPlacer(this.fleet, env, settings.domain, gateways)
    const engines = new placement.EnginePlacer(this.fleet, env, settings.domain, gateways)
    const forwarder = new forward.Forwarder({
      env,
      upstream: this.pool,
      protocol: targetProtocol,
      onExecution: (call) => { if (call.account !== undefined) this.ledger.countRequest(call.account) },
      placerFor: (call) => call.service.engine === undefined ? plain : engines,
      budgetFor: (service) => this.budgetFor(service),
      fleet: this.fleet,
      log,
      metrics,
      dropConnections: (address) => this.pool.drop(address)
    })
    const endsAt = (): number | undefined => this.stopAt === undefined ? undefined : this.stopAt + settings.bounds.graceMs - LAST_CALLS_MS
    return new gateway.Gateway({ env, feed: this.feed, forwarder, bounds: settings.bounds, endsAt, refusing: () => this.refusing })
  }

  private budgetFor (service: string): retry.SharedRetryBudget {
    let budget = this.budgets.get(service)
    if (budget === undefined) {
      budget = new retry.SharedRetryBudget(this.deps.env.clock, this.deps.settings.bounds.retryLimits, () => this.directory.gatewayCount)
      this.budgets.set(service, budget)
    }
    return budget
  }
}
