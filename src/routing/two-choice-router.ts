/** Routing by power of two choices, with corrected load estimates and prefix affinity. */
import { CACHE_BLOCK_TOKENS, type CacheBatch } from '../target-clients/index.js'
import type { LoadReport, Role } from '../schema/index.js'
import type { Env } from '../time/index.js'
import { PrefixIndex } from './prefix-index.js'
import { newTargetState, ServiceTargets, type TargetState } from './service-targets.js'
import { splitPays } from './split.js'
import type { AttemptOutcome, RoutedTarget, RouteChoice, RouteReq, Router } from './types.js'

/** Targets drawn at random for a choice. */
const SAMPLE = 4

/** Prefix owners considered for a choice. */
const OWNERS = 4

/** Added to scores before they are compared as weights, in ms, so that small differences decide little. */
const SCORE_FLOOR_MS = 20

/** Priority at which waits count as they are; 9 is the most urgent. */
const NORMAL_PRIORITY = 5

/** Share of the wait by which each step of priority makes it count less: engines let urgent requests go first. */
const PRIORITY_STEP = 0.15

/** Extra time to a target in ms, by its failure domain. */
export type Distance = (domain: string) => number

/** Chooses among the targets of each service. */
export class TwoChoiceRouter implements Router {
  private readonly services = new Map<string, ServiceTargets>()
  private readonly states = new Map<string, TargetState>()
  private readonly attempts = new Map<string, Attempt>()
  private readonly prefixes = new PrefixIndex()

  constructor (private readonly env: Env, private readonly distance: Distance = () => 0) {}

  setTargets (targets: readonly RoutedTarget[]): void {
    const names = new Set(targets.map((target) => target.name))
    for (const name of this.states.keys()) if (!names.has(name)) this.drop(name)
    this.services.clear()
    for (const spec of targets) {
      const state = this.stateOf(spec)
      if (spec.leaving) continue
      const service = this.services.get(spec.service) ?? new ServiceTargets()
      this.services.set(spec.service, service)
      service.add(state)
    }
  }

  choose (need: RouteReq): RouteChoice | undefined {
    const service = this.services.get(need.service)
    if (service === undefined) return undefined
    const scorer = this.scorer(service, need)
    const whole = this.best(service, 'mixed', need, scorer)
    if (need.split !== false && service.has('prefill') && service.has('decode') && need.promptTokens >= CACHE_BLOCK_TOKENS) {
      const prefill = this.best(service, 'prefill', need, scorer)
      const decode = this.best(service, 'decode', need, { ...scorer, covered: ALL_COVERED })
      if (prefill !== undefined && decode !== undefined && splitPays(need, prefill, decode, service.has('mixed') ? whole : undefined)) {
        return { target: decode.state.spec, prefillTarget: prefill.state.spec, cachedTokens: prefill.cachedTokens }
      }
    }
    return whole === undefined ? undefined : { target: whole.state.spec, cachedTokens: whole.cachedTokens }
  }

  noteSent (attempt: string, target: string, need: RouteReq): void {
    const state = this.states.get(target)
    if (state === undefined) return
    const { clock } = this.env
    const cached = this.prefixes.find(need.chain, OWNERS).find((owner) => owner.target === target)
    const prefillTokens = need.promptTokens - Math.min(need.promptTokens, (cached?.pieces ?? 0) * (cached?.trust ?? 0) * CACHE_BLOCK_TOKENS)
    state.load.sent(attempt, { prefillTokens, decodeTokens: need.promptTokens === 0 ? 0 : need.outputTokens }, clock.wallTimeMs())
    state.health.sent(attempt, clock.now())
    this.attempts.set(attempt, { state, sentAt: clock.now() })
    this.prefixes.sent(target, need.chain)
  }

  noteFinished (attempt: string, outcome: AttemptOutcome): void {
    const sent = this.attempts.get(attempt)
    if (sent === undefined) return
    this.attempts.delete(attempt)
    sent.state.load.finished(attempt)
    const now = this.env.clock.now()
    sent.state.health.finished(attempt, outcome, sent.sentAt, now, () => this.services.get(sent.state.spec.service)?.mayEject(now) === true)
  }

  notePrefilled (target: string, need: RouteReq): void {
    this.prefixes.finished(target, need.chain)
  }

  applyLoad (target: string, report: LoadReport | undefined, askedAt = this.env.clock.wallTimeMs()): void {
    if (report !== undefined) this.states.get(target)?.load.apply(report, askedAt)
  }

