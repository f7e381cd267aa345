/** Decides whether prefill and decode of a request run on different engines. */
import { CACHE_BLOCK_TOKENS } from '../target-clients/index.js'
import type { ScoredTarget } from './two-choice-router.js'
import type { RouteReq } from './types.js'

/** Time to export, transfer and import the KV cache of one prompt block of `CACHE_BLOCK_TOKENS` tokens, in ms. */
const KV_TRANSFER_MS_PER_BLOCK = 5

/** Fixed time of a KV transfer, in ms: two calls between engines. */
const KV_TRANSFER_BASE_MS = 5

/**
 * Whether to split serving: the KV transfer must take less time than the prefill would delay the streams running on
 * the mixed engine, and the response must not start later by more than that delay.
 */
export function shouldSplit (req: RouteReq, prefill: ScoredTarget, decode: ScoredTarget, mixed: ScoredTarget | undefined): boolean {
  if (mixed === undefined) return true
  const transferMs = KV_TRANSFER_BASE_MS + req.promptTokens / CACHE_BLOCK_TOKENS * KV_TRANSFER_MS_PER_BLOCK
  const interferenceMs = mixed.state.load.running > 0 ? mixed.prefillMs : 0
  return transferMs < interferenceMs && prefill.scoreMs + transferMs + decode.scoreMs < mixed.scoreMs + interferenceMs
}
