/** Estimate and forecast of a service's workload by phase. */

/** Time constant of the fast exponential average, in ms. */
const FAST_TIME_CONSTANT_MS = 10_000

/** Time constant of the slow exponential average, in ms. */
const SLOW_TIME_CONSTANT_MS = 120_000

/** Largest factor between a forecast and the fast average, so that a trend is not extrapolated without bound. */
const MAX_FORECAST_FACTOR = 1.5

/** Workload by phase, in tokens per second. */
export interface Mix {
  readonly prefill: number
  readonly decode: number
  /** Sum of the squared prompt sizes per second; divided by `prefill`, the mean size of the prompt that a token belongs to. */
  readonly promptSquares: number
}

/** Two exponential averages of the mix; immutable. */
export interface MixEstimate {
  /** Time of the latest observation, in ms. */
  readonly at: number
  /** Time since the first observation, in ms. */
  readonly ageMs: number
  readonly fast: Mix
  readonly slow: Mix
}

/** Work done since the previous observation. */
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

/** Applies an observation; one that is not later than the previous one is dropped. */
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
 * Forecasts the mix after `horizonMs`. On a steady ramp an average lags by its time constant, so the difference of
 * the two averages divided by the difference of their time constants is the slope.
 */
export function forecast (estimate: MixEstimate, horizonMs: number): Mix {
  const leadRatio = (horizonMs + FAST_TIME_CONSTANT_MS) / (SLOW_TIME_CONSTANT_MS - FAST_TIME_CONSTANT_MS)
  const extrapolate = (fast: number, slow: number): number => {
    const value = fast + (fast - slow) * leadRatio
    return Math.min(fast * MAX_FORECAST_FACTOR, Math.max(fast / MAX_FORECAST_FACTOR, value))
  }
  const { fast, slow } = estimate
  const prefill = extrapolate(fast.prefill, slow.prefill)
  // The mean prompt size is not extrapolated: extrapolated squares and sums need not be consistent.
  const promptSize = fast.prefill > 0 ? fast.promptSquares / fast.prefill : 0
  return { prefill, decode: extrapolate(fast.decode, slow.decode), promptSquares: promptSize * prefill }
}

// Early on, an average is the plain mean of the observations, so that it does not start from zero.
function sampleWeight (elapsedMs: number, timeConstantMs: number, ageMs: number): number {
  return Math.max(1 - Math.exp(-elapsedMs / timeConstantMs), Math.min(1, elapsedMs / ageMs))
}

function blend (average: Mix, rate: Mix, weight: number): Mix {
  return {
    prefill: average.prefill + (rate.prefill - average.prefill) * weight,
    decode: average.decode + (rate.decode - average.decode) * weight,
    promptSquares: average.promptSquares + (rate.promptSquares - average.promptSquares) * weight
  }
}
