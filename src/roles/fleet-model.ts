/** What share of a mix a fleet with given roles serves within the profile's times. */
import type { Mix } from './mix-estimate.js'

/** Share of a stream's tokens that may come later than the target time between tokens. */
const TOLERATED_LATE_TOKEN_SHARE = 0.05

/** Steepness of the loss when decode nears its rate: in time at 80%, half at 100%, hardly any at 130%, as in the queue model. */
const OVERLOAD_EXPONENT = 10

/** Halvings of a search interval. */
const BISECTION_STEPS = 12

/** Measured properties of a service's engines. */
export interface EngineModel {
  /** Prompt tokens per second. */
  readonly prefillRate: number
  /** Output tokens per second with a full batch. */
  readonly decodeRate: number
  /** Time between tokens of one stream, in ms. */
  readonly tokenMs: number
  /** Factor by which decode slows while a prompt is processed on the same engine. */
  readonly interference: number
  /** Factor by which prefill slows while streams run on the same engine. */
  readonly prefillSlowdown: number
  /** Target time between tokens, in ms. */
  readonly itlMs: number
  /** Target time to the first token, in ms. */
  readonly ttftMs: number
}

/** Number of engines by role. */
export interface RoleCounts {
  readonly mixed: number
  readonly prefill: number
  readonly decode: number
}

/** Probability that a prompt of `promptMs` starts too late on engines that are busy for a share of the time. */
export function lateStartProbability (engines: number, utilization: number, promptMs: number, ttftMs: number): number {
  if (utilization <= 0) return 0
  if (engines === 0 || utilization >= 1) return 1
  // Prompts longer than the target are late in any case; they are judged as if they just fitted.
  const slack = Math.max(0.1, (ttftMs - promptMs) / promptMs)
  // Wait in a queue with several servers; prompts of one size wait half as long as those of random sizes.
  return erlangC(engines, engines * utilization) * Math.exp(-2 * engines * (1 - utilization) * slack)
}

/**
 * Share of the work that is served in time, from 0 to 1. Prompts go to prefill engines unless they would start too late there; these and the rest go to mixed engines.
 * Streams are spread over decode and mixed engines.
 */
export function serviceLevel (counts: RoleCounts, mix: Mix, model: EngineModel): number {
  const { prefill } = mix
  const promptMs = mix.prefill > 0 ? mix.promptSquares / mix.prefill / model.prefillRate * 1_000 : 0
  const prefillEngineShare = shareStartedByPrefillEngines(counts, prefill, promptMs, model)
  if (counts.mixed === 0) return prefillEngineShare * decodeAttainment(counts.decode * model.decodeRate, mix.decode)
  const slowedPromptMs = promptMs * model.prefillSlowdown
  const mixedUtilization = prefill * (1 - prefillEngineShare) * model.prefillSlowdown / (counts.mixed * model.prefillRate)
  const startedInTime = 1 - (1 - prefillEngineShare) * lateStartProbability(counts.mixed, mixedUtilization, slowedPromptMs, model.ttftMs)
  const decodeSpeed = 1 - Math.min(1, mixedUtilization) * (1 - 1 / model.interference)
  const mixedRate = counts.mixed * model.decodeRate * decodeSpeed
  const decodeRate = mixedRate + counts.decode * model.decodeRate
  const undisturbedShare = 1 - mixedRate / decodeRate * disturbedStreamShare(Math.min(1, mixedUtilization), model)
  return startedInTime * undisturbedShare * decodeAttainment(decodeRate, mix.decode)
}

/** Share of streams in time by load: when decode is overloaded, one stream too many slows all of them. */
function decodeAttainment (rate: number, demand: number): number {
  return 1 / (1 + (demand / rate) ** OVERLOAD_EXPONENT)
}

/** Share of prompts that prefill engines start in time; with none, 0. */
function shareStartedByPrefillEngines (counts: RoleCounts, prefill: number, promptMs: number, model: EngineModel): number {
  if (counts.prefill === 0) return 0
  const lateProbability = (share: number): number => lateStartProbability(counts.prefill, prefill * share / (counts.prefill * model.prefillRate), promptMs, model.ttftMs)
  if (counts.mixed === 0) return 1 - lateProbability(1)
  let low = 0
  let high = 1
  for (let step = 0; step < BISECTION_STEPS; step++) {
    const middle = (low + high) / 2
    if (middle <= 1 - lateProbability(middle)) low = middle
    else high = middle
  }
  return low
}

/** Share of a mixed engine's streams of which too many tokens are late. */
function disturbedStreamShare (utilization: number, model: EngineModel): number {
  if (model.tokenMs * model.interference <= model.itlMs) return 0
  const lateTokenShare = utilization / model.interference / (1 - utilization + utilization / model.interference)
  return 1 - Math.exp(-lateTokenShare / TOLERATED_LATE_TOKEN_SHARE)
}

/** Probability that a prompt has to wait, with `load` engines' worth of prompts on `engines`. */
function erlangC (engines: number, load: number): number {
  let blocked = 1
  for (let count = 1; count <= engines; count++) blocked = load * blocked / (count + load * blocked)
  const utilization = load / engines
  return blocked / (1 - utilization + utilization * blocked)
}
