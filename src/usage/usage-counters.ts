/** Cumulative usage of one incarnation of an entry, by client account and service. */
import type { UsageRow } from '../schema/index.js'

/** Usage of one or more requests. */
export interface UsageDelta {
  readonly requests: number
  readonly promptTokens: number
  readonly outputTokens: number
}

/** Usage of a service on this entry since the entry started. */
export interface ServiceTotals {
  readonly service: string
  readonly promptTokens: number
  readonly outputTokens: number
  /** Sum of the squares of the requests' prompt sizes, in tokens squared. */
  readonly promptSquares: number
}

/** Counters by account and service; they never decrease. */
export class UsageCounters {
  private readonly byKey = new Map<string, SequencedRow>()
  private readonly byService = new Map<string, ServiceTotals>()
  /** Sequence number of the last change. */
  seq = 0

  /** Usage by service, over all accounts. */
  totals (): ServiceTotals[] {
    return [...this.byService.values()]
  }

  add (account: string, service: string, delta: UsageDelta): void {
    this.addToService(service, delta)
    const key = `${account}/${service}`
    const row = this.byKey.get(key)?.row ?? { account, service, requests: 0, prompt_tokens: 0, output_tokens: 0 }
    // The key is deleted and inserted, so that iteration runs from the least to the most recently changed row.
    this.byKey.delete(key)
    this.byKey.set(key, {
      seq: ++this.seq,
      row: {
        account,
        service,
        requests: row.requests + delta.requests,
        prompt_tokens: row.prompt_tokens + delta.promptTokens,
        output_tokens: row.output_tokens + delta.outputTokens
      }
    })
  }

  rows (): UsageRow[] {
    return [...this.byKey.values()].map((entry) => entry.row)
  }

  /** Rows changed after `seq`, least recently changed first, with the sequence number of each. */
  changedSince (seq: number): SequencedRow[] {
    return [...this.byKey.values()].filter((entry) => entry.seq > seq)
  }

  private addToService (service: string, { promptTokens, outputTokens }: UsageDelta): void {
    const before = this.byService.get(service)
    this.byService.set(service, {
      service,
      promptTokens: (before?.promptTokens ?? 0) + promptTokens,
      outputTokens: (before?.outputTokens ?? 0) + outputTokens,
      promptSquares: (before?.promptSquares ?? 0) + promptTokens ** 2
    })
  }
}

/** A row and the sequence number of its last change. */
export interface SequencedRow {
  readonly seq: number
  readonly row: UsageRow
}
