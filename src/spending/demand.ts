/** Average, peak and trend of a service's work, in targets that it keeps busy. */

/** Time constant of the fast exponential average, in ms. */
const FAST_TIME_CONSTANT_MS = 30_000

/** Time constant of the slow exponential average, from which the trend is derived, in ms. */
const SLOW_TIME_CONSTANT_MS = 300_000

/**
 * Time in which the recorded peak decays to a third, in ms. After 10 min of low use some of the capacity that a swing
 * needs remains, but the peak must not keep targets from being released after low use of that length (design section 15).
 */
const PEAK_TIME_CONSTANT_MS = 1_800_000

/** Largest factor between a forecast and the average; extrapolating a step as if it were a ramp orders too many targets. */
const MAX_FORECAST_FACTOR = 1.2

/** Averages of the work, in busy targets; immutable. */
export interface Demand {
  /** Time of the latest observation, in ms. */
  readonly at: number
  /** Time since the first observation, in ms. */
  readonly ageMs: number
  readonly average: number
  readonly slowAverage: number
  /** Highest average of about the last half hour, decaying with time. */
  readonly peak: number
}

/**
 * Work that arrived, refused work included, in targets that it keeps busy. Queued work is not added: it would count
 * again in each step, and far too many targets would be ordered.
 */
export interface DemandStep {
  readonly now: number
  readonly busyTargets: number
}

/** Demand before the first observation. */
export function initialDemand (now: number): Demand {
  return { at: now, ageMs: 0, average: 0, slowAverage: 0, peak: 0 }
}

/** Applies an observation; one that is not later than the previous one is dropped. */
export function observeDemand (demand: Demand, step: DemandStep): Demand {
  const elapsedMs = step.now - demand.at
  if (elapsedMs <= 0) return demand
  const ageMs = demand.ageMs + elapsedMs
  const blend = (average: number, timeConstantMs: number): number => (
    average + (step.busyTargets - average) * Math.max(1 - Math.exp(-elapsedMs / timeConstantMs), Math.min(1, elapsedMs / ageMs))
  )
  const average = blend(demand.average, FAST_TIME_CONSTANT_MS)
  // The first averages rest on few values and are not a peak yet.
  const peak = ageMs < FAST_TIME_CONSTANT_MS ? 0 : Math.max(average, demand.peak * Math.exp(-elapsedMs / PEAK_TIME_CONSTANT_MS))
  return { at: step.now, ageMs, average, slowAverage: blend(demand.slowAverage, SLOW_TIME_CONSTANT_MS), peak }
}

/** Forecasts the work after `horizonMs`; a falling trend is not extrapolated, since releases are delayed anyway. */
export function expectedWork (demand: Demand, horizonMs: number): number {
  const slope = Math.max(0, demand.average - demand.slowAverage) / (SLOW_TIME_CONSTANT_MS - FAST_TIME_CONSTANT_MS)
  return Math.min(demand.average * MAX_FORECAST_FACTOR, demand.average + slope * (horizonMs + FAST_TIME_CONSTANT_MS))
}
