/** Index of the prompt prefixes that targets have cached, maintained from own requests and from cache events. */
import type { CacheBatch } from '../target-clients/index.js'

/** Maximum number of pairs of prefix and target; beyond it the least recently used prefixes are evicted. */
const MAX_ENTRIES = 64 * 1024

/** Maximum number of targets per prefix. */
const MAX_TARGETS_PER_PREFIX = 16

/** Fraction of a tentative prefix that is assumed to be cached; a confirmed prefix counts in full. */
const TENTATIVE_CONFIDENCE = 0.5

/** A target that has the first `blocks` blocks of a prompt cached; a block is `CACHE_BLOCK_TOKENS` tokens long. */
export interface PrefixMatch {
  readonly target: string
  readonly blocks: number
  /** Fraction of the blocks that is assumed to be cached. */
  readonly confidence: number
}

/** Targets by prefix; the keys of a prompt's prefixes form its chain, one for each block. */
export class PrefixIndex {
  private readonly targetsByPrefix = new Map<string, Map<string, PrefixEntry>>()
  private readonly caches = new Map<string, TargetCache>()
  private entryCount = 0
  private lastEpoch = 0

  constructor (private readonly maxEntries = MAX_ENTRIES) {}

  /** Notes that a prompt was sent to a target; those of its prefixes that are not indexed yet become tentative. */
  addSent (target: string, chain: readonly string[]): void {
    const cache = this.cacheOf(target)
    for (const prefix of chain) if (this.entry(prefix, target) === undefined) this.add(prefix, target, { epoch: cache.epoch, gapCount: -1 })
  }

  /** Notes that a target has prefilled a prompt; all prefixes of the prompt are confirmed. */
  addPrefilled (target: string, chain: readonly string[]): void {
    const cache = this.cacheOf(target)
    for (const prefix of chain) this.add(prefix, target, { epoch: cache.epoch, gapCount: cache.gapCount })
  }

  /**
   * Applies cache events. After a gap in the sequence numbers an eviction may have been missed, so prefixes confirmed
   * before it become tentative. A lower sequence number means that the target restarted with an empty cache.
   */
  applyEvents (target: string, batch: CacheBatch): void {
    const cache = this.cacheOf(target)
    if (batch.next < cache.nextSeq) {
      cache.epoch = ++this.lastEpoch
      cache.nextSeq = 0
    }
    for (const event of batch.events) {
      if (event.seq < cache.nextSeq) continue
      if (event.seq > cache.nextSeq) cache.gapCount++
      cache.nextSeq = event.seq + 1
      if (event.kind === 'stored') this.add(event.prefix, target, { epoch: cache.epoch, gapCount: cache.gapCount })
      else if (event.kind === 'evicted') this.remove(event.prefix, target)
      else cache.epoch = ++this.lastEpoch
    }
    if (batch.next > cache.nextSeq) cache.gapCount++
    cache.nextSeq = Math.max(cache.nextSeq, batch.next)
  }

  /** Sequence number of the next event expected from a target. */
  nextEventSeq (target: string): number {
    return this.caches.get(target)?.nextSeq ?? 0
  }

  /** Removes a target. */
  removeTarget (target: string): void {
    this.caches.delete(target)
  }

  /** Targets with the longest cached prefixes of a prompt, longest first, at most `limit`. */
  findTargets (chain: readonly string[], limit: number): PrefixMatch[] {
    const matches = new Map<string, PrefixMatch>()
    for (let index = chain.length - 1; index >= 0 && matches.size < limit; index--) {
      const prefix = chain[index]!
      const entries = this.targetsByPrefix.get(prefix)
      if (entries === undefined) continue
      this.markUsed(prefix, entries)
      for (const [target, entry] of entries) {
        const cache = this.caches.get(target)
        if (entry.epoch !== cache?.epoch || matches.has(target) || matches.size >= limit) continue
        matches.set(target, { target, blocks: index + 1, confidence: entry.gapCount === cache.gapCount ? 1 : TENTATIVE_CONFIDENCE })
      }
    }
    return [...matches.values()]
  }

  private entry (prefix: string, target: string): PrefixEntry | undefined {
    const entry = this.targetsByPrefix.get(prefix)?.get(target)
    return entry?.epoch === this.cacheOf(target).epoch ? entry : undefined
  }

  private add (prefix: string, target: string, entry: PrefixEntry): void {
    const entries = this.targetsByPrefix.get(prefix) ?? new Map<string, PrefixEntry>()
    this.markUsed(prefix, entries)
    if (!entries.delete(target)) this.entryCount++
    entries.set(target, entry)
    if (entries.size > MAX_TARGETS_PER_PREFIX) {
      entries.delete(entries.keys().next().value!)
      this.entryCount--
    }
    this.evict()
  }

  private remove (prefix: string, target: string): void {
    const entries = this.targetsByPrefix.get(prefix)
    if (entries?.delete(target) !== true) return
    this.entryCount--
    if (entries.size === 0) this.targetsByPrefix.delete(prefix)
  }

  private markUsed (prefix: string, entries: Map<string, PrefixEntry>): void {
    this.targetsByPrefix.delete(prefix)
    this.targetsByPrefix.set(prefix, entries)
  }

  private evict (): void {
    for (const [prefix, entries] of this.targetsByPrefix) {
      if (this.entryCount <= this.maxEntries) return
      this.targetsByPrefix.delete(prefix)
      this.entryCount -= entries.size
    }
  }

  private cacheOf (target: string): TargetCache {
    let cache = this.caches.get(target)
    if (cache === undefined) {
      cache = { epoch: ++this.lastEpoch, gapCount: 0, nextSeq: 0 }
      this.caches.set(target, cache)
    }
    return cache
  }
}

/** A prefix at a target: invalid once the epoch of the target has changed, tentative once its gap count has changed. */
interface PrefixEntry {
  readonly epoch: number
  readonly gapCount: number
}

/** Event state of a target's cache; the epoch changes when the cache is cleared. */
interface TargetCache {
  epoch: number
  gapCount: number
  nextSeq: number
}
