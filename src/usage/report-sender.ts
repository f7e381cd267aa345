/** Reports the bills of closed windows to the platform, one per client account. */
import { Err, Ok, StepError, type Result } from '../errors/index.js'
import type { Metrics } from '../metrics/index.js'
import type { IntentSender } from '../orders/index.js'
import type { ObjectStore, ReportError, UsageReports } from '../external/index.js'
import { OPEN_ACCOUNT, type Intent, type IntentBody, type UsageRow } from '../schema/index.js'
import { decode, finalKey, FinalUsage } from './usage-records.js'

/** Accounts of one intent; with one intent per account a window would take 36,000 store writes at the target size. */
export const REPORT_BATCH_ACCOUNTS = 250

/** Bound of the reports in flight. */
const MAX_CONCURRENT_REPORTS = 16

/** Attempts at one report after lost replies; the figures are the same each time. */
const MAX_ATTEMPTS = 3

/** Body of an intent to report a batch of accounts. */
export type ReportBody = Extract<IntentBody, { type: 'report' }>

/** Dependencies of the report sender. */
export interface ReportSenderDeps {
  readonly store: ObjectStore
  readonly reports: UsageReports
  readonly metrics: Metrics
  readonly reporter: string
  readonly shard: number
  /** Whether this process may act for the scope; checked right before each report. */
  readonly mayAct: () => boolean
}

/** Splits a window's bills into batches; the usage of open routes belongs to no client account and is not reported. */
export function reportBatches (record: FinalUsage): ReportBody[] {
  const accounts = [...new Set(record.bills.map((row) => row.account))].filter((account) => account !== OPEN_ACCOUNT).sort()
  return Array.from({ length: Math.ceil(accounts.length / REPORT_BATCH_ACCOUNTS) }, (_, index) => (
    { type: 'report', window: record.window, accounts: accounts.slice(index * REPORT_BATCH_ACCOUNTS, (index + 1) * REPORT_BATCH_ACCOUNTS) }
  ))
}

/** Subject of the intent of a batch. */
export function reportSubject (shard: number, body: ReportBody): string {
  return `usage/${shard}/${body.window}/${body.accounts[0] ?? ''}`
}

/** Reports only figures of final records, so that a repeated report equals the first. */
export class ReportSender implements IntentSender {
  /** Accounts whose reports the platform has acknowledged to this process, by intent. */
  private readonly acknowledgedAccounts = new Map<string, Set<string>>()
  private record: FinalUsage | undefined

  constructor (private readonly deps: ReportSenderDeps) {}

  async send (intent: Intent): Promise<Result<void, StepError>> {
    const body = reportBody(intent)
    const record = await this.readFinal(body.window)
    if (record.err) return record
    const acknowledged = this.acknowledgedAccounts.get(intent.id) ?? new Set<string>()
    this.acknowledgedAccounts.set(intent.id, acknowledged)
    const byAccount = groupByAccount(record.val.bills)
    const pending = body.accounts.filter((account) => !acknowledged.has(account))
    while (pending.length > 0) {
      const outcomes = await Promise.all(pending.splice(0, MAX_CONCURRENT_REPORTS).map(async (account) => {
        const outcome = await this.report(body.window, account, byAccount.get(account) ?? [], intent.fence)
        if (outcome.ok) acknowledged.add(account)
        return outcome
      }))
      const failed = outcomes.find((outcome) => outcome.err)
      if (failed?.err === true) return failed
    }
    return Ok(undefined)
  }

  /**
   * Whether the platform acknowledged all accounts to this process; reports of an earlier lease holder are confirmed
   * by sending them again.
   */
  async confirm (intent: Intent): Promise<Result<boolean, StepError>> {
    const acknowledged = this.acknowledgedAccounts.get(intent.id)
    const complete = acknowledged !== undefined && reportBody(intent).accounts.every((account) => acknowledged.has(account))
    if (complete) this.acknowledgedAccounts.delete(intent.id)
    return Ok(complete)
  }

  private async report (window: number, account: string, rows: readonly UsageRow[], fence: number): Promise<Result<void, StepError>> {
    for (let attempt = 1; ; attempt++) {
      if (!this.deps.mayAct()) return Err(new StepError('report', 'platform', 'this process may no longer act for the scope'))
      const sent = await this.deps.reports.report({ window, account, rows, reporter: this.deps.reporter, fence })
      if (sent.ok) return Ok(undefined)
      if (sent.val.kind === 'conflict') return this.resolveConflict(account, sent.val)
      if (sent.val.kind !== 'unknown' || attempt >= MAX_ATTEMPTS) return Err(new StepError('report', 'platform', sent.val.message))
      this.deps.metrics.countRetry('store_reply_lost')
    }
  }

  /**
   * The first report of the account stands. Repeating a different one cannot succeed, so the conflict is counted for
   * the operators.
   */
  private resolveConflict (account: string, err: ReportError): Result<void, StepError> {
    this.deps.metrics.count('godwitpoint_usage_report_conflicts_total', `account="${account}"`)
    return err.kind === 'conflict' ? Ok(undefined) : Err(new StepError('report', 'platform', err.message))
  }

  private async readFinal (window: number): Promise<Result<FinalUsage, StepError>> {
    if (this.record?.window === window) return Ok(this.record)
    const object = await this.deps.store.get(finalKey(window, this.deps.shard))
    if (object.err) return Err(new StepError('report', 'store', object.val.message))
    if (object.val === undefined) return Err(new StepError('report', 'store', `there is no final record of window ${window}`))
    this.record = decode(FinalUsage, object.val.value)
    return Ok(this.record)
  }
}

function reportBody (intent: Intent): ReportBody {
  if (intent.body.type !== 'report') throw new Error(`intent ${intent.id} is not a report`)
  return intent.body
}

function groupByAccount (rows: readonly UsageRow[]): ReadonlyMap<string, UsageRow[]> {
  const groups = new Map<string, UsageRow[]>()
  for (const row of rows) groups.set(row.account, [...groups.get(row.account) ?? [], row])
  return groups
}
