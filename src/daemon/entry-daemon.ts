/** One entry process: starts and stops its tasks and sockets in order. */
import * as crypto from 'node:crypto'
import { FairAdmission } from '../admission/index.js'
import { ClaimSweeper, PageClaims } from '../claims/index.js'
import { ConfigPropagator, type ConfigIndex } from '../config/index.js'
import { CallerListener, RequestHandler, type EntryDeps } from '../entry/index.js'
import type { Logger } from '../log/index.js'
import { STOP_HOLD_MS, stopGracefully, type MemberRecord, type Membership } from '../membership/index.js'
import { Metrics } from '../metrics/index.js'
import { OperatorListener, type OperatorActions } from '../operator/index.js'
import { TcpPeers } from '../peer/index.js'
import { HttpPlatform } from '../external/index.js'
import { TwoChoiceRouter } from '../routing/index.js'
import type { EntrySettings } from '../settings/index.js'
import { HttpTargetClients } from '../target-clients/index.js'
import { DisposableStack, Mailbox, Supervisor } from '../task/index.js'
import { delay, type Env } from '../time/index.js'
import { StoreHealth, UsageCounters } from '../usage/index.js'
import { ControlChild } from './control-child.js'
import { dutyFactory } from './duty-factory.js'
import { FleetWork } from './fleet-work.js'
import { configMembers, usagePeers } from './member-views.js'
import { MembershipChild } from './membership-child.js'
import { entryReport } from './entry-report.js'
import { ShareChild } from './share-child.js'
import { TargetsChild } from './targets-child.js'
import { UsageChild } from './usage-child.js'

/** Interval between deletions of pages with expired claims, in ms. */
const CLAIM_SWEEP_INTERVAL_MS = 30_000

/** Interval between flushes of usage counters to the store, in ms. */
const USAGE_FLUSH_INTERVAL_MS = 5_000

/** Number of shards of usage records and bills; all entries must agree on it, so it is not a setting. */
export const USAGE_SHARDS = 4

/** Time for which a start waits for the first configuration, in ms; without one the entry starts and refuses requests. */
const CONFIG_WAIT_MS = 5_000
const CONFIG_POLL_INTERVAL_MS = 20

/** Round-trip times assumed for another failure domain of the same region, and for another region, in ms. */
const SAME_REGION_ROUND_TRIP_MS = 3
const OTHER_REGION_ROUND_TRIP_MS = 100

/** Options of an entry for tests and demos. */
export interface EntryOptions {
  /** Time for which a stopping entry still accepts requests, in ms. */
  readonly stopHoldMs?: number
  /** Called when a task fails too often; by default the process ends. */
  readonly onGiveUp?: (err: Error) => void
}

/** Addresses of an entry, as `ip:port`. */
export interface EntryAddresses {
  readonly callers: string
  readonly peers: string
  readonly operators: string
}

/** An entry: listens for callers, peers and operators, and runs the tasks. */
export class EntryDaemon implements AsyncDisposable {
  readonly metrics = new Metrics()
  readonly incarnation: string
  private readonly resources = new DisposableStack()
  private readonly platform: HttpPlatform
  private readonly peers: TcpPeers
  private readonly admission: FairAdmission
  private readonly counters = new UsageCounters()
  private readonly health = new StoreHealth()
  private readonly router: TwoChoiceRouter
  private readonly targetClients: HttpTargetClients
  private readonly requestHandler: RequestHandler
  private readonly callerListener: CallerListener
  private readonly operatorListener: OperatorListener
  private readonly deps: EntryDeps
  private propagator: ConfigPropagator | undefined
  private membershipChild: MembershipChild | undefined
  private controlChild: ControlChild | undefined
  private stopping: Promise<void> | undefined
  private peerAddress = ''

  constructor (private readonly settings: EntrySettings, private readonly env: Env, private readonly log: Logger, private readonly options: EntryOptions = {}) {
    this.incarnation = `${settings.entry.name}-${crypto.randomBytes(4).toString('hex')}`
    this.platform = this.resources.use(new HttpPlatform(settings.platform.url))
    this.peers = this.resources.use(new TcpPeers(env.timers, log))
    this.admission = new FairAdmission(env)
    this.router = new TwoChoiceRouter(env, (domain) => this.roundTripMs(domain))
    this.targetClients = this.resources.use(new HttpTargetClients())
    this.deps = this.createEntryDeps()
    this.requestHandler = new RequestHandler(this.deps)
    this.operatorListener = this.resources.use(new OperatorListener(this.operatorActions(), settings.operator.token_digest))
    this.callerListener = new CallerListener(this.requestHandler, env.timers)
  }

