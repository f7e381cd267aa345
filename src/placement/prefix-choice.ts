/**
 * Where the shared beginning of a prompt comes from on one engine: it is cached there, it is fetched from another engine, or it is
 * prefilled. A cached segment may be gone when the call starts, and copies displace what other calls need.
 */
import type * as calls from '../call/index.js'
import type * as fleet from '../fleet/index.js'
import type * as serving from '../serving/index.js'
import * as kvTransfer from './kv-transfer.js'
import type * as segmentDemand from './segment-demand.js'
import type * as segmentSource from './segment-source.js'
import type * as types from './types.js'

/** Time by which reports of cached segments are late, in ms. */
const REPORT_LATENESS_MS = 500

/** Share of the shared segments assumed to be cached at the affinity target while they are known to be cached nowhere. */
const AFFINITY_CACHED_SHARE = 0.3

/** Fill of a KV cache from which on a further segment displaces others. */
const FULL_CACHE_SHARE = 0.9

/** Cost of displaced tokens as a share of their prefill time: part of them is needed again. */
const DISPLACED_COST_SHARE = 0.1

/** The same for copies beyond those that the demand needs. */
const SURPLUS_COST_SHARE = 0.3

/** What is the same for all candidates of a call. */
export interface PrefixContext {
  readonly prompt: calls.Prompt
  /** Tokens of all its segments except the last, which is the request's own. */
  readonly sharedTokens: number
  readonly limits: serving.EngineLimits | undefined
  readonly sources: segmentSource.SegmentSources
  readonly affinityTarget: fleet.TargetState | undefined
  readonly copies: segmentDemand.CopyNeed
  readonly now: number
}

/** The fastest way at an engine where the call starts after `waitMs`. */
export function choosePrefix (state: fleet.TargetState, waitMs: number, context: PrefixContext): types.PrefixChoice {
  const cached = state.cache.tokensCachedOnArrival(context.prompt)
  const local = withoutFetch(state, cached, waitMs, context)
  const source = context.sources.cachedTokens > cached && kvTransfer.isRateKnown(context.limits) ? context.sources.bestFor(state) : undefined
  if (source === undefined || source.cachedTokens <= cached) return local
  const fetchMs = kvTransfer.transferMs(context.limits, source.cachedTokens - cached, source.state.record, state.record)
  if (fetchMs >= local.prefillMs) return local
  const fetched = withFetch(state, { source, cached, fetchMs, waitMs }, context)
  return fetched.fetchMs + fetched.prefillMs < local.prefillMs ? fetched : local
}

// Uses what is cached at the engine, and prefills the rest.
function withoutFetch (state: fleet.TargetState, cached: number, waitMs: number, context: PrefixContext): types.PrefixChoice {
  const { prompt, sharedTokens, sources, affinityTarget, now } = context
  const assumed = cached === 0 && state === affinityTarget ? sharedTokens * AFFINITY_CACHED_SHARE : cached
  const prefillTokens = Math.max(0, prompt.promptTokens - assumed)
  const stays = cached === 0 ? 1 : state.cache.stayProbability(prompt, waitMs + REPORT_LATENESS_MS, now)
  return {
    way: cached > 0 ? 'held' : sharedTokens > 0 ? 'prefilled' : 'none',
    prefillTokens,
    prefillMs: expectedPrefillMs(state, prefillTokens, prompt.promptTokens, stays, context),
    fetchFrom: undefined,
    fetchMs: 0,
    fetchedTokens: 0,
    againTokens: Math.max(0, Math.min(sources.cachedTokens, sharedTokens) - cached),
    displacementMs: displacementMs(state, Math.max(0, sharedTokens - cached), context),
    copiesAhead: false
  }
}

/** A fetch that is considered. */
interface Fetch {
  readonly source: segmentSource.SegmentSource
  /** Tokens at the start of the prompt that the engine has cached itself. */
  readonly cached: number
  readonly fetchMs: number
  readonly waitMs: number
}

function withFetch (state: fleet.TargetState, { source, cached, fetchMs, waitMs }: Fetch, context: PrefixContext): types.PrefixChoice {
  const { prompt, copies, now } = context
  const fetchedTokens = source.cachedTokens - cached
  const prefillTokens = Math.max(0, prompt.promptTokens - source.cachedTokens)
  const stays = source.state.cache.stayProbability(prompt, waitMs + REPORT_LATENESS_MS, now)
  return {
    way: 'fetched',
    prefillTokens,
    prefillMs: expectedPrefillMs(state, prefillTokens, Math.max(prefillTokens, prompt.promptTokens - cached), stays, context),
    fetchFrom: source.state,
    fetchMs,
    fetchedTokens,
    againTokens: 0,
    displacementMs: copies.isNeeded ? 0 : displacementMs(state, fetchedTokens, context),
    copiesAhead: copies.isNeeded
  }
}

// Mean over the segments being there, so that `tokens` are to be prefilled, and being gone, so that `allTokens` are.
function expectedPrefillMs (state: fleet.TargetState, tokens: number, allTokens: number, stays: number, { prompt, now }: PrefixContext): number {
  const ms = state.prefillMs(tokens, prompt.promptTokens, now)
  return stays === 1 ? ms : stays * ms + (1 - stays) * state.prefillMs(allTokens, prompt.promptTokens, now)
}

function displacementMs (state: fleet.TargetState, tokens: number, { prompt, limits, copies, now }: PrefixContext): number {
  if (tokens === 0 || limits === undefined || state.cache.totalTokens < limits.kvCapacityTokens * FULL_CACHE_SHARE) return 0
  return state.prefillMs(tokens, prompt.promptTokens, now) * (copies.isSurplus ? SURPLUS_COST_SHARE : DISPLACED_COST_SHARE)
}

/** Tokens of all segments of a prompt except the last, which is the request's own. */
export function countSharedTokens (prompt: calls.Prompt): number {
  let tokens = 0
  for (let index = 0; index < prompt.segments.length - 1; index++) tokens += prompt.segments[index]!.tokens
  return tokens
}
