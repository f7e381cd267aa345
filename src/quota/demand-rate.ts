/** Rate at which an account's calls arrive at a gateway. */

/** Exponential average of units per ms. */
export class DemandRate {
  private sum = 0
  private updatedAt = -Infinity

  /** `averagingMs`: time constant of the average, in ms. */
  constructor (private readonly averagingMs: number) {}

  add (amount: number, now: number): void {
    this.sum = this.decayed(now) + amount
    this.updatedAt = now
  }

  /** Units per ms. */
  at (now: number): number {
    return this.decayed(now) / this.averagingMs
  }

  private decayed (now: number): number {
    return this.sum * Math.exp(-Math.max(0, now - this.updatedAt) / this.averagingMs)
  }
}
