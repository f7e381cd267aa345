/** Fair share: the order of waiting requests, queue bounds, and the exchange of work totals between entries. */
export type { Admission, AdmissionReq, QueueLimits, Ticket, WorkRow } from './types.js'
export { FairAdmission, QUEUE_LIMITS } from './fair-admission.js'
export type { CoordinatorEntry } from './coordinator-map.js'
export { ShareExchange, SHARE_INTERVAL_MS, type OutgoingReport, type Reporter } from './share-exchange.js'
export { ShareCoordinator } from './share-coordinator.js'
export { SHARE_METHOD, ShareReply, ShareReport } from './share-wire.js'
export { divideSlots, type SlotClaim, type SlotDivision } from './water-filling.js'
export { AccountWork } from './account-work.js'
