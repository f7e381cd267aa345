/** A gateway process: composes its components and stops them in order. */
import * as admission from '../admission/index.js'
import * as bytes from '../bytes/index.js'
import * as capacity from '../capacity/index.js'
import * as directory from '../directory/index.js'
import * as duties from '../duties/index.js'
import * as exchange from '../exchange/index.js'
import type * as external from '../external/index.js'
import * as fleet from '../fleet/index.js'
import * as forward from '../forward/index.js'
import type * as calls from '../call/index.js'
import type * as log from '../log/index.js'
import type * as metrics from '../metrics/index.js'
import * as peer from '../peer/index.js'
import * as placement from '../placement/index.js'
import * as quarantine from '../quarantine/index.js'
import * as quota from '../quota/index.js'
import * as resources from '../resources/index.js'
import * as retry from '../retry/index.js'
import * as serving from '../serving/index.js'
import * as time from '../time/index.js'
import * as upstream from '../upstream/index.js'
import * as waiting from '../waiting/index.js'
import * as gateway from './gateway.js'
import * as httpFrontend from './http-frontend.js'
import * as placementExplainer from './placement-explainer.js'
import * as stopTimes from './stop-times.js'
import type * as types from './types.js'

/** Interval at which a stop checks whether it can continue, in ms. */
const STOP_CHECK_MS = 50

/** Timeout for releasing what other gateways wait for (lease and directory entry), in ms; a shorter grace period shortens it. */
const RELEASE_TIMEOUT_MS = 1_000

/** Share of all buffers that incomplete responses of targets may hold; small ones may go on beyond it. */
const RESPONSE_SHARE = 0.5

/** Settings of a gateway process. */
export interface NodeSettings {
  readonly name: string
  /** Differs for each start of the process. */
  readonly incarnation: string
  readonly domain: string
  /** All failure domains in which targets may be ordered. */
  readonly domains: readonly string[]
  readonly callerHost: string
  readonly callerPort: number
  readonly peerHost: string
  readonly peerPort: number
  readonly bounds: gateway.GatewayBounds & {
    readonly retryLimits: retry.RetryLimits
    /** Bound within which a target must get no new calls once its leaving is acknowledged, in ms. */
    readonly leavePropagationMs: number
    /** Shortest time without the store after which the record of a running target may have expired, in ms. */
    readonly targetExpiryMs: number
    /** Grace period: time that a stop may take, in ms. */
    readonly graceMs: number
    /** Time within which lease holders must not alternate, in ms. */
    readonly takeoverDelayMs: number
    readonly usageWindowMs: number
    /** Bounds on what the accounts with a quota may execute. */
    readonly quota: quota.QuotaBounds
  }
}

/** What the platform adapter supplies. */
export interface NodeDeps {
  readonly settings: NodeSettings
  readonly env: time.Env
  readonly store: external.ObjectStore
  /** Eras of the store. */
  readonly eras: external.StoreEras
  readonly callerProtocol: types.CallerProtocol
  readonly targetProtocol: calls.TargetProtocol & calls.CacheProtocol
  readonly dutyApi: duties.DutyApi
  readonly config: Pick<serving.ConfigFeedDeps, 'key' | 'decode'>
  readonly targets: Pick<fleet.FleetFeedDeps, 'prefix' | 'decode'>
  readonly log: log.Logger
  readonly metrics: metrics.Metrics
  /** Memory and descriptors of the process; absent means those of a process whose VM is not known. */
  readonly resources?: resources.ProcessResources | undefined
}

/** The components of a running gateway. */
export class GatewayNode implements AsyncDisposable {
  private readonly resources: resources.ProcessResources
  private readonly elapsed: serving.ElapsedClock
  private readonly feed: serving.ConfigFeed
  private readonly fleet: fleet.Fleet
  private readonly fleetFeed: fleet.FleetFeed
  private readonly cacheFeed: fleet.CacheFeed
  private readonly quarantine: quarantine.SegmentQuarantine
  private readonly quarantineRecords: quarantine.QuarantineRecords
  private readonly pool: upstream.ConnectionPool
  private readonly accountWork: admission.AccountWork
  private readonly admission: waiting.CallAdmission
  private readonly peers: peer.TcpPeers
  private readonly roster: exchange.Roster
  private readonly exchange: exchange.Exchange
  private readonly directory: directory.Directory
  private readonly quotas: quota.Quotas
  private readonly gateway: gateway.Gateway
  private readonly frontend: httpFrontend.HttpFrontend
  private readonly lease: duties.Lease
  private readonly usageLedger: duties.UsageLedger
  private readonly usageCloser: duties.UsageCloser
  private readonly targetOrders: duties.TargetOrders
  private readonly demandMeter: capacity.DemandMeter
  private readonly demand: capacity.DemandTopic
  private readonly budgets = new Map<string, retry.SharedRetryBudget>()
  private listening = false
  private stopTimes: stopTimes.StopTimes | undefined
  private stopping: Promise<void> | undefined

