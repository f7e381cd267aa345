/** Which parts of prompts a target is believed to keep. */
import type * as calls from '../call/index.js'

/** Part of a target's memory that is assumed to be free for kept parts. */
const KEPT_SHARE = 0.75

/** Parts by their time of use; the oldest are forgotten when a target's memory would be full. */
export class CacheBelief {
  private readonly parts = new Map<string, number>()
  private tokens = 0

  /** Notes that a target has read a prompt and has `memoryTokens` of memory. */
  read (prompt: calls.Prompt, memoryTokens: number): void {
    for (const part of prompt.parts) this.keep(part)
    for (const [id, tokens] of this.parts) {
      if (this.tokens <= memoryTokens * KEPT_SHARE) break
      this.parts.delete(id)
      this.tokens -= tokens
    }
  }

  /** Tokens at the start of a prompt that are believed kept. */
  kept (prompt: calls.Prompt): number {
    let kept = 0
    for (const part of prompt.parts) {
      if (!this.parts.has(part.id)) break
      kept += part.tokens
    }
    return kept
  }

  /** Forgets everything, as a target does when it starts again. */
  clear (): void {
    this.parts.clear()
    this.tokens = 0
  }

  private keep (part: calls.PromptPart): void {
    const held = this.parts.get(part.id) ?? 0
    this.parts.delete(part.id)
    this.parts.set(part.id, part.tokens)
    this.tokens += part.tokens - held
  }
}
