/** Load that other gateways say they have put on targets. */
import * as z from 'zod'

/** Age up to which a statement counts, in ms. */
const STATEMENT_LIFE_MS = 1_000

/** One target: its id, calls under way, and unread tokens by rank. */
export const LoadRow = z.tuple([z.string(), z.number()]).rest(z.number())
export type LoadRow = z.infer<typeof LoadRow>

interface Statement {
  readonly at: number
  readonly rows: ReadonlyMap<string, LoadRow>
}

/** The last statement of each gateway. */
export class PeerLoad {
  private readonly statements = new Map<string, Statement>()

  /** Takes what a gateway states at `now`. */
  take (gateway: string, rows: readonly LoadRow[], now: number): void {
    this.statements.set(gateway, { at: now, rows: new Map(rows.map((row) => [row[0], row])) })
  }

  /** Calls that others have at a target. */
  running (target: string, now: number): number {
    let sum = 0
    for (const row of this.rowsOf(target, now)) sum += row[1]
    return sum
  }

  /** Unread tokens of others at a target that are read before a new call with `rank`. */
  ahead (target: string, rank: number, now: number): number {
    let sum = 0
    for (const row of this.rowsOf(target, now)) {
      for (let index = 2; index < row.length && index - 2 <= rank; index++) sum += Number(row[index])
    }
    return sum
  }

  private * rowsOf (target: string, now: number): Iterable<LoadRow> {
    for (const [gateway, statement] of this.statements) {
      if (now - statement.at >= STATEMENT_LIFE_MS) this.statements.delete(gateway)
      else {
        const row = statement.rows.get(target)
        if (row !== undefined) yield row
      }
    }
  }
}
