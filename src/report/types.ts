/** What one entry reports to operators, and what that means for the fleet. */
import * as z from 'zod'

/** Timeliness of a model service on one entry. */
export const ServiceReport = z.object({
  service: z.string(),
  requests: z.number(),
  refused: z.number(),
  /** 95th percentiles in ms; absent before the first answer. */
  ttft_p95_ms: z.number().optional(),
  itl_p95_ms: z.number().optional(),
  /** Targets of the service's profile, in ms. */
  ttft_target_ms: z.number(),
  itl_target_ms: z.number()
})
export type ServiceReport = z.infer<typeof ServiceReport>

/** Work an account received of a service on one entry, and whether it waited for more. */
export const AccountReport = z.object({
  service: z.string(),
  account: z.string(),
  weight: z.number().positive(),
  work: z.number(),
  waiting: z.number()
})
export type AccountReport = z.infer<typeof AccountReport>

/** Something an operator should look at. */
export const ReportWarning = z.object({
  kind: z.enum(['config_lag', 'store_unreachable', 'keys_not_current', 'target_quarantined', 'target_ejected', 'window_late', 'over_budget']),
  /** What it is about: an entry, a target or a window. */
  subject: z.string(),
  detail: z.string()
})
export type ReportWarning = z.infer<typeof ReportWarning>

/** Spending on a service, as its planner sees it; only the holder of its scope knows. */
export const SpendingReport = z.object({
  service: z.string(),
  targets: z.number(),
  preemptible: z.number(),
  per_hour: z.number(),
  budget_per_hour: z.number(),
  /** Delivered work divided by the capacity that is paid for. */
  used: z.number()
})
export type SpendingReport = z.infer<typeof SpendingReport>

/** Billing, as the usage scope's holder sees it. */
export const BillingReport = z.object({
  /** Last window whose bills were all accepted; -1 before the first. */
  last_window: z.number(),
  late_windows: z.number(),
  conflicts: z.number()
})
export type BillingReport = z.infer<typeof BillingReport>

/** One entry's report. */
export const EntryReport = z.object({
  entry: z.string(),
  incarnation: z.string(),
  state: z.enum(['ready', 'stopping']),
  generation: z.number(),
  services: z.array(ServiceReport),
  accounts: z.array(AccountReport),
  concerns: z.array(ReportWarning),
  spending: z.array(SpendingReport).default([]),
  billing: BillingReport.optional()
})
export type EntryReport = z.infer<typeof EntryReport>
