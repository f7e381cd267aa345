/** Splits a configuration into chunks that are stored under their digests, and joins them. */
import * as crypto from 'node:crypto'
import { hash32 } from '../hash/index.js'
import { ConfigSet, type ConfigHead } from '../schema/index.js'

/**
 * Chunks that each kind of object is split into; the hash of an object's name selects its chunk. At the target
 * size (18,000 accounts, 36,000 keys, 11,000 targets) a chunk is about 16 KB.
 */
const SHARDS_BY_KIND: Readonly<Record<keyof ConfigSet, number>> = {
  failure_domains: 1, profiles: 1, services: 1, routes: 1, accounts: 64, keys: 256, targets: 128
}

/** The objects of one kind and shard, as JSON text. */
export interface ConfigChunk {
  /** `kind/shard`. */
  readonly name: string
  /** SHA-256 of the text, in hex. */
  readonly digest: string
  readonly text: string
}

/** Splits a configuration into its non-empty chunks. */
export function splitConfig (set: ConfigSet): ConfigChunk[] {
  return (Object.keys(SHARDS_BY_KIND) as Array<keyof ConfigSet>).flatMap((kind) => splitKind(kind, set[kind]))
}

/** Joins chunks into a configuration; the caller has checked them against the digests in the head. */
export function joinConfig (chunks: readonly ConfigChunk[]): ConfigSet {
  const itemsByKind: Record<string, unknown[]> = {}
  for (const chunk of chunks) (itemsByKind[kindOf(chunk.name)] ??= []).push(...JSON.parse(chunk.text) as unknown[])
  return ConfigSet.parse(itemsByKind)
}

/** Kind of the objects in a chunk, from its name. */
export function kindOf (name: string): string {
  return name.slice(0, name.indexOf('/'))
}

/** SHA-256 of a text, in hex. */
export function digestOf (text: string): string {
  return crypto.createHash('sha256').update(text).digest('hex')
}

/** Makes a chunk and computes its digest. */
export function makeChunk (name: string, text: string): ConfigChunk {
  return { name, text, digest: digestOf(text) }
}

/** Makes the head of a generation, which lists its chunks. */
export function makeHead (generation: number, chunks: readonly ConfigChunk[]): ConfigHead {
  return { generation, chunks: chunks.map(({ name, digest }) => ({ name, digest })) }
}

function splitKind (kind: keyof ConfigSet, items: ReadonlyArray<{ readonly name?: string, readonly id?: string }>): ConfigChunk[] {
  const shards = new Map<number, unknown[]>()
  for (const item of items) {
    const shard = hash32(item.name ?? item.id ?? '') % SHARDS_BY_KIND[kind]
    const shardItems = shards.get(shard) ?? []
    shards.set(shard, shardItems)
    shardItems.push(item)
  }
  return [...shards].sort((a, b) => a[0] - b[0]).map(([shard, shardItems]) => makeChunk(`${kind}/${shard}`, JSON.stringify(shardItems)))
}