  constructor (private readonly deps: NodeDeps) {
    const { env, store, log, metrics, settings } = deps
    this.resources = deps.resources ?? resources.ofUnknownVm(deps)
    this.elapsed = new serving.ElapsedClock(env.clock)
    deps.eras.onRestored((era) => log.warn({ era }, 'store_restored'))
    const isRelay = (): boolean => this.exchange.isRelay
    this.feed = new serving.ConfigFeed({ env, elapsed: this.elapsed, store, eras: deps.eras, propagationMs: settings.bounds.configPropagationMs, isReader: isRelay, log, metrics, ...deps.config })
    this.pool = new upstream.ConnectionPool({ env, metrics, maxConnections: this.resources.limits.targetConnections, onReceived: (size) => this.resources.noteReceived(size) })
    this.fleet = new fleet.Fleet({ clock: env.clock, log, onRemoved: (address) => this.pool.dropIdleConnections(address) })
    this.fleetFeed = new fleet.FleetFeed({ env, elapsed: this.elapsed, store, eras: deps.eras, fleet: this.fleet, leavePropagationMs: settings.bounds.leavePropagationMs, shortestExpiryMs: settings.bounds.targetExpiryMs, isReader: isRelay, log, ...deps.targets })
    this.peers = new peer.TcpPeers(env.timers, log)
    const self = this.gatewayRecord()
    this.roster = new exchange.Roster({ clock: env.clock, log, self })
    const windowMs = settings.bounds.usageWindowMs
    this.usageLedger = new duties.UsageLedger({ env, store, eras: deps.eras, name: `${settings.name}.${settings.incarnation}`, windowMs, isRelay, log })
    this.quarantine = new quarantine.SegmentQuarantine({ clock: env.clock, selfName: settings.name, gateways: () => this.directory.gatewayNames(), log })
    this.quarantineRecords = new quarantine.QuarantineRecords({ env, store, eras: deps.eras, quarantine: this.quarantine, log })
    this.quotas = new quota.Quotas({ env, elapsed: this.elapsed, bounds: settings.bounds.quota, peers: this.peers, gateways: () => this.knownGateways(), log, metrics })
    this.feed.onChange((config) => this.quotas.applyConfig(config.accounts ?? []))
    this.demandMeter = new capacity.DemandMeter(env.clock, this.fleet.speeds)
    this.demand = new capacity.DemandTopic({ clock: env.clock, gateway: settings.name, incarnation: settings.incarnation, meter: this.demandMeter, isRelay })
    this.accountWork = new admission.AccountWork(env.clock)
    this.admission = new waiting.CallAdmission({ env, fleet: this.fleet, gateways: () => this.directory.gatewayCount, accountWork: this.accountWork, log, metrics })
    const topics = [this.roster, this.feed, this.fleetFeed, ...this.fleet.topics, this.usageLedger, this.quarantine, this.demand, this.admission.topic, this.quotas.topic]
    this.exchange = new exchange.Exchange({ env, elapsed: this.elapsed, peers: this.peers, self, roster: this.roster, topics, ready: () => this.ready, log })
    this.directory = new directory.Directory({ env, store, eras: deps.eras, self, roster: this.roster, isRelay, ready: () => this.ready, log })
    this.cacheFeed = this.createCacheFeed()
    const takeoverDelayMs = settings.bounds.takeoverDelayMs
    this.lease = new duties.Lease({ env, elapsed: this.elapsed, store, eras: deps.eras, holder: settings.name, incarnation: settings.incarnation, takeoverDelayMs, contends: isRelay, log })
    const collector = new duties.UsageCollector({ peers: this.peers, ledger: this.usageLedger, eras: deps.eras, relayAddresses: () => this.exchange.fellowAddresses(), log })
    this.usageCloser = new duties.UsageCloser({ env, store, eras: deps.eras, lease: this.lease, dutyApi: deps.dutyApi, collector, windowMs, log })
    this.targetOrders = this.createTargetOrders()
    this.gateway = this.createGateway()
    const limits = (): serving.CallerLimits | undefined => this.feed.current()?.config.limits
    const accountOf = (key: string): string | undefined => this.feed.current()?.findAccount(key)?.name
    this.frontend = new httpFrontend.HttpFrontend({ env, protocol: deps.callerProtocol, handler: this.gateway, limits, accountOf, resources: this.resources, log, metrics })
    this.feed.onChange((config) => this.frontend.applyLimits(config.limits))
  }

