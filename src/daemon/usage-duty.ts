/** Leader duty of a usage scope: closes usage windows and reports them for billing. */
import type { ScopeDuty, ScopeHandle } from '../authority/index.js'
import type { Logger } from '../log/index.js'
import type { Metrics } from '../metrics/index.js'
import type { IntentSender } from '../orders/index.js'
import type { UsageReports } from '../external/index.js'
import type { Clock } from '../time/index.js'
import { LATE_AFTER_MS, reportBatches, ReportSender, reportSubject, WindowCloser, type WindowCloserDeps, type FinalUsage, type LateReason, type ReportBody } from '../usage/index.js'
import type { IntentRunner } from './intent-runner.js'

/** Maximum number of windows closed in one tick; several can be due after an outage. */
const MAX_WINDOWS_CLOSED_PER_TICK = 8

/** Dependencies of a {@link UsageDuty}. */
export interface UsageDutyDeps extends WindowCloserDeps {
  readonly clock: Clock
  readonly metrics: Metrics
  readonly log: Logger
  readonly reports: UsageReports
  /** Incarnation of this process. */
  readonly reporter: string
  /** Creates the intent runner for the reports of a lease term. */
  readonly createRunner: (sender: IntentSender) => IntentRunner
}

/** Closes the windows of a usage shard in order and reports each one. */
export class UsageDuty implements ScopeDuty {
  private term: UsageLeaseTerm | undefined
  private ticking = false

  constructor (private readonly deps: UsageDutyDeps) {}

  async tick (handle: ScopeHandle): Promise<void> {
    if (this.ticking) return
    this.ticking = true
    try {
      if (this.term?.handle.fence !== handle.fence) this.term = new UsageLeaseTerm(this.deps, handle)
      await this.term.run()
    } finally {
      this.ticking = false
    }
  }
}

class UsageLeaseTerm {
  private readonly closer: WindowCloser
  private readonly runner: IntentRunner
  /** Report batches of the oldest closed window that are not submitted yet. */
  private batches: ReportBody[] | undefined
  private delayReason: LateReason | undefined

  constructor (private readonly deps: UsageDutyDeps, readonly handle: ScopeHandle) {
    this.closer = new WindowCloser(deps, handle)
    this.runner = deps.createRunner(new ReportSender({ ...deps, mayAct: () => handle.mayAct() }))
  }

  async run (): Promise<void> {
    await this.closeDueWindows()
    // Open reports of a former lease holder are finished first: their content is the same, but progress may advance
    // only after they are sent.
    await this.runner.advanceAll(this.handle)
    const record = this.closer.nextToReport()
    if (record !== undefined && await this.submitReports(record)) await this.recordReported(record)
  }

  private async closeDueWindows (): Promise<void> {
    for (let count = 0; count < MAX_WINDOWS_CLOSED_PER_TICK; count++) {
      const closed = await this.closer.closeNext()
      if (closed.err) this.deps.log.warn({ step: 'close_window', scope: this.handle.scope, detail: closed.val.message }, 'usage_close_failed')
      if (closed.err || !closed.val) return
      await this.closer.prune()
    }
  }

  /** Submits the report batches of a window, each after the previous one is confirmed; true once all are confirmed. */
  private async submitReports (record: FinalUsage): Promise<boolean> {
    this.batches ??= reportBatches(record)
    while (this.batches.length > 0 && this.openReportCount() === 0) {
      const body = this.batches[0]!
      const submitted = await this.runner.submit(this.handle, reportSubject(this.deps.shard, body), body)
      if (submitted.err) {
        this.delayReason ??= this.deps.health.failedSince(this.windowEndMs(record)) ? 'store_unavailable' : 'quarantine'
        this.deps.log.warn({ step: 'report', scope: this.handle.scope, window: record.window, err: submitted.val }, 'usage_report_failed')
        return false
      }
      this.batches.shift()
    }
    if (this.openReportCount() === 0) return true
    this.delayReason ??= 'report_unavailable'
    return false
  }

  private openReportCount (): number {
    return this.handle.intents().length
  }

  private async recordReported (record: FinalUsage): Promise<void> {
    const lateMs = this.deps.clock.wallTimeMs() - this.windowEndMs(record) - LATE_AFTER_MS
    const lateReason = record.late ?? (lateMs > 0 ? this.delayReason ?? 'no_holder' : undefined)
    const saved = await this.closer.markReported(record)
    if (saved.err) {
      this.deps.log.warn({ step: 'report', detail: saved.val.message }, 'usage_progress_failed')
      return
    }
    this.batches = undefined
    this.delayReason = undefined
    this.deps.log.info({ window: record.window, shard: record.shard, late: lateReason ?? 'no' }, 'usage_window_reported')
    if (lateReason !== undefined) this.deps.metrics.count('godwitpoint_usage_windows_late_total', `reason="${lateReason}"`)
  }

  /** Wall-clock end of a record's window, in ms. */
  private windowEndMs (record: FinalUsage): number {
    return (record.window + 1) * this.deps.windowMs
  }
}
