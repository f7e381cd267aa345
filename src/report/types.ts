/** Schemas of the report that an entry gives to operators. */
import * as z from 'zod'
import * as validation from '../validation/index.js'

/** Requests and latencies of a model service on one entry. */
export const ServiceReport = z.object({
  service: z.string(),
  requests: z.number(),
  refused: z.number(),
  /** 95th percentiles of the time to the first token and between tokens, in ms; absent before the first response. */
  ttft_p95_ms: z.number().optional(),
  itl_p95_ms: z.number().optional(),
  /** Latency objectives of the service's profile, in ms. */
  ttft_target_ms: z.number(),
  itl_target_ms: z.number()
})
export type ServiceReport = z.infer<typeof ServiceReport>

/** Work that an account received from a service on one entry, and its waiting requests. */
export const AccountReport = z.object({
  service: z.string(),
  account: z.string(),
  weight: z.number().positive(),
  work: z.number(),
  waiting: z.number()
})
export type AccountReport = z.infer<typeof AccountReport>

/** A condition that needs an operator's attention. */
export const ReportWarning = z.object({
  kind: z.enum(['config_lag', 'store_unreachable', 'keys_not_current', 'target_quarantined', 'target_ejected', 'window_late', 'over_budget']),
  /** Subject of the warning, such as an entry, a target or a window. */
  subject: z.string(),
  detail: z.string()
})
export type ReportWarning = z.infer<typeof ReportWarning>

/** Spending on a service, reported by its planner, which runs on the holder of the service's scope only. */
export const SpendingReport = z.object({
  service: z.string(),
  targets: z.number(),
  preemptible: z.number(),
  per_hour: z.number(),
  budget_per_hour: z.number(),
  /** Delivered work divided by the paid capacity. */
  used: z.number()
})
export type SpendingReport = z.infer<typeof SpendingReport>

/** Billing state, reported by the holder of the usage scope. */
export const BillingReport = z.object({
  /** Last window of which all bills were accepted; -1 before the first. */
  last_window: z.number(),
  late_windows: z.number(),
  conflicts: z.number()
})
export type BillingReport = z.infer<typeof BillingReport>

/** Report of one entry. */
export const EntryReport = z.object({
  entry: z.string(),
  incarnation: z.string(),
  state: z.enum(['ready', 'stopping']),
  generation: z.number(),
  services: validation.list(ServiceReport),
  accounts: validation.list(AccountReport),
  concerns: validation.list(ReportWarning),
  spending: validation.list(SpendingReport).default([]),
  billing: BillingReport.optional()
})
export type EntryReport = z.infer<typeof EntryReport>
