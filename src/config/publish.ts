/** Reads and publishes configurations in the platform's store. */
import { Err, Ok, type Result } from '../errors/index.js'
import type { ExpectedVersion, ObjectStore, StoredObject, StoreError } from '../external/index.js'
import { ConfigHead, type ConfigSet } from '../schema/index.js'
import { joinConfig, makeHead, splitConfig, type ConfigChunk } from './chunks.js'

/** Key of the head, which lists the chunks of the current generation. */
export const HEAD_KEY = 'config/head'

/** Key prefix of the chunks. */
export const CHUNK_PREFIX = 'config/chunk/'

/** Key of the chunk with a digest. */
export function chunkKey (digest: string): string {
  return CHUNK_PREFIX + digest
}

/** A configuration with its generation and the version of its head object. */
export interface PublishedConfig {
  readonly generation: number
  readonly set: ConfigSet
  readonly headVersion: number
}

/** Reads the published configuration; `undefined` when there is none. */
export async function readConfig (store: ObjectStore): Promise<Result<PublishedConfig | undefined, StoreError>> {
  const object = await store.get(HEAD_KEY)
  if (object.err) return object
  return object.val === undefined ? Ok(undefined) : await loadConfig(store, object.val)
}

/** Loads the configuration of a stored head. */
export async function loadConfig (store: ObjectStore, object: StoredObject): Promise<Result<PublishedConfig, StoreError>> {
  const head = ConfigHead.parse(JSON.parse(object.value))
  const chunks = await readChunks(store, head)
  if (chunks.err) return chunks
  return Ok({ generation: head.generation, set: joinConfig(chunks.val), headVersion: object.version })
}

/** Reads the chunks of a head, except those in `available` (by digest). */
export async function readChunks (store: ObjectStore, head: ConfigHead, available?: ReadonlyMap<string, ConfigChunk>): Promise<Result<ConfigChunk[], StoreError>> {
  const chunks: ConfigChunk[] = []
  for (let start = 0; start < head.chunks.length; start += MAX_CONCURRENT_READS) {
    const batch = await Promise.all(head.chunks.slice(start, start + MAX_CONCURRENT_READS).map(async (entry) => await readChunk(store, entry, available)))
    for (const chunk of batch) {
      if (chunk.err) return chunk
      chunks.push(chunk.val)
    }
  }
  return Ok(chunks)
}

async function readChunk (store: ObjectStore, { name, digest }: ConfigHead['chunks'][number], available: ReadonlyMap<string, ConfigChunk> | undefined): Promise<Result<ConfigChunk, StoreError>> {
  const copy = available?.get(digest)
  if (copy !== undefined) return Ok({ ...copy, name })
  const object = await store.get(chunkKey(digest))
  if (object.err) return object
  if (object.val === undefined) return Err({ kind: 'unavailable', message: `chunk ${name} is missing` })
  return Ok({ name, digest, text: object.val.value })
}

/** Concurrent reads of chunks; a configuration of the target size, 450 chunks, takes 30 round trips. */
const MAX_CONCURRENT_READS = 16

/** Attempts at a write when other writers change only the version of the object. */
const PUBLISH_ATTEMPTS = 5

/**
 * Publishes `set` as the generation after `base`. The chunks are written before the head, so that readers never see
 * an incomplete configuration. Fails with a conflict when another writer published in between; an update that left
 * the generation as it was (a confirmation or a deletion of chunks) is not a conflict.
 */
export async function publishConfig (store: ObjectStore, set: ConfigSet, base: PublishedConfig | undefined): Promise<Result<PublishedConfig, StoreError>> {
  const chunks = splitConfig(set)
  const publishedDigests = new Set(base === undefined ? [] : splitConfig(base.set).map((chunk) => chunk.digest))
  const newChunks = chunks.filter((chunk) => !publishedDigests.has(chunk.digest))
  const generation = (base?.generation ?? 0) + 1
  const value = JSON.stringify(makeHead(generation, chunks))
  let expected: ExpectedVersion = base?.headVersion ?? 'absent'
  for (let attempt = 1; ; attempt++) {
    const written = await writeChunks(store, newChunks)
    if (written.err) return written
    const head = await putResolved(store, HEAD_KEY, value, expected)
    if (head.ok) return Ok({ generation, set, headVersion: head.val.version })
    const current = head.val.kind === 'conflict' ? head.val.current : undefined
    if (current === undefined || attempt === PUBLISH_ATTEMPTS || generationOf(current) !== base?.generation) return head
    expected = current.version
  }
}

/**
 * Writes chunks. A chunk that exists is given a new version, so that a concurrent deletion of unreferenced chunks,
 * which read the earlier version, does not delete it.
 */
async function writeChunks (store: ObjectStore, chunks: readonly ConfigChunk[]): Promise<Result<void, StoreError>> {
  for (const chunk of chunks) {
    const key = chunkKey(chunk.digest)
    let written = await putResolved(store, key, chunk.text, 'absent')
    for (let attempt = 1; written.err && written.val.current !== undefined && attempt < PUBLISH_ATTEMPTS; attempt++) {
      written = await putResolved(store, key, chunk.text, written.val.current.version)
    }
    if (written.err) return written
  }
  return Ok(undefined)
}

function generationOf (head: StoredObject): number {
  return ConfigHead.parse(JSON.parse(head.value)).generation
}

/**
 * Makes a conditional update and repeats it after a lost reply; a conflict with the own value shows that the first
 * took effect.
 */
async function putResolved (store: ObjectStore, key: string, value: string, expected: ExpectedVersion): Promise<Result<StoredObject, StoreError>> {
  const written = await store.put(key, value, expected)
  if (written.ok || written.val.kind !== 'unknown') return written
  const retried = await store.put(key, value, expected)
  if (retried.err && retried.val.kind === 'conflict' && retried.val.current?.value === value) return Ok(retried.val.current)
  return retried
}
