/** The credit of one account at this gateway, and what is known of the others'. */
import type * as serving from '../serving/index.js'
import * as demandRate from './demand-rate.js'
import * as limits from './limit.js'
import * as retryLine from './retry-line.js'
import * as shareBucket from './share-bucket.js'

/** Demand for which credit is borrowed ahead, and demand that a lender keeps, in ms. */
const BORROW_AHEAD_MS = 250
const KEEP_MS = 200

/** Time constants of the average demand, in ms. A single call must not make the demand of a gateway with few calls look large for long. */
const DEMAND_AVERAGING_MS = 1_000
const LONG_AVERAGING_MS = 8_000

/** Part of a share below which others are not asked to lend from it. */
const MIN_FREE_PART = 0.05

/** Gateways that are asked at once, at least and at most; more when a call costs more than these parts of their shares. */
const MIN_LENDERS = 2
const MAX_LENDERS = 8
const LENT_PART = 0.25

/** Surplus of gateways asked, as some have less than the average. */
const LENDER_SURPLUS = 1.3

/** First and longest pause after a round of borrowing that did not help, in ms; each in a row doubles. */
const FIRST_PAUSE_MS = 100
const MAX_PAUSE_MS = 1_600

/** Range of the retry-after when credit is elsewhere and could not be fetched, in ms. */
const ELSEWHERE_MIN_MS = 100
const ELSEWHERE_RANGE_MS = 200

/** Time without a refusal after which an account is no longer limited, in ms. */
const LIMITING_ENDS_MS = 2_000

/** What is known of an account at the other gateways. */
export interface Others {
  /** Gateways that may lend. */
  readonly lenders: number
  /** Units of their shares that are used. */
  readonly used: number
  /** Units per ms that arrive there. */
  readonly demandPerMs: number
}

/** What became of an account that was limited. */
export interface LimitedPeriod {
  readonly refusals: number
  readonly ms: number
}

/** Decides what calls of one account may do. */
export class AccountCredit {
  readonly bucket: shareBucket.ShareBucket
  private readonly demand = new demandRate.DemandRate(DEMAND_AVERAGING_MS)
  private readonly longDemand = new demandRate.DemandRate(LONG_AVERAGING_MS)
  private readonly retries = new retryLine.RetryLine()
  private limit: limits.Limit
  private shares = 1
  private pausedUntil = -Infinity
  private pauseMs = FIRST_PAUSE_MS
  private limitedSince: number | undefined
  private lastRefusedAt = -Infinity
  private refusals = 0

  constructor (private readonly clocks: shareBucket.Clocks, public quota: serving.AccountQuota, bounds: limits.QuotaBounds) {
    this.bucket = new shareBucket.ShareBucket(clocks)
    this.limit = limits.bucketLimit(quota, bounds)
  }

  /** Applies the number of shares; a share that is not `refilled` only spends what it has or borrows. */
  setShares (count: number, refilled: boolean): void {
    this.shares = count
    const share = limits.shareOf(this.limit, count)
    this.bucket.setLimit(refilled ? share : { ...share, ratePerMs: 0 })
  }

  /** Applies a changed quota; one in another unit needs a new object. */
  setQuota (quota: serving.AccountQuota, bounds: limits.QuotaBounds): void {
    this.quota = quota
    this.limit = limits.bucketLimit(quota, bounds)
  }

  /** Notes the arrival of a call. */
  noteDemand (cost: number): void {
    this.demand.add(cost, this.now())
    this.longDemand.add(cost, this.now())
  }

  /** Units per ms that arrive at this gateway. */
  get demandPerMs (): number {
    return this.demand.at(this.now())
  }

  /** Whether the others are worth asking for `missing` units. */
  mayBorrow (missing: number, others: Others): boolean {
    if (others.lenders === 0 || this.now() < this.pausedUntil) return false
    const free = this.freePerLender(others)
    return free >= MIN_FREE_PART * this.bucket.depth && free * this.maxLenders(missing, others) >= missing
  }

