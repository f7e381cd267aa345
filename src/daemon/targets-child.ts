/**
 * Polls engines for load reports, cache events and their state, and feeds them to routing. The targets themselves,
 * ordered ones included, come from the configuration, so that calls to the platform do not grow with the number of
 * entries.
 */
import type { ConfigIndex } from '../config/index.js'
import type { Logger } from '../log/index.js'
import type { RoutedTarget, Router } from '../routing/index.js'
import type { EngineState, LoadReport, Role } from '../schema/index.js'
import type { CacheBatch, Engine, TargetClients, TargetError } from '../target-clients/index.js'
import type { Result } from '../errors/index.js'
import type { Env } from '../time/index.js'

/** Shortest interval between two polls of one engine, in ms. */
const MIN_POLL_INTERVAL_MS = 500

/** Interval of the tick that starts polls, in ms. */
const TICK_INTERVAL_MS = 50

/** Maximum number of polls started in one tick; with many engines each one is polled less often. */
const MAX_POLLS_PER_TICK = 25

/** Maximum number of polls in flight over all engines; each engine has at most one. */
const MAX_POLLS_IN_FLIGHT = 128

/** Cache events are read with every second poll of an engine, its state with every fourth. */
const POLLS_PER_CACHE_READ = 2
const POLLS_PER_STATE_READ = 4

/** A router that tells which cache event of a target it expects next. */
export interface CacheTrackingRouter extends Router {
  /** Sequence number of the first cache event to read from a target. */
  nextCacheEvent (target: string): number
}

/** Dependencies of a {@link TargetsChild}. */
export interface TargetsChildDeps {
  readonly env: Env
  readonly log: Logger
  readonly clients: TargetClients
  readonly router: CacheTrackingRouter
}

/** An engine's latest responses to polls; `undefined` before the first one or when the last poll failed. */
export interface EngineReport {
  readonly load: LoadReport | undefined
  readonly state: EngineState | undefined
}

/** Polls engines and sets the targets of the router. */
export class TargetsChild implements AsyncDisposable {
  private config: ConfigIndex | undefined
  private engines: PolledTarget[] = []
  private targetsByName = new Map<string, PolledTarget>()
  private nextIndex = 0
  private pollsInFlight = 0
  private timers: Disposable[] = []

  constructor (private readonly deps: TargetsChildDeps) {}

  /** Starts polling. */
  start (): void {
    const { timers } = this.deps.env
    this.timers = [timers.every(TICK_INTERVAL_MS, () => this.tick())]
  }

  /** Applies a new configuration. */
  applyConfig (config: ConfigIndex): void {
    this.config = config
    this.updateRouter()
  }

  /** Load and state that an engine last reported; unknown ones are `undefined`. */
  reportOf (target: string): EngineReport {
    const { load, state } = this.targetsByName.get(target) ?? {}
    return { load, state }
  }

  async [Symbol.asyncDispose] (): Promise<void> {
    for (const timer of this.timers.splice(0)) timer[Symbol.dispose]()
  }

  private updateRouter (): void {
    const { config } = this
    if (config === undefined) return
    const previousTargets = this.targetsByName
    this.targetsByName = new Map()
    this.engines = []
    const routed = config.set.targets.map(({ name, service, domain, url, leaving }): RoutedTarget => {
      const previous = previousTargets.get(name)
      const polled: PolledTarget = previous?.url === url ? previous : { name, url, role: 'mixed', busy: false, nextPollAt: 0, pollCount: 0, polling: false }
      this.targetsByName.set(name, polled)
      if (config.service(service)?.kind === 'model') this.engines.push(polled)
      return { name, service, domain, url, role: polled.role, leaving: leaving || polled.busy }
    })
    this.deps.router.setTargets(routed)
  }

  private tick (): void {
    const now = this.deps.env.clock.now()
    const count = Math.min(MAX_POLLS_PER_TICK, this.engines.length)
    for (let index = 0; index < count; index++) {
      const engine = this.engines[this.nextIndex++ % this.engines.length]
      if (engine === undefined || engine.polling || now < engine.nextPollAt || this.pollsInFlight >= MAX_POLLS_IN_FLIGHT) continue
      engine.nextPollAt = now + MIN_POLL_INTERVAL_MS
      this.pollsInFlight++
      engine.polling = true
      this.poll(engine)
        .catch((err: unknown) => this.deps.log.warn({ step: 'route', peer: engine.name, err }, 'poll_failed'))
        .finally(() => { this.pollsInFlight--; engine.polling = false })
    }
  }

  private async poll (engine: PolledTarget): Promise<void> {
    const { router, env } = this.deps
    const client = this.deps.clients.engine(engine.url)
    const requestedAt = env.clock.wallTimeMs()
    const pollIndex = engine.pollCount++
    const [load, cache, state] = await Promise.all([
      client.load(),
      pollIndex % POLLS_PER_CACHE_READ === 0 ? client.cacheEvents(router.nextCacheEvent(engine.name)) : undefined,
      pollIndex % POLLS_PER_STATE_READ === 0 ? client.state() : undefined
    ] satisfies PollCalls)
    if (this.targetsByName.get(engine.name) !== engine) return
    engine.load = load.ok ? load.val : undefined
    router.applyLoad(engine.name, load.ok ? load.val : undefined, requestedAt)
    if (cache?.ok === true) router.applyCache(engine.name, cache.val)
    if (state?.ok === true) this.applyState(engine, state.val)
    else if (state !== undefined) engine.state = undefined
  }

  /** Applies an engine's state; an engine that is draining or carrying out an order gets no new work. */
  private applyState (engine: PolledTarget, state: EngineState): void {
    engine.state = state
    const busy = state.draining || state.active_order !== ''
    if (engine.role === state.role && engine.busy === busy) return
    engine.role = state.role
    engine.busy = busy
    this.updateRouter()
  }
}

type PollCalls = [
  Promise<Result<LoadReport, TargetError>>, Promise<Result<CacheBatch, TargetError>> | undefined, Promise<Awaited<ReturnType<Engine['state']>>> | undefined
]

interface PolledTarget {
  readonly name: string
  readonly url: string
  role: Role
  busy: boolean
  load?: LoadReport | undefined
  state?: EngineState | undefined
  nextPollAt: number
  pollCount: number
  polling: boolean
}
