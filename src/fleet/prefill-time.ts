/**
 * Time of a prefill of the engines of one service and stage. A token takes the longer the more context is before it, since
 * attention covers all of it: the time of a token is a constant plus a slope times its context.
 */
import type * as serving from '../serving/index.js'

const TOKENS_PER_KILOTOKEN = 1_000

/** Sums are exchanged as integers, multiplied by this. */
const SUM_SCALE = 1_000

/** Speed of an engine before any sample is known, in tokens per ms; a mixed engine also generates. */
const INITIAL_TOKENS_PER_MS: Readonly<Record<serving.Stage, number>> = { prefill: 100, decode: 40 }

/** Weight of the initial speed, in kilotokens of samples. */
const PRIOR_KILOTOKENS = 10

/** Weight of the assumption that context makes no difference, in kilotokens times the square of kilotokens of context. */
const PRIOR_SLOPE_WEIGHT = 250

/** A longer prefill counts as one sample of this size, in kilotokens: relative errors are alike. */
const MAX_SAMPLE_KILOTOKENS = 8

/** Share of the mean time of a token that does not depend on its context, at least. */
const MIN_CONSTANT_SHARE = 0.2

/** Time of a token of a prompt, in ms per kilotoken. */
export interface PrefillTime {
  /** Without context. */
  readonly constantMs: number
  /** For each kilotoken of context. */
  readonly slopeMs: number
  /** Mean context of the samples, in kilotokens. */
  readonly meanContext: number
}

/** A prefill whose time was measured. */
export interface PrefillSample {
  readonly tokens: number
  /** Mean number of tokens before each of them, in kilotokens. */
  readonly context: number
  /** Time at normal speed of the VM, in ms. */
  readonly ms: number
}

/** Number of sums of a stage, see {@link toStageSums}. */
export const STAGE_SUMS = 6

/** Mean number of tokens before each of the last `tokens` of a prompt, in kilotokens. */
export function meanContext (tokens: number, promptTokens: number): number {
  return Math.max(0, promptTokens - tokens / 2) / TOKENS_PER_KILOTOKEN
}

/** Time of `tokens` with a mean context, in ms. */
export function prefillMs ({ constantMs, slopeMs }: PrefillTime, tokens: number, context: number): number {
  return tokens / TOKENS_PER_KILOTOKEN * (constantMs + slopeMs * context)
}

/** Tokens per ms of prompts with the mean context of the samples. */
export function tokensPerMs ({ constantMs, slopeMs, meanContext }: PrefillTime): number {
  return TOKENS_PER_KILOTOKEN / (constantMs + slopeMs * meanContext)
}

/** Weighted sums of a sample for least squares of time on context; `slowness` is that of its engine, 1 for the mean one. */
export function toStageSums ({ tokens, context, ms }: PrefillSample, slowness: number): number[] {
  const kilotokens = tokens / TOKENS_PER_KILOTOKEN
  const weight = Math.min(MAX_SAMPLE_KILOTOKENS, kilotokens)
  const rawMs = ms / kilotokens
  const normalMs = rawMs / slowness
  return [1, context, context ** 2, normalMs, normalMs * context, rawMs].map((term) => term * weight * SUM_SCALE)
}

/**
 * Estimates the time of a token from the sums of a stage. The slope comes from samples that are normalized by the slowness of
 * their engines; the level from unnormalized ones, so that slowness stays relative to the mean engine.
 */
export function estimate (sums: readonly number[], stage: serving.Stage): PrefillTime {
  const [weight, contexts, squares, normalTimes, products, rawTimes] = sums.map((sum) => sum / SUM_SCALE) as [number, number, number, number, number, number]
  const priorMs = TOKENS_PER_KILOTOKEN / INITIAL_TOKENS_PER_MS[stage]
  if (weight === 0) return { constantMs: priorMs, slopeMs: 0, meanContext: 0 }
  const context = contexts / weight
  const mean = normalTimes / weight
  const slope = Math.max(0, (products - contexts * mean) / (squares - contexts * context + PRIOR_SLOPE_WEIGHT))
  const constant = Math.max(mean * MIN_CONSTANT_SHARE, mean - slope * context)
  const ratio = Math.min(slope, (mean - constant) / Math.max(context, Number.MIN_VALUE)) / constant
  const constantMs = (PRIOR_KILOTOKENS * priorMs + rawTimes) / (PRIOR_KILOTOKENS + weight + ratio * contexts)
  return { constantMs, slopeMs: constantMs * ratio, meanContext: context }
}