  /** Number of gateways to ask for `missing` units. */
  lendersFor (missing: number, others: Others): number {
    const count = Math.ceil(LENDER_SURPLUS * missing / Math.max(1, this.freePerLender(others))) + 1
    return Math.min(this.maxLenders(missing, others), Math.max(MIN_LENDERS, count))
  }

  /** Units to borrow before calls need them: for an account whose demand here exceeds the refill of the share. */
  missingAhead (others: Others): number {
    const usePerMs = this.usePerMs(others)
    if (usePerMs * this.shares <= this.limit.ratePerMs) return 0
    const missing = usePerMs * BORROW_AHEAD_MS - this.bucket.available
    return missing > 0 && this.mayBorrow(0, others) ? missing : 0
  }

  /** Lends up to `want` units. */
  lend (want: number, others: Others): number {
    return this.bucket.lend(want, this.usePerMs(others) * KEEP_MS)
  }

  /** Notes whether a round of borrowing gave what was asked for; after one that did not, there is a pause. */
  noteRound (helped: boolean): void {
    this.pausedUntil = helped ? -Infinity : this.now() + this.pauseMs
    this.pauseMs = helped ? FIRST_PAUSE_MS : Math.min(MAX_PAUSE_MS, 2 * this.pauseMs)
  }

  /** Time after which a refused call of `cost` finds credit, in ms; `draw` in [0, 1) spreads callers. */
  retryAfterMs (cost: number, others: Others, draw: number): number {
    const missing = cost - this.bucket.available - this.freePerLender(others) * others.lenders
    const ratePerMs = this.limit.ratePerMs * Math.min(1, (others.lenders + 1) / this.shares)
    if (missing <= 0 && this.demandPerMs + others.demandPerMs <= ratePerMs) return ELSEWHERE_MIN_MS + ELSEWHERE_RANGE_MS * draw
    const waitMs = Math.max(ELSEWHERE_MIN_MS, missing / ratePerMs)
    return this.retries.next(cost, ratePerMs * partOf(this.longDemand.at(this.now()), others), waitMs, draw, this.now())
  }

  /** Notes a refusal; true when it is the first one of a limited period. */
  noteRefused (): boolean {
    const isFirst = this.limitedSince === undefined
    this.limitedSince ??= this.now()
    this.lastRefusedAt = this.now()
    this.refusals++
    return isFirst
  }

  /** The limited period that has ended, if one has; called periodically. */
  takeEndedPeriod (): LimitedPeriod | undefined {
    if (this.limitedSince === undefined || this.now() - this.lastRefusedAt < LIMITING_ENDS_MS) return undefined
    const period = { refusals: this.refusals, ms: Math.round(this.lastRefusedAt - this.limitedSince) }
    this.limitedSince = undefined
    this.refusals = 0
    this.retries.reset()
    return period
  }

  /** Units per ms that calls here can use: at an account that exceeds its rate, this gateway's part of the rate. */
  private usePerMs (others: Others): number {
    return Math.min(this.demandPerMs, this.limit.ratePerMs * partOf(this.demandPerMs, others))
  }

  private maxLenders (missing: number, { lenders }: Others): number {
    return Math.min(lenders, Math.max(MAX_LENDERS, Math.ceil(missing / (LENT_PART * this.bucket.depth))))
  }

  private freePerLender ({ lenders, used }: Others): number {
    return lenders === 0 ? 0 : Math.max(0, this.bucket.depth - used / lenders)
  }

  private now (): number {
    return this.clocks.monotonic.now()
  }
}

/** Part of an account's demand that arrives at this gateway. */
function partOf (ownPerMs: number, { demandPerMs }: Others): number {
  return ownPerMs / Math.max(ownPerMs + demandPerMs, Number.MIN_VALUE)
}
