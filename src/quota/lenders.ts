/** The gateways that are asked for credit, in turn. */

/** Time for which a gateway that did not reply is not asked, in ms. */
const SILENT_MS = 1_000

/** Requests for credit that a gateway sends in an interval at most, and the interval in ms. */
const MAX_REQUESTS = 40
const INTERVAL_MS = 100

/** A gateway that may lend. */
export interface Lender {
  readonly name: string
  /** `ip:port` for other gateways. */
  readonly peer: string
}

/** Chooses lenders in turn, so that all are asked equally often. */
export class Lenders {
  private position: number
  private readonly silentUntil = new Map<string, number>()
  private intervalAt = -Infinity
  private requests = 0

  /** `start`: where the turn starts, so that gateways do not all ask the same one. */
  constructor (start: number) {
    this.position = start
  }

  /** Up to `count` of the candidates; fewer when too many requests were sent. */
  choose (candidates: readonly Lender[], count: number, now: number): Lender[] {
    const usable = this.usable(candidates, now)
    const allowed = Math.min(count, usable.length, this.requestsLeft(now))
    const chosen = Array.from({ length: allowed }, (_, index) => usable[(this.position + index) % usable.length]!)
    this.position += allowed
    this.requests += allowed
    return chosen
  }

  /** Candidates that have not failed to reply just before. */
  usable (candidates: readonly Lender[], now: number): readonly Lender[] {
    return this.silentUntil.size === 0 ? candidates : candidates.filter(({ name }) => (this.silentUntil.get(name) ?? -Infinity) <= now)
  }

  /** Notes whether a gateway replied. */
  noteReply (name: string, replied: boolean, now: number): void {
    if (replied) this.silentUntil.delete(name)
    else this.silentUntil.set(name, now + SILENT_MS)
  }

  private requestsLeft (now: number): number {
    if (now - this.intervalAt >= INTERVAL_MS) {
      this.intervalAt = now
      this.requests = 0
    }
    return MAX_REQUESTS - this.requests
  }
}
