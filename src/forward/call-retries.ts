/** Retries of one call, taken from the budget of its service. */
import type * as retry from '../retry/index.js'

/** Takes retries from the budget, some of them in advance. */
export class CallRetries {
  private prepaid = 0

  constructor (private readonly budget: retry.SharedRetryBudget) {}

  /** Whether the budget has `count` retries left. */
  has (count: number): boolean {
    return this.budget.remaining >= count
  }

  /** Takes a retry in advance, so that a later one does not depend on the budget of that moment. */
  prepay (): void {
    if (this.budget.tryRetry()) this.prepaid++
  }

  /** Takes a retry, one taken in advance first; false when there is none. */
  take (): boolean {
    if (this.prepaid === 0) return this.budget.tryRetry()
    this.prepaid--
    return true
  }
}
