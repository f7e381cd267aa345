/** One entry process: its tasks, sockets and their order of start and stop. */
import * as crypto from 'node:crypto'
import { FairAdmission } from '../admission/index.js'
import { ClaimSweeper, PageClaims } from '../claims/index.js'
import { ConfigPropagator, type ConfigIndex } from '../config/index.js'
import { CallerListener, RequestPath, type EntryDeps } from '../entry/index.js'
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
import { entryReport } from './operator-actions.js'
import { ShareChild } from './share-child.js'
import { TargetsChild } from './targets-child.js'
import { UsageChild } from './usage-child.js'

/** Interval at which pages of expired claims are deleted, in ms. */
const SWEEP_MS = 30_000

/** Interval between flushes of usage counters to the store, in ms. */
const FLUSH_MS = 5_000

/** Shards of usage records and bills; all entries must agree, so it is no setting. */
export const USAGE_SHARDS = 4

/** Time a start waits for the first configuration, in ms; without one the entry starts and refuses requests. */
const START_WAIT_MS = 5_000
const START_POLL_MS = 20

/** Round trip to another failure domain of the region, and to another region, in ms. */
const NEAR_MS = 3
const FAR_MS = 100

/** Options of an entry that tests and demos change. */
export interface EntryOptions {
  /** Time a stopping entry goes on accepting, in ms. */
  readonly stopHoldMs?: number
  /** Called when a task fails too often; the default ends the process. */
  readonly giveUp?: (err: Error) => void
}

/** Addresses of an entry, as `ip:port`. */
export interface EntryAddresses {
  readonly callers: string
  readonly peers: string
  readonly operators: string
}

/** A running entry. */
export class EntryDaemon implements AsyncDisposable {
  readonly metrics = new Metrics()
  readonly incarnation: string
  private readonly stack = new DisposableStack()
  private readonly platform: HttpPlatform
  private readonly peers: TcpPeers
  private readonly admission: FairAdmission
  private readonly counters = new UsageCounters()
  private readonly health = new StoreHealth()
  private readonly router: TwoChoiceRouter
  private readonly targetClients: HttpTargetClients
  private readonly path: RequestPath
  private readonly listener: CallerListener
  private readonly operator: OperatorListener
  private readonly deps: EntryDeps
  private config: ConfigPropagator | undefined
  private membership: MembershipChild | undefined
  private control: ControlChild | undefined
  private stopping: Promise<void> | undefined
  private peerAddress = ''

  constructor (private readonly settings: EntrySettings, private readonly env: Env, private readonly log: Logger, private readonly options: EntryOptions = {}) {
    this.incarnation = `${settings.entry.name}-${crypto.randomBytes(4).toString('hex')}`
    this.platform = this.stack.use(new HttpPlatform(settings.platform.url))
    this.peers = this.stack.use(new TcpPeers(env.timers))
    this.admission = new FairAdmission(env)
    this.router = new TwoChoiceRouter(env, (domain) => this.distanceMs(domain))
    this.targetClients = this.stack.use(new HttpTargetClients())
    this.deps = this.entryParts()
    this.path = new RequestPath(this.deps)
    this.operator = this.stack.use(new OperatorListener(this.operatorActions(), settings.operator.token_digest))
    this.listener = new CallerListener(this.path, env.timers)
  }

  /** Starts all tasks; resolves with the addresses, usually once the configuration is confirmed. */
  async start (): Promise<EntryAddresses> {
    const { address, port, peer_port: peerPort, operator_port: operatorPort } = this.settings.listen
    const peers = this.peerAddress = `${address}:${await this.peers.listen(address, peerPort)}`
    const callers = `${address}:${await this.listener.listen(address, port)}`
    const operators = `${address}:${await this.operator.listen(address, operatorPort)}`
    const child = this.membership = this.stack.use(this.createMembership(callers, peers))
    const config = this.config = this.createConfig(child.membership)
    child.membership.addExtra('config', {
      read: () => config.status(),
      accept: (from, value, notBefore) => { config.applyStatus({ address: from.peerAddress }, value, notBefore).catch((err: unknown) => this.failed('config_news_failed', err)) }
    })
    await child.start()
    const share = this.stack.use(new ShareChild({ env: this.env, metrics: this.metrics, peers: this.peers, membership: child.membership, admission: this.admission }))
    const targets = this.stack.use(new TargetsChild({ env: this.env, log: this.log, clients: this.targetClients, router: this.router }))
    const usage = this.stack.use(this.createUsage(child.membership))
    const control = this.control = this.stack.use(this.createControl(child.membership, targets))
    await this.supervise(config, (cfg) => {
      targets.apply(cfg)
      share.applyConfig(cfg)
      control.applyConfig(cfg)
    })
    targets.start()
    share.start()
    usage.start()
    this.startSweep()
    for (let waited = 0; !config.ready && waited < START_WAIT_MS; waited += START_POLL_MS) await delay(this.env.timers, START_POLL_MS)
    this.log.info({ callers, peers, operators, incarnation: this.incarnation }, 'entry_ready')
    return { callers, peers, operators }
  }

  /** Leaves, and when callers no longer use this entry finishes the running requests; see section 12 of the design. */
  async drain (holdMs = this.options.stopHoldMs ?? STOP_HOLD_MS): Promise<void> {
    this.stopping ??= this.stop(holdMs)
    await this.stopping
  }

