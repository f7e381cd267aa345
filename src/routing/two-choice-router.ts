/** Routing by the power of two choices, with load estimates and prefix affinity. */
import { CACHE_BLOCK_TOKENS, type CacheBatch } from '../target-clients/index.js'
import type { LoadReport, Role } from '../schema/index.js'
import type { Env } from '../time/index.js'
import { PrefixIndex } from './prefix-index.js'
import { newTargetState, ServiceTargets, type TargetState } from './service-targets.js'
import { shouldSplit } from './split.js'
import type { AttemptOutcome, RoutedTarget, RouteChoice, RouteReq, Router } from './types.js'

/** Number of targets sampled for a choice. */
const SAMPLE_SIZE = 4

/** Maximum number of targets with a cached prefix that are considered for a choice. */
const MAX_PREFIX_MATCHES = 4

/** Added to scores before they are turned into sampling weights, in ms, so that small differences have little effect. */
const SCORE_OFFSET_MS = 20

/** Priority of requests without one, at which waits count in full; 9 is the most urgent. */
const DEFAULT_PRIORITY = 5

/** Fraction of the wait that each step of priority deducts from it: engines serve urgent requests first. */
const WAIT_FACTOR_PER_PRIORITY = 0.15

/** Additional network time to a target in ms, by its failure domain. */
export type DomainLatency = (domain: string) => number

/** Chooses a target among those of a service. */
export class TwoChoiceRouter implements Router {
  private readonly services = new Map<string, ServiceTargets>()
  private readonly states = new Map<string, TargetState>()
  private readonly attempts = new Map<string, Attempt>()
  private readonly prefixes = new PrefixIndex()

  constructor (private readonly env: Env, private readonly domainLatencyMs: DomainLatency = () => 0) {}

  setTargets (targets: readonly RoutedTarget[]): void {
    const names = new Set(targets.map((target) => target.name))
    for (const name of this.states.keys()) if (!names.has(name)) this.removeTarget(name)
    this.services.clear()
    for (const spec of targets) {
      const state = this.stateOf(spec)
      if (spec.leaving) continue
      const service = this.services.get(spec.service) ?? new ServiceTargets()
      this.services.set(spec.service, service)
      service.add(state)
    }
  }

  choose (req: RouteReq): RouteChoice | undefined {
    const service = this.services.get(req.service)
    if (service === undefined) return undefined
    const scoring = this.scoringContext(service, req)
    const unsplit = this.chooseTarget(service, 'mixed', req, scoring)
    if (req.split !== false && service.hasRole('prefill') && service.hasRole('decode') && req.promptTokens >= CACHE_BLOCK_TOKENS) {
      const prefill = this.chooseTarget(service, 'prefill', req, scoring)
      const decode = this.chooseTarget(service, 'decode', req, { ...scoring, cachedPrefixes: FULLY_CACHED })
      if (prefill !== undefined && decode !== undefined && shouldSplit(req, prefill, decode, service.hasRole('mixed') ? unsplit : undefined)) {
        return { target: decode.state.spec, prefillTarget: prefill.state.spec, cachedTokens: prefill.cachedTokens }
      }
    }
    return unsplit === undefined ? undefined : { target: unsplit.state.spec, cachedTokens: unsplit.cachedTokens }
  }

  noteSent (attempt: string, target: string, req: RouteReq): void {
    const state = this.states.get(target)
    if (state === undefined) return
    const { clock } = this.env
    const match = this.prefixes.findTargets(req.chain, MAX_PREFIX_MATCHES).find((match) => match.target === target)
    const prefillTokens = req.promptTokens - Math.min(req.promptTokens, (match?.blocks ?? 0) * (match?.confidence ?? 0) * CACHE_BLOCK_TOKENS)
    state.load.noteSent(attempt, { prefillTokens, decodeTokens: req.promptTokens === 0 ? 0 : req.outputTokens }, clock.wallTimeMs())
    state.health.noteSent(attempt, clock.now())
    this.attempts.set(attempt, { state, sentAt: clock.now() })
    this.prefixes.addSent(target, req.chain)
  }

  noteFinished (attempt: string, outcome: AttemptOutcome): void {
    const sentAttempt = this.attempts.get(attempt)
    if (sentAttempt === undefined) return
    this.attempts.delete(attempt)
    sentAttempt.state.load.noteFinished(attempt)
    const now = this.env.clock.now()
    sentAttempt.state.health.noteFinished(attempt, outcome, sentAttempt.sentAt, now, () => this.services.get(sentAttempt.state.spec.service)?.mayEject(now) === true)
  }

  notePrefilled (target: string, req: RouteReq): void {
    this.prefixes.addPrefilled(target, req.chain)
  }

  applyLoad (target: string, report: LoadReport | undefined, requestedAt = this.env.clock.wallTimeMs()): void {
    if (report !== undefined) this.states.get(target)?.load.apply(report, requestedAt)
  }

  applyCache (target: string, batch: CacheBatch): void {
    if (this.states.has(target)) this.prefixes.applyEvents(target, batch)
  }

