/** Credit that is held until a time. */

/** Amounts that are released in the order in which they were added; all are held for the same time. */
export class HeldCredit {
  private readonly parts: HeldPart[] = []
  private sum = 0

  /** `holdMs`: time for which an amount is held, in ms. */
  constructor (private readonly holdMs: number) {}

  /** Units that are held. */
  get total (): number {
    return this.sum
  }

  /** When the next amount is released; infinite when none is held. */
  get nextReleaseAt (): number {
    return this.parts[0]?.until ?? Infinity
  }

  /** Holds an amount; the result is only for `cancel`. */
  add (amount: number, now: number): HeldPart {
    const part = { amount, until: now + this.holdMs }
    this.sum += amount
    this.parts.push(part)
    return part
  }

  /** Ends a hold; returns the amount, which is 0 when it was released before. */
  cancel (part: HeldPart, now: number): number {
    this.release(now)
    const amount = part.until <= now ? 0 : part.amount
    this.sum -= amount
    part.amount = 0
    return amount
  }

  /** Releases what has been held for its time. */
  release (now: number): void {
    while (this.parts.length > 0 && this.parts[0]!.until <= now) this.sum -= this.parts.shift()!.amount
    // The sum of what was added and released drifts by rounding.
    if (this.parts.length === 0) this.sum = 0
  }
}

/** An amount, and when it is released. */
export interface HeldPart {
  amount: number
  /** ms on the monotonic clock. */
  readonly until: number
}
