/** Requests for credit between gateways. */
import * as z from 'zod'
import type * as log from '../log/index.js'
import type * as metrics from '../metrics/index.js'
import type * as peer from '../peer/index.js'
import type * as serving from '../serving/index.js'
import type * as time from '../time/index.js'
import type * as accountCredit from './account-credit.js'
import * as lenders from './lenders.js'
import * as shareBucket from './share-bucket.js'

const CREDIT_METHOD = 'quota.credit'

/** Time allowed for a reply, in ms: callers wait for it. */
const REPLY_TIMEOUT_MS = 80

/** Part by which the units asked of several gateways together exceed what is missing. */
const ASK_SURPLUS = 1.2

/** Range of the place in the list of gateways at which this one begins to ask. */
const START_RANGE = 1_024

/** The quota is named so that credit moves only between gateways with the same one. */
const CreditReq = z.object({ account: z.string(), unit: z.enum(['requests', 'tokens']), ratePerMs: z.number(), burst: z.number(), want: z.number().nonnegative() })
type CreditReq = z.infer<typeof CreditReq>

const CreditRes = z.object({ lent: z.number().nonnegative() })

/** Dependencies of the requests. */
export interface CreditRequestsDeps {
  readonly env: time.Env
  readonly clocks: shareBucket.Clocks
  readonly peers: peer.Peers
  /** Gateways in contact. */
  readonly candidates: () => readonly lenders.Lender[]
  /** The credit of an account with a quota. */
  readonly creditOf: (account: string) => accountCredit.AccountCredit | undefined
  readonly othersOf: (account: string) => accountCredit.Others
  readonly log: log.Logger
  readonly metrics: metrics.Metrics
}

/** Asks other gateways for credit, and lends to them. */
export class CreditRequests {
  private readonly lenders: lenders.Lenders

  constructor (private readonly deps: CreditRequestsDeps) {
    this.lenders = new lenders.Lenders(Math.floor(deps.env.random.next() * START_RANGE))
    deps.peers.handle(CREDIT_METHOD, async (params) => ({ lent: this.lend(CreditReq.parse(params)) }))
  }

  /** Number of gateways that may lend now. */
  get lenderCount (): number {
    return this.lenders.usable(this.deps.candidates(), this.now()).length
  }

  /** Asks `count` gateways for `want` units together; resolves to what they lent. `onLent` is called after each loan. */
  async borrow (account: string, credit: accountCredit.AccountCredit, count: number, want: number, onLent: () => void): Promise<number> {
    const chosen = this.lenders.choose(this.deps.candidates(), count, this.now())
    const { unit, ratePerMs, burst } = credit.quota
    const req: CreditReq = { account, unit, ratePerMs, burst, want: Math.min(want, ASK_SURPLUS * want / Math.max(1, chosen.length)) }
    const amounts = await Promise.all(chosen.map(async (lender) => {
      const amount = await this.ask(lender, req, credit)
      if (amount > 0) onLent()
      return amount
    }))
    return amounts.reduce((sum, amount) => sum + amount, 0)
  }

  private async ask (lender: lenders.Lender, req: CreditReq, credit: accountCredit.AccountCredit): Promise<number> {
    const expiresAt = this.deps.clocks.elapsed.now() + shareBucket.BORROWED_LIFE_MS
    const reply = await this.deps.peers.call<unknown>(lender.peer, CREDIT_METHOD, req, REPLY_TIMEOUT_MS)
    const res = reply.ok ? CreditRes.safeParse(reply.val) : undefined
    const replied = res?.success === true
    this.lenders.noteReply(lender.name, replied, this.now())
    const amount = replied ? Math.min(req.want, res.data.lent) : 0
    this.deps.metrics.count('godwitpoint_quota_borrowings_total', `outcome="${!replied ? 'no_reply' : amount > 0 ? 'lent' : 'empty'}"`)
    if (!replied) this.deps.log.debug({ gateway: lender.name, reason: reply.err ? reply.val.message : 'malformed reply' }, 'quota_lender_silent')
    if (amount > 0) credit.bucket.receive(amount, expiresAt)
    return amount
  }

  private lend ({ account, want, ...quota }: CreditReq): number {
    const credit = this.deps.creditOf(account)
    return credit === undefined || !isSame(credit.quota, quota) ? 0 : credit.lend(want, this.deps.othersOf(account))
  }

  private now (): number {
    return this.deps.clocks.monotonic.now()
  }
}

function isSame (a: serving.AccountQuota, b: Pick<serving.AccountQuota, 'unit' | 'ratePerMs' | 'burst'>): boolean {
  return a.unit === b.unit && a.ratePerMs === b.ratePerMs && a.burst === b.burst
}