  applyCache (target: string, batch: CacheBatch): void {
    if (this.states.has(target)) this.prefixes.apply(target, batch)
  }

  /** Sequence number of the next cache event wanted from a target. */
  nextCacheEvent (target: string): number {
    return this.prefixes.nextEvent(target)
  }

  private stateOf (spec: RoutedTarget): TargetState {
    const known = this.states.get(spec.name)
    if (known !== undefined && known.spec.url === spec.url) {
      known.spec = spec
      return known
    }
    if (known !== undefined) this.prefixes.forget(spec.name)
    const state = newTargetState(spec)
    this.states.set(spec.name, state)
    return state
  }

  private drop (name: string): void {
    this.states.delete(name)
    this.prefixes.forget(name)
  }

  private scorer (service: ServiceTargets, need: RouteReq): Scorer {
    const { clock } = this.env
    const wall = clock.wallTimeMs()
    const meanMs = service.meanMs(clock.now(), wall)
    const urgency = 1 - PRIORITY_STEP * ((need.priority ?? NORMAL_PRIORITY) - NORMAL_PRIORITY)
    const covered = new Map(this.prefixes.find(need.chain, OWNERS).map((owner) => [owner.target, owner.pieces * owner.trust * CACHE_BLOCK_TOKENS]))
    return { wall, meanMs, urgency, covered: { owners: [...covered.keys()], tokens: (name) => covered.get(name) ?? 0 } }
  }

  /**
   * The better of two targets drawn from a sample, likelier the lower their scores; prefix owners compete too.
   * When none is usable, a request for a whole answer goes to one that is ejected rather than nowhere.
   */
  private best (service: ServiceTargets, role: Role, need: RouteReq, scorer: Scorer): Scored | undefined {
    const now = this.env.clock.now()
    const targets = service.of(role)
    const usable = (state: TargetState): boolean => state.health.usable(now) && !need.exclude.has(state.spec.name)
    let sample = service.sample(targets, SAMPLE, usable, this.env.random)
    if (sample.length === 0 && role === 'mixed') sample = service.sample(service.all, SAMPLE, (state) => !need.exclude.has(state.spec.name), this.env.random)
    const scored = sample.map((state) => this.score(state, need, scorer))
    const owners = scorer.covered.owners
      .map((name) => this.states.get(name))
      .filter((state) => state !== undefined)
      .filter((state) => service.fits(state, role, need.service) && usable(state))
      .map((state) => this.score(state, need, scorer))
    return lowest([...this.drawTwo(scored), ...owners])
  }

  private drawTwo (scored: readonly Scored[]): Scored[] {
    const left = [...scored]
    const drawn: Scored[] = []
    while (drawn.length < 2 && left.length > 0) drawn.push(...left.splice(this.draw(left), 1))
    return drawn
  }

  /** Index of an item, likelier the lower its score. */
  private draw (scored: readonly Scored[]): number {
    const weights = scored.map((item) => 1 / (item.ms + SCORE_FLOOR_MS))
    let point = this.env.random.next() * weights.reduce((sum, weight) => sum + weight, 0)
    const index = weights.findIndex((weight) => (point -= weight) < 0)
    return index < 0 ? scored.length - 1 : index
  }

  private score (state: TargetState, need: RouteReq, scorer: Scorer): Scored {
    const cachedTokens = Math.min(need.promptTokens, scorer.covered.tokens(state.spec.name))
    const waitMs = state.load.waitMs(scorer.wall, scorer.meanMs) * scorer.urgency
    const prefillMs = state.load.prefillMs(need.promptTokens - cachedTokens)
    return { state, cachedTokens, prefillMs, ms: waitMs + prefillMs + this.distance(state.spec.domain) }
  }
}

/** A target with its score. */
export interface Scored {
  readonly state: TargetState
  readonly cachedTokens: number
  /** Time to process the part of the prompt that is not cached. */
  readonly prefillMs: number
  /** Estimated time until the request is under way. */
  readonly ms: number
}

interface Scorer {
  readonly wall: number
  readonly meanMs: number
  readonly urgency: number
  readonly covered: Covered
}

interface Covered {
  readonly owners: readonly string[]
  tokens (target: string): number
}

interface Attempt {
  readonly state: TargetState
  readonly sentAt: number
}

/** A decode engine gets the whole prompt's KV cache. */
const ALL_COVERED: Covered = { owners: [], tokens: () => Infinity }

function lowest (scored: readonly Scored[]): Scored | undefined {
  return scored.reduce<Scored | undefined>((best, next) => best === undefined || next.ms < best.ms ? next : best, undefined)
}
