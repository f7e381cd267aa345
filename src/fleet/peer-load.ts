/** Load that other gateways say they have put on targets. */
import * as z from 'zod'

/** Age up to which a statement counts, in ms. */
const REPORT_LIFE_MS = 1_000

/** One target: its id, calls under way, and unread tokens by rank. */
export const LoadRow = z.tuple([z.string(), z.int()]).rest(z.int())
export type LoadRow = z.infer<typeof LoadRow>

interface LoadReport {
  readonly at: number
  readonly rows: readonly LoadRow[]
}

/**
 * The last statement of each gateway, and their sums by target: each placement looks at many targets, and there may be
 * many gateways.
 */
export class PeerLoad {
  /** The oldest statement first. */
  private readonly reports = new Map<string, LoadReport>()
  /** Calls under way, then unread tokens by rank. */
  private readonly sums = new Map<string, number[]>()

  /** Takes what a gateway states at `now`. */
  apply (gateway: string, rows: readonly LoadRow[], now: number): void {
    this.forget(gateway)
    this.reports.set(gateway, { at: now, rows })
    for (const row of rows) this.add(row, 1)
  }

  /** Calls that others have at a target. */
  running (target: string, now: number): number {
    return this.sumsOf(target, now)?.[0] ?? 0
  }

  /** Unread tokens of others at a target that are read before a new call with `priority`. */
  tokensAhead (target: string, priority: number, now: number): number {
    const sums = this.sumsOf(target, now)
    if (sums === undefined) return 0
    let ahead = 0
    for (let index = 1; index < sums.length && index - 1 <= priority; index++) ahead += sums[index]!
    return ahead
  }

  private sumsOf (target: string, now: number): readonly number[] | undefined {
    for (const [gateway, report] of this.reports) {
      if (now - report.at < REPORT_LIFE_MS) break
      this.forget(gateway)
    }
    return this.sums.get(target)
  }

  private forget (gateway: string): void {
    const report = this.reports.get(gateway)
    if (report === undefined) return
    this.reports.delete(gateway)
    for (const row of report.rows) this.add(row, -1)
  }

  // All figures are whole numbers, so that taking away what was added leaves nothing.
  private add ([target, ...figures]: LoadRow, sign: 1 | -1): void {
    const sums = this.sums.get(target) ?? []
    for (const [index, figure] of figures.entries()) sums[index] = (sums[index] ?? 0) + sign * figure
    if (sums.every((sum) => sum === 0)) this.sums.delete(target)
    else this.sums.set(target, sums)
  }
}
