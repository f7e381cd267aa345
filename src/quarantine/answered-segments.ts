/** Prompt segments of calls that engines have completed lately. */

/** Time for which a completed call shows that its segments crash no engine, in ms; weights may be replaced meanwhile. */
const ANSWERED_LIFE_MS = 60_000

/** Maximum number of segments that are remembered; those that were used least recently are forgotten. */
const MAX_SEGMENTS = 16_384

/** When each segment was last in a completed call, in ms on the monotonic clock. */
export class AnsweredSegments {
  private readonly answeredAt = new Map<string, number>()

  /** Notes a completed call with the segment. */
  add (id: string, now: number): void {
    this.answeredAt.delete(id)
    this.answeredAt.set(id, now)
    if (this.answeredAt.size <= MAX_SEGMENTS) return
    const oldest = this.answeredAt.keys().next().value!
    this.answeredAt.delete(oldest)
  }

  /** Whether a call with the segment was completed lately. */
  has (id: string, now: number): boolean {
    return now - (this.answeredAt.get(id) ?? -Infinity) < ANSWERED_LIFE_MS
  }
}
