/** When refused callers may return. */

/** Longest retry-after, in ms; callers beyond it are spread over its second half. */
const MAX_RETRY_AFTER_MS = 120_000

/** Refused callers in virtual time: each one delays the next by the time in which its credit is refilled. */
export class RetryLine {
  /** When the credit that all callers so far were promised has been refilled, in ms. */
  private promisedAt = -Infinity

  /** Time until `cost` units are there for this caller, in ms; `waitMs` until they are for the first one, `draw` in [0, 1). */
  next (cost: number, ratePerMs: number, waitMs: number, draw: number, now: number): number {
    const start = Math.max(now + waitMs, this.promisedAt)
    const endsAt = start + (ratePerMs > 0 ? cost / ratePerMs : Infinity)
    if (start - now > MAX_RETRY_AFTER_MS) return MAX_RETRY_AFTER_MS * (1 + draw) / 2
    this.promisedAt = endsAt
    return Math.min(MAX_RETRY_AFTER_MS, start - now)
  }

  /** Forgets the promises: the account is within its quota again. */
  reset (): void {
    this.promisedAt = -Infinity
  }
}
