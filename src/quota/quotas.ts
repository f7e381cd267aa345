/** Keeps the executed calls of each account within its quota, over all gateways. */
import * as errors from '../errors/index.js'
import * as exchange from '../exchange/index.js'
import type * as log from '../log/index.js'
import type * as metrics from '../metrics/index.js'
import type * as peer from '../peer/index.js'
import type * as serving from '../serving/index.js'
import type * as time from '../time/index.js'
import * as accountCredit from './account-credit.js'
import * as borrower from './borrower.js'
import * as callCredit from './call-credit.js'
import * as creditRequests from './credit-requests.js'
import type * as lenders from './lenders.js'
import * as limits from './limit.js'
import * as quotaTopic from './quota-topic.js'
import type * as shareBucket from './share-bucket.js'
import * as shareCount from './share-count.js'

/** Interval at which the shares are adapted and credit is borrowed ahead, in ms. */
const TICK_MS = 100

/** Retry-after of a call whose account had its quota removed while it waited, in ms. */
const REMOVED_RETRY_AFTER_MS = 100

/** What this gateway knows of itself and the others. */
export interface Gateways extends Omit<shareCount.Membership, 'inContact'> {
  /** The other gateways that are in contact. */
  readonly inContact: readonly lenders.Lender[]
}

/** Dependencies of the quotas. */
export interface QuotasDeps {
  readonly env: time.Env
  /** Clock that also counts the time for which the VM was suspended. */
  readonly elapsed: Pick<time.Clock, 'now'>
  readonly bounds: limits.QuotaBounds
  readonly peers: peer.Peers
  readonly gateways: () => Gateways
  readonly log: log.Logger
  readonly metrics: metrics.Metrics
}

interface Account {
  readonly credit: accountCredit.AccountCredit
  readonly borrower: borrower.Borrower
}

/** Decides about calls of accounts with a quota. */
export class Quotas implements Disposable {
  /** The topic of the exchange. */
  readonly topic: quotaTopic.QuotaTopic
  private readonly accounts = new Map<string, Account>()
  private readonly shares: shareCount.ShareCount
  private readonly requests: creditRequests.CreditRequests
  private readonly startedAt: number
  private inContact: readonly lenders.Lender[] = []
  private timer: Disposable | undefined

  constructor (private readonly deps: QuotasDeps) {
    const { env, peers, log, metrics } = deps
    this.startedAt = env.clock.now()
    this.shares = new shareCount.ShareCount(deps.bounds.windowMs)
    this.topic = new quotaTopic.QuotaTopic({ clock: env.clock, ownRows: () => this.ownRows() })
    this.requests = new creditRequests.CreditRequests({ env, clocks: this.clocks, peers, candidates: () => this.inContact, creditOf: (account) => this.accounts.get(account)?.credit, othersOf: (account) => this.othersOf(account), log, metrics })
  }

  /** Starts to follow the other gateways. */
  start (): void {
    this.timer = this.deps.env.timers.every(TICK_MS, () => this.tick())
    this.tick()
  }

  [Symbol.dispose] (): void {
    this.timer?.[Symbol.dispose]()
  }

  /** Applies the quotas of a configuration. */
  applyConfig (accounts: readonly serving.ServingAccount[]): void {
    const limited = new Map(accounts.flatMap(({ name, quota }) => quota === undefined ? [] : [[name, quota]]))
    for (const name of this.accounts.keys()) {
      if (limited.get(name)?.unit !== this.accounts.get(name)?.credit.quota.unit) this.accounts.delete(name)
    }
    for (const [name, quota] of limited) this.applyQuota(name, quota)
    this.topic.isUsed = limited.size > 0
  }

  /**
   * Takes credit for a call; `tokens` is undefined for one without declared counts. Undefined when the account has no quota,
   * else the credit, or the refusal.
   */
  admit (name: string, tokens: number | undefined): callCredit.ChargedCall | errors.Refusal | undefined | Promise<callCredit.ChargedCall | errors.Refusal> {
    const account = this.accounts.get(name)
    if (account === undefined) return undefined
    const { credit, borrower } = account
    const cost = limits.costOf(credit.quota, tokens)
    credit.noteDemand(cost)
    const charge = borrower.hasWaiting ? undefined : credit.bucket.take(cost)
    if (charge !== undefined) return this.grant(credit, cost, charge, 'granted')
    return borrower.accepts(cost) ? this.borrowFor(name, account, cost) : this.refuse(name, credit, cost)
  }

