/** How long connections may rest before targets are believed to have forgotten them. */
import type * as time from '../time/index.js'

/** Time for which a limit that was learnt holds, in ms. */
const LEARNT_LIFE_MS = 20_000

/** Part of the time that a lost connection had rested, up to which others are still used. */
const SAFE_SHARE = 0.6

interface Limit {
  readonly restMs: number
  readonly until: number
}

/**
 * Limits learnt from connections that were lost when they were used again. Each target has its own; calls that may run
 * once keep to the lowest one, since what one target does the others of its kind are likely to do.
 */
export class RestLimits {
  private readonly limits = new Map<string, Limit>()

  constructor (private readonly clock: time.Clock) {}

  /** Notes that a connection was lost with the first byte after it had rested for `restedMs`. */
  lost (address: string, restedMs: number): void {
    const restMs = Math.min(restedMs * SAFE_SHARE, this.of(address, false))
    this.limits.set(address, { restMs, until: this.clock.now() + LEARNT_LIFE_MS })
  }

  /** Longest rest, in ms, after which a connection to `address` may be used. */
  of (address: string, nonIdempotent: boolean): number {
    const now = this.clock.now()
    let lowest = Infinity
    for (const [key, limit] of this.limits) {
      if (now >= limit.until) this.limits.delete(key)
      else if (nonIdempotent || key === address) lowest = Math.min(lowest, limit.restMs)
    }
    return lowest
  }
}
