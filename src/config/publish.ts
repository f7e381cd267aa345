/** Reads and publishes configurations in the platform's store. */
import { Err, Ok, type Result } from '../errors/index.js'
import type { ExpectedVersion, ObjectStore, StoredObject, StoreError } from '../external/index.js'
import { ConfigHead, type ConfigSet } from '../schema/index.js'
import { joinConfig, makeHead, splitConfig, type ConfigChunk } from './chunks.js'

/** Key of the head. */
export const HEAD_KEY = 'config/head'

/** Prefix of the keys of chunks. */
export const CHUNK_PREFIX = 'config/chunk/'

/** Key of a chunk. */
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
  return object.val === undefined ? Ok(undefined) : await configOf(store, object.val)
}

/** The configuration that a head object names. */
export async function configOf (store: ObjectStore, object: StoredObject): Promise<Result<PublishedConfig, StoreError>> {
  const head = ConfigHead.parse(JSON.parse(object.value))
  const chunks = await readChunks(store, head)
  if (chunks.err) return chunks
  return Ok({ generation: head.generation, set: joinConfig(chunks.val), headVersion: object.version })
}

/** Reads the chunks a head names, except those already `known` by digest. */
export async function readChunks (store: ObjectStore, head: ConfigHead, known?: ReadonlyMap<string, ConfigChunk>): Promise<Result<ConfigChunk[], StoreError>> {
  const chunks: ConfigChunk[] = []
  for (let from = 0; from < head.chunks.length; from += READS_AT_ONCE) {
    const batch = await Promise.all(head.chunks.slice(from, from + READS_AT_ONCE).map(async (entry) => await readChunk(store, entry, known)))
    for (const chunk of batch) {
      if (chunk.err) return chunk
      chunks.push(chunk.val)
    }
  }
  return Ok(chunks)
}

async function readChunk (store: ObjectStore, { name, digest }: ConfigHead['chunks'][number], known: ReadonlyMap<string, ConfigChunk> | undefined): Promise<Result<ConfigChunk, StoreError>> {
  const have = known?.get(digest)
  if (have !== undefined) return Ok({ ...have, name })
  const object = await store.get(chunkKey(digest))
  if (object.err) return object
  if (object.val === undefined) return Err({ kind: 'unavailable', message: `chunk ${name} is missing` })
  return Ok({ name, digest, text: object.val.value })
}

/** Chunks read at once; the whole configuration of the target size, 450 chunks, then takes 30 round trips. */
const READS_AT_ONCE = 16

/** Times a head is written when only its version was changed by others. */
const PUBLISH_ATTEMPTS = 5

/**
 * Publishes `set` as the generation after `base`. Chunks are written first and the head last, so that a
 * partial set is never seen. A conflict says that another operator was faster; an update that left the
 * generation as it is (a confirmation or a collection of chunks) is no conflict.
 */
export async function publishConfig (store: ObjectStore, set: ConfigSet, base: PublishedConfig | undefined): Promise<Result<PublishedConfig, StoreError>> {
  const chunks = splitConfig(set)
  const published = new Set(base === undefined ? [] : splitConfig(base.set).map((chunk) => chunk.digest))
  const fresh = chunks.filter((chunk) => !published.has(chunk.digest))
  const generation = (base?.generation ?? 0) + 1
  const value = JSON.stringify(makeHead(generation, chunks))
  let expected: ExpectedVersion = base?.headVersion ?? 'absent'
  for (let attempt = 1; ; attempt++) {
    const written = await writeChunks(store, fresh)
    if (written.err) return written
    const head = await putOnce(store, HEAD_KEY, value, expected)
    if (head.ok) return Ok({ generation, set, headVersion: head.val.version })
    const current = head.val.kind === 'conflict' ? head.val.current : undefined
    if (current === undefined || attempt === PUBLISH_ATTEMPTS || generationOf(current) !== base?.generation) return head
    expected = current.version
  }
}

/**
 * Writes chunks. One that exists gets a new version, so that a collection that found it unreferenced does not
 * delete it.
 */
async function writeChunks (store: ObjectStore, chunks: readonly ConfigChunk[]): Promise<Result<void, StoreError>> {
  for (const chunk of chunks) {
    const key = chunkKey(chunk.digest)
    let written = await putOnce(store, key, chunk.text, 'absent')
    for (let attempt = 1; written.err && written.val.current !== undefined && attempt < PUBLISH_ATTEMPTS; attempt++) {
      written = await putOnce(store, key, chunk.text, written.val.current.version)
    }
    if (written.err) return written
  }
  return Ok(undefined)
}

function generationOf (head: StoredObject): number {
  return ConfigHead.parse(JSON.parse(head.value)).generation
}

/** A conditional update that, after a lost reply, is sent again; the refusal of the copy shows the outcome. */
async function putOnce (store: ObjectStore, key: string, value: string, expected: ExpectedVersion): Promise<Result<StoredObject, StoreError>> {
  const written = await store.put(key, value, expected)
  if (written.ok || written.val.kind !== 'unknown') return written
  const again = await store.put(key, value, expected)
  if (again.err && again.val.kind === 'conflict' && again.val.current?.value === value) return Ok(again.val.current)
  return again
}
