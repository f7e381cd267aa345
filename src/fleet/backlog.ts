/** Prompt tokens that are still to be read at a target, by the rank under which they were sent. */

/** Ranks under which calls are sent: 0 is the most urgent. */
export const PRIORITIES = 10

/** First rank of calls that are not expected to be in time: they take only what the others leave. */
export const FIRST_DEFERRED_PRIORITY = 5

/** Tokens by rank. */
export class Backlog {
  private readonly tokens = new Array<number>(PRIORITIES).fill(0)

  /** Adds tokens, or takes them away again. */
  add (priority: number, tokens: number): void {
    this.tokens[priority] = Math.max(0, this.tokens[priority]! + tokens)
  }

  /** Tokens that are read before those of a new call with `priority`. */
  tokensAhead (priority: number): number {
    let sum = 0
    for (let one = 0; one <= priority; one++) sum += this.tokens[one]!
    return sum
  }

  /** Tokens by rank up to the last rank that has some, rounded. */
  toRow (): number[] {
    const row = this.tokens.map(Math.round)
    while (row.length > 0 && row[row.length - 1] === 0) row.pop()
    return row
  }
}

/** The priority of a call with `priority` that is expected to miss its latency objective. */
export function deferredPriority (priority: number): number {
  return Math.min(PRIORITIES - 1, FIRST_DEFERRED_PRIORITY + priority)
}
