/** Delays and timeouts. */
import type { Timers } from './types.js'

/** Resolves after `ms`. */
export async function delay (timers: Timers, ms: number): Promise<void> {
  await new Promise<void>((resolve) => { timers.after(ms, resolve) })
}

/** Resolves as `work` does, or with `onTimeout()` when `ms` pass first; a late result is dropped. */
export async function withTimeout<T> (timers: Timers, ms: number, work: Promise<T>, onTimeout: () => T): Promise<T> {
  return await new Promise<T>((resolve, reject) => {
    const timer = timers.after(ms, () => resolve(onTimeout()))
    work.then(
      (value) => { timer[Symbol.dispose](); resolve(value) },
      (err: unknown) => { timer[Symbol.dispose](); reject(err) }
    )
  })
}
