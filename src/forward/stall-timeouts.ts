/** Stall timeouts of attempts: how long a call that may be sent again waits for a target that sends no bytes. */
import type * as calls from '../call/index.js'

/** Shortest stall timeouts, in ms: for any byte of the target, and for the response of the call itself. */
const PLAIN_TARGET_STALL_MS = 350
const PLAIN_CALL_STALL_MS = 500
const STREAM_TARGET_STALL_MS = 700
const STREAM_CALL_STALL_MS = 1_200

/** Shortest stall timeout of an attempt that must be aborted before another is sent, in ms: a sound target may be silent for a second. */
const REPLACEMENT_STALL_MS = 1_500

/** Actual times may exceed the expected time by this factor. */
const EXPECTED_TIME_FACTOR = 2

/** Stall timeouts of one attempt, in ms: for any byte of the target, and for a byte of the call's response. */
export interface StallTimeouts {
  readonly targetStallMs: number
  readonly callStallMs: number
}

/** Stall timeouts for a call whose first event is expected after `expectedMs`; infinite when it must not be sent again. */
export function stallTimeouts (call: calls.Call, expectedMs: number, prefillOnly: boolean): StallTimeouts {
  if (call.route.idempotency === 'non_idempotent' && !prefillOnly) return { targetStallMs: Infinity, callStallMs: Infinity }
  if (!call.route.streaming) return { targetStallMs: PLAIN_TARGET_STALL_MS, callStallMs: Math.max(PLAIN_CALL_STALL_MS, expectedMs * EXPECTED_TIME_FACTOR) }
  return { targetStallMs: STREAM_TARGET_STALL_MS + expectedMs, callStallMs: STREAM_CALL_STALL_MS + expectedMs * EXPECTED_TIME_FACTOR }
}

/** Stall timeouts of an attempt that must be aborted before another is sent. */
export function replacementTimeouts ({ targetStallMs, callStallMs }: StallTimeouts): StallTimeouts {
  return { targetStallMs: Math.max(REPLACEMENT_STALL_MS, targetStallMs), callStallMs: Math.max(REPLACEMENT_STALL_MS, callStallMs) }
}