  /** Opens the sockets, waiting for ports that are in use, and starts the periodic tasks; rejects when a port cannot be bound. */
  async start (): Promise<void> {
    const { settings } = this.deps
    this.resources.start()
    this.feed.start()
    this.fleetFeed.start()
    this.cacheFeed.start()
    this.quarantineRecords.start()
    await this.peers.listen(settings.peerHost, settings.peerPort)
    await this.frontend.listen(settings.callerHost, settings.callerPort)
    this.listening = true
    this.directory.start()
    this.exchange.start()
    this.quotas.start()
    this.lease.start()
    this.usageLedger.start()
    this.usageCloser.start()
    this.targetOrders.start()
  }

  /** Whether callers are served: connections are accepted, not stopping, with fresh keys and a list of targets. */
  get ready (): boolean {
    return this.listening && this.stopTimes === undefined && this.gateway.keysAreFresh && this.fleetFeed.ready
  }

  /** Addresses of gateways that callers are given. */
  addresses (): string[] {
    return this.directory.addresses()
  }

  /** Sets the gauges that are measured only when the metrics are read. */
  recordGauges (): void {
    this.resources.recordSizes()
    this.deps.metrics.set('godwitpoint_tracked_segments', '', this.fleet.trackedSegments)
  }

  /**
   * Stops: releases the lease, serves new calls until callers have other addresses, and waits for the last calls. Further
   * calls of this method wait for the same stop.
   */
  async stop (): Promise<void> {
    this.stopping ??= this.runStop()
    await this.stopping
  }

  /** Closes all sockets and ends all tasks at once, without waiting for calls. */
  async [Symbol.asyncDispose] (): Promise<void> {
    const { env } = this.deps
    this.beginStop()
    for (const task of [this.usageCloser, this.targetOrders, this.feed, this.fleetFeed, this.cacheFeed, this.quarantineRecords, this.exchange, this.quotas, this.pool, this.resources]) task[Symbol.dispose]()
    await time.withTimeout(env.timers, RELEASE_TIMEOUT_MS, this.releaseLeaseAndDeregister(), () => undefined)
    await this.usageLedger[Symbol.asyncDispose]()
    await this.frontend[Symbol.asyncDispose]()
    await this.peers[Symbol.asyncDispose]()
  }

  private async runStop (): Promise<void> {
    const { env, log } = this.deps
    const times = this.beginStop()
    this.frontend.disableKeepAlive()
    this.usageCloser[Symbol.dispose]()
    this.targetOrders[Symbol.dispose]()
    await time.withTimeout(env.timers, Math.min(RELEASE_TIMEOUT_MS, times.acceptUntil - times.startedAt), this.releaseLeaseAndDeregister(), () => undefined)
    await this.waitFor(() => this.refusing, times.callsEndAt)
    this.frontend.stopListening()
    this.admission.close()
    const allWritten = (): boolean => this.frontend.activeRequests === 0 && this.frontend.unfinishedResponses === 0
    await this.waitFor(allWritten, times.callsEndAt)
    // No call begins to execute after this, so that the counts of executed calls are final.
    this.frontend.refuseBodies()
    this.gateway.endUnstartedCalls()
    const usageWritten = time.withTimeout(env.timers, times.exitAt - env.clock.now(), this.usageLedger[Symbol.asyncDispose](), () => undefined)
    await this.waitFor(allWritten, times.responsesEndAt)
    await usageWritten
    log.info({ active_calls: this.frontend.activeRequests, unfinished_responses: this.frontend.unfinishedResponses, ms: Math.round(env.clock.now() - times.startedAt) }, 'stop_ended')
  }

