/** Parts of the cost of an engine for a call. */
import type * as fleet from '../fleet/index.js'

/** Part of the time to the first event that does not depend on the prompt or the load, in ms. */
export const FIRST_EVENT_OVERHEAD_MS = 35

/** Time that each call in flight adds to the first event of the next call, in ms. */
const DELAY_PER_CALL_MS = 0.5

/** Weight of prefill time in the cost: to prefill what another target has cached costs more than the time it takes. */
export const PREFILL_COST_WEIGHT = 1.5

/**
 * Cost of a call at an engine whose slots are all in use, in ms; with the square of their share otherwise. Engines beyond
 * their slots queue calls, and the load that other gateways add in the meantime is not known yet.
 */
const FULL_SLOTS_COST_MS = 60

/** Time that a call waits for a slot for each complete set of slots ahead of it, in ms. */
const SLOT_WAIT_MS = 250

/**
 * Largest random cost of a mixed engine, in ms. Gateways decide on loads that are some 100 ms old, and would all choose
 * the engine that was least loaded then.
 */
const RANDOM_COST_MS = 12

/** Cost of a second send, to a prefill-only engine before the one that generates, in ms. */
export const SECOND_SEND_COST_MS = 8

/**
 * Share of the objective for the time between events that a mixed engine may spend on prefill at a time. Its streams get
 * fewer events meanwhile, and the rest is for the time between events without prefill.
 */
const PREFILL_GAP_SHARE = 0.5

/** Cost of a gap above the objective in one running stream, in ms. */
const LATE_STREAM_COST_MS = 250

/** Cost of a target in another failure domain than this gateway, in ms. */
const OTHER_DOMAIN_COST_MS = 6

/** Cost of a target whose calls all fail, in ms; in proportion to the failure rate otherwise. */
const FAILURE_COST_MS = 1_500

/** Parts of the cost of a candidate, in ms; the sum decides. */
export interface CostParts {
  /** Prompts ahead of the call. */
  readonly backlogMs: number
  readonly fetchMs: number
  /** Prefill, with its weight. */
  readonly prefillMs: number
  /** What other calls need and the prompt displaces. */
  readonly displacedMs: number
  /** Slots, load, failures and failure domain of the engine that generates, and the KV transfer to it. */
  readonly generationMs: number
  /** Second send, failures and failure domain of an engine that only prefills. */
  readonly prefillOnlyMs: number
  /** Preference of this gateway for other engines. */
  readonly preferenceMs: number
  /** Streams that get their events late because of the prefill. */
  readonly lateStreamsMs: number
}

/** Sum of the parts, in ms. */
export function totalMs (parts: CostParts): number {
  return parts.backlogMs + parts.fetchMs + parts.prefillMs + parts.displacedMs + parts.generationMs + parts.prefillOnlyMs + parts.preferenceMs + parts.lateStreamsMs
}

/**
 * Cost of prefill that keeps a mixed engine busy for `prefillMs` while it generates `streams`: they exceed the objective
 * for the time between events.
 */
export function lateStreamCostMs (streams: number, prefillMs: number, gapSloMs: number): number {
  const toleratedMs = gapSloMs * PREFILL_GAP_SHARE
  if (prefillMs <= toleratedMs) return 0
  return streams * LATE_STREAM_COST_MS * Math.min(1, (prefillMs - toleratedMs) / toleratedMs)
}

/** Cost of generating at a mixed engine, without prefill, in ms; `random` is in [0, 1). */
export function mixedCostMs (state: fleet.TargetState, ownDomain: string, random: number, now: number): number {
  const slotShare = Math.min(1, state.load(now) / state.record.slots)
  return slotDelayMs(state, now) + FULL_SLOTS_COST_MS * slotShare ** 2 + placeCostMs(state, ownDomain, now) + RANDOM_COST_MS * random
}

/** Cost of failures and of the failure domain, in ms. */
export function placeCostMs (state: fleet.TargetState, ownDomain: string, now: number): number {
  return FAILURE_COST_MS * state.failures.failureRate(now) + (state.record.domain === ownDomain ? 0 : OTHER_DOMAIN_COST_MS)
}

/** Expected delay of a call by the calls that an engine executes and queues, in ms. */
export function slotDelayMs (state: fleet.TargetState, now: number): number {
  const load = state.load(now)
  const { slots } = state.record
  return load * DELAY_PER_CALL_MS + (load < slots ? 0 : SLOT_WAIT_MS * (load - slots + 1) / slots)
}
