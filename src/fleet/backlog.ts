/** Pending prefill tokens at a target, by the priority under which their calls were sent. */

/** Number of priority levels; 0 is the most urgent. */
export const PRIORITIES = 10

/** First priority of deferred calls, which are expected to miss their objective: they use only spare capacity. */
export const FIRST_DEFERRED_PRIORITY = 5

/** Sums of pending prefill tokens by priority. */
export class Backlog {
  private readonly tokens = new Array<number>(PRIORITIES).fill(0)

  /** Adds tokens to a priority; negative `tokens` remove them again. */
  add (priority: number, tokens: number): void {
    this.tokens[priority] = Math.max(0, this.tokens[priority]! + tokens)
  }

  /** Tokens that are prefilled before those of a new call with `priority`: all of the same or a more urgent one. */
  tokensAhead (priority: number): number {
    let sum = 0
    for (let level = 0; level <= priority; level++) sum += this.tokens[level]!
    return sum
  }

  /** Rounded tokens by priority, up to the last priority that has any. */
  toRow (): number[] {
    const row = this.tokens.map(Math.round)
    while (row.length > 0 && row[row.length - 1] === 0) row.pop()
    return row
  }
}

/** The deferred priority of a call with `priority` that is expected to miss its latency objective. */
export function deferredPriority (priority: number): number {
  return Math.min(PRIORITIES - 1, FIRST_DEFERRED_PRIORITY + priority)
}
