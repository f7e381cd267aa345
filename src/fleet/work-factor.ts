/** How long work takes at a target at the moment, as the target reports it. */

/** Time after which the deviation of a report from normal counts half, in ms: slowdowns last some 600 ms. */
const HALF_LIFE_MS = 300

/** Range of factors that are believed. */
const MIN_FACTOR = 0.1
const MAX_FACTOR = 20

/** Deviations below this count as none. */
const NEGLIGIBLE_DEVIATION = 0.01

/** The newest report of a target, which decays towards normal; 1 is normal, 2 means that work takes twice as long. */
export class WorkFactor {
  private deviation = 0
  private notedAt = -Infinity

  /** Whether the target has reported a factor. */
  get known (): boolean {
    return this.notedAt > -Infinity
  }

  /** Notes a report that was made at `at` (ms, monotonic); older ones than the last are ignored. */
  note (factor: number, at: number): void {
    if (at < this.notedAt) return
    this.deviation = Math.min(MAX_FACTOR, Math.max(MIN_FACTOR, factor)) - 1
    this.notedAt = at
  }

  /** The factor that is assumed now. */
  at (now: number): number {
    if (this.deviation === 0) return 1
    const deviation = this.deviation * 0.5 ** (Math.max(0, now - this.notedAt) / HALF_LIFE_MS)
    if (Math.abs(deviation) < NEGLIGIBLE_DEVIATION) this.deviation = 0
    return 1 + deviation
  }
}
