/** Candidates for one call: the engines that may prefill its prompt, each with the mixed engine that would generate the output. */
import type * as calls from '../call/index.js'
import type * as fleet from '../fleet/index.js'
import type * as time from '../time/index.js'
import * as engineCosts from './engine-costs.js'
import * as enginePreference from './engine-preference.js'
import * as kvTransfer from './kv-transfer.js'
import * as prefixChoice from './prefix-choice.js'
import type * as types from './types.js'

/** A call may exceed its latency objective by this factor. */
const SLO_TOLERANCE_FACTOR = 1.1

/** Targets considered together, in order of affinity; the next ones only when none so far meets the objective. */
const CANDIDATE_BATCH_SIZE = 24

/** Time for which a prefill-only engine gets no prompts after a KV transfer from it failed, in ms. */
const KV_TRANSFER_PAUSE_MS = 1_500

/** A call without token counts. */
const NO_PREFIX: types.PrefixChoice = { way: 'none', prefillTokens: 0, prefillMs: 0, fetchFrom: undefined, fetchMs: 0, fetchedTokens: 0, againTokens: 0, displacementMs: 0, copiesAhead: false }

/** A possible placement; the one of lowest cost is chosen. */
export interface Candidate extends types.Placement {
  readonly parts: engineCosts.CostParts
  /** Expected time, with weights and penalties, in ms. */
  readonly cost: number
}

/** What is the same for all candidates of a call. */
export interface CandidateContext {
  readonly call: calls.Call
  readonly now: number
  /** Usable engines with room, in order of affinity. */
  readonly byAffinity: readonly fleet.TargetState[]
  /** Undefined for a call without token counts. */
  readonly prefix: prefixChoice.PrefixContext | undefined
  readonly preference: enginePreference.EnginePreference
  readonly random: time.Random
  readonly ownDomain: string
}

/** A mixed engine that may generate the output. */
interface MixedTarget {
  readonly state: fleet.TargetState
  /** Expected delay by its load, in ms. */
  readonly delayMs: number
  /** Delay with penalties and a random part. */
  readonly cost: number
}

/** A mixed engine that generates after a KV transfer, and the time of the transfer in ms. */
interface Handover {
  readonly mixed: MixedTarget
  readonly transferMs: number
}

/** Estimates candidates and finds the cheapest. */
export class EngineCandidates {
  /** The mixed engine of lowest cost in each failure domain. */
  private readonly mixedTargets: readonly MixedTarget[]
  /** Largest cost of a candidate by preference, in ms. */
  private readonly preferenceMs: number

  constructor (private readonly context: CandidateContext) {
    this.mixedTargets = this.cheapestMixedTargets()
    this.preferenceMs = enginePreference.largestCostMs(context.byAffinity, context.now)
  }

  /**
   * The cheapest candidate. Targets are considered in order of affinity, in batches. After a batch, the search ends if the cheapest so
   * far meets the objective; otherwise an idle target anywhere in a large fleet is still found.
   */
  cheapest (): Candidate | undefined {
    const { byAffinity } = this.context
    let cheapest: Candidate | undefined
    for (const [index, state] of byAffinity.entries()) {
      if (index >= CANDIDATE_BATCH_SIZE && index % CANDIDATE_BATCH_SIZE === 0 && cheapest !== undefined && this.meetsObjective(cheapest)) return cheapest
      const backlogMs = this.backlogMs(state)
      // The other parts of the cost are positive.
      if (cheapest !== undefined && backlogMs >= cheapest.cost) continue
      const candidate = this.estimate(state, backlogMs)
      if (candidate !== undefined && candidate.cost < (cheapest?.cost ?? Infinity)) cheapest = candidate
    }
    return cheapest
  }

  /** All candidates, the cheapest first, those beyond the batch in which the search ends included. */
  all (): Candidate[] {
    return this.context.byAffinity
      .flatMap((state) => this.estimate(state, this.backlogMs(state)) ?? [])
      .sort((a, b) => a.cost - b.cost)
  }

  /** Whether a candidate is expected to meet the latency objective, with a tolerance. */
  meetsObjective (candidate: Candidate): boolean {
    const { call, now } = this.context
    return candidate.expectedMs + now - call.arrivedAt <= call.route.sloMs * SLO_TOLERANCE_FACTOR
  }

