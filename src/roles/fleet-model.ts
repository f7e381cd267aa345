/** Queueing model of a fleet: the share of a workload mix that it serves within the profile's latency objectives. */
import type { Mix } from './mix-estimate.js'

/** Share of a stream's tokens that may exceed the inter-token latency objective. */
const TOLERATED_LATE_TOKEN_SHARE = 0.05

/**
 * Steepness of the loss as decode load nears its rate; as in the queue model, nearly all streams meet the objective at
 * 80%, half at 100%, hardly any at 130%.
 */
const OVERLOAD_EXPONENT = 10

/** Steps of a bisection. */
const BISECTION_STEPS = 12

/** Measured properties and latency objectives of a service's engines. */
export interface EngineModel {
  /** Prefill throughput, in prompt tokens per second. */
  readonly prefillRate: number
  /** Decode throughput with a full batch, in output tokens per second. */
  readonly decodeRate: number
  /** Time between tokens of one stream, in ms. */
  readonly tokenMs: number
  /** Factor by which decode slows down while the same engine prefills a prompt. */
  readonly interference: number
  /** Factor by which prefill slows down while the same engine decodes streams. */
  readonly prefillSlowdown: number
  /** Objective for the time between tokens, in ms. */
  readonly itlMs: number
  /** Objective for the time to the first token, in ms. */
  readonly ttftMs: number
}

/** Number of engines by role. */
export interface RoleCounts {
  readonly mixed: number
  readonly prefill: number
  readonly decode: number
}

/** Probability that a prompt of `promptMs` misses the time to the first token `ttftMs`, at a utilization from 0 to 1. */
export function lateStartProbability (engines: number, utilization: number, promptMs: number, ttftMs: number): number {
  if (utilization <= 0) return 0
  if (engines === 0 || utilization >= 1) return 1
  // A prompt that takes longer than the objective is late in any case; it is treated as one that just fits.
  const slack = Math.max(0.1, (ttftMs - promptMs) / promptMs)
  // Waiting time in a multi-server queue; prompts of one size wait half as long as prompts of random sizes.
  return erlangC(engines, engines * utilization) * Math.exp(-2 * engines * (1 - utilization) * slack)
}

/**
 * Share of the work that is served within the latency objectives, from 0 to 1. Prompts go to prefill engines unless
 * they would start too late there; the others go to mixed engines. Streams are spread over decode and mixed engines.
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

/** Share of streams that decode serves within the objective; under overload, one stream too many slows all of them. */
function decodeAttainment (rate: number, demand: number): number {
  return 1 / (1 + (demand / rate) ** OVERLOAD_EXPONENT)
}

/** Share of prompts that prefill engines start within the objective; 0 without prefill engines. */
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

/** Share of a mixed engine's streams in which too many tokens are late. */
function disturbedStreamShare (utilization: number, model: EngineModel): number {
  if (model.tokenMs * model.interference <= model.itlMs) return 0
  const lateTokenShare = utilization / model.interference / (1 - utilization + utilization / model.interference)
  return 1 - Math.exp(-lateTokenShare / TOLERATED_LATE_TOKEN_SHARE)
}

/** Probability that a prompt has to wait (Erlang C), with `load` engines' worth of prompts on `engines`. */
function erlangC (engines: number, load: number): number {
  let blocked = 1
  for (let count = 1; count <= engines; count++) blocked = load * blocked / (count + load * blocked)
  const utilization = load / engines
  return blocked / (1 - utilization + utilization * blocked)
}
