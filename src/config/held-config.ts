/** The configuration in force with its chunks, held by a process for itself and for its peers. */
import { ConfigSet, type ConfigHead } from '../schema/index.js'
import { ConfigIndex } from './config-index.js'
import { digestOf, kindOf, type ConfigChunk } from './chunks.js'

/** Recent heads that are held, so that a peer that is a few generations behind is sent only the difference. */
const MAX_RECENT_HEADS = 16

/** Texts of replaced chunks that are held; at about 16 KB each they take 1 MB. */
const MAX_FORMER_TEXTS = 64

/** Digest of a chunk that a process lacks, and of the chunk that it has under the same name. */
export interface MissingChunk {
  readonly digest: string
  readonly base?: string
}

/** Difference between two heads; `whole` when the earlier head is not known. */
export interface HeadDelta {
  readonly generation: number
  /** SHA-256 of the head's JSON text. */
  readonly digest: string
  readonly whole: boolean
  /** Chunks that were added or changed. */
  readonly changed: ConfigHead['chunks']
  /** Names of chunks that were removed. */
  readonly removed: readonly string[]
}

/** Holds the chunks by digest; each chunk is parsed once. */
export class HeldConfig {
  index: ConfigIndex | undefined
  private head: ConfigHead | undefined
  private recentHeads: ConfigHead[] = []
  private chunks = new Map<string, ParsedChunk>()
  /** Texts of replaced chunks by digest, oldest first; peers that still have them are sent the difference only. */
  private formerTexts = new Map<string, string>()

  get generation (): number {
    return this.head?.generation ?? 0
  }

  /** Text of a chunk that is in force or was recently replaced. */
  chunkText (digest: string): string | undefined {
    return this.chunks.get(digest)?.text ?? this.formerTexts.get(digest)
  }

  /** Chunks of `head` that this process lacks, each with the digest of the chunk that it replaces. */
  missingChunks (head: ConfigHead): MissingChunk[] {
    const digestByName = new Map((this.head?.chunks ?? []).map((chunk) => [chunk.name, chunk.digest]))
    const baseByDigest = new Map(head.chunks.filter((chunk) => !this.chunks.has(chunk.digest)).map(({ name, digest }) => [digest, digestByName.get(name)]))
    return [...baseByDigest].map(([digest, base]) => base === undefined ? { digest } : { digest, base })
  }

  /**
   * Puts a generation in force; `texts` holds the missing chunks by digest. Returns false unless the generation is
   * higher. Throws on an invalid chunk.
   */
  apply (head: ConfigHead, texts: ReadonlyMap<string, string>): boolean {
    if (head.generation <= this.generation) return false
    const chunks = new Map(head.chunks.map(({ name, digest }) => [digest, this.chunks.get(digest) ?? parseChunk(name, digest, texts.get(digest))]))
    this.index = new ConfigIndex(head.generation, joinParsed(head, chunks))
    for (const [digest, chunk] of this.chunks) if (!chunks.has(digest)) this.formerTexts.set(digest, chunk.text)
    this.formerTexts = new Map([...this.formerTexts].slice(-MAX_FORMER_TEXTS))
    this.chunks = chunks
    this.head = head
    this.recentHeads = [...this.recentHeads, head].slice(-MAX_RECENT_HEADS)
    return true
  }

  /** What a peer with generation `fromGeneration` lacks; `undefined` before the first configuration. */
  deltaFrom (fromGeneration: number): HeadDelta | undefined {
    if (this.head === undefined) return undefined
    const baseHead = this.recentHeads.find((head) => head.generation === fromGeneration)
    const { generation, chunks } = this.head
    const baseDigestByName = new Map((baseHead?.chunks ?? []).map((chunk) => [chunk.name, chunk.digest]))
    const currentNames = new Set(chunks.map((chunk) => chunk.name))
    return {
      generation,
      digest: headDigest(this.head),
      whole: baseHead === undefined,
      changed: chunks.filter((chunk) => baseDigestByName.get(chunk.name) !== chunk.digest),
      removed: [...baseDigestByName.keys()].filter((name) => !currentNames.has(name))
    }
  }

  /** The head that a peer's delta leads to; `undefined` when the delta does not fit this process's head. */
  headFrom (delta: HeadDelta): ConfigHead | undefined {
    const changed = new Map(delta.changed.map((chunk) => [chunk.name, chunk]))
    const removed = new Set(delta.removed)
    const baseChunks = delta.whole ? [] : this.head?.chunks ?? []
    const updatedChunks = baseChunks.filter((chunk) => !removed.has(chunk.name)).map((chunk) => changed.get(chunk.name) ?? chunk)
    const updatedNames = new Set(updatedChunks.map((chunk) => chunk.name))
    const head = { generation: delta.generation, chunks: [...updatedChunks, ...delta.changed.filter((chunk) => !updatedNames.has(chunk.name))] }
    return headDigest(head) === delta.digest ? head : undefined
  }
}

interface ParsedChunk extends ConfigChunk {
  readonly items: readonly unknown[]
}

function parseChunk (name: string, digest: string, text: string | undefined): ParsedChunk {
  if (text === undefined) throw new Error(`chunk ${name} is missing`)
  if (digestOf(text) !== digest) throw new Error(`chunk ${name} does not have the digest ${digest}`)
  const kind = kindOf(name)
  if (!isKind(kind)) throw new Error(`chunk ${name} is of an unknown kind`)
  return { name, digest, text, items: ConfigSet.shape[kind].parse(JSON.parse(text)) }
}

function isKind (kind: string): kind is keyof ConfigSet {
  return kind in ConfigSet.shape
}

/** Joins the chunks in the order of their names, so that all processes have the same order of objects. */
function joinParsed (head: ConfigHead, chunks: ReadonlyMap<string, ParsedChunk>): ConfigSet {
  const itemsByKind: Record<string, unknown[]> = {}
  for (const kind of Object.keys(ConfigSet.shape)) itemsByKind[kind] = []
  for (const { name, digest } of sortedByName(head)) {
    for (const item of chunks.get(digest)?.items ?? []) itemsByKind[kindOf(name)]?.push(item)
  }
  return itemsByKind as ConfigSet
}

function headDigest (head: ConfigHead): string {
  return digestOf(JSON.stringify([head.generation, sortedByName(head).map(({ name, digest }) => [name, digest])]))
}

// Sorts by name, so that the order in which a process received the chunks does not matter.
function sortedByName (head: ConfigHead): ConfigHead['chunks'] {
  return [...head.chunks].sort((a, b) => a.name < b.name ? -1 : 1)
}
