/** Random arrivals of requests, reproducible by seed. */
import { SeededRandom } from '../../src/time/index.js'
import { STEP_MS } from './engine.js'

/** Scenarios of the role policies. */
export const SCENARIOS = ['steady', 'noisy', 'drifting', 'swinging', 'engine_lost', 'domain_lost', 'reclaim_with_notice'] as const
export type Scenario = typeof SCENARIOS[number]

/** A kind of request; the mix shifts between two of them. */
export interface RequestKind { readonly promptTokens: number, readonly outputTokens: number }

/** A service under load. */
export interface Workload {
  readonly long: RequestKind
  readonly short: RequestKind
  /** Requests per second and engine when all requests are long, and when all are short. */
  readonly longRate: number
  readonly shortRate: number
}

/** Share of the work that has long prompts. */
export function longShare (scenario: Scenario, ms: number, random: SeededRandom): number {
  const minutes = ms / 60_000
  if (scenario === 'drifting') return 0.1 + 0.8 * (0.5 - 0.5 * Math.cos(minutes / 10 * 2 * Math.PI))
  if (scenario === 'swinging') return Math.floor(minutes / 3) % 2 === 0 ? 0.15 : 0.85
  if (scenario === 'noisy') return random.next() < 0.5 ? 0.1 : 0.7
  return 0.4
}

/** Generates arrivals; `step` calls `arrive` for each request of a step. */
export class Arrivals {
  private readonly random: SeededRandom
  private currentLongShare = 0
  private longShareUntil = -1

  constructor (private readonly scenario: Scenario, private readonly load: Workload, private readonly engines: number, seed: number) {
    this.random = new SeededRandom(seed)
  }

  step (now: number, arrive: (promptTokens: number, outputTokens: number) => void): void {
    if (now >= this.longShareUntil) {
      this.currentLongShare = longShare(this.scenario, now, this.random)
      this.longShareUntil = now + 5_000
    }
    const { long, short, longRate, shortRate } = this.load
    this.emit(long, longRate * this.currentLongShare, arrive)
    this.emit(short, shortRate * (1 - this.currentLongShare), arrive)
  }

  private emit (kind: RequestKind, rate: number, arrive: (promptTokens: number, outputTokens: number) => void): void {
    // Poisson arrivals; a step has few, so the count is drawn by inversion.
    const mean = rate * this.engines * STEP_MS / 1_000
    let uniform = this.random.next()
    for (let count = 0, probability = Math.exp(-mean); uniform >= probability && count < 50; uniform -= probability, count++, probability *= mean / count) {
      const sizeFactor = 0.5 + this.random.next()
      arrive(Math.ceil(kind.promptTokens * sizeFactor), Math.ceil(kind.outputTokens * sizeFactor))
    }
  }
}
