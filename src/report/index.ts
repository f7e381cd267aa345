/** Reports for operators: whether the outcomes hold. */
export { AccountReport, BillingReport, ReportWarning, EntryReport, ServiceReport, SpendingReport } from './types.js'
export { allOutcomesHold, mergeReports, type FleetReport, type Outcomes, type WorstServed } from './fleet-report.js'
export { renderReport, REPORT_COLUMNS } from './render.js'
