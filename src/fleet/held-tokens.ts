/** Tokens of KV cache that calls in flight at one engine hold. */
import type * as calls from '../call/index.js'

interface HeldSegment {
  readonly tokens: number
  calls: number
}

/** Tokens that this gateway's calls hold: each call its own segment and its output, and a shared segment once for all of them. */
export class HeldTokens {
  private readonly shared = new Map<string, HeldSegment>()
  private sharedTokens = 0
  private unsharedTokens = 0

  /** Tokens held now. */
  get total (): number {
    return this.sharedTokens + this.unsharedTokens
  }

  /** Tokens held now that calls of other gateways certainly do not hold too. */
  get unshared (): number {
    return this.unsharedTokens
  }

  /** Tokens that a call with this prompt would add. */
  missing (prompt: calls.Prompt): number {
    let tokens = prompt.promptTokens + prompt.outputTokens
    for (const { id } of sharedSegments(prompt)) tokens -= this.shared.get(id)?.tokens ?? 0
    return Math.max(0, tokens)
  }

  /** Notes that a call was sent to the engine. */
  hold (prompt: calls.Prompt): void {
    this.unsharedTokens += ownTokens(prompt)
    for (const { id, tokens } of sharedSegments(prompt)) {
      const held = this.shared.get(id)
      if (held !== undefined) held.calls++
      else {
        this.shared.set(id, { tokens, calls: 1 })
        this.sharedTokens += tokens
      }
    }
  }

  /** Notes that the call has ended there. */
  release (prompt: calls.Prompt): void {
    this.unsharedTokens -= ownTokens(prompt)
    for (const { id } of sharedSegments(prompt)) {
      const held = this.shared.get(id)
      if (held === undefined || --held.calls > 0) continue
      this.shared.delete(id)
      this.sharedTokens -= held.tokens
    }
  }
}

function sharedSegments (prompt: calls.Prompt): readonly calls.PromptSegment[] {
  return prompt.segments.slice(0, -1)
}

/** Output and what no other call shares; callers may declare segments that do not add up to the prompt. */
function ownTokens (prompt: calls.Prompt): number {
  let shared = 0
  for (const { tokens } of sharedSegments(prompt)) shared += tokens
  return Math.max(0, prompt.promptTokens - shared) + prompt.outputTokens
}
