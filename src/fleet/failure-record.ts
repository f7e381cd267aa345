/** Recent failures of a target, and whether it may be used. */

/** Half-life of the counts of attempts and failures, in ms. */
const HALF_LIFE_MS = 2_500

/** First and longest pause of a target that could not be reached, in ms; each pause in a row doubles. */
const INITIAL_PAUSE_MS = 400
const MAX_PAUSE_MS = 3_000

/** Pause of a target that reported that it accepts nothing now, in ms. */
const REFUSED_PAUSE_MS = 60

/**
 * Outcome of an attempt at a target: it responded (`ok`) or reported a fault (`error`), the attempt failed after it was
 * sent (`broken`), the target did not execute it (`refused`), stalled (`silent`) or got no byte of it (`unreachable`).
 */
export type AttemptOutcome = 'ok' | 'error' | 'broken' | 'refused' | 'silent' | 'unreachable'

/** Decaying counts of attempts and failures; a target that cannot be reached is paused, longer each time. */
export class FailureRecord {
  private failures = 0
  private attempts = 0
  private decayedAt = 0
  private pausedUntil = -Infinity
  /** End of the pause for silence, which the next byte of the target ends earlier. */
  private silentUntil = -Infinity
  /** Part of `failures` and `attempts` that was counted since the target fell silent. */
  private silences = 0
  private consecutivePauses = 0

  /** Counts an attempt that was sent at `sentAt`; times are ms on the monotonic clock. */
  record (outcome: AttemptOutcome, sentAt: number, now: number): void {
    this.decay(now)
    this.attempts++
    if (outcome === 'ok') {
      this.consecutivePauses = 0
      return
    }
    this.failures++
    if (outcome === 'silent') this.silences++
    if (outcome === 'refused') this.pausedUntil = Math.max(this.pausedUntil, now + REFUSED_PAUSE_MS)
    // An attempt that was sent before the last pause ended is no new sign that the target cannot be reached.
    if (sentAt < this.pausedUntil || sentAt < this.silentUntil) return
    if (outcome === 'silent') this.silentUntil = now + this.nextPauseMs()
    else if (outcome === 'unreachable') this.pausedUntil = now + this.nextPauseMs()
  }

  /** Notes a byte of the target: its pause for silence ends, and attempts during the silence do not count as failures. */
  noteByte (now: number): void {
    if (this.silences === 0) return
    this.decay(now)
    this.failures = Math.max(0, this.failures - this.silences)
    this.attempts = Math.max(0, this.attempts - this.silences)
    this.silences = 0
    this.silentUntil = -Infinity
  }

  /** Whether the target may be used: it is not paused. */
  isUsable (now: number): boolean {
    return now >= this.pausedUntil && now >= this.silentUntil
  }

  /** Share of recent attempts that failed, 0 to 1, as if two more attempts had succeeded. */
  failureRate (now: number): number {
    this.decay(now)
    return this.failures / (this.attempts + 2)
  }

  private nextPauseMs (): number {
    const pauseMs = Math.min(MAX_PAUSE_MS, INITIAL_PAUSE_MS * 2 ** this.consecutivePauses)
    this.consecutivePauses++
    return pauseMs
  }

  private decay (now: number): void {
    const decayFactor = 0.5 ** (Math.max(0, now - this.decayedAt) / HALF_LIFE_MS)
    this.failures *= decayFactor
    this.attempts *= decayFactor
    this.silences *= decayFactor
    this.decayedAt = now
  }
}
