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
  readonly present: number
  readonly mayTakeEffect: boolean
  readonly repeatAt: number
}

/** Follows the orders of one kind in one domain; time is given with each call, in ms on the monotonic clock. */
export class OrderRecord {
  private last: SentOrder | undefined
  private surplusSince: number | undefined

  /** Notes an order that was sent while `present` targets were listed. */
  note (count: number, present: number, outcome: OrderOutcome, deliveryMs: number, now: number): void {
    const mayTakeEffect = outcome === 'accepted' || outcome === 'unknown'
    this.last = { count, present, mayTakeEffect, repeatAt: now + (outcome === 'accepted' ? deliveryMs + REORDER_MARGIN_MS : FAILED_RETRY_MS) }
  }

  /** Lowest and highest number that there may be soon: of those listed, and of the order that is being carried out. */
  lowest (present: number, now: number): number {
    return Math.min(present, this.pending(now)?.count ?? present)
  }

  highest (present: number, now: number): number {
    return Math.max(present, this.pending(now)?.count ?? present)
  }

  /** Number ordered last; undefined before the first order. */
  get ordered (): number | undefined {
    return this.last?.count
  }

  /** Whether targets that were ordered are not listed although their delivery time has passed. */
  isOverdue (present: number, now: number): boolean {
    return this.last !== undefined && this.last.count > this.last.present && present < this.last.count && now >= this.last.repeatAt
  }

  /** Whether an order for more targets, or one that takes back a release, is due. */
  isRaiseDue (desired: number, present: number, now: number): boolean {
    if (desired <= this.lowest(present, now)) return false
    return this.last === undefined || this.last.count !== desired || now >= this.last.repeatAt
  }

  /** Notes whether there are, or will be, more targets than desired; true once that has lasted. */
  surplusPersists (desired: number, present: number, now: number): boolean {
    if (desired >= this.highest(present, now)) this.surplusSince = undefined
    else this.surplusSince ??= now
    return this.surplusSince !== undefined && now - this.surplusSince >= RELEASE_DELAY_MS
  }

  /** Forgets a surplus: it must last anew. */
  forgetSurplus (): void {
    this.surplusSince = undefined
  }

  private pending (now: number): SentOrder | undefined {
    return this.last?.mayTakeEffect === true && now < this.last.repeatAt ? this.last : undefined
  }
}
