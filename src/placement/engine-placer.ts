/**
 * Placement of model calls, for prompts whose shared segments are larger than the request's own segment. Prefill is
 * cheapest where the shared segments are cached; an engine without them fetches them from one that has them cached,
 * which takes longer than to use them in place and less than to prefill them again. While a segment is cached nowhere,
 * all gateways send its calls to the same affinity target.
 *
 * Either a mixed engine executes the complete call, or a prefill-only engine prefills the prompt and a mixed engine
 * generates the output after a KV transfer.
 */
import * as fleet from '../fleet/index.js'
import * as admission from '../admission/index.js'
import type * as calls from '../call/index.js'
import type * as time from '../time/index.js'
import * as affinity from './affinity.js'
import * as share from './connection-share.js'
import * as enginePreference from './engine-preference.js'
import * as kvTransfer from './kv-transfer.js'
import * as prefixChoice from './prefix-choice.js'
import * as room from './room.js'
import * as segmentDemand from './segment-demand.js'
import * as segmentSource from './segment-source.js'
import type * as types from './types.js'

/** Part of the time to the first event that does not depend on the prompt or the load, in ms. */
const FIRST_EVENT_OVERHEAD_MS = 35

/** A call keeps its own priority while its expected time is at most the latency objective times this factor. */
const SLO_TOLERANCE_FACTOR = 1.1

/** Engines count as busy when the expected time of a call is above this share of its latency objective. */
const BUSY_SLO_SHARE = 0.7

/** Time that each call in flight adds to the first event of the next call, in ms. */
const DELAY_PER_CALL_MS = 0.5

/** Weight of prefill time in the cost: to prefill what another target has cached costs more than the time it takes. */
const PREFILL_COST_WEIGHT = 1.5

/**
 * Cost of a call at an engine whose slots are all in use, in ms; with the square of their share otherwise. Engines beyond
 * their slots queue calls, and the load that other gateways add in the meantime is not known yet.
 */
const FULL_SLOTS_COST_MS = 60

/** Time that a call waits for a slot for each complete set of slots ahead of it, in ms. */
const SLOT_WAIT_MS = 250

/**
 * Largest random cost of a mixed engine, in ms. Gateways decide on loads that are some 100 ms old, and would all choose
 * the engine that was least loaded then.
 */
const RANDOM_COST_MS = 12

/** Cost of a second send, to a prefill-only engine before the one that generates, in ms. */
const SECOND_SEND_COST_MS = 8

/**
 * Share of the objective for the time between events that a mixed engine may spend on prefill at a time. Its streams get
 * fewer events meanwhile, and the rest is for the time between events without prefill.
 */
const PREFILL_GAP_SHARE = 0.5

/** Cost of a gap above the objective in one running stream, in ms. */
const LATE_STREAM_COST_MS = 250

/** Weights of the stages in the affinity: a prefill-only engine prefills about this many times as fast as a mixed one. */
const AFFINITY_WEIGHTS = { prefill: 3, decode: 1 }

/** Cost of a target in another failure domain than this gateway, in ms. */
const OTHER_DOMAIN_COST_MS = 6

/** Cost of a target whose calls all fail, in ms; in proportion to the failure rate otherwise. */
const FAILURE_COST_MS = 1_500

/** Targets considered together, in order of affinity; the next ones only when none so far meets the objective. */
const CANDIDATE_BATCH_SIZE = 12

/** Time for which a prefill-only engine gets no prompts after a KV transfer from it failed, in ms. */
const KV_TRANSFER_PAUSE_MS = 1_500

/** A call without token counts. */
const NO_PREFIX: types.PrefixChoice = { way: 'none', prefillTokens: 0, prefillMs: 0, fetchFrom: undefined, fetchMs: 0, fetchedTokens: 0, againTokens: 0, displacementMs: 0, copiesAhead: false }

/** A possible placement; the one of lowest cost is chosen. */
interface Candidate extends types.Placement {
  /** Expected time, with weights and penalties, in ms. */
  readonly cost: number
}

/** Inputs of one placement that are the same for all candidates. */
interface PlacementContext {
  readonly call: calls.Call
  readonly now: number
  /** Undefined for a call without token counts. */
  readonly prefix: prefixChoice.PrefixContext | undefined
  /** The mixed engine of lowest cost in each failure domain. */
  readonly mixedTargets: readonly MixedTarget[]
  /** Largest cost of a candidate by preference, in ms. */
  readonly preferenceMs: number
}

/** A mixed engine that may generate the output. */
interface MixedTarget {
  readonly state: fleet.TargetState
  /** Expected delay by its load, in ms. */
  readonly delayMs: number
  /** Delay with penalties and a random part. */
  readonly cost: number
}

