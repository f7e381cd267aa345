/** What callers, targets and the platform saw in a run. */

/** One try of a caller: what it sent, to which entry, and what came back. */
export interface CallerTry {
  readonly id: string
  readonly caller: string
  readonly kind: 'stream' | 'whole' | 'once' | 'read' | 'open'
  readonly account: string
  /** Text of the prompt, or the body of a plain call. */
  readonly text: string
  readonly seed: number
  readonly maxTokens: number
  readonly entry: string
  readonly sentAt: number
  status: number | undefined
  received: string
  /** `whole`: the entry ended the answer; `broken`: the connection broke; `abandoned`: the caller gave up. */
  outcome: 'open' | 'whole' | 'broken' | 'abandoned'
  endedAt: number
}

/** A request that left an entry for a target. */
export interface SentRequest {
  readonly at: number
  readonly target: string
  readonly attempt: string
  readonly payload: string
}
