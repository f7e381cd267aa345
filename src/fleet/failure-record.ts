/** How often a target has failed lately, and whether it may be used. */

/** Time in which a failure counts half as much, in ms. */
const HALF_LIFE_MS = 2_500

/** Time out of use after a target could not be reached, first and longest, in ms. */
const FIRST_PAUSE_MS = 400
const LONGEST_PAUSE_MS = 3_000

/** Time out of use after a target said that it takes nothing now, in ms. */
const REFUSED_PAUSE_MS = 60

/** What became of an attempt at a target. */
export type AttemptOutcome = 'ok' | 'error' | 'broken' | 'refused' | 'silent' | 'unreachable'

/** Failures weigh less as they age; a target that cannot be reached pauses, longer each time. */
export class FailureRecord {
  private failures = 0
  private attempts = 0
  private decayedAt = 0
  private pausedUntil = -Infinity
  private pauses = 0

  /** Counts an attempt that was sent at `sentAt`. */
  record (outcome: AttemptOutcome, sentAt: number, now: number): void {
    this.decay(now)
    this.attempts++
    if (outcome === 'ok') {
      this.pauses = 0
      return
    }
    this.failures++
    if (outcome === 'refused') this.pausedUntil = Math.max(this.pausedUntil, now + REFUSED_PAUSE_MS)
    if ((outcome === 'silent' || outcome === 'unreachable') && sentAt >= this.pausedUntil) this.pause(now)
  }

  /** Whether requests may go there. */
  isUsable (now: number): boolean {
    return now >= this.pausedUntil
  }

  /** Share of recent attempts that failed, 0 to 1; two attempts that went well are assumed. */
  failureRate (now: number): number {
    this.decay(now)
    return this.failures / (this.attempts + 2)
  }

  private pause (now: number): void {
    this.pausedUntil = now + Math.min(LONGEST_PAUSE_MS, FIRST_PAUSE_MS * 2 ** this.pauses)
    this.pauses++
  }

  private decay (now: number): void {
    const factor = 0.5 ** (Math.max(0, now - this.decayedAt) / HALF_LIFE_MS)
    this.failures *= factor
    this.attempts *= factor
    this.decayedAt = now
  }
}
