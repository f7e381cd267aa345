/** Limits the retries that all gateways together send to a service within any time window. */
import type * as time from '../time/index.js'

/** Limits of retries, as the operators set them. */
export interface RetryLimits {
  /** Retries allowed for each request in the window. */
  readonly ratio: number
  /** Retries allowed in addition, for all gateways together. */
  readonly slack: number
  readonly windowMs: number
}

/** Share of the slack that is used: the gateways' windows differ slightly from those over which the limit is checked. */
const SLACK_SHARE = 0.7

/** Share of the ratio that is used. */
const RATIO_SHARE = 0.85

/** Number of steps into which the window is divided. */
const WINDOW_STEPS = 20

/**
 * Retry budget of a service, divided between the gateways without communication: each gets an equal share of the slack
 * and counts only its own requests and retries. The window slides in steps; a step counts until it has left completely.
 */
export class SharedRetryBudget {
  private readonly requests = new Array<number>(WINDOW_STEPS + 1).fill(0)
  private readonly retries = new Array<number>(WINDOW_STEPS + 1).fill(0)
  private step = 0
  private readonly startedAt: number

  constructor (private readonly clock: time.Clock, private readonly limits: RetryLimits, private readonly gateways: () => number) {
    this.startedAt = clock.now()
    this.step = this.currentStep()
  }

  /** Counts a caller's request. */
  countRequest (): void {
    this.advanceWindow()
    this.requests[this.step % this.requests.length]!++
  }

  /** Takes one retry from the budget; false when none is left. */
  tryRetry (): boolean {
    this.advanceWindow()
    if (this.usedRetries + 1 > this.allowedRetries) return false
    this.retries[this.step % this.retries.length]!++
    return true
  }

  /** Number of retries left. */
  get remaining (): number {
    this.advanceWindow()
    return this.allowedRetries - this.usedRetries
  }

  private get usedRetries (): number {
    return sum(this.retries)
  }

  // A restarted process does not know how many retries its predecessor used in the window, so it starts with less slack.
  private get allowedRetries (): number {
    const knownShare = Math.min(1, (this.clock.now() - this.startedAt) / this.limits.windowMs)
    const slack = this.limits.slack * SLACK_SHARE / Math.max(1, this.gateways())
    return this.limits.ratio * RATIO_SHARE * sum(this.requests) + slack * (0.3 + 0.7 * knownShare)
  }

  private currentStep (): number {
    return Math.floor(this.clock.now() / (this.limits.windowMs / WINDOW_STEPS))
  }

  private advanceWindow (): void {
    const newStep = this.currentStep()
    const firstStep = Math.max(this.step + 1, newStep - WINDOW_STEPS)
    for (let step = firstStep; step <= newStep; step++) {
      this.requests[step % this.requests.length] = 0
      this.retries[step % this.retries.length] = 0
    }
    this.step = Math.max(this.step, newStep)
  }
}

function sum (values: readonly number[]): number {
  let total = 0
  for (const value of values) total += value
  return total
}
