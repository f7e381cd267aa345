/** Which parts of prompts a target is believed to keep. */
import type * as calls from '../call/index.js'

/** Tokens that may be missing at the end of a part that counts as kept: memory goes by blocks. */
const BLOCK_TOKENS = 32

/** Parts known of one target; the oldest are forgotten beyond this. */
const MAX_PARTS = 20_000

/** Tokens kept of each part: as the target stated, or as own calls let expect. */
export class CacheBelief {
  private readonly parts = new Map<string, number>()

  /** Notes that a target has read a prompt. */
  read (prompt: calls.Prompt): void {
    for (const part of prompt.parts) this.set(part.id, part.tokens)
  }

  /** Takes a target's own statement; 0 tokens mean that the part is not kept. */
  stated (id: string, tokens: number): void {
    if (tokens <= 0) this.parts.delete(id)
    else this.set(id, tokens)
  }

  /** Tokens at the start of a prompt that are believed kept. */
  kept (prompt: calls.Prompt): number {
    let kept = 0
    for (const part of prompt.parts) {
      const tokens = this.parts.get(part.id)
      if (tokens === undefined) break
      kept += Math.min(tokens, part.tokens)
      if (tokens < part.tokens - BLOCK_TOKENS) break
    }
    return kept
  }

  /** Forgets everything, as a target does when it starts again. */
  clear (): void {
    this.parts.clear()
  }

  private set (id: string, tokens: number): void {
    this.parts.delete(id)
    this.parts.set(id, tokens)
    if (this.parts.size > MAX_PARTS) this.parts.delete(this.parts.keys().next().value!)
  }
}
