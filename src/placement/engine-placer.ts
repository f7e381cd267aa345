/**
 * Placement of model calls. Answers the load of prompts whose shared parts are larger than what is their own: a part is
 * read best where it is kept, so each part has the same home for all gateways, and spills when its home has a backlog.
 */
import * as fleet from '../fleet/index.js'
import * as admission from '../admission/index.js'
import type * as calls from '../call/index.js'
import * as hash from '../hash/index.js'
import type * as time from '../time/index.js'
import * as share from './connection-share.js'
import type * as types from './types.js'

/** Prompt tokens that an engine reads in a ms: one that only reads, and one that also generates. */
const READ_RATE = 150
const MIXED_READ_RATE = 42

/** Time to the first event beside reading, in ms. */
const FIRST_EVENT_MS = 65

/** A call is sent under its own rank up to this much more than the time that counts as in time. */
const IN_TIME_FACTOR = 1.1

/** Expected times above this part of the time that counts as in time show that engines are busy. */
const BUSY_FACTOR = 0.7

/** Time to fetch a cache from another engine, in ms. */
const MOVE_MS = 10

/** Extra time a call in flight adds to the first event of the next, in ms. */
const RUNNING_MS = 0.5

/** A token read that another target keeps counts this much more than the time it takes. */
const REREAD_WEIGHT = 1.5

/** Share of a part that its home is believed to keep though this gateway has not sent it there. */
const HOME_TRUST = 0.3

/** Cost of another failure domain, in ms. */
const REMOTE_MS = 6

/** Cost of a target whose calls all fail, in ms. */
const FAILURE_MS = 1_500

/** Targets looked at by rank for a part; of a larger fleet the others are considered when none of these is in time. */
const CANDIDATES = 12

/** Time for which an engine whose hand-over failed does not read for others, in ms. */
const HAND_OVER_PAUSE_MS = 1_500

interface Candidate extends types.Placement {
  readonly cost: number
  /** Prompt tokens to be read. */
  readonly prefillTokens: number
}

/** Places model calls by what targets keep, their backlog, recent failures and distance. */
export class EnginePlacer implements types.Placer {
  private readonly accounts: admission.AccountWork

  constructor (private readonly fleet: fleet.Fleet, private readonly env: time.Env, private readonly domain: string, private readonly gateways: () => number) {
    this.accounts = new admission.AccountWork(env.clock)
  }

  // A call that cannot be in time is sent under a later rank: it delays none that can, and runs when there is room.
  place (call: calls.Call, tried: ReadonlySet<string>): types.Placement | undefined {
    const now = this.env.clock.now()
    const most = share.connectionShare(call.service, this.gateways())
    const states = this.fleet.ofService(call.service.name).filter((state) => !tried.has(state.record.id) && state.acceptsCalls(now) && state.running < most)
    const ranked = rankByAffinity(affinityKey(call), states)
    const inTime = this.best(call, ranked, call.priority, now)
    if (inTime === undefined) return undefined
    const placed = this.isDeferred(call, inTime.expectedMs + now - call.arrivedAt) ? this.best(call, ranked, fleet.deferredPriority(call.priority), now) : inTime
    if (tried.size === 0 && call.account !== undefined) this.accounts.add(call.account, placed?.prefillTokens ?? 0)
    return placed
  }

  // While engines are busy, what an account asks for beyond its share waits too.
  private isDeferred (call: calls.Call, expectedMs: number): boolean {
    const { sloMs } = call.route
    if (expectedMs > sloMs * IN_TIME_FACTOR) return true
    return expectedMs > sloMs * BUSY_FACTOR && call.account !== undefined && this.accounts.exceedsShare(call.account)
  }

  private best (call: calls.Call, ranked: readonly fleet.TargetState[], priority: number, now: number): Candidate | undefined {
    const runner = this.leastLoaded(ranked, priority, now)
    if (runner === undefined) return undefined
    let best: Candidate | undefined
    for (const [index, state] of ranked.entries()) {
      if (index >= CANDIDATES && index % CANDIDATES === 0 && best !== undefined && this.meetsObjective(call, best, now)) return best
      const candidate = this.consider(call, state, index === 0, runner, priority, now)
      if (candidate !== undefined && candidate.cost < (best?.cost ?? Infinity)) best = candidate
    }
    return best
  }

