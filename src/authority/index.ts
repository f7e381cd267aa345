/** Leases with fencing tokens: at most one process acts for each scope. */
export type { ScopeDuty, ScopeHandle } from './types.js'
export {
  acquirableAt, ACT_MARGIN_MS, applyLease, CLOCK_DRIFT, LEASE_TTL_MS, mayActAt, newLease, RENEW_INTERVAL_MS, type LeaseState, type LeaseStep
} from './lease.js'
export { preferenceRank, regionalRank, type Candidate } from './preference.js'
export { handleRetire, PeerRetirement, RETIRE_METHOD, VM_LIST_LAG_MS, type RetirementDeps } from './retirement.js'
export { scopeKey } from './scope-store.js'
export { MAX_OPEN_INTENTS, ScopeTask, type ScopeTaskDeps } from './scope-task.js'
export { SendGate } from './send-gate.js'