  /** Sequence number of the next cache event expected from a target. */
  nextCacheEvent (target: string): number {
    return this.prefixes.nextEventSeq(target)
  }

  private stateOf (spec: RoutedTarget): TargetState {
    const existing = this.states.get(spec.name)
    if (existing !== undefined && existing.spec.url === spec.url) {
      existing.spec = spec
      return existing
    }
    if (existing !== undefined) this.prefixes.removeTarget(spec.name)
    const state = newTargetState(spec)
    this.states.set(spec.name, state)
    return state
  }

  private removeTarget (name: string): void {
    this.states.delete(name)
    this.prefixes.removeTarget(name)
  }

  private scoringContext (service: ServiceTargets, req: RouteReq): ScoringContext {
    const { clock } = this.env
    const wallTimeMs = clock.wallTimeMs()
    const meanWaitMs = service.meanWaitMs(clock.now(), wallTimeMs)
    const waitFactor = 1 - WAIT_FACTOR_PER_PRIORITY * ((req.priority ?? DEFAULT_PRIORITY) - DEFAULT_PRIORITY)
    const cachedTokens = new Map(this.prefixes.findTargets(req.chain, MAX_PREFIX_MATCHES).map((match) => [match.target, match.blocks * match.confidence * CACHE_BLOCK_TOKENS]))
    return { wallTimeMs, meanWaitMs, waitFactor, cachedPrefixes: { targets: [...cachedTokens.keys()], tokensAt: (name) => cachedTokens.get(name) ?? 0 } }
  }

  /**
   * The best of two targets drawn from a sample, weighted towards low scores, and of the targets with a cached prefix.
   * When no target is usable, the choice for unsplit serving falls back to ejected ones instead of failing.
   */
  private chooseTarget (service: ServiceTargets, role: Role, req: RouteReq, scoring: ScoringContext): ScoredTarget | undefined {
    const now = this.env.clock.now()
    const targets = service.withRole(role)
    const isUsable = (state: TargetState): boolean => state.health.isUsable(now) && !req.exclude.has(state.spec.name)
    let sample = service.sample(targets, SAMPLE_SIZE, isUsable, this.env.random)
    if (sample.length === 0 && role === 'mixed') sample = service.sample(service.all, SAMPLE_SIZE, (state) => !req.exclude.has(state.spec.name), this.env.random)
    const scored = sample.map((state) => this.score(state, req, scoring))
    const prefixTargets = scoring.cachedPrefixes.targets
      .map((name) => this.states.get(name))
      .filter((state) => state !== undefined)
      .filter((state) => service.isCandidate(state, role, req.service) && isUsable(state))
      .map((state) => this.score(state, req, scoring))
    return lowestScore([...this.drawTwo(scored), ...prefixTargets])
  }

  private drawTwo (scored: readonly ScoredTarget[]): ScoredTarget[] {
    const remaining = [...scored]
    const drawn: ScoredTarget[] = []
    while (drawn.length < 2 && remaining.length > 0) drawn.push(...remaining.splice(this.drawIndex(remaining), 1))
    return drawn
  }

  /** Random index, weighted towards low scores. */
  private drawIndex (scored: readonly ScoredTarget[]): number {
    const weights = scored.map((item) => 1 / (item.scoreMs + SCORE_OFFSET_MS))
    let point = this.env.random.next() * weights.reduce((sum, weight) => sum + weight, 0)
    const index = weights.findIndex((weight) => (point -= weight) < 0)
    return index < 0 ? scored.length - 1 : index
  }

  private score (state: TargetState, req: RouteReq, scoring: ScoringContext): ScoredTarget {
    const cachedTokens = Math.min(req.promptTokens, scoring.cachedPrefixes.tokensAt(state.spec.name))
    const waitMs = state.load.waitMs(scoring.wallTimeMs, scoring.meanWaitMs) * scoring.waitFactor
    const prefillMs = state.load.prefillMs(req.promptTokens - cachedTokens)
    return { state, cachedTokens, prefillMs, scoreMs: waitMs + prefillMs + this.domainLatencyMs(state.spec.domain) }
  }
}

/** A target with its score; the lowest is best. */
export interface ScoredTarget {
  readonly state: TargetState
  readonly cachedTokens: number
  /** Time to prefill the uncached tokens of the prompt. */
  readonly prefillMs: number
  /** Estimated time until the prompt is prefilled. */
  readonly scoreMs: number
}

interface ScoringContext {
  readonly wallTimeMs: number
  readonly meanWaitMs: number
  readonly waitFactor: number
  readonly cachedPrefixes: CachedPrefixes
}

interface CachedPrefixes {
  readonly targets: readonly string[]
  tokensAt (target: string): number
}

interface Attempt {
  readonly state: TargetState
  readonly sentAt: number
}

/** A decode engine receives the KV cache of the complete prompt. */
const FULLY_CACHED: CachedPrefixes = { targets: [], tokensAt: () => Infinity }

function lowestScore (scored: readonly ScoredTarget[]): ScoredTarget | undefined {
  return scored.reduce<ScoredTarget | undefined>((lowest, next) => lowest === undefined || next.scoreMs < lowest.scoreMs ? next : lowest, undefined)
}
