/** How many targets may be released at a time: each takes cached prompt segments with it. */

/** Time between two steps, in ms: released targets drain, and others can fetch what they have cached, for about this time. */
const STEP_MS = 3_000

/** Largest part of the targets that one step releases (docs/design/demand-based-targets.md). */
const STEP_SHARE = 0.15

/** Spaces out releases; time is given with each call, in ms on the monotonic clock. */
export class ReleasePacer {
  private steppedAt = -Infinity

  /** Number of `present` targets that may be released now. */
  allowance (present: number, now: number): number {
    return now - this.steppedAt < STEP_MS ? 0 : Math.max(1, Math.floor(present * STEP_SHARE))
  }

  /** Notes that targets are being released. */
  noteStep (now: number): void {
    this.steppedAt = now
  }
}
