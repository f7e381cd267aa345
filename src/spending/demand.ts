/** Trend of a service's delivered work, in targets' worth of work. */

/** Time constant of the average, in ms. */
const FAST_TIME_CONSTANT_MS = 30_000

/** Time constant of the slow average that the trend is taken from, in ms. */
const SLOW_TIME_CONSTANT_MS = 300_000

/**
 * Time in which the remembered peak falls to a third, in ms. It keeps some of what a swing needs after 10 min of low
 * use, but must not hold targets back once low use has lasted that long (design section 15).
 */
const PEAK_TIME_CONSTANT_MS = 1_800_000

/** Most by which a forecast exceeds the average, as a factor; a jump is no ramp, and extrapolating it orders too much. */
const MAX_FORECAST_FACTOR = 1.2

/** Averages of the work; a value that is never changed. */
export interface Demand {
  readonly at: number
  readonly ageMs: number
  readonly average: number
  readonly slowAverage: number
  /** Highest average of the last half hour or so, falling with time. */
  readonly peak: number
}

/**
 * Work that arrived, in targets it keeps busy, refused work included. What waits is not added: a queue that has
 * built up would count again in each step and order far too much.
 */
export interface DemandStep {
  readonly now: number
  readonly busyTargets: number
}

/** Demand before the first observation. */
export function initialDemand (now: number): Demand {
  return { at: now, ageMs: 0, average: 0, slowAverage: 0, peak: 0 }
}

/** Applies an observation; one that is not later than the one before is dropped. */
export function observeDemand (demand: Demand, step: DemandStep): Demand {
  const elapsedMs = step.now - demand.at
  if (elapsedMs <= 0) return demand
  const ageMs = demand.ageMs + elapsedMs
  const blend = (average: number, timeConstantMs: number): number => (
    average + (step.busyTargets - average) * Math.max(1 - Math.exp(-elapsedMs / timeConstantMs), Math.min(1, elapsedMs / ageMs))
  )
  const average = blend(demand.average, FAST_TIME_CONSTANT_MS)
  // The first average is a single value, which is no peak yet.
  const peak = ageMs < FAST_TIME_CONSTANT_MS ? 0 : Math.max(average, demand.peak * Math.exp(-elapsedMs / PEAK_TIME_CONSTANT_MS))
  return { at: step.now, ageMs, average, slowAverage: blend(demand.slowAverage, SLOW_TIME_CONSTANT_MS), peak }
}

/** Work expected after `horizonMs`; a falling trend is not extrapolated, since targets are given back late anyway. */
export function expectedWork (demand: Demand, horizonMs: number): number {
  const slope = Math.max(0, demand.average - demand.slowAverage) / (SLOW_TIME_CONSTANT_MS - FAST_TIME_CONSTANT_MS)
  return Math.min(demand.average * MAX_FORECAST_FACTOR, demand.average + slope * (horizonMs + FAST_TIME_CONSTANT_MS))
}
