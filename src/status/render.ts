/** Renders the status of a fleet of gateways in lines that fit the screen of a phone. */
import * as report from '../report/index.js'
import type { GatewayFleetStatus, ServiceStatus } from './fleet-status.js'

/** Returns lines of at most {@link report.REPORT_COLUMNS} characters. */
export function renderStatus (status: GatewayFleetStatus): string[] {
  return [
    ...configLines(status),
    'targets',
    ...(status.services.length === 0 ? [' none'] : status.services.flatMap(serviceLines)),
    `gateways ${status.gateways.length}`,
    ...status.gateways.map((name) => ` ${name}`),
    dutyLine(status),
    usageLine(status)
  ].map((line) => line.slice(0, report.REPORT_COLUMNS))
}

function configLines ({ config }: GatewayFleetStatus): string[] {
  if (config === undefined) return ['config none']
  const accounts = config.accounts === undefined ? 'no keys' : `accounts ${config.accounts.length}`
  return [`config ${config.version}`, ` routes ${config.routes.length} services ${config.services.size} ${accounts}`]
}

function serviceLines (service: ServiceStatus): string[] {
  return [` ${service.service}`, `  ready ${service.ready} leaving ${service.leaving} preempt. ${service.preemptible}`]
}

function dutyLine ({ duties }: GatewayFleetStatus): string {
  if (duties === undefined) return 'duties nobody yet'
  return duties.released ? `duties free, last token ${duties.token}` : `duties ${duties.holder} token ${duties.token}`
}

function usageLine ({ usage }: GatewayFleetStatus): string {
  if (usage === undefined) return 'usage no window closed yet'
  return `usage to ${usage.lastWindow} unreported ${usage.unreported}`
}
