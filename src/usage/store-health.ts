/** Records when a store call last failed, to tell why a window is late. */
export class StoreHealth {
  private failedAt = -Infinity

  /** Notes a failed call at a wall-clock time, in ms since the Unix epoch. */
  noteFailure (wallTimeMs: number): void {
    this.failedAt = Math.max(this.failedAt, wallTimeMs)
  }

  /** Whether a call failed at or after a wall-clock time, in ms since the Unix epoch. */
  failedSince (wallTimeMs: number): boolean {
    return this.failedAt >= wallTimeMs
  }
}
