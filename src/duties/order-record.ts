/** The last order of one kind of target in one failure domain, and whether it must be sent, repeated or held back. */

/** Time, on top of the delivery time, after which an unfilled order is placed again, in ms. */
export const REORDER_MARGIN_MS = 1_500

/** Time after which an order that was not accepted is placed again, in ms. */
export const FAILED_RETRY_MS = 2_000

/** Time for which there must be more targets than desired before an order releases the surplus, in ms. */
export const RELEASE_DELAY_MS = 1_500

/** Outcome of an order; after `unknown` it may have taken effect. */
export type OrderOutcome = 'accepted' | 'refused' | 'unavailable' | 'unknown'

interface SentOrder {
  readonly count: number
  readonly mayTakeEffect: boolean
  readonly repeatAt: number
}

/** Follows the orders of one kind in one domain; time is given with each call, in ms on the monotonic clock. */
export class OrderRecord {
  private last: SentOrder | undefined
  private surplusSince: number | undefined

  /** Notes an order that was sent. */
  note (count: number, outcome: OrderOutcome, deliveryMs: number, now: number): void {
    const mayTakeEffect = outcome === 'accepted' || outcome === 'unknown'
    this.last = { count, mayTakeEffect, repeatAt: now + (outcome === 'accepted' ? deliveryMs + REORDER_MARGIN_MS : FAILED_RETRY_MS) }
  }

  /** Lowest number that there may be soon: of those listed, and of the order that is being carried out. */
  lowest (present: number, now: number): number {
    const isPending = this.last?.mayTakeEffect === true && now < this.last.repeatAt
    return isPending ? Math.min(present, this.last!.count) : present
  }

  /** Whether there are fewer targets than were ordered although the delivery time has passed: they are late, or were reclaimed. */
  areMissing (present: number, now: number): boolean {
    return this.last !== undefined && present < this.last.count && now >= this.last.repeatAt
  }

  /** Whether an order for more targets, or one that takes back a release, is due. */
  isRaiseDue (desired: number, present: number, now: number): boolean {
    if (desired <= this.lowest(present, now)) return false
    return this.last === undefined || this.last.count !== desired || now >= this.last.repeatAt
  }

  /** Notes whether there are more targets than desired; true once that has lasted. */
  surplusPersists (desired: number, present: number, now: number): boolean {
    if (desired >= present) this.surplusSince = undefined
    else this.surplusSince ??= now
    return this.surplusSince !== undefined && now - this.surplusSince >= RELEASE_DELAY_MS
  }

  /** Forgets a surplus: it must last anew. */
  forgetSurplus (): void {
    this.surplusSince = undefined
  }
}
