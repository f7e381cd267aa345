/** Report of an entry to operators. */
import type { ConfigIndex } from '../config/index.js'
import type { EntryDeps } from '../entry/index.js'
import type { AccountReport, ReportWarning, EntryReport, ServiceReport } from '../report/index.js'
import type { Service } from '../schema/index.js'

/** Builds the report of one entry from the dependencies of its request path. */
export function entryReport (name: string, ready: boolean, deps: EntryDeps, quarantined: readonly string[]): EntryReport {
  const cfg = deps.config.current()
  return {
    entry: name,
    incarnation: deps.incarnation,
    state: ready ? 'ready' : 'stopping',
    generation: cfg?.generation ?? 0,
    services: cfg === undefined ? [] : serviceReports(cfg, deps),
    accounts: cfg === undefined ? [] : accountReports(cfg, deps),
    concerns: [...warnings(name, deps), ...quarantined.map(quarantineWarning)],
    spending: []
  }
}

function serviceReports (cfg: ConfigIndex, deps: EntryDeps): ServiceReport[] {
  return cfg.set.services.filter((service) => service.kind === 'model').map((service) => serviceReport(service, cfg, deps))
}

function serviceReport (service: Service, cfg: ConfigIndex, deps: EntryDeps): ServiceReport {
  const profile = cfg.profileOf(service)
  const { metrics } = deps
  const label = `service="${service.name}"`
  return {
    service: service.name,
    requests: metrics.counter('godwitpoint_answers_total', label),
    refused: metrics.counter('godwitpoint_service_refusals_total', label),
    ttft_p95_ms: metrics.percentileMs('godwitpoint_first_token', 95, label),
    itl_p95_ms: metrics.percentileMs('godwitpoint_between_tokens', 95, label),
    ttft_target_ms: profile.ttft_ms,
    itl_target_ms: profile.itl_ms
  }
}

function accountReports (cfg: ConfigIndex, deps: EntryDeps): AccountReport[] {
  return deps.admission.rows().map((row) => ({
    service: row.service,
    account: row.account,
    weight: cfg.account(row.account)?.weight ?? 1,
    work: row.work,
    waiting: row.backlog
  }))
}

function warnings (name: string, deps: EntryDeps): ReportWarning[] {
  if (deps.config.keysAreFresh()) return []
  return [{ kind: 'keys_not_current', subject: name, detail: 'keyed requests are refused' }]
}

function quarantineWarning (target: string): ReportWarning {
  return { kind: 'target_quarantined', subject: target, detail: 'a former holder may still send' }
}
