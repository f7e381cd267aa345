/** Which targets hold which prompt prefixes, learned from own sends and from cache events. */
import type { CacheBatch } from '../target-clients/index.js'

/** Pairs of prefix and target kept; the least recently used prefixes go first. */
const MAX_ENTRIES = 64 * 1024

/** Targets kept for one prefix. */
const MAX_OWNERS = 16

/** Part of a tentative prefix that is counted on; one that was announced counts whole. */
const TENTATIVE_SHARE = 0.5

/** A target that holds the first `pieces` pieces of a prompt. */
export interface PrefixOwner {
  readonly target: string
  readonly pieces: number
  /** Share of the pieces that may be counted on. */
  readonly trust: number
}

/** Prefixes by target. */
export class PrefixIndex {
  private readonly owners = new Map<string, Map<string, Entry>>()
  private readonly sources = new Map<string, Source>()
  private size = 0
  private epochs = 0

  constructor (private readonly maxEntries = MAX_ENTRIES) {}

  /** Learns that a prompt was sent to a target; its pieces are tentative. */
  sent (target: string, chain: readonly string[]): void {
    const source = this.source(target)
    for (const prefix of chain) if (this.entry(prefix, target) === undefined) this.add(prefix, target, { epoch: source.epoch, proof: -1 })
  }

  /** Learns how many pieces of a prompt a target had when it answered; it has the whole prompt now. */
  finished (target: string, chain: readonly string[]): void {
    const source = this.source(target)
    for (const prefix of chain) this.add(prefix, target, { epoch: source.epoch, proof: source.proof })
  }

  /**
   * Takes cache events. After a gap an eviction may have been missed, so what the target had announced before
   * becomes tentative. A sequence number that went back tells that the target was restarted with an empty cache.
   */
  apply (target: string, batch: CacheBatch): void {
    const source = this.source(target)
    if (batch.next < source.next) {
      source.epoch = ++this.epochs
      source.next = 0
    }
    for (const event of batch.events) {
      if (event.seq < source.next) continue
      if (event.seq > source.next) source.proof++
      source.next = event.seq + 1
      if (event.kind === 'stored') this.add(event.prefix, target, { epoch: source.epoch, proof: source.proof })
      else if (event.kind === 'evicted') this.remove(event.prefix, target)
      else source.epoch = ++this.epochs
    }
    if (batch.next > source.next) source.proof++
    source.next = Math.max(source.next, batch.next)
  }

  /** Sequence number of the next event wanted from a target. */
  nextEvent (target: string): number {
    return this.sources.get(target)?.next ?? 0
  }

  /** Forgets a target. */
  forget (target: string): void {
    this.sources.delete(target)
  }

  /** The targets with the longest prefixes of a prompt, longest first, at most `limit`. */
  find (chain: readonly string[], limit: number): PrefixOwner[] {
    const found = new Map<string, PrefixOwner>()
    for (let index = chain.length - 1; index >= 0 && found.size < limit; index--) {
      const prefix = chain[index]!
      const owners = this.owners.get(prefix)
      if (owners === undefined) continue
      this.touch(prefix, owners)
      for (const [target, entry] of owners) {
        const source = this.sources.get(target)
        if (entry.epoch !== source?.epoch || found.has(target) || found.size >= limit) continue
        found.set(target, { target, pieces: index + 1, trust: entry.proof === source.proof ? 1 : TENTATIVE_SHARE })
      }
    }
    return [...found.values()]
  }

  private entry (prefix: string, target: string): Entry | undefined {
    const entry = this.owners.get(prefix)?.get(target)
    return entry?.epoch === this.source(target).epoch ? entry : undefined
  }

  private add (prefix: string, target: string, entry: Entry): void {
    const owners = this.owners.get(prefix) ?? new Map<string, Entry>()
    this.touch(prefix, owners)
    if (!owners.delete(target)) this.size++
    owners.set(target, entry)
    if (owners.size > MAX_OWNERS) {
      owners.delete(owners.keys().next().value!)
      this.size--
    }
    this.evict()
  }

  private remove (prefix: string, target: string): void {
    const owners = this.owners.get(prefix)
    if (owners?.delete(target) !== true) return
    this.size--
    if (owners.size === 0) this.owners.delete(prefix)
  }

  private touch (prefix: string, owners: Map<string, Entry>): void {
    this.owners.delete(prefix)
    this.owners.set(prefix, owners)
  }

  private evict (): void {
    for (const [prefix, owners] of this.owners) {
      if (this.size <= this.maxEntries) return
      this.owners.delete(prefix)
      this.size -= owners.size
    }
  }

  private source (target: string): Source {
    let source = this.sources.get(target)
    if (source === undefined) {
      source = { epoch: ++this.epochs, proof: 0, next: 0 }
      this.sources.set(target, source)
    }
    return source
  }
}

/** A prefix at a target: void once the target's epoch has changed, tentative once its proof has. */
interface Entry {
  readonly epoch: number
  readonly proof: number
}

interface Source {
  epoch: number
  proof: number
  next: number
}
