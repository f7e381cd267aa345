/** What the holder of a usage scope does in each tick. */
import type { ScopeDuty, ScopeHandle } from '../authority/index.js'
import type { Logger } from '../log/index.js'
import type { Metrics } from '../metrics/index.js'
import type { IntentSender } from '../orders/index.js'
import type { UsageReports } from '../external/index.js'
import type { Clock } from '../time/index.js'
import { LATE_AFTER_MS, reportBatches, ReportSender, reportSubject, WindowCloser, type WindowCloserDeps, type FinalUsage, type LateReason, type ReportBody } from '../usage/index.js'
import type { IntentRunner } from './intent-runner.js'

/** Windows closed by one tick, when several are due after an outage. */
const MAX_CLOSED = 8

/** What the usage duty works with. */
export interface UsageDutyDeps extends WindowCloserDeps {
  readonly clock: Clock
  readonly metrics: Metrics
  readonly log: Logger
  readonly reports: UsageReports
  readonly reporter: string
  /** Makes the runner of a tenure's reports. */
  readonly runner: (sender: IntentSender) => IntentRunner
}

/** Closes windows and reports them. */
export class UsageDuty implements ScopeDuty {
  private tenure: Tenure | undefined
  private busy = false

  constructor (private readonly deps: UsageDutyDeps) {}

  async tick (handle: ScopeHandle): Promise<void> {
    if (this.busy) return
    this.busy = true
    try {
      if (this.tenure?.handle.fence !== handle.fence) this.tenure = new Tenure(this.deps, handle)
      await this.tenure.round()
    } finally {
      this.busy = false
    }
  }
}

class Tenure {
  private readonly closer: WindowCloser
  private readonly runner: IntentRunner
  /** Batches of the oldest closed window that are not submitted yet. */
  private batches: ReportBody[] | undefined
  private heldUp: LateReason | undefined

  constructor (private readonly deps: UsageDutyDeps, readonly handle: ScopeHandle) {
    this.closer = new WindowCloser(deps, handle)
    this.runner = deps.runner(new ReportSender({ ...deps, mayAct: () => handle.mayAct() }))
  }

  async round (): Promise<void> {
    await this.closeDue()
    // Reports of a former holder are finished first: they are the same, but must be out before progress moves on.
    await this.runner.round(this.handle)
    const record = this.closer.nextToReport()
    if (record !== undefined && await this.isReported(record)) await this.finished(record)
  }

  private async closeDue (): Promise<void> {
    for (let count = 0; count < MAX_CLOSED; count++) {
      const closed = await this.closer.closeNext()
      if (closed.err) this.deps.log.warn({ step: 'close_window', scope: this.handle.scope, detail: closed.val.message }, 'usage_close_failed')
      if (closed.err || !closed.val) return
      await this.closer.prune()
    }
  }

  private async isReported (record: FinalUsage): Promise<boolean> {
    this.batches ??= reportBatches(record)
    while (this.batches.length > 0 && this.openReports() === 0) {
      const body = this.batches[0]!
      const opened = await this.runner.submit(this.handle, reportSubject(this.deps.shard, body), body)
      if (opened.err) {
        this.heldUp ??= this.deps.health.failedSince(this.endOf(record)) ? 'store_unavailable' : 'quarantine'
        this.deps.log.warn({ step: 'report', scope: this.handle.scope, window: record.window, err: opened.val }, 'usage_report_failed')
        return false
      }
      this.batches.shift()
    }
    if (this.openReports() === 0) return true
    this.heldUp ??= 'report_unavailable'
    return false
  }

  private openReports (): number {
    return this.handle.intents().length
  }

  private async finished (record: FinalUsage): Promise<void> {
    const lateMs = this.deps.clock.wallTimeMs() - this.endOf(record) - LATE_AFTER_MS
    const late = record.late ?? (lateMs > 0 ? this.heldUp ?? 'no_holder' : undefined)
    const written = await this.closer.markReported(record)
    if (written.err) {
      this.deps.log.warn({ step: 'report', detail: written.val.message }, 'usage_progress_failed')
      return
    }
    this.batches = undefined
    this.heldUp = undefined
    this.deps.log.info({ window: record.window, shard: record.shard, late: late ?? 'no' }, 'usage_window_reported')
    if (late !== undefined) this.deps.metrics.count('godwitpoint_usage_windows_late_total', `reason="${late}"`)
  }

  private endOf (record: FinalUsage): number {
    return (record.window + 1) * this.deps.windowMs
  }
}
