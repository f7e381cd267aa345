/** Leader duties: work that one gateway, the lease holder, does for all. */
export type { AccountCounts, DutyApi, DutyError, LeaseStamp, DesiredTargets } from './types.js'
export { decodeLease, Lease, LEASE_KEY, type LeaseDeps, type LeaseValue } from './lease.js'
export { UsageLedger, COUNTS_PREFIX, type UsageLedgerDeps } from './usage-ledger.js'
export { decodeFinalCounts, UsageCloser, FINAL_COUNTS_KEY, type UsageCloserDeps, type FinalCounts } from './usage-closer.js'
export { planOrders, type DomainTargets, type OrderPlanInput } from './order-plan.js'
export { TargetOrders, SIZES_KEY, type TargetOrdersDeps } from './target-orders.js'
export { UsageCollector, type UsageCollectorDeps } from './usage-collector.js'
export type { ProcessCounts, WindowCounts } from './usage-counts.js'
