/** Decides whether prefill and decode of a request go to different engines. */
import { CACHE_BLOCK_TOKENS } from '../target-clients/index.js'
import type { Scored } from './two-choice-router.js'
import type { RouteReq } from './types.js'

/** Time to export, move and import one piece of KV cache, in ms. */
const TRANSFER_PIECE_MS = 5

/** Time a hand-over takes apart from its size, in ms: two calls between engines. */
const TRANSFER_BASE_MS = 5

/**
 * Split serving pays when moving the KV cache costs less than the prompt would slow the streams that run on
 * the mixed engine, and the answer does not start later by more than that.
 */
export function splitPays (need: RouteReq, prefill: Scored, decode: Scored, mixed: Scored | undefined): boolean {
  if (mixed === undefined) return true
  const transferMs = TRANSFER_BASE_MS + need.promptTokens / CACHE_BLOCK_TOKENS * TRANSFER_PIECE_MS
  const interferenceMs = mixed.state.load.running > 0 ? mixed.prefillMs : 0
  return transferMs < interferenceMs && prefill.ms + transferMs + decode.ms < mixed.ms + interferenceMs
}
