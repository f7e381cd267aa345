/** Load that other gateways report to have put on targets. */
import * as z from 'zod'

/** Age up to which a report counts, in ms. */
const REPORT_LIFE_MS = 1_000

/** Load of one gateway on one target: the target's id, calls in flight, then pending prefill tokens by priority. */
export const LoadRow = z.tuple([z.string(), z.int()]).rest(z.int())
export type LoadRow = z.infer<typeof LoadRow>

/** A gateway's report of its load on all targets. */
interface LoadReport {
  readonly reportedAt: number
  readonly rows: readonly LoadRow[]
}

/**
 * The latest report of each gateway. Their sums by target are kept up to date, since each placement considers many
 * targets and there may be many gateways.
 */
export class PeerLoad {
  /** By gateway, oldest report first. */
  private readonly reports = new Map<string, LoadReport>()
  /** By target: calls in flight, then pending prefill tokens by priority. */
  private readonly sums = new Map<string, number[]>()

  /** Applies the report of a gateway, received at `now`. */
  apply (gateway: string, rows: readonly LoadRow[], now: number): void {
    this.removeReport(gateway)
    this.reports.set(gateway, { reportedAt: now, rows })
    for (const row of rows) this.addToSums(row, 1)
  }

  /** Calls of other gateways in flight at a target. */
  running (target: string, now: number): number {
    return this.currentSums(target, now)?.[0] ?? 0
  }

  /** Pending prefill tokens of other gateways at a target that go ahead of a new call with `priority`. */
  tokensAhead (target: string, priority: number, now: number): number {
    const sums = this.currentSums(target, now)
    if (sums === undefined) return 0
    let ahead = 0
    for (let index = 1; index < sums.length && index - 1 <= priority; index++) ahead += sums[index]!
    return ahead
  }

  // Drops the reports that are too old first.
  private currentSums (target: string, now: number): readonly number[] | undefined {
    for (const [gateway, report] of this.reports) {
      if (now - report.reportedAt < REPORT_LIFE_MS) break
      this.removeReport(gateway)
    }
    return this.sums.get(target)
  }

  private removeReport (gateway: string): void {
    const report = this.reports.get(gateway)
    if (report === undefined) return
    this.reports.delete(gateway)
    for (const row of report.rows) this.addToSums(row, -1)
  }

  // All counts are integers, so that subtracting what was added leaves exactly 0.
  private addToSums ([target, ...counts]: LoadRow, sign: 1 | -1): void {
    const sums = this.sums.get(target) ?? []
    for (const [index, count] of counts.entries()) sums[index] = (sums[index] ?? 0) + sign * count
    if (sums.every((sum) => sum === 0)) this.sums.delete(target)
    else this.sums.set(target, sums)
  }
}
