/** The part of an account's token bucket that one gateway owns, and the credit that it has borrowed from others. */
import type * as time from '../time/index.js'
import * as heldCredit from './held-credit.js'
import * as limits from './limit.js'

/** Time from the write of a call until it has reached its target, in ms: its credit is not refilled before. */
const TRANSIT_MS = 250

/** Time for which a lender does not refill what it has lent, in ms. */
const LEND_MS = 600

/** Time from the request for credit until which the borrowed credit can be written, in ms. */
export const BORROWED_LIFE_MS = LEND_MS - TRANSIT_MS

/** The clocks of a process. */
export interface Clocks {
  /** May stand still while the VM is suspended: refills too little, and holds for too long. */
  readonly monotonic: Pick<time.Clock, 'now'>
  /** Counts suspensions: borrowed credit expires too early. */
  readonly elapsed: Pick<time.Clock, 'now'>
}

/** Credit of one call. */
export interface Charge {
  /** Units of the gateway's own share, which hold it until the call has been executed. */
  own: number
  /** Borrowed units, and when they expire, in ms on the elapsed clock. */
  borrowed: number
  expiresAt: number
  /** The own units while they are in transit to a target. */
  written?: heldCredit.HeldPart | undefined
}

interface Borrowed {
  amount: number
  readonly expiresAt: number
}

/** Level + held credit never exceed the depth of the share, so that all shares together stay within one bucket. */
export class ShareBucket {
  private limit = limits.NO_CREDIT
  private level = 0
  /** Units of calls that were admitted and not yet written. */
  private waiting = 0
  private readonly inTransit = new heldCredit.HeldCredit(TRANSIT_MS)
  private readonly lent = new heldCredit.HeldCredit(LEND_MS)
  /** Borrowed credit in the order of its expiry. */
  private borrowed: Borrowed[] = []
  private refilledAt: number

  constructor (private readonly clocks: Clocks) {
    this.refilledAt = clocks.monotonic.now()
  }

  /** Depth of the share. */
  get depth (): number {
    return this.limit.depth
  }

  /** Units that can be taken now; negative after sends that were not covered. */
  get available (): number {
    this.refill()
    return this.level + this.borrowed.reduce((sum, part) => sum + part.amount, 0)
  }

  /** Units of the share that are not available, at most its depth. */
  get used (): number {
    this.refill()
    return Math.min(this.limit.depth, Math.max(0, this.limit.depth - this.level))
  }

  /** Applies another share; credit beyond its depth is lost. */
  setLimit (limit: limits.Limit): void {
    this.refill()
    this.limit = limit
    this.capLevel()
  }

  /** Fills the share; only for an account of which nothing is held. */
  fill (): void {
    this.level = this.limit.depth
  }

  /** Takes credit for a call; undefined when there is not enough. */
  take (cost: number): Charge | undefined {
    if (this.available < cost) return undefined
    const { amount, expiresAt } = this.takeBorrowed(cost)
    const own = cost - amount
    this.level -= own
    this.waiting += own
    return { own, borrowed: amount, expiresAt }
  }

  /** Takes credit for what is being sent, whether there is any or not. */
  force (cost: number): Charge {
    this.refill()
    this.level -= cost
    return { own: cost, borrowed: 0, expiresAt: Infinity, written: this.inTransit.add(cost, this.clocks.monotonic.now()) }
  }

  /** Replaces the expired part of a charge; false when there is not enough credit for that, or the share has become too small. */
  renew (charge: Charge): boolean {
    this.refill()
    // Calls that were admitted before the quota was lowered: the excess is not sent.
    if (charge.own > 0 && this.waiting > this.limit.depth) return false
    if (charge.borrowed === 0 || this.clocks.elapsed.now() < charge.expiresAt) return true
    const renewed = this.take(charge.borrowed)
    if (renewed === undefined) return false
    charge.own += renewed.own
    charge.borrowed = renewed.borrowed
    charge.expiresAt = renewed.expiresAt
    return true
  }

  /** Notes that a call is being written. */
  noteWritten (charge: Charge): void {
    this.waiting -= charge.own
    charge.written = this.inTransit.add(charge.own, this.clocks.monotonic.now())
  }

  /** Holds the credit of a written call again, as its target did not execute it. What was refilled meanwhile is taken back. */
  noteNotExecuted (charge: Charge): void {
    this.refill()
    const inTransit = charge.written === undefined ? 0 : this.inTransit.cancel(charge.written, this.clocks.monotonic.now())
    charge.written = undefined
    this.waiting += charge.own
    this.level -= charge.own - inTransit
  }

  /** Returns the credit of a call that is not executed. */
  refund ({ own, borrowed, expiresAt }: Charge): void {
    this.refill()
    this.waiting -= own
    this.level += own
    this.capLevel()
    if (borrowed > 0) this.receive(borrowed, expiresAt)
  }

  /** Lends up to `want`, and keeps `keep` units. */
  lend (want: number, keep: number): number {
    this.refill()
    const amount = Math.max(0, Math.min(want, this.level - keep))
    if (amount === 0) return 0
    this.level -= amount
    this.lent.add(amount, this.clocks.monotonic.now())
    return amount
  }

  /** Adds borrowed credit. What fits into the share is held by its lender for longer than this takes, and has no time limit here. */
  receive (amount: number, expiresAt: number): void {
    this.refill()
    if (this.clocks.elapsed.now() >= expiresAt) return
    this.borrowed.push({ amount, expiresAt })
    this.borrowed.sort((a, b) => a.expiresAt - b.expiresAt)
    this.keepBorrowed()
  }

  private get held (): number {
    return this.waiting + this.inTransit.total + this.lent.total
  }

  // Time in which the share was full does not count for what is released later.
  private refill (): void {
    const now = this.clocks.monotonic.now()
    for (let at = this.nextReleaseAt; at <= now; at = this.nextReleaseAt) {
      this.refillUntil(at)
      this.inTransit.release(at)
      this.lent.release(at)
      this.keepBorrowed()
    }
    this.keepBorrowed()
    this.refillUntil(now)
  }

  private get nextReleaseAt (): number {
    return Math.min(this.inTransit.nextReleaseAt, this.lent.nextReleaseAt)
  }

  private refillUntil (at: number): void {
    this.level += this.limit.ratePerMs * Math.max(0, at - this.refilledAt)
    this.refilledAt = Math.max(at, this.refilledAt)
    this.capLevel()
  }

  /** Moves borrowed credit into the share as far as it fits, before it expires. */
  private keepBorrowed (): void {
    if (this.borrowed.length === 0) return
    const elapsed = this.clocks.elapsed.now()
    this.borrowed = this.borrowed.filter((part) => elapsed < part.expiresAt)
    const room = Math.max(0, this.limit.depth - this.held - this.level)
    this.level += this.takeBorrowed(room).amount
  }

  private capLevel (): void {
    this.level = Math.min(this.level, this.limit.depth - this.held)
  }

  private takeBorrowed (cost: number): { readonly amount: number, readonly expiresAt: number } {
    let amount = 0
    let expiresAt = Infinity
    for (const part of this.borrowed) {
      const taken = Math.min(part.amount, cost - amount)
      if (taken <= 0) break
      part.amount -= taken
      amount += taken
      expiresAt = Math.min(expiresAt, part.expiresAt)
    }
    this.borrowed = this.borrowed.filter((part) => part.amount > 0)
    return { amount, expiresAt }
  }
}
