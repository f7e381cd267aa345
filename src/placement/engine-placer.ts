/**
 * Placement of model calls, for prompts whose shared segments are larger than the request's own segment. Prefill is
 * cheapest where the shared segments are cached, so a segment has the same affinity target at all gateways. Calls go
 * elsewhere when the backlog of the affinity target costs more than to prefill the segment again.
 *
 * Either a mixed engine executes the complete call, or a prefill-only engine prefills the prompt and a mixed engine
 * generates the output after a KV transfer.
 */
import * as fleet from '../fleet/index.js'
import * as admission from '../admission/index.js'
import type * as calls from '../call/index.js'
import * as hash from '../hash/index.js'
import type * as time from '../time/index.js'
import * as share from './connection-share.js'
import type * as types from './types.js'

/** Prefill rates of a prefill-only engine and of a mixed engine, in tokens per ms. */
const PREFILL_ONLY_TOKENS_PER_MS = 150
const MIXED_PREFILL_TOKENS_PER_MS = 42

/** Part of the time to the first event that does not depend on the prompt or the load, in ms. */
const FIRST_EVENT_OVERHEAD_MS = 65

/** A call keeps its own priority while its expected time is at most the latency objective times this factor. */
const SLO_TOLERANCE_FACTOR = 1.1

/** Engines count as busy when the expected time of a call is above this share of its latency objective. */
const BUSY_SLO_SHARE = 0.7

/** Time of a KV transfer from another engine, in ms. */
const KV_TRANSFER_MS = 10

/** Time that each call in flight adds to the first event of the next call, in ms. */
const DELAY_PER_CALL_MS = 0.5

/** Weight of prefill time in the cost: to prefill what another target has cached costs more than the time it takes. */
const PREFILL_COST_WEIGHT = 1.5

/** Share of the shared segments assumed to be cached at the affinity target while none is known to be cached there. */
const AFFINITY_CACHED_SHARE = 0.3

/** Cost of a target in another failure domain, in ms; a KV transfer between failure domains costs twice as much. */
const OTHER_DOMAIN_COST_MS = 6

/** Cost of a target whose calls all fail, in ms; in proportion to the failure rate otherwise. */
const FAILURE_COST_MS = 1_500

/** Targets considered together, in order of affinity; the next ones only when none so far meets the objective. */
const CANDIDATE_BATCH_SIZE = 12

/** Time for which a prefill-only engine gets no prompts after a KV transfer from it failed, in ms. */
const KV_TRANSFER_PAUSE_MS = 1_500

/** A possible placement; the one of lowest cost is chosen. */
interface Candidate extends types.Placement {
  /** Expected time, with weights and penalties, in ms. */
  readonly cost: number
  /** Uncached tokens of the prompt, which have to be prefilled. */
  readonly prefillTokens: number
}

/** Places model calls by cached tokens, prefill backlog, load, recent failures and failure domain. */
export class EnginePlacer implements types.Placer {
  private readonly accountWork: admission.AccountWork

  constructor (private readonly fleet: fleet.Fleet, private readonly env: time.Env, private readonly ownDomain: string, private readonly gatewayCount: () => number) {
    this.accountWork = new admission.AccountWork(env.clock)
  }

  // A call that cannot meet its objective is sent under the deferred priority: it delays no call that can, and
  // executes when there is capacity to spare.
  place (call: calls.Call, tried: ReadonlySet<string>): types.Placement | undefined {
    const now = this.env.clock.now()
    const maxRunning = share.connectionShare(call.service, this.gatewayCount())
    const usableTargets = this.fleet.ofService(call.service.name).filter((state) => !tried.has(state.record.id) && state.acceptsCalls(now) && state.running < maxRunning)
    const byAffinity = rankByAffinity(affinityKey(call), usableTargets)
    const atOwnPriority = this.cheapestCandidate(call, byAffinity, call.priority, now)
    if (atOwnPriority === undefined) return undefined
    const chosen = this.isDeferred(call, atOwnPriority.expectedMs + now - call.arrivedAt) ? this.cheapestCandidate(call, byAffinity, fleet.deferredPriority(call.priority), now) : atOwnPriority
    // The prefill work of a call counts once for its account, not again for its retries.
    if (tried.size === 0 && call.account !== undefined) this.accountWork.add(call.account, chosen?.prefillTokens ?? 0)
    return chosen
  }

  // While engines are busy, calls of an account that exceeds its share are deferred too. `expectedMs` counts from the
  // call's arrival.
  private isDeferred (call: calls.Call, expectedMs: number): boolean {
    const { sloMs } = call.route
    if (expectedMs > sloMs * SLO_TOLERANCE_FACTOR) return true
    return expectedMs > sloMs * BUSY_SLO_SHARE && call.account !== undefined && this.accountWork.exceedsShare(call.account)
  }

  // Considers targets in order of affinity, in batches. After a batch, the search ends if the cheapest so far meets the
  // objective; otherwise an idle target anywhere in a large fleet is still found.
  private cheapestCandidate (call: calls.Call, byAffinity: readonly fleet.TargetState[], priority: number, now: number): Candidate | undefined {
    const mixedTarget = this.cheapestMixedTarget(byAffinity, priority, now)
    if (mixedTarget === undefined) return undefined
    let cheapest: Candidate | undefined
    for (const [index, state] of byAffinity.entries()) {
      if (index >= CANDIDATE_BATCH_SIZE && index % CANDIDATE_BATCH_SIZE === 0 && cheapest !== undefined && this.meetsObjective(call, cheapest, now)) return cheapest
      const candidate = this.estimateCandidate(call, state, index === 0, mixedTarget, priority, now)
      if (candidate !== undefined && candidate.cost < (cheapest?.cost ?? Infinity)) cheapest = candidate
    }
    return cheapest
  }

