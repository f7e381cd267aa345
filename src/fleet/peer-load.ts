/** Load that other gateways report to have put on targets. */
import * as z from 'zod'

/** Age up to which a report counts, in ms. */
const REPORT_LIFE_MS = 1_000

/** Load of one gateway on one target: the target's id, calls in flight, and prompt tokens still to be prefilled. */
export const LoadRow = z.tuple([z.string(), z.int(), z.int()])
export type LoadRow = z.infer<typeof LoadRow>

/** Sums of the rows of one target. */
interface LoadSum {
  running: number
  prefillTokens: number
}

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
  private readonly sums = new Map<string, LoadSum>()

  /** Applies the report of a gateway, received at `now`. */
  apply (gateway: string, rows: readonly LoadRow[], now: number): void {
    this.removeReport(gateway)
    this.reports.set(gateway, { reportedAt: now, rows })
    for (const row of rows) this.addToSums(row, 1)
  }

  /** Calls of other gateways in flight at a target. */
  running (target: string, now: number): number {
    return this.currentSum(target, now)?.running ?? 0
  }

  /** Prompt tokens of other gateways' calls that a target has still to prefill. */
  pendingPrefillTokens (target: string, now: number): number {
    return this.currentSum(target, now)?.prefillTokens ?? 0
  }

  // Drops the reports that are too old first.
  private currentSum (target: string, now: number): LoadSum | undefined {
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
  private addToSums ([target, running, prefillTokens]: LoadRow, sign: 1 | -1): void {
    const sum = this.sums.get(target) ?? { running: 0, prefillTokens: 0 }
    sum.running += sign * running
    sum.prefillTokens += sign * prefillTokens
    if (sum.running === 0 && sum.prefillTokens === 0) this.sums.delete(target)
    else this.sums.set(target, sum)
  }
}
