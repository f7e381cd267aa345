/**
 * Recent work of client accounts. Protects accounts with little demand from one that floods the service: the requests
 * of that account beyond its share wait behind those of the others, and run when there is spare capacity.
 */
import type * as time from '../time/index.js'

/** Half-life of the decaying sums, in ms. */
const HALF_LIFE_MS = 2_000

/** Multiple of an equal share that an account may use before its requests wait behind the others. */
const MAX_SHARE_FACTOR = 2

/** Minimum fraction of all work for an account to count as active, that is, among those that share. */
const MIN_ACTIVE_FRACTION = 0.01

/** Maximum number of accounts tracked; beyond it the account updated longest ago is evicted. */
const MAX_ACCOUNTS = 20_000

/** Time for which the totals over all accounts are reused, in ms. */
const TOTALS_LIFE_MS = 100

interface Totals {
  readonly computedAt: number
  readonly totalWork: number
  readonly activeAccounts: number
}

interface DecayingWork {
  amount: number
  updatedAt: number
}

/** Exponentially decaying sums of work by account. */
export class AccountWork {
  private readonly workByAccount = new Map<string, DecayingWork>()
  private totals: Totals = { computedAt: -Infinity, totalWork: 0, activeAccounts: 0 }

  constructor (private readonly clock: time.Clock) {}

  /** Adds work that was started for an account. */
  add (account: string, amount: number): void {
    const now = this.clock.now()
    const previous = this.workByAccount.get(account)
    this.workByAccount.delete(account)
    this.workByAccount.set(account, { amount: (previous === undefined ? 0 : decayedAmount(previous, now)) + amount, updatedAt: now })
    if (this.workByAccount.size > MAX_ACCOUNTS) this.workByAccount.delete(this.workByAccount.keys().next().value!)
  }

  /** Whether an account has used more than its share while other accounts are active too. */
  exceedsShare (account: string): boolean {
    const now = this.clock.now()
    const own = this.workByAccount.get(account)
    if (own === undefined) return false
    const { totalWork, activeAccounts } = this.currentTotals(now)
    return activeAccounts > 1 && decayedAmount(own, now) > MAX_SHARE_FACTOR * totalWork / activeAccounts
  }

  /** Number of doublings by which an account is above {@link MAX_SHARE_FACTOR} equal shares, rounded up; 0 within them. */
  excessOf (account: string): number {
    const now = this.clock.now()
    const own = this.workByAccount.get(account)
    if (own === undefined || !this.exceedsShare(account)) return 0
    const { totalWork, activeAccounts } = this.currentTotals(now)
    return Math.max(1, Math.ceil(Math.log2(decayedAmount(own, now) * activeAccounts / (MAX_SHARE_FACTOR * totalWork))))
  }

  private currentTotals (now: number): Totals {
    if (now - this.totals.computedAt < TOTALS_LIFE_MS) return this.totals
    const amounts = [...this.workByAccount.values()].map((work) => decayedAmount(work, now))
    const totalWork = amounts.reduce((sum, amount) => sum + amount, 0)
    const activeAccounts = amounts.filter((amount) => amount >= totalWork * MIN_ACTIVE_FRACTION).length
    this.totals = { computedAt: now, totalWork, activeAccounts }
    return this.totals
  }
}

function decayedAmount (work: DecayingWork, now: number): number {
  return work.amount * 0.5 ** ((now - work.updatedAt) / HALF_LIFE_MS)
}
