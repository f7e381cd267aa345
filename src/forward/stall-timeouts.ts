/** How long a call that may be repeated waits for a silent target. */
import type * as calls from '../call/index.js'

/** Shortest waits, in ms: for any byte of the target, and for the call's own answer. */
const PLAIN_TARGET_MS = 350
const PLAIN_CALL_MS = 500
const STREAM_TARGET_MS = 700
const STREAM_CALL_MS = 1_200

/** Expected times are this much too low at times. */
const EXPECTED_FACTOR = 2

/** Bounds of silence for one attempt, in ms. */
export interface StallTimeouts {
  readonly targetStallMs: number
  readonly callStallMs: number
}

/** The patience for a call whose first event is expected after `expectedMs`. */
export function stallTimeouts (call: calls.Call, expectedMs: number, prefillOnly: boolean): StallTimeouts {
  if (call.route.idempotency === 'non_idempotent' && !prefillOnly) return { targetStallMs: Infinity, callStallMs: Infinity }
  if (!call.route.streaming) return { targetStallMs: PLAIN_TARGET_MS, callStallMs: Math.max(PLAIN_CALL_MS, expectedMs * EXPECTED_FACTOR) }
  return { targetStallMs: STREAM_TARGET_MS + expectedMs, callStallMs: STREAM_CALL_MS + expectedMs * EXPECTED_FACTOR }
}
