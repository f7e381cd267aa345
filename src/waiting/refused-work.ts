/** Work of refused calls whose callers are expected to return, by account. */

/** Time after which refused work counts half, in ms: its callers have returned, or have given up. */
const HALF_LIFE_MS = 2_000

/** Accounts remembered; beyond it the one refused longest ago is forgotten. */
const MAX_ACCOUNTS = 512

interface DecayingWork {
  readonly amount: number
  readonly updatedAt: number
}

/** Decaying sums of refused work. */
export class RefusedWork {
  private readonly accounts = new Map<string, DecayingWork>()

  /** Adds the work of a refused call. */
  add (account: string, work: number, now: number): void {
    const amount = this.of(account, now) + work
    this.accounts.delete(account)
    this.accounts.set(account, { amount, updatedAt: now })
    if (this.accounts.size > MAX_ACCOUNTS) this.accounts.delete(this.accounts.keys().next().value!)
  }

  /**
   * Work that is to be served before the account's last refused call, if accounts take turns: its own, and as much of each
   * other one. A caller that repeats at once only moves its own turn back.
   */
  workBefore (account: string, now: number): number {
    const own = this.of(account, now)
    let work = 0
    for (const other of this.accounts.keys()) work += Math.min(own, this.of(other, now))
    return work
  }

  private of (account: string, now: number): number {
    const known = this.accounts.get(account)
    return known === undefined ? 0 : known.amount * 0.5 ** ((now - known.updatedAt) / HALF_LIFE_MS)
  }
}
