/** Merges the reports of all entries and judges whether the outcomes hold. */
import type { AccountReport, BillingReport, ReportWarning, EntryReport, ServiceReport, SpendingReport } from './types.js'

/** Share of its due below which an account that waits counts as badly served. */
const DUE_SHARE_MINIMUM = 0.8

/** The account that received the least of what it was due. */
export interface WorstServed {
  readonly service: string
  readonly account: string
  /** Work received divided by work due. */
  readonly ratio: number
}

/** Reports of the whole fleet. */
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

/** Merges entry reports; `unreachable` lists entries that did not answer. */
export function mergeReports (reports: readonly EntryReport[], unreachable: readonly string[]): FleetReport {
  const generation = Math.max(0, ...reports.map((report) => report.generation))
  const services = mergeServices(reports.flatMap((report) => report.services))
  const worst = worstServed(reports.flatMap((report) => report.accounts))
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
      timely: services.every(isTimely),
      fair: worst === undefined || worst.ratio >= DUE_SHARE_MINIMUM,
      spending: spending.every((item) => item.per_hour <= item.budget_per_hour),
      bills: billing === undefined || (billing.late_windows === 0 && billing.conflicts === 0)
    }
  }
}

/** Whether every outcome holds and every entry answered. */
export function allHold (report: FleetReport): boolean {
  const { timely, fair, spending, bills } = report.holds
  return timely && fair && spending && bills && report.unreachable.length === 0
}

function mergeServices (services: readonly ServiceReport[]): ServiceReport[] {
  const merged = new Map<string, ServiceReport>()
  for (const next of services) {
    const first = merged.get(next.service)
    merged.set(next.service, first === undefined ? next : addService(first, next))
  }
  return [...merged.values()]
}

function addService (a: ServiceReport, b: ServiceReport): ServiceReport {
  return {
    ...a,
    requests: a.requests + b.requests,
    refused: a.refused + b.refused,
    // Quantiles of several entries cannot be added; the worst entry is stated.
    ttft_p95_ms: largest(a.ttft_p95_ms, b.ttft_p95_ms),
    itl_p95_ms: largest(a.itl_p95_ms, b.itl_p95_ms)
  }
}

function largest (a: number | undefined, b: number | undefined): number | undefined {
  if (a === undefined) return b
  return b === undefined ? a : Math.max(a, b)
}

function isTimely (service: ServiceReport): boolean {
  return (service.ttft_p95_ms ?? 0) <= service.ttft_target_ms && (service.itl_p95_ms ?? 0) <= service.itl_target_ms
}

/** Only accounts that wait can be short of their due; the others got what they asked for. */
function worstServed (rows: readonly AccountReport[]): WorstServed | undefined {
  const totals = sumAccounts(rows)
  const ratios = [...new Set(totals.map((row) => row.service))].flatMap((service) => (
    dueRatios(totals.filter((row) => row.service === service))
  ))
  return ratios.sort((a, b) => a.ratio - b.ratio)[0]
}

function dueRatios (rows: readonly AccountReport[]): WorstServed[] {
  const waiting = rows.filter((row) => row.waiting > 0)
  const weight = waiting.reduce((sum, row) => sum + row.weight, 0)
  const work = waiting.reduce((sum, row) => sum + row.work, 0)
  if (work === 0) return []
  return waiting.map((row) => ({ service: row.service, account: row.account, ratio: row.work / (work * row.weight / weight) }))
}

function sumAccounts (rows: readonly AccountReport[]): AccountReport[] {
  const sums = new Map<string, AccountReport>()
  for (const row of rows) {
    const key = `${row.service}/${row.account}`
    const first = sums.get(key)
    sums.set(key, first === undefined ? row : { ...first, work: first.work + row.work, waiting: first.waiting + row.waiting })
  }
  return [...sums.values()]
}

function laggingEntries (reports: readonly EntryReport[], generation: number): ReportWarning[] {
  return reports
    .filter((report) => report.generation < generation)
    .map((report) => ({ kind: 'config_lag', subject: report.entry, detail: `runs ${report.generation}, newest ${generation}` }))
}
