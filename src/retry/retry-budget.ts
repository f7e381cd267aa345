/** Limits retries to a share of the requests. */
import type { Clock } from '../time/index.js'

/** Retries allowed for each request in the window. */
const RETRY_RATIO = 0.1

/** Retries allowed in addition, so that a service with few requests may retry. */
const RETRY_MINIMUM = 3

/**
 * Continuations of broken streams have a separate budget: each replaces work that has stopped, and a crash of one
 * engine breaks all its streams at once, which would use up a budget of one retry in ten requests.
 */
const CONTINUE_RATIO = 1
const CONTINUE_MINIMUM = 32

const WINDOW_MS = 10_000

/** Retry budget of one service within one entry. */
export class RetryBudget {
  private windowStart = 0
  private requests = 0
  private retries = 0
  private continuations = 0
  private previousRequests = 0

  constructor (private readonly clock: Clock) {}

  /** Counts a caller's request. */
  countRequest (): void {
    this.rollWindow()
    this.requests++
  }

  /** Takes one retry from the budget; false when none is left. */
  tryRetry (): boolean {
    this.rollWindow()
    if (this.retries + 1 > RETRY_MINIMUM + RETRY_RATIO * this.recentRequests) return false
    this.retries++
    return true
  }

  /** Takes one continuation of a started stream from the budget; false when none is left. */
  tryContinue (): boolean {
    this.rollWindow()
    if (this.continuations + 1 > CONTINUE_MINIMUM + CONTINUE_RATIO * this.recentRequests) return false
    this.continuations++
    return true
  }

  private get recentRequests (): number {
    return Math.max(this.requests, this.previousRequests)
  }

  private rollWindow (): void {
    const now = this.clock.now()
    if (now - this.windowStart < WINDOW_MS) return
    this.previousRequests = now - this.windowStart < 2 * WINDOW_MS ? this.requests : 0
    this.windowStart = now
    this.requests = 0
    this.retries = 0
    this.continuations = 0
  }
}
