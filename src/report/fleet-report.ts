/** Merges the reports of all entries and evaluates whether the outcomes hold. */
import type { AccountReport, BillingReport, ReportWarning, EntryReport, ServiceReport, SpendingReport } from './types.js'

/** Ratio of received to fair work below which fair share does not hold for a waiting account. */
const MIN_FAIR_SHARE_RATIO = 0.8

/** The waiting account that received the least work compared to its fair share. */
export interface WorstServed {
  readonly service: string
  readonly account: string
  /** Received work divided by the account's fair share of the work. */
  readonly ratio: number
}

/** Merged report of all entries. */
export interface FleetReport {
  readonly entries: number
  readonly unreachable: readonly string[]
  readonly generation: number
  readonly services: readonly ServiceReport[]
  readonly worst: WorstServed | undefined
  readonly spending: readonly SpendingReport[]
  readonly billing: BillingReport | undefined
  readonly concerns: readonly ReportWarning[]
  /** Whether each outcome holds. */
  readonly holds: Outcomes
}

/** The outcomes the system is responsible for. */
export interface Outcomes {
  readonly timely: boolean
  readonly fair: boolean
  readonly spending: boolean
  readonly bills: boolean
}

/** Merges entry reports; `unreachable` lists entries that did not respond. */
export function mergeReports (reports: readonly EntryReport[], unreachable: readonly string[]): FleetReport {
  const generation = Math.max(0, ...reports.map((report) => report.generation))
  const services = mergeServices(reports.flatMap((report) => report.services))
  const worst = findWorstServed(reports.flatMap((report) => report.accounts))
  const spending = reports.flatMap((report) => report.spending)
  const billing = reports.map((report) => report.billing).find((item) => item !== undefined)
  const concerns = [...laggingEntries(reports, generation), ...reports.flatMap((report) => report.concerns)]
  return {
    entries: reports.length,
    unreachable,
    generation,
    services,
    worst,
    spending,
    billing,
    concerns,
    holds: {
      timely: services.every(meetsLatencyTargets),
      fair: worst === undefined || worst.ratio >= MIN_FAIR_SHARE_RATIO,
      spending: spending.every((item) => item.per_hour <= item.budget_per_hour),
      bills: billing === undefined || (billing.late_windows === 0 && billing.conflicts === 0)
    }
  }
}

/** Whether all outcomes hold and all entries responded. */
export function allOutcomesHold (report: FleetReport): boolean {
  const { timely, fair, spending, bills } = report.holds
  return timely && fair && spending && bills && report.unreachable.length === 0
}

function mergeServices (services: readonly ServiceReport[]): ServiceReport[] {
  const merged = new Map<string, ServiceReport>()
  for (const next of services) {
    const previous = merged.get(next.service)
    merged.set(next.service, previous === undefined ? next : addService(previous, next))
  }
  return [...merged.values()]
}

function addService (a: ServiceReport, b: ServiceReport): ServiceReport {
  return {
    ...a,
    requests: a.requests + b.requests,
    refused: a.refused + b.refused,
    // Quantiles of several entries cannot be merged; the value of the worst entry is reported.
    ttft_p95_ms: maxDefined(a.ttft_p95_ms, b.ttft_p95_ms),
    itl_p95_ms: maxDefined(a.itl_p95_ms, b.itl_p95_ms)
  }
}

function maxDefined (a: number | undefined, b: number | undefined): number | undefined {
  if (a === undefined) return b
  return b === undefined ? a : Math.max(a, b)
}

function meetsLatencyTargets (service: ServiceReport): boolean {
  return (service.ttft_p95_ms ?? 0) <= service.ttft_target_ms && (service.itl_p95_ms ?? 0) <= service.itl_target_ms
}

/** Only accounts with waiting requests can be below their fair share; the demand of the others is met. */
function findWorstServed (rows: readonly AccountReport[]): WorstServed | undefined {
  const totals = sumAccounts(rows)
  const ratios = [...new Set(totals.map((row) => row.service))].flatMap((service) => (
    fairShareRatios(totals.filter((row) => row.service === service))
  ))
  return ratios.sort((a, b) => a.ratio - b.ratio)[0]
}

function fairShareRatios (rows: readonly AccountReport[]): WorstServed[] {
  const waiting = rows.filter((row) => row.waiting > 0)
  const totalWeight = waiting.reduce((sum, row) => sum + row.weight, 0)
  const totalWork = waiting.reduce((sum, row) => sum + row.work, 0)
  if (totalWork === 0) return []
  return waiting.map((row) => ({ service: row.service, account: row.account, ratio: row.work / (totalWork * row.weight / totalWeight) }))
}

function sumAccounts (rows: readonly AccountReport[]): AccountReport[] {
  const sums = new Map<string, AccountReport>()
  for (const row of rows) {
    const key = `${row.service}/${row.account}`
    const sum = sums.get(key)
    sums.set(key, sum === undefined ? row : { ...sum, work: sum.work + row.work, waiting: sum.waiting + row.waiting })
  }
  return [...sums.values()]
}

function laggingEntries (reports: readonly EntryReport[], generation: number): ReportWarning[] {
  return reports
    .filter((report) => report.generation < generation)
    .map((report) => ({ kind: 'config_lag', subject: report.entry, detail: `runs ${report.generation}, newest ${generation}` }))
}
