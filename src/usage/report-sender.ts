/** Reports the bills of closed windows to the platform, one a client account. */
import { Err, Ok, StepError, type Result } from '../errors/index.js'
import type { Metrics } from '../metrics/index.js'
import type { IntentSender } from '../orders/index.js'
import type { ObjectStore, ReportError, UsageReports } from '../external/index.js'
import { OPEN_ACCOUNT, type Intent, type IntentBody, type UsageRow } from '../schema/index.js'
import { decode, finalKey, FinalUsage } from './usage-records.js'

/** Accounts of one intent. One intent an account would be 36,000 store writes a window at the target size. */
export const REPORT_BATCH = 250

/** Reports in flight. */
const IN_FLIGHT = 16

/** Attempts at one report; the figures are the same each time. */
const ATTEMPTS = 3

/** An intent to report a batch of accounts. */
export type ReportBody = Extract<IntentBody, { type: 'report' }>

/** What a sender of reports works with. */
export interface ReportDeps {
  readonly store: ObjectStore
  readonly reports: UsageReports
  readonly metrics: Metrics
  readonly reporter: string
  readonly shard: number
  /** Whether this process may act for the scope; asked right before each report. */
  readonly mayAct: () => boolean
}

/** The batches of a window's bills; open routes run for no client account, so their usage is not reported. */
export function reportBatches (record: FinalUsage): ReportBody[] {
  const accounts = [...new Set(record.bills.map((row) => row.account))].filter((account) => account !== OPEN_ACCOUNT).sort()
  return Array.from({ length: Math.ceil(accounts.length / REPORT_BATCH) }, (_, index) => (
    { type: 'report', window: record.window, accounts: accounts.slice(index * REPORT_BATCH, (index + 1) * REPORT_BATCH) }
  ))
}

/** Subject of a batch's intent. */
export function reportSubject (shard: number, body: ReportBody): string {
  return `usage/${shard}/${body.window}/${body.accounts[0] ?? ''}`
}

/** Sends the figures of final records only, so that a repeated report is the same as the first. */
export class ReportSender implements IntentSender {
  /** The accounts of each intent that the platform has acknowledged to this process. */
  private readonly acknowledged = new Map<string, Set<string>>()
  private record: FinalUsage | undefined

  constructor (private readonly deps: ReportDeps) {}

  async send (intent: Intent): Promise<Result<void, StepError>> {
    const body = bodyOf(intent)
    const record = await this.finalOf(body.window)
    if (record.err) return record
    const done = this.acknowledged.get(intent.id) ?? new Set<string>()
    this.acknowledged.set(intent.id, done)
    const byAccount = groupRows(record.val.bills)
    const waiting = body.accounts.filter((account) => !done.has(account))
    while (waiting.length > 0) {
      const outcomes = await Promise.all(waiting.splice(0, IN_FLIGHT).map(async (account) => {
        const outcome = await this.report(body.window, account, byAccount.get(account) ?? [], intent.fence)
        if (outcome.ok) done.add(account)
        return outcome
      }))
      const failed = outcomes.find((outcome) => outcome.err)
      if (failed?.err === true) return failed
    }
    return Ok(undefined)
  }

  /** Whether the platform acknowledged all accounts; a former holder's reports are confirmed by sending them again. */
  async confirm (intent: Intent): Promise<Result<boolean, StepError>> {
    const done = this.acknowledged.get(intent.id)
    const all = done !== undefined && bodyOf(intent).accounts.every((account) => done.has(account))
    if (all) this.acknowledged.delete(intent.id)
    return Ok(all)
  }

  private async report (window: number, account: string, rows: readonly UsageRow[], fence: number): Promise<Result<void, StepError>> {
    for (let attempt = 1; ; attempt++) {
      if (!this.deps.mayAct()) return Err(new StepError('report', 'platform', 'the right to act has ended'))
      const sent = await this.deps.reports.report({ window, account, rows, reporter: this.deps.reporter, fence })
      if (sent.ok) return Ok(undefined)
      if (sent.val.kind === 'conflict') return this.conflict(account, sent.val)
      if (sent.val.kind !== 'unknown' || attempt >= ATTEMPTS) return Err(new StepError('report', 'platform', sent.val.message))
      this.deps.metrics.countRetry('store_reply_lost')
    }
  }

  /** The first figures stand; sending others again cannot help, so the account is left to the operator. */
  private conflict (account: string, err: ReportError): Result<void, StepError> {
    this.deps.metrics.count('godwitpoint_usage_report_conflicts_total', `account="${account}"`)
    return err.kind === 'conflict' ? Ok(undefined) : Err(new StepError('report', 'platform', err.message))
  }

  private async finalOf (window: number): Promise<Result<FinalUsage, StepError>> {
    if (this.record?.window === window) return Ok(this.record)
    const object = await this.deps.store.get(finalKey(window, this.deps.shard))
    if (object.err) return Err(new StepError('report', 'store', object.val.message))
    if (object.val === undefined) return Err(new StepError('report', 'store', `there is no final record of window ${window}`))
    this.record = decode(FinalUsage, object.val.value)
    return Ok(this.record)
  }
}

function bodyOf (intent: Intent): ReportBody {
  if (intent.body.type !== 'report') throw new Error(`intent ${intent.id} is not a report`)
  return intent.body
}

function groupRows (rows: readonly UsageRow[]): ReadonlyMap<string, UsageRow[]> {
  const groups = new Map<string, UsageRow[]>()
  for (const row of rows) groups.set(row.account, [...groups.get(row.account) ?? [], row])
  return groups
}
