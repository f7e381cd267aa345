/** Bounds the repeats that all gateways together send to a service in any span of a window. */
import type * as time from '../time/index.js'

/** Repeats allowed, as the operators set them. */
export interface RetryLimits {
  /** Repeats for each request. */
  readonly ratio: number
  /** Repeats beyond the ratio, for all gateways together. */
  readonly slack: number
  readonly windowMs: number
}

/** Part of the slack that is used: gateways count over spans that differ a little from those that are judged. */
const SLACK_SHARE = 0.7

/** Part of the ratio that is used. */
const RATIO_SHARE = 0.85

/** Steps that a window is divided into. */
const STEPS = 20

/**
 * Each gateway has its share of the slack and counts its own requests and repeats; none asks the others. The window
 * slides in steps, and a step counts until all of it has left the window.
 */
export class SharedRetryBudget {
  private readonly requests = new Array<number>(STEPS + 1).fill(0)
  private readonly repeats = new Array<number>(STEPS + 1).fill(0)
  private step = 0
  private readonly startedAt: number

  constructor (private readonly clock: time.Clock, private readonly limits: RetryLimits, private readonly gateways: () => number) {
    this.startedAt = clock.now()
    this.step = this.stepNow()
  }

  /** Counts a request of a caller. */
  countRequest (): void {
    this.roll()
    this.requests[this.step % this.requests.length]!++
  }

  /** Takes a repeat; false when none is left. */
  tryRetry (): boolean {
    this.roll()
    if (this.used + 1 > this.allowed) return false
    this.repeats[this.step % this.repeats.length]!++
    return true
  }

  /** Repeats left. */
  get left (): number {
    this.roll()
    return this.allowed - this.used
  }

  private get used (): number {
    return sum(this.repeats)
  }

  // A process that was restarted does not know what the one before it has used of the window.
  private get allowed (): number {
    const known = Math.min(1, (this.clock.now() - this.startedAt) / this.limits.windowMs)
    const slack = this.limits.slack * SLACK_SHARE / Math.max(1, this.gateways())
    return this.limits.ratio * RATIO_SHARE * sum(this.requests) + slack * (0.3 + 0.7 * known)
  }

  private stepNow (): number {
    return Math.floor(this.clock.now() / (this.limits.windowMs / STEPS))
  }

  private roll (): void {
    const now = this.stepNow()
    const from = Math.max(this.step + 1, now - STEPS)
    for (let step = from; step <= now; step++) {
      this.requests[step % this.requests.length] = 0
      this.repeats[step % this.repeats.length] = 0
    }
    this.step = Math.max(this.step, now)
  }
}

function sum (values: readonly number[]): number {
  let total = 0
  for (const value of values) total += value
  return total
}
