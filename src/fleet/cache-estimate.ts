/** Estimate of the prompt segments that a target has in its KV cache. */
import type * as calls from '../call/index.js'

/** Tokens that may be missing at the end of a segment that counts as completely cached: engines cache by blocks. */
const BLOCK_TOKENS = 32

/** Segments tracked for one target; beyond this, the least recently updated is dropped. */
const MAX_SEGMENTS = 20_000

/** Cached tokens of each segment, as the target reported them or as this gateway's calls suggest. */
export class CacheEstimate {
  private readonly segments = new Map<string, number>()
  /** Calls of this gateway in progress whose prompt has the segment and is being prefilled by the target. */
  private readonly pending = new Map<string, number>()

  /** Notes that the target has prefilled a prompt: all its segments count as cached. */
  addPrompt (prompt: calls.Prompt): void {
    for (const segment of prompt.segments) this.set(segment.id, segment.tokens)
  }

  /** Applies the target's own report of a segment; 0 tokens mean that it is not cached. */
  applyReport (id: string, tokens: number): void {
    if (tokens <= 0) this.segments.delete(id)
    else this.set(id, tokens)
  }

  /** Tokens of a segment that are estimated to be cached. */
  tokensOf (id: string): number {
    return this.segments.get(id) ?? 0
  }

  /** Notes that the target has begun to prefill a prompt. */
  addPending (prompt: calls.Prompt): void {
    for (const { id } of prompt.segments) this.pending.set(id, (this.pending.get(id) ?? 0) + 1)
  }

  /** Notes that the prefill of a prompt has ended, successful or not. */
  removePending (prompt: calls.Prompt): void {
    for (const { id } of prompt.segments) {
      const count = (this.pending.get(id) ?? 0) - 1
      if (count > 0) this.pending.set(id, count)
      else this.pending.delete(id)
    }
  }

  /** Tokens at the start of a prompt that are estimated to be cached. */
  cachedTokens (prompt: calls.Prompt): number {
    return countLeading(prompt, (segment) => this.segments.get(segment.id))
  }

  /**
   * Tokens at the start of a prompt that a call sent now does not have to prefill: those that are cached, and those of
   * prompts ahead of it that are being prefilled.
   */
  tokensCachedOnArrival (prompt: calls.Prompt): number {
    return countLeading(prompt, (segment) => this.pending.has(segment.id) ? segment.tokens : this.segments.get(segment.id))
  }

  /** Empties the estimate: a target that restarts has an empty cache. */
  clear (): void {
    this.segments.clear()
  }

  private set (id: string, tokens: number): void {
    this.segments.delete(id)
    this.segments.set(id, tokens)
    if (this.segments.size > MAX_SEGMENTS) this.segments.delete(this.segments.keys().next().value!)
  }
}

/** Tokens up to the first segment that `tokensOf` does not give completely. */
function countLeading (prompt: calls.Prompt, tokensOf: (segment: calls.PromptSegment) => number | undefined): number {
  let counted = 0
  for (const segment of prompt.segments) {
    const tokens = tokensOf(segment)
    if (tokens === undefined) break
    counted += Math.min(tokens, segment.tokens)
    if (tokens < segment.tokens - BLOCK_TOKENS) break
  }
  return counted
}
