/** Borrows credit of one account for calls that wait for it, and ahead of need. */
import type * as accountCredit from './account-credit.js'
import type * as shareBucket from './share-bucket.js'

/** Rounds of requests that a call waits for. */
const MAX_ROUNDS = 2

/** Calls of an account that wait for credit at most. */
const MAX_WAITING = 64

/** Dependencies of a borrower. */
export interface BorrowerDeps {
  readonly credit: accountCredit.AccountCredit
  readonly others: () => accountCredit.Others
  /** Asks `count` gateways for `want` units each; adds what they lend, calling `onLent` after each; resolves to all of it. */
  readonly ask: (count: number, want: number, onLent: () => void) => Promise<number>
  readonly onError: (err: unknown) => void
}

interface WaitingCall {
  readonly cost: number
  rounds: number
  readonly resolve: (charge: shareBucket.Charge | undefined) => void
}

/** One round of requests at a time; calls wait in order of arrival. */
export class Borrower {
  private waiting: WaitingCall[] = []
  private borrowing = false

  constructor (private readonly deps: BorrowerDeps) {}

  /** Whether calls wait, so that a further one must not be served before them. */
  get hasWaiting (): boolean {
    return this.waiting.length > 0
  }

  /** Whether a call may wait for borrowed credit. */
  accepts (cost: number): boolean {
    return this.waiting.length < MAX_WAITING && this.deps.credit.mayBorrow(this.missing(cost), this.deps.others())
  }

  /** Waits for credit; undefined when there was not enough. */
  async wait (cost: number): Promise<shareBucket.Charge | undefined> {
    return await new Promise((resolve) => {
      this.waiting.push({ cost, rounds: 0, resolve })
      this.start(0)
    })
  }

  /** Borrows what calls are expected to need soon. */
  borrowAhead (): void {
    const missing = this.borrowing ? 0 : this.deps.credit.missingAhead(this.deps.others())
    if (missing > 0) this.start(missing)
  }

  private start (ahead: number): void {
    if (this.borrowing) return
    this.borrowing = true
    this.runRounds(ahead).catch(this.deps.onError).finally(() => {
      this.borrowing = false
      // The share may have been refilled meanwhile.
      this.serve()
      this.refuse(() => true)
    })
  }

  private async runRounds (ahead: number): Promise<void> {
    for (let missing = Math.max(ahead, this.missing(0)); missing > 0; missing = this.missing(0)) {
      const seen = new Set(this.waiting)
      const amount = await this.round(missing)
      for (const call of seen) call.rounds++
      this.refuse((call) => call.rounds >= MAX_ROUNDS || (amount === 0 && seen.has(call)))
      if (!this.hasWaiting) return
    }
  }

  private async round (missing: number): Promise<number> {
    const { credit, others, ask } = this.deps
    const count = credit.lendersFor(missing, others())
    const amount = await ask(count, Math.ceil(missing), () => this.serve())
    credit.noteRound(amount > 0 && amount >= missing / 2)
    this.serve()
    return amount
  }

  /** Gives credit to the calls that wait, in order. */
  private serve (): void {
    while (this.waiting.length > 0) {
      const charge = this.deps.credit.bucket.take(this.waiting[0]!.cost)
      if (charge === undefined) return
      this.waiting.shift()!.resolve(charge)
    }
  }

  private refuse (isRefused: (call: WaitingCall) => boolean): void {
    const refused = this.waiting.filter(isRefused)
    this.waiting = this.waiting.filter((call) => !isRefused(call))
    for (const call of refused) call.resolve(undefined)
  }

  /** Units that the waiting calls and one of `cost` lack. */
  private missing (cost: number): number {
    return this.waiting.reduce((sum, call) => sum + call.cost, cost) - this.deps.credit.bucket.available
  }
}