  private meetsObjective (call: calls.Call, candidate: Candidate, now: number): boolean {
    return candidate.expectedMs + now - call.arrivedAt <= call.route.sloMs * SLO_TOLERANCE_FACTOR
  }

  // Expected time and cost when the target of `state` prefills the prompt; `mixedTarget` generates if that target only
  // prefills. Undefined while it is paused after a failed KV transfer.
  private estimateCandidate (call: calls.Call, state: fleet.TargetState, isAffinityTarget: boolean, mixedTarget: fleet.TargetState, priority: number, now: number): Candidate | undefined {
    const prefillOnly = state.record.stage === 'prefill'
    if (prefillOnly && now - state.kvTransferFailedAt < KV_TRANSFER_PAUSE_MS) return undefined
    const tokensPerMs = prefillOnly ? PREFILL_ONLY_TOKENS_PER_MS : MIXED_PREFILL_TOKENS_PER_MS
    const prefillTokens = uncachedTokens(call, state, isAffinityTarget)
    const backlogMs = state.prefillTokensAhead(priority, now) / tokensPerMs
    const prefillMs = prefillTokens / tokensPerMs
    const target = prefillOnly ? mixedTarget : state
    const targetDelayMs = target.load(now) * DELAY_PER_CALL_MS + (prefillOnly ? KV_TRANSFER_MS + target.prefillTokensAhead(priority, now) / MIXED_PREFILL_TOKENS_PER_MS : 0)
    const domainCostMs = (state.record.domain === this.ownDomain ? 0 : OTHER_DOMAIN_COST_MS) + (target.record.domain === state.record.domain ? 0 : 2 * OTHER_DOMAIN_COST_MS)
    const failureCostMs = FAILURE_COST_MS * Math.max(state.failures.failureRate(now), target.failures.failureRate(now))
    return {
      target,
      prefillTarget: prefillOnly ? state : undefined,
      priority,
      prefillTokens,
      expectedMs: backlogMs + prefillMs + targetDelayMs + FIRST_EVENT_OVERHEAD_MS,
      cost: backlogMs + prefillMs * PREFILL_COST_WEIGHT + targetDelayMs + domainCostMs + failureCostMs
    }
  }

  // The mixed engine that generates for prefill-only engines: the one of lowest cost by load, prefill backlog, failure
  // rate and failure domain; a random part of up to 1 ms breaks ties.
  private cheapestMixedTarget (states: readonly fleet.TargetState[], priority: number, now: number): fleet.TargetState | undefined {
    let cheapest: fleet.TargetState | undefined
    let lowestCost = Infinity
    for (const state of states) {
      if (state.record.stage === 'prefill') continue
      const cost = state.load(now) * DELAY_PER_CALL_MS + state.prefillTokensAhead(priority, now) / MIXED_PREFILL_TOKENS_PER_MS + FAILURE_COST_MS * state.failures.failureRate(now) +
        (state.record.domain === this.ownDomain ? 0 : OTHER_DOMAIN_COST_MS) + this.env.random.next()
      if (cost >= lowestCost) continue
      lowestCost = cost
      cheapest = state
    }
    return cheapest
  }
}

/**
 * Prompt tokens that a target is expected to prefill. While none of the prompt is known to be cached at the affinity
 * target, a share of the shared segments is assumed to be, since other gateways send them there too.
 */
function uncachedTokens (call: calls.Call, state: fleet.TargetState, isAffinityTarget: boolean): number {
  const prompt = call.prompt
  if (prompt === undefined) return 0
  const cached = state.cache.cachedTokens(prompt)
  if (!isAffinityTarget || cached > 0) return Math.max(0, prompt.promptTokens - cached)
  return Math.max(0, prompt.promptTokens - sharedTokens(prompt) * AFFINITY_CACHED_SHARE)
}

/** Tokens of all segments except the last, which is the request's own. */
function sharedTokens (prompt: calls.Prompt): number {
  let tokens = 0
  for (const segment of prompt.segments.slice(0, -1)) tokens += segment.tokens
  return tokens
}

/**
 * Id of the segment that determines the affinity target: the last one that other requests may share. Without a shared
 * segment it is the request's own segment, and without segments the id of the call.
 */
function affinityKey (call: calls.Call): string {
  const segments = call.prompt?.segments ?? []
  return segments[segments.length - 2]?.id ?? segments[0]?.id ?? call.id
}

// Weighted rendezvous hashing, the affinity target first. The weight is the prefill rate, so a prefill-only engine is
// the affinity target of more segments than a mixed one: 150 / 42, about 3.6 times as many.
function rankByAffinity (key: string, states: readonly fleet.TargetState[]): fleet.TargetState[] {
  return states
    .map((state) => ({ state, score: affinityScore(key, state) }))
    .sort((a, b) => b.score - a.score)
    .map((entry) => entry.state)
}

// Maps the hash to a number below 1, so that its logarithm is never 0.
function affinityScore (key: string, state: fleet.TargetState): number {
  const uniform = (hash.hash32(`${key}\u0000${state.record.id}`) + 1) / 2 ** 32
  const weight = state.record.stage === 'prefill' ? PREFILL_ONLY_TOKENS_PER_MS : MIXED_PREFILL_TOKENS_PER_MS
  return -weight / Math.log(Math.min(uniform, 1 - 2 ** -33))
}
