/** How long connections may be idle before targets are expected to have dropped them. */
import type * as time from '../time/index.js'

/** Lifetime of a learned limit, in ms. */
const LIMIT_LIFE_MS = 20_000

/** Share of a lost connection's idle time up to which other connections are still used. */
const SAFE_IDLE_SHARE = 0.6

interface IdleLimit {
  readonly maxIdleMs: number
  readonly expiresAt: number
}

/**
 * Idle limits learned from connections that were lost when they were reused. Each target has its own limit;
 * non-idempotent requests respect the lowest of all, because other targets of its kind are likely to behave alike.
 */
export class IdleLimits {
  private readonly limits = new Map<string, IdleLimit>()

  constructor (private readonly clock: time.Clock) {}

  /** Notes that a connection was lost when it was reused after it had been idle for `idledMs`. */
  noteLoss (address: string, idledMs: number): void {
    const maxIdleMs = Math.min(idledMs * SAFE_IDLE_SHARE, this.maxIdleMs(address, false))
    this.limits.set(address, { maxIdleMs, expiresAt: this.clock.now() + LIMIT_LIFE_MS })
  }

  /** Longest idle time, in ms, after which a connection to `address` may be used; infinite when no limit is known. */
  maxIdleMs (address: string, nonIdempotent: boolean): number {
    const now = this.clock.now()
    let lowest = Infinity
    for (const [key, limit] of this.limits) {
      if (now >= limit.expiresAt) this.limits.delete(key)
      else if (nonIdempotent || key === address) lowest = Math.min(lowest, limit.maxIdleMs)
    }
    return lowest
  }
}
