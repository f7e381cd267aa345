/** Prompt tokens that are still to be read at a target, by the rank under which they were sent. */

/** Ranks under which calls are sent: 0 is the most urgent. */
export const RANKS = 10

/** First rank of calls that are not expected to be in time: they take only what the others leave. */
export const FIRST_LATE_RANK = 5

/** Tokens by rank. */
export class Backlog {
  private readonly tokens = new Array<number>(RANKS).fill(0)

  /** Adds tokens, or takes them away again. */
  add (rank: number, tokens: number): void {
    this.tokens[rank] = Math.max(0, this.tokens[rank]! + tokens)
  }

  /** Tokens that are read before those of a new call with `rank`. */
  ahead (rank: number): number {
    let sum = 0
    for (let one = 0; one <= rank; one++) sum += this.tokens[one]!
    return sum
  }

  /** Tokens by rank up to the last rank that has some, rounded. */
  toRow (): number[] {
    const row = this.tokens.map(Math.round)
    while (row.length > 0 && row[row.length - 1] === 0) row.pop()
    return row
  }
}

/** The rank of a call whose own rank is `rank` when it is expected to be late. */
export function lateRank (rank: number): number {
  return Math.min(RANKS - 1, FIRST_LATE_RANK + rank)
}
