/** One entry: the real request path over links that can fail. */
import { FairAdmission, type Admission } from '../../src/admission/index.js'
import { PageClaims, type Claims } from '../../src/claims/index.js'
import { ConfigPropagator, type ConfigIndex } from '../../src/config/index.js'
import { RequestHandler, type EntryDeps } from '../../src/entry/index.js'
import { SILENT_LOGGER } from '../../src/log/index.js'
import { stopGracefully } from '../../src/membership/index.js'
import { LeastOutstandingRouter, type RoutedTarget, type Router } from '../../src/routing/index.js'
import type { LoadReport } from '../../src/schema/index.js'
import { linkEngine, linkPlain, type TargetPoint } from '../../src/standin/index.js'
import type { TargetClients } from '../../src/target-clients/index.js'
import { delay } from '../../src/time/index.js'
import { UsageCounters } from '../../src/usage/index.js'
import { MODEL, REGION } from './build.js'
import { Proc, type World } from './world.js'

const STOP_POLL_MS = 50

/** Interval between load polls, in ms. */
const POLL_MS = 500

/** Age of a report while reports lag, in ms. */
const LAG_MS = 8_000

export class EntryProcess extends Proc {
  readonly config: ConfigPropagator
  readonly usage = new UsageCounters()
  readonly router: Router
  readonly admission: Admission
  readonly path: RequestHandler
  /** Generations in the order in which they came into force. */
  readonly generations: number[] = []
  /** Accepts no more requests. */
  stopped = false
  private readonly reports = new Map<string, LoadReport[]>()

  constructor (world: World, name: string, domain: string) {
    super(world, name, domain)
    const { env, platform: { store }, peers, metrics } = this
    const members = { name, region: REGION, others: () => this.others() }
    this.config = new ConfigPropagator({ env, store, peers, members, metrics, log: SILENT_LOGGER })
    this.config.serve(peers)
    this.router = world.variant.router?.(new LeastOutstandingRouter()) ?? new LeastOutstandingRouter()
    const admission = new FairAdmission(this.env)
    this.admission = this.watchedAdmission(world.variant.admission?.(admission) ?? admission)
    this.path = new RequestHandler(this.deps())
  }

  start (): void {
    this.config.onChange((cfg) => this.apply(cfg))
    this.config.start()
    this.env.timers.every(POLL_MS, () => { for (const engine of this.world.engines) this.poll(engine.name).catch(() => {}) })
  }

  override join (): void {
    this.reach('join')
    this.gate.run(() => super.join())
  }

  /** Leaves as a planned stop does. */
  async stop (): Promise<void> {
    this.reach('leave')
    await this.gate.pass()
    const { membership } = this.membership
    await stopGracefully({
      announceLeaving: () => membership.announce('leaving'),
      finish: async () => {
        this.stopped = true
        while (this.path.activeRequests > 0) await delay(this.env.timers, STOP_POLL_MS)
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
      owners: { isDead: (incarnation) => this.membership.membership.terminationEvidence(incarnation) !== undefined },
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
      claims: this.watchedClaims(variant.claims?.(claims) ?? claims),
      targets: variant.targets?.(targets) ?? targets,
      usage: this.usage,
      advisor: { advise: () => ({ entries: [], ttl_ms: 0 }) }
    }
  }

  private targets (): TargetClients {
    const watcher = {
      reach: (point: TargetPoint) => this.reachTarget(point),
      sent: (target: string, attempt: string, payload: string) => { this.world.sends.push({ at: this.time.now(), target, attempt, payload }) }
    }
    const nameOf = (url: string): string => new URL(url).hostname
    return {
      engine: (url) => linkEngine(this, this.world.engine(nameOf(url)), watcher),
      plain: (url) => linkPlain(this, this.world.plains.find((plain) => plain.name === nameOf(url))!, watcher)
    }
  }

  private reachTarget (point: TargetPoint): void {
    if (point.step === 'stream/model' && this.world.breaks > 0) {
      this.world.breaks--
      this.world.engine(point.target).inner.faults.breakAfter = 5
    }
    this.reach(point.step, point)
  }

  private watchedAdmission (inner: Admission): Admission {
    const enter = inner.enter.bind(inner)
    inner.enter = async (req, signal) => {
      this.reach(req.service === MODEL ? 'admit/model' : 'admit/plain')
      await this.gate.pass()
      return await enter(req, signal)
    }
    return inner
  }

  private watchedClaims (inner: Claims): Claims {
    return {
      claim: async (req) => {
        this.reach('claim/once')
        await this.gate.pass()
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

  private async poll (name: string): Promise<void> {
    const engine = this.world.engine(name)
    const answer = this.world.reports === 'missing' ? undefined : await engine.inner.load()
    await this.gate.pass()
    const report = answer?.ok === true ? answer.val : undefined
    const seen = [...this.reports.get(name) ?? [], ...report === undefined ? [] : [report]].slice(-32)
    this.reports.set(name, seen)
    const before = this.world.env.clock.wallTimeMs() - LAG_MS
    const lagging = seen.filter((item) => item.at <= before).at(-1)
    this.router.applyLoad(name, this.world.reports === 'lagging' ? lagging : report)
  }
}