  /** Whether this entry serves and may be named to callers. */
  get ready (): boolean {
    return this.stopping === undefined && this.config?.ready === true
  }

  /** Requests being served. */
  get active (): number {
    return this.path.active
  }

  async [Symbol.asyncDispose] (): Promise<void> {
    await this.listener[Symbol.asyncDispose]()
    await this.stack[Symbol.asyncDispose]()
  }

  private entryParts (): EntryDeps {
    const { env, log, metrics, incarnation } = this
    return {
      env,
      log,
      metrics,
      incarnation,
      config: {
        current: () => this.config?.current(),
        keysAreCurrent: () => this.config?.keysAreCurrent() ?? false,
        isWithdrawn: (id) => this.config?.isWithdrawn(id) ?? false
      },
      admission: this.admission,
      router: this.router,
      claims: new PageClaims({
        env,
        store: this.platform.store,
        onRetry: (reason) => metrics.countRetry(reason),
        incarnation,
        peerAddress: () => this.peerAddress,
        owners: { isDead: (owner) => this.membership?.membership.terminationEvidence(owner) !== undefined },
        peers: this.peers
      }),
      targets: this.targetClients,
      usage: this.counters,
      advisor: { advise: (domain) => this.membership?.advise(domain) ?? { entries: [], ttl_ms: 0 } }
    }
  }

  private createMembership (callers: string, peers: string): MembershipChild {
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
      local: () => ({ generation: this.config?.current()?.generation ?? 0, free: this.admission.freeSlotFraction() }),
      onVmLeaving: () => { this.drain().catch((err: unknown) => this.failed('drain_failed', err)) }
    }, self)
  }

  private createConfig (membership: Membership): ConfigPropagator {
    const members = configMembers(membership)
    const config = new ConfigPropagator({ env: this.env, store: this.platform.store, peers: this.peers, members, metrics: this.metrics, log: this.log })
    config.serve(this.peers)
    return config
  }

  private createUsage (membership: Membership): UsageChild {
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
      flushMs: FLUSH_MS,
      shards: USAGE_SHARDS
    })
  }

  private createControl (membership: Membership, targets: TargetsChild): ControlChild {
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
      duties: dutyFactory({
        env,
        log,
        metrics,
        platform,
        membership,
        clients: this.targetClients,
        health: this.health,
        windowMs: this.settings.usage.window_s * 1_000,
        fleet: { config: () => this.config?.current(), targets, work: new FleetWork(membership, this.counters, this.admission) }
      })
    })
  }

  /** Runs the configuration, and applies each generation in order of arrival; either is restarted when it fails. */
  private async supervise (config: ConfigPropagator, apply: (cfg: ConfigIndex) => void): Promise<void> {
    const { clock, timers } = this.env
    const supervisor = this.stack.use(new Supervisor({ clock, timers, log: this.log, giveUp: this.options.giveUp ?? crash }))
    await supervisor.start({
      name: 'apply',
      start: async () => {
        const changes = new Mailbox<ConfigIndex>()
        const listening = config.onChange((cfg) => { changes.send(cfg) })
        const stopped = changes.stream.observe(apply).finally(() => listening[Symbol.dispose]())
        return { stopped, [Symbol.asyncDispose]: async () => changes.close() }
      }
    })
    await supervisor.start({
      name: 'configuration',
      start: async () => ({ stopped: config.run(), [Symbol.asyncDispose]: async () => await config[Symbol.asyncDispose]() })
    })
  }

  private startSweep (): void {
    const sweeper = new ClaimSweeper(this.env, this.platform.store)
    const timer = this.env.timers.every(SWEEP_MS, () => { sweeper.step().catch((err: unknown) => this.failed('claim_sweep_failed', err)) })
    this.stack.use({ [Symbol.asyncDispose]: async () => timer[Symbol.dispose]() })
  }

  private async stop (holdMs: number): Promise<void> {
    this.log.info({ active: this.path.active, hold_ms: holdMs }, 'entry_draining')
    await stopGracefully({
      announceLeaving: () => this.membership?.membership.announce('leaving'),
      finish: async () => {
        await this.control?.[Symbol.asyncDispose]()
        await this.listener.drain()
      },
      announceLeft: async () => await this.membership?.announceLeft()
    }, this.env.timers, holdMs)
  }

  private operatorActions (): OperatorActions {
    const isReady = (): boolean => this.ready
    return {
      get ready () { return isReady() },
      metrics: () => this.metrics.render(),
      report: () => entryReport(this.settings.entry.name, this.ready, this.deps, this.control?.quarantined ?? []),
      drain: () => { this.drain().catch((err: unknown) => this.failed('drain_failed', err)) },
      withdrawKey: async (id) => {
        if (this.config === undefined) throw new Error('the configuration is not running yet')
        const { stored, confirmed, unconfirmed } = await this.config.withdrawKey(id)
        return { stored, confirmed: [this.incarnation, ...confirmed], unconfirmed }
      }
    }
  }

  private distanceMs (domain: string): number {
    const { failure_domain: own, region } = this.settings.entry
    if (domain === own) return 0
    return this.config?.current()?.regionOf(domain) === region ? NEAR_MS : FAR_MS
  }

  private failed (event: string, err: unknown): void {
    this.log.error({ err }, event)
  }
}

/** A process whose tasks keep failing ends, so that its platform replaces it. */
function crash (err: Error): void {
  throw err
}
