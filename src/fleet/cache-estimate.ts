/** Estimate of the prompt segments that a target has in its KV cache. */
import * as lruCache from 'lru-cache'
import type * as calls from '../call/index.js'
import * as decayingSums from './decaying-sums.js'

/** Tokens that may be missing at the end of a segment that counts as completely cached: engines cache by blocks. */
const BLOCK_TOKENS = 32

/** Segments tracked for one target; beyond this, the least recently updated is dropped. */
const MAX_SEGMENTS = 20_000

/** Time after which an eviction counts half in the rate, in ms. */
const EVICTION_HALF_LIFE_MS = 5_000

/** Age factor of a segment that was just cached: engines evict what was used least recently, so it is safest. */
const MIN_AGE_FACTOR = 0.1
const MAX_AGE_FACTOR = 2

interface CachedSegment {
  readonly tokens: number
  /** Tokens that had been cached by the engine when this segment was last confirmed. */
  readonly confirmedAt: number
}

/** Cached tokens of each segment, as the target reported them or as this gateway's calls suggest. */
export class CacheEstimate {
  /**
   * Ordered by their last update, so they are read by `peek`. Their number is bounded by their size, since `max` would
   * allocate space for all of them at once.
   */
  private readonly segments = new lruCache.LRUCache<string, CachedSegment>({
    maxSize: MAX_SEGMENTS,
    sizeCalculation: () => 1,
    // Called with what an update replaces, too.
    dispose: (segment) => { this.tokens -= segment.tokens }
  })

  /** Tokens of all segments, and tokens of all segments that were ever added. */
  private tokens = 0
  private addedTokens = 0
  private readonly evicted = new decayingSums.DecayingSums(1, EVICTION_HALF_LIFE_MS)
  /** Calls of this gateway in progress whose prompt has the segment and is being prefilled by the target. */
  private readonly pending = new Map<string, number>()

  /** Notes that the target has prefilled a prompt: all its segments count as cached. */
  addPrompt (prompt: calls.Prompt): void {
    for (const segment of prompt.segments) this.set(segment.id, segment.tokens)
  }

  /** Applies the target's own report of a segment; 0 tokens mean that it is not cached. Without `now` (ms, monotonic) the rate of eviction stays. */
  applyReport (id: string, tokens: number, now?: number): void {
    if (tokens > 0) {
      this.set(id, tokens)
      return
    }
    if (now !== undefined) this.evicted.add([this.tokensOf(id)], now)
    this.segments.delete(id)
  }

  /** Number of segments that are tracked. */
  get size (): number {
    return this.segments.size
  }

  /** Tokens of all segments that are estimated to be cached. */
  get totalTokens (): number {
    return this.tokens
  }

  /** Probability that the cached beginning of a prompt is still cached after `ms`, by the rate of eviction and its age. */
  stayProbability (prompt: calls.Prompt, ms: number, now: number): number {
    const evicted = [0]
    this.evicted.addTo(evicted, now)
    const lostShare = evicted[0]! * Math.LN2 / EVICTION_HALF_LIFE_MS * ms / Math.max(1, this.tokens)
    if (lostShare === 0) return 1
    let ageFactor = MIN_AGE_FACTOR
    for (const { id } of prompt.segments) {
      const segment = this.segments.peek(id)
      if (segment === undefined) break
      ageFactor = Math.max(ageFactor, Math.min(MAX_AGE_FACTOR, 2 * (this.addedTokens - segment.confirmedAt) / Math.max(1, this.tokens)))
    }
    return Math.exp(-lostShare * ageFactor)
  }

  /** Tokens of a segment that are estimated to be cached. */
  tokensOf (id: string): number {
    return this.segments.peek(id)?.tokens ?? 0
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
    return countLeading(prompt, (segment) => this.segments.peek(segment.id)?.tokens)
  }

  /**
   * Tokens at the start of a prompt that a call sent now does not have to prefill: those that are cached, and those of
   * prompts ahead of it that are being prefilled.
   */
  tokensCachedOnArrival (prompt: calls.Prompt): number {
    return countLeading(prompt, (segment) => this.pending.has(segment.id) ? segment.tokens : this.segments.peek(segment.id)?.tokens)
  }

  /** Empties the estimate: a target that restarts has an empty cache. */
  clear (): void {
    this.segments.clear()
    this.tokens = 0
  }

  private set (id: string, tokens: number): void {
    this.addedTokens += Math.max(0, tokens - this.tokensOf(id))
    this.tokens += tokens
    this.segments.set(id, { tokens, confirmedAt: this.addedTokens })
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
