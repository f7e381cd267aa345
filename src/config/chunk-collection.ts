/** Deletes chunks that the head no longer references, and reads the current head. */
import { Err, Ok, type Result } from '../errors/index.js'
import type { ObjectStore, StoredObject, StoreError } from '../external/index.js'
import { ConfigHead } from '../schema/index.js'
import { CHUNK_PREFIX, chunkKey, loadConfig, HEAD_KEY, type PublishedConfig } from './publish.js'

/**
 * Chunks deleted in one run at most, which bounds its store calls; 9,900 changes a day leave 412 unreferenced chunks
 * an hour.
 */
const MAX_DELETIONS = 2_000

/**
 * Deletes unreferenced chunks; resolves with the number deleted. The head is given a new version first: a publisher
 * that started earlier then fails to write its head and writes its chunks again, and chunks written later have a
 * higher version than the head and are not deleted.
 */
export async function deleteUnreferencedChunks (store: ObjectStore): Promise<Result<number, StoreError>> {
  const head = await confirmHead(store)
  if (head.err) return head
  if (head.val === undefined) return Ok(0)
  const { version, value } = head.val
  const referenced = new Set(ConfigHead.parse(JSON.parse(value)).chunks.map((chunk) => chunkKey(chunk.digest)))
  const listed = await store.list(CHUNK_PREFIX)
  if (listed.err) return listed
  const unused = listed.val.filter((chunk) => chunk.version < version && !referenced.has(chunk.key)).slice(0, MAX_DELETIONS)
  let deleted = 0
  for (const chunk of unused) {
    const outcome = await store.delete(chunk.key, chunk.version)
    if (outcome.ok) deleted++
    else if (outcome.val.kind === 'unavailable') return outcome
  }
  return Ok(deleted)
}

/**
 * Reads the current head. A plain read may come from an old copy, so it is confirmed by a conditional update that
 * leaves the value as it is; when the update conflicts, the error carries the current head.
 */
export async function confirmHead (store: ObjectStore): Promise<Result<StoredObject | undefined, StoreError>> {
  const stored = await store.get(HEAD_KEY)
  if (stored.err) return stored
  if (stored.val === undefined) return Ok(undefined)
  const confirmed = await store.put(HEAD_KEY, stored.val.value, stored.val.version)
  if (confirmed.ok) return Ok(confirmed.val)
  if (confirmed.val.kind === 'conflict' && confirmed.val.current !== undefined) return Ok(confirmed.val.current)
  return Err(confirmed.val)
}

/** Reads the current configuration, with a confirmed head; `undefined` when there is none. */
export async function readConfirmedConfig (store: ObjectStore): Promise<Result<PublishedConfig | undefined, StoreError>> {
  const head = await confirmHead(store)
  if (head.err) return head
  return head.val === undefined ? Ok(undefined) : await loadConfig(store, head.val)
}