  private async releaseLeaseAndDeregister (): Promise<void> {
    await this.lease[Symbol.asyncDispose]()
    await this.directory[Symbol.asyncDispose]()
  }

  private get refusing (): boolean {
    return this.stopTimes !== undefined && this.deps.env.clock.now() >= this.stopTimes.acceptUntil
  }

  private beginStop (): stopTimes.StopTimes {
    const { env, settings } = this.deps
    this.stopTimes ??= new stopTimes.StopTimes(env.clock.now(), settings.bounds.graceMs)
    return this.stopTimes
  }

  /** Resolves when `done()` is true, at `until` at the latest. */
  private async waitFor (done: () => boolean, until: number): Promise<void> {
    const { clock, timers } = this.deps.env
    for (let leftMs = until - clock.now(); leftMs > 0 && !done(); leftMs = until - clock.now()) await time.delay(timers, Math.min(STOP_CHECK_MS, leftMs))
  }

  private gatewayRecord (): exchange.GatewayRecord {
    const { name, incarnation, domain, callerHost, callerPort, peerHost, peerPort } = this.deps.settings
    return { name, incarnation, domain, front: `${callerHost}:${callerPort}`, peer: `${peerHost}:${peerPort}` }
  }

  private knownGateways (): quota.Gateways {
    return {
      known: 1 + this.roster.all().length,
      inContact: this.roster.inContact(),
      registered: this.directory.isRegistered,
      wasListed: this.directory.wasListed
    }
  }

  private createCacheFeed (): fleet.CacheFeed {
    const { env, settings, targetProtocol, log } = this.deps
    const gateways = (): readonly string[] => this.directory.gatewayNames()
    return new fleet.CacheFeed({ env, fleet: this.fleet, upstream: this.pool, protocol: targetProtocol, selfName: settings.name, gateways, log })
  }

  private createTargetOrders (): duties.TargetOrders {
    const { env, store, dutyApi, settings, log } = this.deps
    const services = (): Iterable<serving.ServingService> => this.feed.current()?.config.services.values() ?? []
    const shared = { lease: this.lease, dutyApi, fleet: this.fleet, services, domains: settings.domains, log }
    const reachesMost = (): boolean => 2 * this.roster.upWithin(0).length >= this.roster.all().length
    const capacityOrders = new duties.CapacityOrders({ ...shared, clock: env.clock, demand: this.demand, meter: this.demandMeter, reachesMost, metrics: this.deps.metrics })
    return new duties.TargetOrders({ ...shared, env, store, eras: this.deps.eras, capacity: capacityOrders })
  }

  private createGateway (): gateway.Gateway {
    const { env, settings, targetProtocol, log, metrics } = this.deps
    const gateways = (): number => this.directory.gatewayCount
    const plainPlacer = new placement.PlainPlacer(this.fleet, env, settings.domain, gateways)
    const enginePlacer = new placement.EnginePlacer(this.fleet, env, settings.domain, gateways, this.accountWork)
    const placerFor = (call: calls.Call): placement.Placer => call.service.engine === undefined ? plainPlacer : enginePlacer
    placementExplainer.explainPlacements({ peers: this.peers, feed: this.feed, clock: env.clock, placerFor })
    const forwarder = new forward.Forwarder({
      env,
      upstream: this.pool,
      protocol: targetProtocol,
      onExecution: (call) => { if (call.account !== undefined) this.usageLedger.countRequest(call.account) },
      placerFor,
      budgetFor: (service) => this.budgetFor(service),
      fleet: this.fleet,
      admission: this.admission,
      quarantine: this.quarantine,
      demand: this.demandMeter,
      listAgeMs: () => this.fleetFeed.listAgeMs,
      configVersion: () => this.feed.current()?.config.version,
      responseMemory: new bytes.ByteBudget(this.resources.buffers.maxBytes * RESPONSE_SHARE, { parent: this.resources.buffers, reserveBytes: Infinity }),
      log,
      metrics,
      dropIdleConnections: (address) => this.pool.dropIdleConnections(address)
    })
    const callsEndAt = (streaming: boolean): number | undefined => streaming ? this.stopTimes?.responsesEndAt : this.stopTimes?.callsEndAt
    return new gateway.Gateway({ env, feed: this.feed, forwarder, quotas: this.quotas, bounds: settings.bounds, callsEndAt, refusing: () => this.refusing, onRefused: (call, reason) => this.demandMeter.noteRefused(call, reason) })
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
