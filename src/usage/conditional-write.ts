/** Conditional updates whose lost replies are resolved. */
import { Err, Ok, type Result } from '../errors/index.js'
import type { ExpectedVersion, ObjectStore, StoredObject, StoreError } from '../external/index.js'

/** Attempts at one update; conflicts and lost replies use them up. */
const ATTEMPTS = 4

/**
 * Writes `value` if the object is at `expected`. After a lost reply the same update is sent again: when the
 * first took effect, the second conflicts with an object that holds `value`. `value` must differ from the
 * values of other writers.
 */
export async function putResolved (store: ObjectStore, key: string, value: string, expected: ExpectedVersion): Promise<Result<StoredObject, StoreError>> {
  let unknown = false
  for (let attempt = 0; ; attempt++) {
    const written = await store.put(key, value, expected)
    if (written.ok) return written
    if (unknown && written.val.kind === 'conflict' && written.val.current?.value === value) return Ok(written.val.current)
    if (written.val.kind !== 'unknown' || attempt + 1 >= ATTEMPTS) return written
    unknown = true
  }
}

/** What to do with the present object: write a value, or leave it. */
export type Change = (current: StoredObject | undefined) => string | undefined

/**
 * Applies `change` to an object by conditional updates until one succeeds. `known` is the last version seen;
 * a conflict gives the present one. Resolves with the object, or `undefined` when `change` left it.
 */
export async function changeObject (
  store: ObjectStore, key: string, known: StoredObject | undefined, change: Change
): Promise<Result<StoredObject | undefined, StoreError>> {
  let current = known
  for (let attempt = 0; attempt < ATTEMPTS; attempt++) {
    const value = change(current)
    if (value === undefined) return Ok(undefined)
    const written = await putResolved(store, key, value, current?.version ?? 'absent')
    if (written.ok || written.val.kind !== 'conflict') return written
    current = written.val.current
  }
  return Err({ kind: 'unavailable', message: `${key}: too many conflicts` })
}
