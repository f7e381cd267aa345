/**
 * Work of client accounts in the last seconds. Answers the load of one account that presses while others ask for little:
 * what it asks for beyond its share waits behind the others, and runs when there is room.
 */
import type * as time from '../time/index.js'

/** Time in which work counts half as much, in ms. */
const HALF_LIFE_MS = 2_000

/** An account may take this many times an equal share before it waits behind the others. */
const SHARE_FACTOR = 2

/** An account with less than this part of all work does not count among those that share. */
const ACTIVE_PART = 0.01

/** Accounts kept; those with the least recent work are forgotten beyond this. */
const MAX_ACCOUNTS = 20_000

/** Time for which sums over all accounts are used again, in ms. */
const TOTALS_LIFE_MS = 100

interface Totals {
  readonly at: number
  readonly total: number
  readonly active: number
}

interface Work {
  amount: number
  at: number
}

/** Decaying sums of work by account. */
export class AccountWork {
  private readonly works = new Map<string, Work>()
  private totals: Totals = { at: -Infinity, total: 0, active: 0 }

  constructor (private readonly clock: time.Clock) {}

  /** Counts work that was begun for an account. */
  add (account: string, amount: number): void {
    const now = this.clock.now()
    const held = this.works.get(account)
    this.works.delete(account)
    this.works.set(account, { amount: (held === undefined ? 0 : decayed(held, now)) + amount, at: now })
    if (this.works.size > MAX_ACCOUNTS) this.works.delete(this.works.keys().next().value!)
  }

  /** Whether an account has taken more than its share while others ask too. */
  exceedsShare (account: string): boolean {
    const now = this.clock.now()
    const own = this.works.get(account)
    if (own === undefined) return false
    const { total, active } = this.sum(now)
    return active > 1 && decayed(own, now) > SHARE_FACTOR * total / active
  }

  private sum (now: number): Totals {
    if (now - this.totals.at < TOTALS_LIFE_MS) return this.totals
    const amounts = [...this.works.values()].map((work) => decayed(work, now))
    const total = amounts.reduce((sum, amount) => sum + amount, 0)
    const active = amounts.filter((amount) => amount >= total * ACTIVE_PART).length
    this.totals = { at: now, total, active }
    return this.totals
  }
}

function decayed (work: Work, now: number): number {
  return work.amount * 0.5 ** ((now - work.at) / HALF_LIFE_MS)
}
