/** Deletes chunks that no head names any more. */
import { Err, Ok, type Result } from '../errors/index.js'
import type { ObjectStore, StoredObject, StoreError } from '../external/index.js'
import { ConfigHead } from '../schema/index.js'
import { CHUNK_PREFIX, chunkKey, configOf, HEAD_KEY, type PublishedConfig } from './publish.js'

/** Chunks deleted in one run, so that a run takes a bounded number of store calls; 9,900 changes a day leave 412 an hour. */
const MAX_DELETIONS = 2_000

/**
 * Deletes unreferenced chunks; resolves with their number. The head gets a new version first: a publisher that
 * started before then fails to write its head and writes its chunks anew, and whatever is written later has a
 * higher version than the head and is left alone.
 */
export async function collectChunks (store: ObjectStore): Promise<Result<number, StoreError>> {
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
 * The head as it certainly is now: a read, which may come from an old copy, confirmed by a conditional update
 * that changes nothing; a refusal of that update carries the present head.
 */
export async function confirmHead (store: ObjectStore): Promise<Result<StoredObject | undefined, StoreError>> {
  const read = await store.get(HEAD_KEY)
  if (read.err) return read
  if (read.val === undefined) return Ok(undefined)
  const confirmed = await store.put(HEAD_KEY, read.val.value, read.val.version)
  if (confirmed.ok) return Ok(confirmed.val)
  if (confirmed.val.kind === 'conflict' && confirmed.val.current !== undefined) return Ok(confirmed.val.current)
  return Err(confirmed.val)
}

/** The published configuration as it certainly is now. */
export async function readConfirmedConfig (store: ObjectStore): Promise<Result<PublishedConfig | undefined, StoreError>> {
  const head = await confirmHead(store)
  if (head.err) return head
  return head.val === undefined ? Ok(undefined) : await configOf(store, head.val)
}
