/** Number of engines that the recent demand needs. */
import type * as demandHistory from './demand-history.js'

/**
 * Share of the time for which an engine may prefill while calls meet their objectives behind others, in order of arrival
 * (docs/design/demand-based-targets.md).
 */
const TARGET_UTILIZATION = 0.5

/** The same where calls only have to be served, after the loss of two failure domains. */
const MAX_UTILIZATION = 0.85

/** Share of the slots of mixed engines that may be in use; the rest is for uneven placement. */
const TARGET_SLOT_SHARE = 0.7

/** KV cache for running calls and for segments that are in use, as a multiple of their tokens: some are cached at several engines. */
const KV_MARGIN = 1.5

/** Time within which a wave has shown its highest point, in ms, and by how much the need may have been higher before. */
const WAVE_MS = 12_000
const UNSEEN_PEAK_FACTOR = 1.5

/** Share of the engines that are ordered which only prefill; the platform chooses the stage. */
const ORDERED_PREFILL_SHARE = 1 / 3

/** Lowest share of mixed engines that is assumed when they are short: of engines that are ordered, more are mixed. */
const MIN_MIXED_SHARE = 1 / 2

/** Shares of late and refused calls above which the need grows, and below which it declines again. */
const LATE_SHARE = 0.05
const IN_TIME_SHARE = 0.02

/** Growth and decline of the factor for late calls, for each ms, and its limit. */
const PRESSURE_GROWTH_PER_MS = 0.1 / 1_000
const PRESSURE_DECLINE_PER_MS = 0.05 / 1_000
const MAX_PRESSURE = 1.5

/** Engines that are present. */
export interface PresentEngines {
  readonly count: number
  readonly mixedCount: number
  /** Tokens per ms that all of them prefill, each at its present speed. */
  readonly tokensPerMs: number
  /** The same of a prefill-only engine and of a mixed one, on average. */
  readonly prefillTokensPerMs: number
  readonly mixedTokensPerMs: number
  /** Whether these are rates of busy engines; otherwise they are speeds of single prompts, which are lower. */
  readonly measured: boolean
}

/** Input of an estimate. */
export interface NeedInput {
  readonly demand: demandHistory.RecentDemand
  readonly present: PresentEngines
  readonly slots: number
  readonly kvCapacityTokens: number
  /** Tokens of the shared segments that are in use. */
  readonly segmentTokens: number
  /** Number of engines at the first start; bounds what is kept for cached segments alone. */
  readonly initialSize: number
  /** Factor for late calls; see {@link nextPressure}. */
  readonly pressure: number
}

/** Number of engines that are needed, and what for. */
export interface CapacityNeed {
  /** To meet objectives at the highest demand of the recent past. */
  readonly engines: number
  /** To meet objectives at the mean demand. */
  readonly steadyEngines: number
  /** To carry the mean demand. */
  readonly meanEngines: number
  readonly forPrefill: number
  readonly forSlots: number
  readonly forCache: number
  /** How many times the need may have been as high before the demand was seen: falls to 1 within a wave. */
  readonly unseenFactor: number
}

/** Estimates the need in engines like those that are present, stages and speeds included. */
export function estimateNeed (input: NeedInput): CapacityNeed {
  const { demand, present, slots, kvCapacityTokens, segmentTokens, initialSize, pressure } = input
  const tokensPerMs = tokensPerMsOfOne(present)
  const mixedShare = Math.max(MIN_MIXED_SHARE, present.mixedCount / Math.max(1, present.count))
  const enginesFor = (prefillTokensPerMs: number): number => prefillTokensPerMs * pressure / TARGET_UTILIZATION / tokensPerMs
  const forPrefill = enginesFor(demand.peakPrefillTokens)
  const mixedForSlots = demand.peakSlots / (slots * TARGET_SLOT_SHARE)
  const mixedForKv = demand.peakKvTokens * KV_MARGIN / kvCapacityTokens
  const forSlots = Math.max(mixedForSlots, mixedForKv) / mixedShare
  const forCache = Math.min(initialSize, (demand.peakKvTokens + segmentTokens) * KV_MARGIN / kvCapacityTokens)
  const engines = Math.ceil(Math.max(1, forPrefill, forSlots, forCache))
  const steadyEngines = Math.min(engines, Math.ceil(demand.meanPrefillTokens / TARGET_UTILIZATION / tokensPerMs))
  const meanEngines = Math.ceil(demand.meanPrefillTokens / MAX_UTILIZATION / tokensPerMs)
  const unseenFactor = 1 + (UNSEEN_PEAK_FACTOR - 1) * Math.max(0, 1 - demand.observedMs / WAVE_MS)
  const parts = { forPrefill, forSlots, forCache, unseenFactor }
  if (present.measured) return { engines, steadyEngines, meanEngines, ...parts }
  // Too high an estimate must order no standard engines beyond what the service was started with.
  return { engines, steadyEngines: Math.min(steadyEngines, initialSize), meanEngines: 0, ...parts }
}

// Where most of those present only prefill, further ones do not: they count as the usual mixture.
function tokensPerMsOfOne ({ count, tokensPerMs, prefillTokensPerMs, mixedTokensPerMs }: PresentEngines): number {
  const ordered = ORDERED_PREFILL_SHARE * prefillTokensPerMs + (1 - ORDERED_PREFILL_SHARE) * mixedTokensPerMs
  return count === 0 || tokensPerMs === 0 ? ordered : Math.min(ordered, tokensPerMs / count)
}

/** The factor by which late and refused calls raise the need, `ms` after it was `pressure`. */
export function nextPressure (pressure: number, lateShare: number, ms: number): number {
  if (lateShare > LATE_SHARE) return Math.min(MAX_PRESSURE, pressure + PRESSURE_GROWTH_PER_MS * ms)
  if (lateShare < IN_TIME_SHARE) return Math.max(1, pressure - PRESSURE_DECLINE_PER_MS * ms)
  return pressure
}
