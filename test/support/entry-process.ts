/** A simulated entry: the real request path over links with injected faults. */
import { FairAdmission, type Admission } from '../../src/admission/index.js'
import { PageClaims, type Claims } from '../../src/claims/index.js'
import { ConfigPropagator, type ConfigIndex } from '../../src/config/index.js'
import { RequestHandler, type EntryDeps } from '../../src/entry/index.js'
import { SILENT_LOGGER } from '../../src/log/index.js'
import { stopGracefully } from '../../src/membership/index.js'
import { LeastOutstandingRouter, type RoutedTarget, type Router } from '../../src/routing/index.js'
import type { LoadReport } from '../../src/schema/index.js'
import { linkEngine, linkPlain, type TargetStepPoint } from '../../src/standin/index.js'
import type { TargetClients } from '../../src/target-clients/index.js'
import { delay } from '../../src/time/index.js'
import { UsageCounters } from '../../src/usage/index.js'
import { MODEL, REGION } from './build.js'
import { TestProcess, type World } from './world.js'

const DRAIN_POLL_MS = 50

/** Interval of load polls, in ms. */
const LOAD_POLL_MS = 500

/** Age of the load reports that the router gets while reports lag, in ms. */
const REPORT_LAG_MS = 8_000

export class EntryProcess extends TestProcess {
  readonly config: ConfigPropagator
  readonly usage = new UsageCounters()
  readonly router: Router
  readonly admission: Admission
  readonly path: RequestHandler
  /** Configuration generations in the order in which they were applied. */
  readonly generations: number[] = []
  /** Whether the entry has stopped accepting requests. */
  stopsAccepting = false
  private readonly recentReports = new Map<string, LoadReport[]>()

  constructor (world: World, name: string, domain: string) {
    super(world, name, domain)
    const { env, platform: { store }, peers, metrics } = this
    const members = { name, region: REGION, others: () => this.others() }
    this.config = new ConfigPropagator({ env, store, peers, members, metrics, log: SILENT_LOGGER })
    this.config.serve(peers)
    this.router = world.variant.router?.(new LeastOutstandingRouter()) ?? new LeastOutstandingRouter()
    const admission = new FairAdmission(this.env)
    this.admission = this.observedAdmission(world.variant.admission?.(admission) ?? admission)
    this.path = new RequestHandler(this.deps())
  }

  start (): void {
    this.config.onChange((cfg) => this.apply(cfg))
    this.config.start()
    this.env.timers.every(LOAD_POLL_MS, () => { for (const engine of this.world.engines) this.pollLoad(engine.name).catch(() => {}) })
  }

  override join (): void {
    this.reachStep('join')
    this.gate.runWhenRunning(() => super.join())
  }

  /** Leaves the fleet gracefully, as in a planned stop. */
  async stop (): Promise<void> {
    this.reachStep('leave')
    await this.gate.whenRunning()
    const { membership } = this.membership
    await stopGracefully({
      announceLeaving: () => membership.announce('leaving'),
      finish: async () => {
        this.stopsAccepting = true
        while (this.path.activeRequests > 0) await delay(this.env.timers, DRAIN_POLL_MS)
      },
      announceLeft: async () => await this.membership.announceLeft()
    }, this.env.timers, this.world.variant.stopHoldMs)
  }

  private deps (): EntryDeps {
    const { variant } = this.world
    const { env, platform: { store }, peers, metrics } = this
    const claims = new PageClaims({
      env,
      store,
      peers,
      incarnation: this.name,
      peerAddress: () => this.address,
      owners: { isTerminated: (incarnation) => this.membership.membership.terminationEvidence(incarnation) !== undefined },
      onRetry: (reason) => metrics.countRetry(reason)
    })
    const targets = this.targets()
    return {
      env,
      log: SILENT_LOGGER,
      metrics,
      incarnation: this.name,
      config: variant.config?.(this.config) ?? this.config,
      admission: this.admission,
      router: this.router,
      claims: this.observedClaims(variant.claims?.(claims) ?? claims),
      targets: variant.targets?.(targets) ?? targets,
      usage: this.usage,
      advisor: { advise: () => ({ entries: [], ttl_ms: 0 }) }
    }
  }

  private targets (): TargetClients {
    const observer = {
      onStep: (point: TargetStepPoint) => this.reachTargetStep(point),
      onSend: (target: string, attempt: string, payload: string) => { this.world.sentRequests.push({ at: this.time.now(), target, attempt, payload }) }
    }
    const targetName = (url: string): string => new URL(url).hostname
    return {
      engine: (url) => linkEngine(this, this.world.engine(targetName(url)), observer),
      plain: (url) => linkPlain(this, this.world.plains.find((plain) => plain.name === targetName(url))!, observer)
    }
  }

  private reachTargetStep (point: TargetStepPoint): void {
    if (point.step === 'stream/model' && this.world.streamsToBreak > 0) {
      this.world.streamsToBreak--
      this.world.engine(point.target).inner.faults.breakAfterChunks = 5
    }
    this.reachStep(point.step, point)
  }

  private observedAdmission (inner: Admission): Admission {
    const enter = inner.enter.bind(inner)
    inner.enter = async (req, signal) => {
      this.reachStep(req.service === MODEL ? 'admit/model' : 'admit/plain')
      await this.gate.whenRunning()
      return await enter(req, signal)
    }
    return inner
  }

  private observedClaims (inner: Claims): Claims {
    return {
      claim: async (req) => {
        this.reachStep('claim/once')
        await this.gate.whenRunning()
        return await inner.claim(req)
      }
    }
  }

  private apply (cfg: ConfigIndex): void {
    this.generations.push(cfg.generation)
    this.router.setTargets(cfg.set.targets.map((target): RoutedTarget => ({ ...target, role: 'mixed' })))
    for (const service of cfg.set.services) {
      this.admission.setSlots(service.name, cfg.targetsOf(service.name).filter((target) => !target.leaving).length * 2)
    }
  }

  private async pollLoad (name: string): Promise<void> {
    const engine = this.world.engine(name)
    const outcome = this.world.loadReports === 'missing' ? undefined : await engine.inner.load()
    await this.gate.whenRunning()
    const report = outcome?.ok === true ? outcome.val : undefined
    const reports = [...this.recentReports.get(name) ?? [], ...report === undefined ? [] : [report]].slice(-32)
    this.recentReports.set(name, reports)
    const newestAt = this.world.env.clock.wallTimeMs() - REPORT_LAG_MS
    const laggingReport = reports.filter((candidate) => candidate.at <= newestAt).at(-1)
    this.router.applyLoad(name, this.world.loadReports === 'lagging' ? laggingReport : report)
  }
}
