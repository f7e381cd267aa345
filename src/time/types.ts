/** Time and randomness as dependencies, so that code runs in real or virtual time. */

/** A monotonic clock for durations and a wall clock for dates. */
export interface Clock {
  /** Milliseconds on a monotonic clock with an arbitrary origin. */
  now (): number
  /** Milliseconds since the Unix epoch. */
  wallTimeMs (): number
}

/** Runs callbacks later. */
export interface Timers {
  /** Calls `fn` once after `delayMs`; disposing before that cancels it. */
  after (delayMs: number, fn: () => void): Disposable
  /** Calls `fn` every `periodMs` until disposed. */
  every (periodMs: number, fn: () => void): Disposable
}

/** Source of random numbers. */
export interface Random {
  /** A number in [0, 1). */
  next (): number
}

/** Clock, timers and random source that code depends on. */
export interface Env {
  readonly clock: Clock
  readonly timers: Timers
  readonly random: Random
}
