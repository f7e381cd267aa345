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
export interface Patience {
  readonly targetSilenceMs: number
  readonly callSilenceMs: number
}

/** The patience for a call whose first event is expected after `expectedMs`. */
export function patienceOf (call: calls.Call, expectedMs: number, readOnly: boolean): Patience {
  if (call.route.repeat === 'once' && !readOnly) return { targetSilenceMs: Infinity, callSilenceMs: Infinity }
  if (!call.route.streams) return { targetSilenceMs: PLAIN_TARGET_MS, callSilenceMs: Math.max(PLAIN_CALL_MS, expectedMs * EXPECTED_FACTOR) }
  return { targetSilenceMs: STREAM_TARGET_MS + expectedMs, callSilenceMs: STREAM_CALL_MS + expectedMs * EXPECTED_FACTOR }
}
