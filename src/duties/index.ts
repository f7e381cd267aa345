/** Duties that one gateway has for all. */
export type { AccountCounts, DutyCalls, DutyError, DutyStamp, TargetWish } from './types.js'
export { decodeLease, Lease, LEASE_KEY, type LeaseDeps, type LeaseValue } from './lease.js'
export { UsageLedger, COUNTS_PREFIX, type LedgerDeps } from './usage-ledger.js'
export { decodeFinals, UsageCloser, FINALS_KEY, type CloserDeps, type Finals } from './usage-closer.js'
export { planOrders, type DomainCount, type OrderState } from './order-plan.js'
export { TargetOrders, SIZES_KEY, type TargetOrdersDeps } from './target-orders.js'
export { UsageExchange, type ProcessCounts, type UsageExchangeDeps } from './usage-exchange.js'
