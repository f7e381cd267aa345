/** Rate at which an account's calls arrive at a gateway. */

/** Time constant of the exponential average, in ms. */
const AVERAGING_TIME_MS = 1_000

/** Exponential average of units per ms. */
export class DemandRate {
  private sum = 0
  private updatedAt = -Infinity

  add (amount: number, now: number): void {
    this.sum = this.decayed(now) + amount
    this.updatedAt = now
  }

  /** Units per ms. */
  at (now: number): number {
    return this.decayed(now) / AVERAGING_TIME_MS
  }

  private decayed (now: number): number {
    return this.sum * Math.exp(-Math.max(0, now - this.updatedAt) / AVERAGING_TIME_MS)
  }
}