/** Places model calls by cached tokens, prefill backlog, load, recent failures and failure domain. */
export class EnginePlacer implements types.Placer {
  private readonly accountWork: admission.AccountWork
  private readonly preference: enginePreference.EnginePreference
  private readonly demand = new segmentDemand.SegmentDemand()

  constructor (private readonly fleet: fleet.Fleet, private readonly env: time.Env, private readonly ownDomain: string, private readonly gatewayCount: () => number) {
    this.preference = new enginePreference.EnginePreference(env.random)
    this.accountWork = new admission.AccountWork(env.clock)
  }

  // A call that cannot meet its objective is sent under the deferred priority: it delays no call that can, and
  // executes when there is capacity to spare.
  place (call: calls.Call, tried: ReadonlySet<string>): types.Placement | undefined {
    const now = this.env.clock.now()
    const maxRunning = share.connectionShare(call.service, this.gatewayCount())
    const allTargets = this.fleet.ofService(call.service.name)
    const usableTargets = allTargets.filter((state) => !tried.has(state.record.id) && state.acceptsCalls(now) && state.running < maxRunning)
    const key = affinity.affinityKey(call)
    if (tried.size === 0 && call.prompt !== undefined) this.demand.note(key, now)
    const byAffinity = affinity.rankByAffinity(key, room.withRoom(call, usableTargets), AFFINITY_WEIGHTS)
    const sources = new segmentSource.SegmentSources(call.prompt, allTargets, now)
    const chosen = this.cheapestCandidate(call, key, byAffinity, sources, now)
    if (chosen === undefined) return undefined
    // The prefill work of a call counts once for its account, not again for its retries.
    if (tried.size === 0 && call.account !== undefined) this.accountWork.add(call.account, chosen.prefillTokens ?? 0)
    return this.isDeferred(call, chosen.expectedMs + now - call.arrivedAt) ? { ...chosen, priority: fleet.deferredPriority(call.priority) } : chosen
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
  private cheapestCandidate (call: calls.Call, key: string, byAffinity: readonly fleet.TargetState[], sources: segmentSource.SegmentSources, now: number): Candidate | undefined {
    const mixedTargets = this.cheapestMixedTargets(byAffinity, call.route.gapSloMs, now)
    const preferenceMs = enginePreference.largestCostMs(byAffinity, now)
    const context: PlacementContext = { call, now, prefix: this.prefixContext(call, key, byAffinity[0], sources, now), mixedTargets, preferenceMs }
    let cheapest: Candidate | undefined
    for (const [index, state] of byAffinity.entries()) {
      if (index >= CANDIDATE_BATCH_SIZE && index % CANDIDATE_BATCH_SIZE === 0 && cheapest !== undefined && this.meetsObjective(call, cheapest, now)) return cheapest
      const backlogMs = state.prefillTokensAhead() / state.prefillTokensPerMs(now)
      // The other parts of the cost are positive.
      if (cheapest !== undefined && backlogMs >= cheapest.cost) continue
      const candidate = this.estimateCandidate(state, backlogMs, context)
      if (candidate !== undefined && candidate.cost < (cheapest?.cost ?? Infinity)) cheapest = candidate
    }
    return cheapest
  }

  private prefixContext ({ prompt, service }: calls.Call, key: string, affinityTarget: fleet.TargetState | undefined, sources: segmentSource.SegmentSources, now: number): prefixChoice.PrefixContext | undefined {
    if (prompt === undefined || affinityTarget === undefined) return undefined
    const ownTokens = Math.max(0, prompt.promptTokens - sources.cachedTokens)
    const callMs = affinityTarget.prefillMs(ownTokens, prompt.promptTokens, now)
    const copies = this.demand.copyNeed(key, { callMs, holders: sources.holders, gateways: this.gatewayCount(), now })
    return { prompt, sharedTokens: prefixChoice.countSharedTokens(prompt), limits: service.engine, sources, affinityTarget, copies, now }
  }

  private meetsObjective (call: calls.Call, candidate: Candidate, now: number): boolean {
    return candidate.expectedMs + now - call.arrivedAt <= call.route.sloMs * SLO_TOLERANCE_FACTOR
  }

  // Expected time and cost when the target of `state` prefills the prompt. Undefined while it is paused after a failed KV
  // transfer, or when it only prefills and no mixed engine is left.
  private estimateCandidate (state: fleet.TargetState, backlogMs: number, context: PlacementContext): Candidate | undefined {
    const { call, now, preferenceMs } = context
    const prefillOnly = state.record.stage === 'prefill'
    if (prefillOnly && now - state.kvTransferFailedAt < KV_TRANSFER_PAUSE_MS) return undefined
    const prefix = context.prefix === undefined ? NO_PREFIX : prefixChoice.choosePrefix(state, backlogMs, context.prefix)
    const { prefillMs, fetchMs } = prefix
    const handover = prefillOnly ? this.cheapestHandover(state, context) : undefined
    if (prefillOnly && handover === undefined) return undefined
    const target = handover?.mixed.state ?? state
    const laterMs = handover === undefined ? slotDelayMs(state, now) : handover.transferMs + handover.mixed.delayMs
    const laterCost = handover === undefined ? this.mixedCost(state, now) : handover.transferMs + handover.mixed.cost
    const sourceCost = handover === undefined ? 0 : SECOND_SEND_COST_MS + this.placeCost(state, now)
    return {
      target,
      prefillTarget: prefillOnly ? state : undefined,
      fetchFrom: prefix.fetchFrom,
      prefix,
      priority: call.priority,
      prefillTokens: prefix.prefillTokens,
      expectedMs: backlogMs + fetchMs + prefillMs + laterMs + FIRST_EVENT_OVERHEAD_MS,
      cost: backlogMs + (prefix.copiesAhead ? 0 : fetchMs) + prefillMs * PREFILL_COST_WEIGHT + prefix.displacementMs + laterCost + sourceCost + (preferenceMs === 0 ? 0 : preferenceMs * this.preference.costShare(state)) + (prefillOnly ? 0 : lateStreamCostMs(state.load(now), backlogMs + prefillMs, call.route.gapSloMs))
    }
  }

  // The mixed engine that generates after `state` has prefilled the prompt.
  private cheapestHandover (state: fleet.TargetState, { call, mixedTargets }: PlacementContext): Handover | undefined {
    let cheapest: Handover | undefined
    for (const mixed of mixedTargets) {
      const transferMs = kvTransfer.transferMs(call.service.engine, call.prompt?.promptTokens ?? 0, state.record, mixed.state.record)
      if (cheapest === undefined || mixed.cost + transferMs < cheapest.mixed.cost + cheapest.transferMs) cheapest = { mixed, transferMs }
    }
    return cheapest
  }

  // The mixed engines of lowest cost by load, prefill backlog, failure rate and failure domain, one in each domain.
  private cheapestMixedTargets (states: readonly fleet.TargetState[], gapSloMs: number, now: number): MixedTarget[] {
    const byDomain = new Map<string, MixedTarget>()
    for (const state of states) {
      const { stage, domain } = state.record
      if (stage === 'prefill') continue
      const backlogMs = state.prefillTokensAhead() / state.prefillTokensPerMs(now)
      const cost = this.mixedCost(state, now) + backlogMs + lateStreamCostMs(1, backlogMs, gapSloMs)
      if (cost < (byDomain.get(domain)?.cost ?? Infinity)) byDomain.set(domain, { state, delayMs: slotDelayMs(state, now) + backlogMs, cost })
    }
    return [...byDomain.values()]
  }

  // Cost of generating at a mixed engine, without prefill.
  private mixedCost (state: fleet.TargetState, now: number): number {
    const slotShare = Math.min(1, state.load(now) / state.record.slots)
    return slotDelayMs(state, now) + FULL_SLOTS_COST_MS * slotShare ** 2 + this.placeCost(state, now) + RANDOM_COST_MS * this.env.random.next()
  }

  // Cost of failures and of the failure domain.
  private placeCost (state: fleet.TargetState, now: number): number {
    return FAILURE_COST_MS * state.failures.failureRate(now) + (state.record.domain === this.ownDomain ? 0 : OTHER_DOMAIN_COST_MS)
  }
}

/** A mixed engine that generates after a KV transfer, and the time of the transfer in ms. */
interface Handover {
  readonly mixed: MixedTarget
  readonly transferMs: number
}

/**
 * Cost of prefill that keeps a mixed engine busy for `prefillMs` while it generates `streams`: they exceed the objective
 * for the time between events.
 */
function lateStreamCostMs (streams: number, prefillMs: number, gapSloMs: number): number {
  const toleratedMs = gapSloMs * PREFILL_GAP_SHARE
  if (prefillMs <= toleratedMs) return 0
  return streams * LATE_STREAM_COST_MS * Math.min(1, (prefillMs - toleratedMs) / toleratedMs)
}

/** Expected delay of a call by the calls that an engine executes and queues, in ms. */
function slotDelayMs (state: fleet.TargetState, now: number): number {
  const load = state.load(now)
  const { slots } = state.record
  return load * DELAY_PER_CALL_MS + (load < slots ? 0 : SLOT_WAIT_MS * (load - slots + 1) / slots)
}
