/** Which parts of prompts a target is believed to keep. */
import type * as calls from '../call/index.js'

/** Tokens that may be missing at the end of a part that counts as kept: memory goes by blocks. */
const BLOCK_TOKENS = 32

/** Parts known of one target; the oldest are forgotten beyond this. */
const MAX_SEGMENTS = 20_000

/** Tokens kept of each part: as the target stated, or as own calls let expect. */
export class CacheEstimate {
  private readonly segments = new Map<string, number>()

  /** Notes that a target has read a prompt. */
  addPrompt (prompt: calls.Prompt): void {
    for (const part of prompt.segments) this.set(part.id, part.tokens)
  }

  /** Takes a target's own statement; 0 tokens mean that the part is not kept. */
  applyReport (id: string, tokens: number): void {
    if (tokens <= 0) this.segments.delete(id)
    else this.set(id, tokens)
  }

  /** Tokens at the start of a prompt that are believed kept. */
  cachedTokens (prompt: calls.Prompt): number {
    let cached = 0
    for (const part of prompt.segments) {
      const tokens = this.segments.get(part.id)
      if (tokens === undefined) break
      cached += Math.min(tokens, part.tokens)
      if (tokens < part.tokens - BLOCK_TOKENS) break
    }
    return cached
  }

  /** Forgets everything, as a target does when it starts again. */
  clear (): void {
    this.segments.clear()
  }

  private set (id: string, tokens: number): void {
    this.segments.delete(id)
    this.segments.set(id, tokens)
    if (this.segments.size > MAX_SEGMENTS) this.segments.delete(this.segments.keys().next().value!)
  }
}
