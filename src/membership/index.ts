/** Failure detection among entries, and which of them are recommended to callers. */
export type { TerminationEvidence, GossipExtra, Member, MemberChange, MemberState, MembershipView } from './types.js'
export { EXTRA_BYTES } from './types.js'
export { Membership, PROBE_INTERVAL_MS, PROBE_TIMEOUT_MS, type ListedVm, type ProbeFailure, type UnknownVm } from './membership.js'
export { ADVICE_TTL_MS, ADVISED_WITHIN_MS, adviseEntries, type AdviceInput, type AdvisedEntry } from './advice.js'
export { STOP_HOLD_MS, stopGracefully, type StopSteps } from './stop.js'
export {
  Ack, MemberRecord, Ping, PING_METHOD, PROBE_METHOD, ProbeReq, ProbeRes, SYNC_METHOD, SyncReq, SyncRes
} from './wire.js'
