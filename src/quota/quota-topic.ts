/** Topic of the exchange: how much of an account's credit all gateways use, and its demand. Decisions do not depend on it for their bound. */
import * as exchange from '../exchange/index.js'

const MS_PER_S = 1_000

/** Places of the figures in a row. */
const USED = 0
const DEMAND = 1

/** What the other gateways tell of an account. */
export interface UseByOthers {
  /** Units of their shares that are used. */
  readonly used: number
  /** Units per ms that arrive there. */
  readonly demandPerMs: number
}

/** The row of an account: used units, and units per second that arrive. */
export function toRow (account: string, used: number, demandPerMs: number): exchange.SumRow {
  return [account, Math.round(used), Math.round(demandPerMs * MS_PER_S)]
}

/** Whether a row tells something; rows of accounts at rest are not sent. */
export function isInUse ([, ...figures]: exchange.SumRow): boolean {
  return figures.some((figure) => figure > 0)
}

/** Sums the use of all gateways; sends nothing unless there are quotas. */
export class QuotaTopic implements exchange.Topic {
  readonly name = 'quota'
  /** Whether an account has a quota. */
  isUsed = false
  private readonly sums: exchange.PeerSums

  constructor (deps: exchange.PeerSumsDeps) {
    this.sums = new exchange.PeerSums(this.name, deps)
  }

  /** What the other gateways use of an account's credit. */
  others (account: string): UseByOthers {
    return { used: this.sums.other(account, USED), demandPerMs: this.sums.other(account, DEMAND) / MS_PER_S }
  }

  changesSince (link: exchange.Link, position: number | undefined): exchange.Changes | undefined {
    return this.isUsed ? this.sums.changesSince(link, position) : undefined
  }

  apply (link: exchange.Link, payload: unknown): boolean {
    return this.sums.apply(link, payload)
  }

  linkEnded (link: exchange.Link): void {
    this.sums.linkEnded(link)
  }
}
