/** Fair share: which waiting request runs next, how long a queue may grow, and how entries keep in step. */
export type { Admission, AdmissionReq, QueueLimits, Ticket, WorkRow } from './types.js'
export { FairAdmission, QUEUE_LIMITS } from './fair-admission.js'
export type { CoordinatorEntry } from './coordinator-map.js'
export { ShareExchange, SHARE_INTERVAL_MS, type OutgoingReport, type Reporter } from './share-exchange.js'
export { ShareCoordinator } from './share-coordinator.js'
export { SHARE_METHOD, ShareAnswer, ShareReport } from './share-wire.js'
export { divideSlots, type SlotClaim, type SlotDivision } from './water-filling.js'
export { AccountWork } from './account-work.js'