  private meetsObjective (call: calls.Call, candidate: Candidate, now: number): boolean {
    return candidate.expectedMs + now - call.arrivedAt <= call.route.sloMs * IN_TIME_FACTOR
  }

  private consider (call: calls.Call, state: fleet.TargetState, preferred: boolean, runner: fleet.TargetState, priority: number, now: number): Candidate | undefined {
    const reads = state.record.stage === 'prefill'
    if (reads && now - state.kvTransferFailedAt < HAND_OVER_PAUSE_MS) return undefined
    const rate = reads ? READ_RATE : MIXED_READ_RATE
    const prefillTokens = uncachedTokens(call, state, preferred)
    const waitMs = state.prefillTokensAhead(priority, now) / rate
    const readMs = prefillTokens / rate
    const target = reads ? runner : state
    const runMs = target.load(now) * RUNNING_MS + (reads ? MOVE_MS + target.prefillTokensAhead(priority, now) / MIXED_READ_RATE : 0)
    const distanceMs = (state.record.domain === this.domain ? 0 : REMOTE_MS) + (target.record.domain === state.record.domain ? 0 : 2 * REMOTE_MS)
    const failureMs = FAILURE_MS * Math.max(state.failures.failureRate(now), target.failures.failureRate(now))
    return {
      target,
      prefillTarget: reads ? state : undefined,
      priority,
      prefillTokens,
      expectedMs: waitMs + readMs + runMs + FIRST_EVENT_MS,
      cost: waitMs + readMs * REREAD_WEIGHT + runMs + distanceMs + failureMs
    }
  }

  // The engine that generates for those that only read: the one with the least to do, near ones first.
  private leastLoaded (states: readonly fleet.TargetState[], priority: number, now: number): fleet.TargetState | undefined {
    let best: fleet.TargetState | undefined
    let lowest = Infinity
    for (const state of states) {
      if (state.record.stage === 'prefill') continue
      const cost = state.load(now) * RUNNING_MS + state.prefillTokensAhead(priority, now) / MIXED_READ_RATE + FAILURE_MS * state.failures.failureRate(now) +
        (state.record.domain === this.domain ? 0 : REMOTE_MS) + this.env.random.next()
      if (cost >= lowest) continue
      lowest = cost
      best = state
    }
    return best
  }
}

function uncachedTokens (call: calls.Call, state: fleet.TargetState, preferred: boolean): number {
  const prompt = call.prompt
  if (prompt === undefined) return 0
  const cached = state.cache.cachedTokens(prompt)
  if (!preferred || cached > 0) return Math.max(0, prompt.promptTokens - cached)
  return Math.max(0, prompt.promptTokens - sharedTokens(prompt) * HOME_TRUST)
}

function sharedTokens (prompt: calls.Prompt): number {
  let tokens = 0
  for (const segment of prompt.segments.slice(0, -1)) tokens += segment.tokens
  return tokens
}

/** The part whose home decides: the last one that other requests share. */
function affinityKey (call: calls.Call): string {
  const segments = call.prompt?.segments ?? []
  return segments[segments.length - 2]?.id ?? segments[0]?.id ?? call.id
}

// Weighted rendezvous hashing: an engine that only reads is home to twice as many parts as one that also generates.
function rankByAffinity (key: string, states: readonly fleet.TargetState[]): fleet.TargetState[] {
  return states
    .map((state) => ({ state, score: score(key, state) }))
    .sort((a, b) => b.score - a.score)
    .map((entry) => entry.state)
}

function score (key: string, state: fleet.TargetState): number {
  const draw = (hash.hash32(`${key}\u0000${state.record.id}`) + 1) / 2 ** 32
  const weight = state.record.stage === 'prefill' ? READ_RATE : MIXED_READ_RATE
  return -weight / Math.log(Math.min(draw, 1 - 2 ** -33))
}