  private backlogMs (state: fleet.TargetState): number {
    return state.prefillTokensAhead() / state.prefillTokensPerMs(this.context.now)
  }

  // Expected time and cost when the target of `state` prefills the prompt. Undefined while it is paused after a failed KV
  // transfer, or when it only prefills and no mixed engine is left.
  private estimate (state: fleet.TargetState, backlogMs: number): Candidate | undefined {
    const { call, now, prefix: prefixContext } = this.context
    const prefillOnly = state.record.stage === 'prefill'
    if (prefillOnly && now - state.kvTransferFailedAt < KV_TRANSFER_PAUSE_MS) return undefined
    const handover = prefillOnly ? this.cheapestHandover(state) : undefined
    if (prefillOnly && handover === undefined) return undefined
    const prefix = prefixContext === undefined ? NO_PREFIX : prefixChoice.choosePrefix(state, backlogMs, prefixContext)
    const laterMs = handover === undefined ? engineCosts.slotDelayMs(state, now) : handover.transferMs + handover.mixed.delayMs
    const parts = this.costParts(state, backlogMs, prefix, handover)
    return {
      target: handover?.mixed.state ?? state,
      prefillTarget: prefillOnly ? state : undefined,
      fetchFrom: prefix.fetchFrom,
      prefix,
      priority: call.priority,
      prefillTokens: prefix.prefillTokens,
      expectedMs: backlogMs + prefix.fetchMs + prefix.prefillMs + laterMs + engineCosts.FIRST_EVENT_OVERHEAD_MS,
      parts,
      cost: engineCosts.totalMs(parts)
    }
  }

  private costParts (state: fleet.TargetState, backlogMs: number, prefix: types.PrefixChoice, handover: Handover | undefined): engineCosts.CostParts {
    const { call, now, ownDomain, random, preference } = this.context
    return {
      backlogMs,
      fetchMs: prefix.copiesAhead ? 0 : prefix.fetchMs,
      prefillMs: prefix.prefillMs * engineCosts.PREFILL_COST_WEIGHT,
      displacedMs: prefix.displacementMs,
      generationMs: handover === undefined ? engineCosts.mixedCostMs(state, ownDomain, random.next(), now) : handover.transferMs + handover.mixed.cost,
      prefillOnlyMs: handover === undefined ? 0 : engineCosts.SECOND_SEND_COST_MS + engineCosts.placeCostMs(state, ownDomain, now),
      preferenceMs: this.preferenceMs === 0 ? 0 : this.preferenceMs * preference.costShare(state),
      lateStreamsMs: handover === undefined ? engineCosts.lateStreamCostMs(state.load(now), backlogMs + prefix.prefillMs, call.route.gapSloMs) : 0
    }
  }

  // The mixed engine that generates after `state` has prefilled the prompt.
  private cheapestHandover (state: fleet.TargetState): Handover | undefined {
    const { service, prompt } = this.context.call
    let cheapest: Handover | undefined
    for (const mixed of this.mixedTargets) {
      const transferMs = kvTransfer.transferMs(service.engine, prompt?.promptTokens ?? 0, state.record, mixed.state.record)
      if (cheapest === undefined || mixed.cost + transferMs < cheapest.mixed.cost + cheapest.transferMs) cheapest = { mixed, transferMs }
    }
    return cheapest
  }

  // The mixed engines of lowest cost by load, prefill backlog, failure rate and failure domain, one in each domain.
  private cheapestMixedTargets (): MixedTarget[] {
    const { byAffinity, call, now, ownDomain, random } = this.context
    const byDomain = new Map<string, MixedTarget>()
    for (const state of byAffinity) {
      const { stage, domain } = state.record
      if (stage === 'prefill') continue
      const backlogMs = this.backlogMs(state)
      const cost = engineCosts.mixedCostMs(state, ownDomain, random.next(), now) + backlogMs + engineCosts.lateStreamCostMs(1, backlogMs, call.route.gapSloMs)
      if (cost < (byDomain.get(domain)?.cost ?? Infinity)) byDomain.set(domain, { state, delayMs: engineCosts.slotDelayMs(state, now) + backlogMs, cost })
    }
    return [...byDomain.values()]
  }
}
