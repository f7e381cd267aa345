/** Estimate of the work of a service by phase, with a forecast. */

/** Time constant of the fast average, in ms. */
const FAST_TIME_CONSTANT_MS = 10_000

/** Time constant of the slow average, in ms. */
const SLOW_TIME_CONSTANT_MS = 120_000

/** Most by which a forecast differs from the fast average, as a factor: a trend is not extrapolated without end. */
const MAX_FORECAST_FACTOR = 1.5

/** Work per second by phase, in tokens. */
export interface Mix {
  readonly prefill: number
  readonly decode: number
  /** Sum of the squares of the prompts' sizes per second; over `prefill` it is the size of the prompt a token is in. */
  readonly promptSquares: number
}

/** Two exponential averages of the mix; a value that is never changed. */
export interface MixEstimate {
  readonly at: number
  /** Time since the first observation, in ms. */
  readonly ageMs: number
  readonly fast: Mix
  readonly slow: Mix
}

/** Work done since the observation before. */
export interface MixStep {
  readonly now: number
  readonly prefillTokens: number
  readonly decodeTokens: number
  readonly promptSquares: number
}

const ZERO_MIX: Mix = { prefill: 0, decode: 0, promptSquares: 0 }

/** Estimate before the first observation. */
export function initialEstimate (now: number): MixEstimate {
  return { at: now, ageMs: 0, fast: ZERO_MIX, slow: ZERO_MIX }
}

/** Applies an observation; one that is not later than the one before is dropped. */
export function observe (estimate: MixEstimate, step: MixStep): MixEstimate {
  const elapsedMs = step.now - estimate.at
  if (elapsedMs <= 0) return estimate
  const perSecond = (sum: number): number => sum * 1_000 / elapsedMs
  const rate = { prefill: perSecond(step.prefillTokens), decode: perSecond(step.decodeTokens), promptSquares: perSecond(step.promptSquares) }
  const ageMs = estimate.ageMs + elapsedMs
  return {
    at: step.now,
    ageMs,
    fast: blend(estimate.fast, rate, sampleWeight(elapsedMs, FAST_TIME_CONSTANT_MS, ageMs)),
    slow: blend(estimate.slow, rate, sampleWeight(elapsedMs, SLOW_TIME_CONSTANT_MS, ageMs))
  }
}

/**
 * The mix expected after `horizonMs`. On a steady ramp an average lags by its time constant, so the difference
 * of the two averages over the difference of their constants is the slope.
 */
export function forecast (estimate: MixEstimate, horizonMs: number): Mix {
  const leadRatio = (horizonMs + FAST_TIME_CONSTANT_MS) / (SLOW_TIME_CONSTANT_MS - FAST_TIME_CONSTANT_MS)
  const extrapolate = (fast: number, slow: number): number => {
    const value = fast + (fast - slow) * leadRatio
    return Math.min(fast * MAX_FORECAST_FACTOR, Math.max(fast / MAX_FORECAST_FACTOR, value))
  }
  const { fast, slow } = estimate
  const prefill = extrapolate(fast.prefill, slow.prefill)
  // The size of prompts is taken as it is; extrapolated squares and sums need not belong together.
  const promptSize = fast.prefill > 0 ? fast.promptSquares / fast.prefill : 0
  return { prefill, decode: extrapolate(fast.decode, slow.decode), promptSquares: promptSize * prefill }
}

// Early on, an average is the mean of what was seen, so that it does not start from zero.
function sampleWeight (elapsedMs: number, timeConstantMs: number, ageMs: number): number {
  return Math.max(1 - Math.exp(-elapsedMs / timeConstantMs), Math.min(1, elapsedMs / ageMs))
}

function blend (average: Mix, rate: Mix, share: number): Mix {
  return {
    prefill: average.prefill + (rate.prefill - average.prefill) * share,
    decode: average.decode + (rate.decode - average.decode) * share,
    promptSquares: average.promptSquares + (rate.promptSquares - average.promptSquares) * share
  }
}
