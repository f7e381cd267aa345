/** Re-exports ts-results, which as an ES module provides its values only through the default export. */
import tsResults from 'ts-results'
import type { Result as TsResult } from 'ts-results'

/** Outcome of an operation that may fail: `Ok(value)` or `Err(error)`. */
export type Result<T, E> = TsResult<T, E>

/** Wraps a success value. */
export const Ok = tsResults.Ok

/** Wraps an error value. */
export const Err = tsResults.Err

/** The value of a result; throws its error unchanged. */
export function orThrow<T> (result: Result<T, Error>): T {
  if (result.err) throw result.val
  return result.val
}
