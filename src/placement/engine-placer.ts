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
import * as engineCandidates from './engine-candidates.js'
import * as enginePreference from './engine-preference.js'
import * as explanation from './explanation.js'
import * as prefixChoice from './prefix-choice.js'
import * as room from './room.js'
import * as segmentDemand from './segment-demand.js'
import * as segmentSource from './segment-source.js'
import type * as types from './types.js'

/** A call keeps its own priority while its expected time is at most the latency objective times this factor. */
export const SLO_TOLERANCE_FACTOR = 1.1

/** Engines count as busy when the expected time of a call is above this share of its latency objective. */
const BUSY_SLO_SHARE = 0.7

/** Weights of the stages in the affinity: a prefill-only engine prefills about this many times as fast as a mixed one. */
const AFFINITY_WEIGHTS = { prefill: 3, decode: 1 }

/** Random numbers of an explanation: the mean, so that it is the same each time. */
const MEAN_RANDOM: time.Random = { next: () => 0.5 }

/** Places model calls by cached tokens, prefill backlog, load, room, recent failures and failure domain. */
export class EnginePlacer implements types.Placer {
  private readonly preference: enginePreference.EnginePreference
  private readonly demand = new segmentDemand.SegmentDemand()
  /** Calls that were counted; a call that waited, or is sent again, is placed more than once. */
  private readonly counted = new WeakSet<calls.Call>()

  constructor (private readonly fleet: fleet.Fleet, private readonly env: time.Env, private readonly ownDomain: string, private readonly gatewayCount: () => number, private readonly accountWork = new admission.AccountWork(env.clock)) {
    this.preference = new enginePreference.EnginePreference(env.random)
  }

  // A call that cannot meet its objective is sent under the deferred priority: it delays no call that can, and
  // executes when there is capacity to spare.
  place (call: calls.Call, tried: ReadonlySet<string>): types.Placement | undefined {
    const now = this.env.clock.now()
    const isNew = !this.counted.has(call)
    this.counted.add(call)
    if (isNew && call.prompt !== undefined) this.demand.note(affinity.affinityKey(call), now)
    const chosen = new engineCandidates.EngineCandidates(this.contextOf(call, tried, this.env.random, now)).cheapest()
    if (chosen === undefined) return undefined
    if (isNew && call.account !== undefined) this.accountWork.add(call.account, chosen.prefillTokens ?? 0)
    return this.isDeferred(call, chosen.expectedMs + now - call.arrivedAt) ? { ...chosen, priority: fleet.deferredPriority(call.priority) } : chosen
  }

  explain (call: calls.Call): explanation.Explanation {
    const now = this.env.clock.now()
    const candidates = new engineCandidates.EngineCandidates(this.contextOf(call, new Set(), MEAN_RANDOM, now))
    const chosen = candidates.cheapest()
    const excluded = this.fleet.ofService(call.service.name).flatMap((state) => explanation.excludedTarget(state, this.maxRunning(call), now) ?? [])
    return explanation.explainEngines(call, {
      chosen,
      candidates: candidates.all(),
      excluded,
      deferred: chosen !== undefined && this.isDeferred(call, chosen.expectedMs + now - call.arrivedAt)
    })
  }

  private contextOf (call: calls.Call, tried: ReadonlySet<string>, random: time.Random, now: number): engineCandidates.CandidateContext {
    const maxRunning = this.maxRunning(call)
    const allTargets = this.fleet.ofService(call.service.name)
    const usableTargets = allTargets.filter((state) => !tried.has(state.record.id) && state.acceptsCalls(now) && state.running < maxRunning)
    const key = affinity.affinityKey(call)
    const byAffinity = affinity.rankByAffinity(key, room.withRoom(call, usableTargets), AFFINITY_WEIGHTS)
    const sources = new segmentSource.SegmentSources(call.prompt, allTargets, now)
    return { call, now, byAffinity, prefix: this.prefixContext(call, key, byAffinity[0], sources, now), preference: this.preference, random, ownDomain: this.ownDomain }
  }

  private prefixContext ({ prompt, service }: calls.Call, key: string, affinityTarget: fleet.TargetState | undefined, sources: segmentSource.SegmentSources, now: number): prefixChoice.PrefixContext | undefined {
    if (prompt === undefined || affinityTarget === undefined) return undefined
    const ownTokens = Math.max(0, prompt.promptTokens - sources.cachedTokens)
    const callMs = affinityTarget.prefillMs(ownTokens, prompt.promptTokens, now)
    const copies = this.demand.copyNeed(key, { callMs, holders: sources.holders, gateways: this.gatewayCount(), now })
    return { prompt, sharedTokens: prefixChoice.countSharedTokens(prompt), limits: service.engine, sources, affinityTarget, copies, now }
  }

  // While engines are busy, calls of an account that exceeds its share are deferred too. `expectedMs` counts from the
  // call's arrival.
  private isDeferred (call: calls.Call, expectedMs: number): boolean {
    const { sloMs } = call.route
    if (expectedMs > sloMs * SLO_TOLERANCE_FACTOR) return true
    return expectedMs > sloMs * BUSY_SLO_SHARE && call.account !== undefined && this.accountWork.exceedsShare(call.account)
  }

  private maxRunning ({ service }: calls.Call): number {
    return share.connectionShare(service, this.gatewayCount())
  }
}