  /** Starts all tasks; resolves with the addresses once the configuration is confirmed, or after {@link CONFIG_WAIT_MS}. */
  async start (): Promise<EntryAddresses> {
    const { address, port, peer_port: peerPort, operator_port: operatorPort } = this.settings.listen
    const peers = this.peerAddress = `${address}:${await this.peers.listen(address, peerPort)}`
    const callers = `${address}:${await this.callerListener.listen(address, port)}`
    const operators = `${address}:${await this.operatorListener.listen(address, operatorPort)}`
    const membershipChild = this.membershipChild = this.resources.use(this.createMembershipChild(callers, peers))
    const propagator = this.propagator = this.createPropagator(membershipChild.membership)
    membershipChild.membership.addExtra('config', {
      read: () => propagator.status(),
      accept: (from, value, notBefore) => { propagator.applyStatus({ address: from.peerAddress }, value, notBefore).catch((err: unknown) => this.logError('config_news_failed', err)) }
    })
    await membershipChild.start()
    const shareChild = this.resources.use(new ShareChild({ env: this.env, metrics: this.metrics, peers: this.peers, membership: membershipChild.membership, admission: this.admission }))
    const targetsChild = this.resources.use(new TargetsChild({ env: this.env, log: this.log, clients: this.targetClients, router: this.router }))
    const usageChild = this.resources.use(this.createUsageChild(membershipChild.membership))
    const controlChild = this.controlChild = this.resources.use(this.createControlChild(membershipChild.membership, targetsChild))
    await this.superviseConfig(propagator, (cfg) => {
      targetsChild.applyConfig(cfg)
      shareChild.applyConfig(cfg)
      controlChild.applyConfig(cfg)
    })
    targetsChild.start()
    shareChild.start()
    usageChild.start()
    this.startClaimSweep()
    for (let waitedMs = 0; !propagator.ready && waitedMs < CONFIG_WAIT_MS; waitedMs += CONFIG_POLL_INTERVAL_MS) await delay(this.env.timers, CONFIG_POLL_INTERVAL_MS)
    this.log.info({ callers, peers, operators, incarnation: this.incarnation }, 'entry_ready')
    return { callers, peers, operators }
  }

  /**
   * Stops gracefully (section 12 of the design): announces that this entry leaves, accepts requests for `holdMs` while
   * callers move to other entries, then finishes the running requests.
   */
  async drain (holdMs = this.options.stopHoldMs ?? STOP_HOLD_MS): Promise<void> {
    this.stopping ??= this.stop(holdMs)
    await this.stopping
  }

  /** Whether this entry serves requests and may be recommended to callers. */
  get ready (): boolean {
    return this.stopping === undefined && this.propagator?.ready === true
  }

  /** Number of requests being served. */
  get active (): number {
    return this.requestHandler.activeRequests
  }

  async [Symbol.asyncDispose] (): Promise<void> {
    await this.callerListener[Symbol.asyncDispose]()
    await this.resources[Symbol.asyncDispose]()
  }

  private createEntryDeps (): EntryDeps {
    const { env, log, metrics, incarnation } = this
    return {
      env,
      log,
      metrics,
      incarnation,
      config: {
        current: () => this.propagator?.current(),
        keysAreFresh: () => this.propagator?.keysAreFresh() ?? false,
        isWithdrawn: (id) => this.propagator?.isWithdrawn(id) ?? false
      },
      admission: this.admission,
      router: this.router,
      claims: new PageClaims({
        env,
        store: this.platform.store,
        onRetry: (reason) => metrics.countRetry(reason),
        incarnation,
        peerAddress: () => this.peerAddress,
        owners: { isTerminated: (owner) => this.membershipChild?.membership.terminationEvidence(owner) !== undefined },
        peers: this.peers
      }),
      targets: this.targetClients,
      usage: this.counters,
      advisor: { advise: (domain) => this.membershipChild?.advise(domain) ?? { entries: [], ttl_ms: 0 } }
    }
  }

  private createMembershipChild (callers: string, peers: string): MembershipChild {
    const { name, failure_domain: domain, region } = this.settings.entry
    const self: MemberRecord = {
      id: name, incarnation: this.incarnation, epoch: Math.floor(this.env.clock.wallTimeMs()), version: 0, state: 'alive', address: callers, peer: peers, domain, region
    }
    return new MembershipChild({
      env: this.env,
      log: this.log,
      metrics: this.metrics,
      peers: this.peers,
      vms: this.platform.vms,
      peerPort: this.settings.listen.peer_port,
      localStatus: () => ({ generation: this.propagator?.current()?.generation ?? 0, free: this.admission.freeSlotFraction() }),
      onVmLeaving: () => { this.drain().catch((err: unknown) => this.logError('drain_failed', err)) }
    }, self)
  }