  /** Ends a call; its credit is refunded unless it may have been executed. `reason` is why it was refused, if it was. */
  end (call: callCredit.ChargedCall, reason: errors.RefusalReason | undefined): void {
    if (call.end()) this.deps.metrics.count('godwitpoint_quota_refunds_total', `reason="${reason ?? 'none'}"`)
  }

  /** The refusal of a call whose borrowed credit has expired before it could be sent. */
  refuseExpired (name: string, cost: number): errors.Refusal {
    const credit = this.accounts.get(name)?.credit
    return credit === undefined ? refusal(REMOVED_RETRY_AFTER_MS) : this.refuse(name, credit, cost)
  }

  private async borrowFor (name: string, { credit, borrower }: Account, cost: number): Promise<callCredit.ChargedCall | errors.Refusal> {
    const charge = await borrower.wait(cost)
    return charge === undefined ? this.refuse(name, credit, cost) : this.grant(credit, cost, charge, 'borrowed')
  }

  private grant (credit: accountCredit.AccountCredit, cost: number, charge: shareBucket.Charge, outcome: 'granted' | 'borrowed'): callCredit.ChargedCall {
    this.deps.metrics.count('godwitpoint_quota_calls_total', `outcome="${outcome}"`)
    this.deps.metrics.count('godwitpoint_quota_units_total', `unit="${credit.quota.unit}"`, cost)
    return new callCredit.ChargedCall(credit.bucket, cost, charge)
  }

  private refuse (name: string, credit: accountCredit.AccountCredit, cost: number): errors.Refusal {
    this.deps.metrics.count('godwitpoint_quota_calls_total', 'outcome="refused"')
    const others = this.othersOf(name)
    if (credit.noteRefused()) this.deps.log.info({ account: name, unit: credit.quota.unit, cost, available: Math.round(credit.bucket.available), lenders: others.lenders, shares: this.shares.count }, 'quota_limiting_started')
    return refusal(credit.retryAfterMs(cost, others, this.deps.env.random.next()))
  }

  private applyQuota (name: string, quota: serving.AccountQuota): void {
    const known = this.accounts.get(name)
    known?.credit.setQuota(quota, this.deps.bounds)
    const { credit } = known ?? this.addAccount(name, quota)
    credit.setShares(this.shares.count, this.shares.refills)
    // What a gateway that has just started does not know may have been spent under an earlier version of this quota.
    const isNew = known === undefined && this.shares.refills
    if (isNew && this.deps.env.clock.now() - this.startedAt >= this.deps.bounds.windowMs) credit.bucket.fill()
  }

  private addAccount (name: string, quota: serving.AccountQuota): Account {
    const credit = new accountCredit.AccountCredit(this.clocks, quota, this.deps.bounds)
    const others = (): accountCredit.Others => this.othersOf(name)
    const ask = async (count: number, want: number, onLent: () => void): Promise<number> => await this.requests.borrow(name, credit, count, want, onLent)
    const onError = (err: unknown): void => this.deps.log.error({ err, account: name }, 'quota_borrowing_failed')
    const account = { credit, borrower: new borrower.Borrower({ credit, others, ask, onError }) }
    this.accounts.set(name, account)
    return account
  }

  private tick (): void {
    const now = this.deps.env.clock.now()
    const { count, refills } = this.shares
    const gateways = this.deps.gateways()
    this.inContact = gateways.inContact
    this.shares.note({ ...gateways, inContact: gateways.inContact.length }, now)
    const isChanged = count !== this.shares.count || refills !== this.shares.refills
    for (const [name, { credit, borrower }] of this.accounts) {
      if (isChanged) credit.setShares(this.shares.count, this.shares.refills)
      borrower.borrowAhead()
      const ended = credit.takeEndedPeriod()
      if (ended !== undefined) this.deps.log.info({ account: name, refusals: ended.refusals, ms: ended.ms }, 'quota_limiting_ended')
    }
  }

  private othersOf (name: string): accountCredit.Others {
    const { used, demandPerMs } = this.topic.others(name)
    return { lenders: this.requests.lenderCount, used, demandPerMs }
  }

  private ownRows (): exchange.SumRow[] {
    return [...this.accounts].map(([name, { credit }]) => quotaTopic.toRow(name, credit.bucket.used, credit.demandPerMs)).filter(quotaTopic.isInUse)
  }

  private get clocks (): shareBucket.Clocks {
    return { monotonic: this.deps.env.clock, elapsed: this.deps.elapsed }
  }
}

function refusal (retryAfterMs: number): errors.Refusal {
  return new errors.Refusal('quota_exceeded', { step: 'admit', ran: 'no', retryAfterMs })
}
