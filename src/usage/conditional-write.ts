/** Conditional updates that find out the outcome after a lost reply. */
import { Err, Ok, type Result } from '../errors/index.js'
import type { ExpectedVersion, ObjectStore, StoredObject, StoreError } from '../external/index.js'

/** Attempts at one update, including those that end in a conflict or a lost reply. */
const MAX_ATTEMPTS = 4

/**
 * Writes `value` if the object is at version `expected`. After a lost reply the same update is sent again: if the
 * first one took effect, the second conflicts with an object that holds `value`. `value` must therefore differ from
 * the values of other writers.
 */
export async function putResolved (store: ObjectStore, key: string, value: string, expected: ExpectedVersion): Promise<Result<StoredObject, StoreError>> {
  let replyLost = false
  for (let attempt = 0; ; attempt++) {
    const written = await store.put(key, value, expected)
    if (written.ok) return written
    if (replyLost && written.val.kind === 'conflict' && written.val.current?.value === value) return Ok(written.val.current)
    if (written.val.kind !== 'unknown' || attempt + 1 >= MAX_ATTEMPTS) return written
    replyLost = true
  }
}

/** Computes the value to write from the current object; `undefined` leaves the object as it is. */
export type ObjectChange = (current: StoredObject | undefined) => string | undefined

/**
 * Applies `change` to an object by conditional updates until one succeeds. `lastSeen` is the object as last read; after
 * a conflict the current one is used. Resolves with the written object, or `undefined` when `change` left it.
 */
export async function changeObject (
  store: ObjectStore, key: string, lastSeen: StoredObject | undefined, change: ObjectChange
): Promise<Result<StoredObject | undefined, StoreError>> {
  let current = lastSeen
  for (let attempt = 0; attempt < MAX_ATTEMPTS; attempt++) {
    const value = change(current)
    if (value === undefined) return Ok(undefined)
    const written = await putResolved(store, key, value, current?.version ?? 'absent')
    if (written.ok || written.val.kind !== 'conflict') return written
    current = written.val.current
  }
  return Err({ kind: 'unavailable', message: `${key}: too many conflicts` })
}
