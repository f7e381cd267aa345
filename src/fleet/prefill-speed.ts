/** Prefill speed of engines, learned from the attempts of this gateway. */

/** Weight of the prior speed, as the prefill time that it stands for, in ms. */
const PRIOR_WEIGHT_MS = 300

/** Longest prefill time that is remembered, in ms; older samples count less beyond it. */
const MAX_WEIGHT_MS = 4_000

/** A sample counts as at most this many times, and at least this part of, the time that was expected. */
const MAX_DEVIATION = 4

/** Source of the speed that is assumed until there are enough samples, in tokens per ms. */
export type PriorSpeed = (now: number) => number

/** Options of a {@link PrefillSpeed}. */
export interface PrefillSpeedOptions {
  /** Time after which a sample counts half, in ms; absent when samples do not age. */
  readonly halfLifeMs?: number
}

/** Tokens per ms, as a mean over recent attempts that starts from a prior. */
export class PrefillSpeed {
  private tokens = 0
  private weightMs = 0
  private decayedAt = 0

  constructor (private readonly prior: PriorSpeed, private readonly options: PrefillSpeedOptions = {}) {}

  /** Notes that `tokens` were prefilled in `ms`. */
  note (tokens: number, ms: number, now: number): void {
    this.decay(now)
    const expectedMs = tokens / this.tokensPerMs(now)
    const sampleMs = Math.min(expectedMs * MAX_DEVIATION, Math.max(expectedMs / MAX_DEVIATION, ms))
    const keptShare = Math.min(1, MAX_WEIGHT_MS / (this.weightMs + sampleMs))
    this.tokens = (this.tokens + tokens) * keptShare
    this.weightMs = (this.weightMs + sampleMs) * keptShare
  }

  /** Speed in tokens per ms. */
  tokensPerMs (now: number): number {
    this.decay(now)
    return (this.prior(now) * PRIOR_WEIGHT_MS + this.tokens) / (PRIOR_WEIGHT_MS + this.weightMs)
  }

  private decay (now: number): void {
    const { halfLifeMs } = this.options
    if (halfLifeMs !== undefined) {
      const factor = 0.5 ** (Math.max(0, now - this.decayedAt) / halfLifeMs)
      this.tokens *= factor
      this.weightMs *= factor
    }
    this.decayedAt = now
  }
}
