/** Calls that wait at their gateway until a target has room: the queue, its order, and what gateways tell each other of it. */
export { CallAdmission, type CallAdmissionDeps, type Candidate } from './call-admission.js'
export type { HeldCall } from './held-call.js'
export { PeerWaiting, WaitingRow, type PeerWaitingDeps } from './peer-waiting.js'
export { RefusedWork } from './refused-work.js'
export { RoomRate } from './room-rate.js'
export { urgencyLevel } from './urgency.js'
export { WaitingCalls, type Entry, type Next, type Outlook, type QueueDeps } from './waiting-calls.js'
export type { Decision, Estimate, LevelTotals, OthersWaiting, QueueBounds, RefusalCause, Room, SendCause, WaitingCall } from './types.js'