  private createPropagator (membership: Membership): ConfigPropagator {
    const members = configMembers(membership)
    const propagator = new ConfigPropagator({ env: this.env, store: this.platform.store, peers: this.peers, members, metrics: this.metrics, log: this.log })
    propagator.serve(this.peers)
    return propagator
  }

  private createUsageChild (membership: Membership): UsageChild {
    return new UsageChild({
      env: this.env,
      log: this.log,
      metrics: this.metrics,
      store: this.platform.store,
      peers: this.peers,
      members: usagePeers(membership),
      owner: { incarnation: this.incarnation, domain: this.settings.entry.failure_domain },
      counters: this.counters,
      health: this.health,
      windowMs: this.settings.usage.window_s * 1_000,
      flushMs: USAGE_FLUSH_INTERVAL_MS,
      shards: USAGE_SHARDS
    })
  }

  private createControlChild (membership: Membership, targets: TargetsChild): ControlChild {
    const { env, log, metrics, platform } = this
    return new ControlChild({
      env,
      log,
      metrics,
      store: platform.store,
      vms: platform.vms,
      peers: this.peers,
      membership,
      shards: USAGE_SHARDS,
      createDuty: dutyFactory({
        env,
        log,
        metrics,
        platform,
        membership,
        clients: this.targetClients,
        health: this.health,
        windowMs: this.settings.usage.window_s * 1_000,
        fleet: { config: () => this.propagator?.current(), targets, work: new FleetWork(membership, this.counters, this.admission) }
      })
    })
  }

  /** Runs the propagator and a task that applies each generation in order of arrival; either is restarted when it fails. */
  private async superviseConfig (propagator: ConfigPropagator, apply: (cfg: ConfigIndex) => void): Promise<void> {
    const { clock, timers } = this.env
    const supervisor = this.resources.use(new Supervisor({ clock, timers, log: this.log, onGiveUp: this.options.onGiveUp ?? crash }))
    await supervisor.start({
      name: 'apply',
      start: async () => {
        const changes = new Mailbox<ConfigIndex>()
        const subscription = propagator.onChange((cfg) => { changes.send(cfg) })
        const stopped = changes.stream.observe(apply).finally(() => subscription[Symbol.dispose]())
        return { stopped, [Symbol.asyncDispose]: async () => changes.close() }
      }
    })
    await supervisor.start({
      name: 'configuration',
      start: async () => ({ stopped: propagator.run(), [Symbol.asyncDispose]: async () => await propagator[Symbol.asyncDispose]() })
    })
  }

  private startClaimSweep (): void {
    const sweeper = new ClaimSweeper(this.env, this.platform.store)
    const timer = this.env.timers.every(CLAIM_SWEEP_INTERVAL_MS, () => { sweeper.step().catch((err: unknown) => this.logError('claim_sweep_failed', err)) })
    this.resources.use({ [Symbol.asyncDispose]: async () => timer[Symbol.dispose]() })
  }

  private async stop (holdMs: number): Promise<void> {
    this.log.info({ active: this.requestHandler.activeRequests, hold_ms: holdMs }, 'entry_draining')
    await stopGracefully({
      announceLeaving: () => this.membershipChild?.membership.announce('leaving'),
      finish: async () => {
        await this.controlChild?.[Symbol.asyncDispose]()
        await this.callerListener.drain()
      },
      announceLeft: async () => await this.membershipChild?.announceLeft()
    }, this.env.timers, holdMs)
  }

  private operatorActions (): OperatorActions {
    const isReady = (): boolean => this.ready
    return {
      get ready () { return isReady() },
      metrics: () => this.metrics.render(),
      report: () => entryReport(this.settings.entry.name, this.ready, this.deps, this.controlChild?.quarantinedTargets ?? []),
      drain: () => { this.drain().catch((err: unknown) => this.logError('drain_failed', err)) },
      withdrawKey: async (id) => {
        if (this.propagator === undefined) throw new Error('the propagation of the configuration has not started')
        const { stored, confirmed, unconfirmed } = await this.propagator.withdrawKey(id)
        return { stored, confirmed: [this.incarnation, ...confirmed], unconfirmed }
      }
    }
  }

  private roundTripMs (domain: string): number {
    const { failure_domain: own, region } = this.settings.entry
    if (domain === own) return 0
    return this.propagator?.current()?.regionOf(domain) === region ? SAME_REGION_ROUND_TRIP_MS : OTHER_REGION_ROUND_TRIP_MS
  }

  private logError (event: string, err: unknown): void {
    this.log.error({ err }, event)
  }
}

/** Ends a process whose tasks keep failing, so that the platform replaces it. */
function crash (err: Error): void {
  throw err
}
