/** Sums of samples of which older ones count less. */

/** Share of the sums below which nothing is left of them. */
const SPENT_SHARE = 0.01

/** Several sums that decay together. */
export class DecayingSums {
  private readonly values: number[]
  private addedAt = -Infinity
  private decayedAt = 0

  constructor (size: number, private readonly halfLifeMs: number) {
    this.values = new Array<number>(size).fill(0)
  }

  /** Adds to the sums at `now` (ms, monotonic). */
  add (values: readonly number[], now: number): void {
    const share = this.remainingShare(now)
    for (const [index, value] of values.entries()) this.values[index] = this.values[index]! * share + value
    this.decayedAt = now
    this.addedAt = now
  }

  /** Adds what is left of the sums at `now` to `total`. */
  addTo (total: number[], now: number): void {
    const share = this.remainingShare(now)
    for (let index = 0; index < total.length; index++) total[index]! += this.values[index]! * share
  }

  /** Whether the last sample is so old that nothing is left. */
  isSpent (now: number): boolean {
    return 0.5 ** ((now - this.addedAt) / this.halfLifeMs) < SPENT_SHARE
  }

  private remainingShare (now: number): number {
    return 0.5 ** (Math.max(0, now - this.decayedAt) / this.halfLifeMs)
  }
}
