/** Renders a fleet report as text narrow enough for a phone screen. */
import type { FleetReport } from './fleet-report.js'
import type { ServiceReport, SpendingReport } from './types.js'

/** Maximum line width, in characters. */
export const REPORT_COLUMNS = 40

/** Renders a report; longer lines are truncated to {@link REPORT_COLUMNS}. */
export function renderReport (report: FleetReport): string {
  const lines = [
    `entries ${report.entries}  config gen ${report.generation}`,
    ...report.unreachable.map((address) => `! no answer from ${address}`),
    outcomeLine('timely', report.holds.timely, report.services.some((service) => service.ttft_p95_ms !== undefined)),
    ...report.services.flatMap(serviceLines),
    outcomeLine('fair share', report.holds.fair),
    report.worst === undefined ? ' no account waits' : ` worst ${report.worst.account} ${formatPercent(report.worst.ratio)}`,
    outcomeLine('spending', report.holds.spending, report.spending.length > 0),
    ...spendingLines(report.spending),
    outcomeLine('bills', report.holds.bills, report.billing !== undefined),
    billingLine(report),
    report.concerns.length === 0 ? 'needs a hand: nothing' : 'needs a hand:',
    ...report.concerns.flatMap((concern) => [` ${concern.kind} ${concern.subject}`, `  ${concern.detail}`])
  ]
  return lines.map((line) => line.length <= REPORT_COLUMNS ? line : `${line.slice(0, REPORT_COLUMNS - 1)}…`).join('\n') + '\n'
}

function outcomeLine (name: string, holds: boolean, hasData = true): string {
  return `${name.padEnd(12)}${!hasData ? 'no data' : holds ? 'ok' : 'NOT OK'}`
}

function serviceLines (service: ServiceReport): string[] {
  const latency = service.ttft_p95_ms === undefined
    ? '  no answers yet'
    : `  first ${formatMs(service.ttft_p95_ms)}/${service.ttft_target_ms} token ${formatMs(service.itl_p95_ms)}/${service.itl_target_ms} ms`
  return [` ${service.service}`, latency, `  answered ${service.requests} refused ${service.refused}`]
}

function spendingLines (spending: readonly SpendingReport[]): string[] {
  if (spending.length === 0) return [' no figures yet']
  return spending.flatMap((item) => [
    ` ${item.service}`,
    `  ${item.per_hour.toFixed(2)}/h of ${item.budget_per_hour} used ${formatPercent(item.used)}`,
    `  ${item.targets} targets, ${item.preemptible} preemptible`
  ])
}

function billingLine (report: FleetReport): string {
  if (report.billing === undefined) return ' no window closed yet'
  return ` to window ${report.billing.last_window} late ${report.billing.late_windows} clash ${report.billing.conflicts}`
}

function formatPercent (ratio: number): string {
  return `${Math.round(ratio * 100)}%`
}

function formatMs (value: number | undefined): string {
  return value === undefined ? '-' : value < 10 ? value.toFixed(1) : String(Math.round(value))
}
