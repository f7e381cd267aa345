/** What callers and targets observed in a run; the checks of the invariants use nothing else of the entries. */

/** One try of a caller: its request, the entry that it went to, and the response. */
export interface CallerTry {
  readonly id: string
  readonly caller: string
  readonly kind: 'stream' | 'whole' | 'once' | 'read' | 'open'
  readonly account: string
  /** The prompt, or the body of a plain call. */
  readonly text: string
  readonly seed: number
  readonly maxTokens: number
  readonly entry: string
  readonly sentAt: number
  status: number | undefined
  received: string
  /** `whole`: the response is complete; `broken`: the connection broke; `abandoned`: the caller gave up. */
  outcome: 'open' | 'whole' | 'broken' | 'abandoned'
  endedAt: number
}

/** A request that an entry sent to a target. */
export interface SentRequest {
  readonly at: number
  readonly target: string
  readonly attempt: string
  readonly payload: string
}
