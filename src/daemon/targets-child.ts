/**
 * Keeps routing informed: load reports, cache events and engine state. Which targets exist, ordered ones included, is
 * part of the configuration, so that the calls to the platform do not grow with the number of entries.
 */
import type { ConfigIndex } from '../config/index.js'
import type { Logger } from '../log/index.js'
import type { RoutedTarget, Router } from '../routing/index.js'
import type { EngineState, LoadReport, Role } from '../schema/index.js'
import type { CacheBatch, Engine, TargetClients, TargetError } from '../target-clients/index.js'
import type { Result } from '../errors/index.js'
import type { Env } from '../time/index.js'

/** Shortest interval between two polls of one engine, in ms. */
const POLL_MS = 500

/** Interval of the tick that starts polls, in ms. */
const TICK_MS = 50

/** Most polls started in one tick; with many engines each is polled less often. */
const POLLS_PER_TICK = 25

/** Polls of one engine that may wait for answers at once, over all engines. */
const MAX_IN_FLIGHT = 128

/** Cache events are read at every second poll of an engine, its state at every fourth. */
const CACHE_EVERY = 2
const STATE_EVERY = 4

/** What the task needs of routing. */
export interface InformedRouter extends Router {
  nextCacheEvent (target: string): number
}

/** What the task uses. */
export interface TargetsDeps {
  readonly env: Env
  readonly log: Logger
  readonly clients: TargetClients
  readonly router: InformedRouter
}

/** An engine's latest answers to polls. */
export interface EngineReport {
  readonly load: LoadReport | undefined
  readonly state: EngineState | undefined
}

/** Polls engines and sets the targets of routing. */
export class TargetsChild implements AsyncDisposable {
  private config: ConfigIndex | undefined
  private engines: Polled[] = []
  private byName = new Map<string, Polled>()
  private next = 0
  private inFlight = 0
  private timers: Disposable[] = []

  constructor (private readonly deps: TargetsDeps) {}

  /** Starts polling. */
  start (): void {
    const { timers } = this.deps.env
    this.timers = [timers.every(TICK_MS, () => this.tick())]
  }

  /** Takes a new configuration. */
  apply (config: ConfigIndex): void {
    this.config = config
    this.update()
  }

  /** What an engine last reported; absent parts are not known. */
  reportOf (target: string): EngineReport {
    const { load, state } = this.byName.get(target) ?? {}
    return { load, state }
  }

  async [Symbol.asyncDispose] (): Promise<void> {
    for (const timer of this.timers.splice(0)) timer[Symbol.dispose]()
  }

  private update (): void {
    const { config } = this
    if (config === undefined) return
    const known = this.byName
    this.byName = new Map()
    this.engines = []
    const routed = config.set.targets.map(({ name, service, domain, url, leaving }): RoutedTarget => {
      const old = known.get(name)
      const polled: Polled = old?.url === url ? old : { name, url, role: 'mixed', busy: false, dueAt: 0, polls: 0, waiting: false }
      this.byName.set(name, polled)
      if (config.service(service)?.kind === 'model') this.engines.push(polled)
      return { name, service, domain, url, role: polled.role, leaving: leaving || polled.busy }
    })
    this.deps.router.setTargets(routed)
  }

  private tick (): void {
    const now = this.deps.env.clock.now()
    const count = Math.min(POLLS_PER_TICK, this.engines.length)
    for (let index = 0; index < count; index++) {
      const engine = this.engines[this.next++ % this.engines.length]
      if (engine === undefined || engine.waiting || now < engine.dueAt || this.inFlight >= MAX_IN_FLIGHT) continue
      engine.dueAt = now + POLL_MS
      this.inFlight++
      engine.waiting = true
      this.poll(engine)
        .catch((err: unknown) => this.deps.log.warn({ step: 'route', peer: engine.name, err }, 'poll_failed'))
        .finally(() => { this.inFlight--; engine.waiting = false })
    }
  }

  private async poll (engine: Polled): Promise<void> {
    const { router, env } = this.deps
    const client = this.deps.clients.engine(engine.url)
    const askedAt = env.clock.wallTimeMs()
    const count = engine.polls++
    const [load, cache, state] = await Promise.all([
      client.load(),
      count % CACHE_EVERY === 0 ? client.cacheEvents(router.nextCacheEvent(engine.name)) : undefined,
      count % STATE_EVERY === 0 ? client.state() : undefined
    ] satisfies PollCalls)
    if (this.byName.get(engine.name) !== engine) return
    engine.load = load.ok ? load.val : undefined
    router.applyLoad(engine.name, load.ok ? load.val : undefined, askedAt)
    if (cache?.ok === true) router.applyCache(engine.name, cache.val)
    if (state?.ok === true) this.take(engine, state.val)
    else if (state !== undefined) engine.state = undefined
  }

  /** An engine that is drained or is carrying out an order gets no new work. */
  private take (engine: Polled, state: EngineState): void {
    engine.state = state
    const busy = state.draining || state.active_order !== ''
    if (engine.role === state.role && engine.busy === busy) return
    engine.role = state.role
    engine.busy = busy
    this.update()
  }
}

type PollCalls = [
  Promise<Result<LoadReport, TargetError>>, Promise<Result<CacheBatch, TargetError>> | undefined, Promise<Awaited<ReturnType<Engine['state']>>> | undefined
]

interface Polled {
  readonly name: string
  readonly url: string
  role: Role
  busy: boolean
  load?: LoadReport | undefined
  state?: EngineState | undefined
  dueAt: number
  polls: number
  waiting: boolean
}
