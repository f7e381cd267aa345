/** Prompt segments that crash engines, and what keeps calls with them away from engines. */
export { AnsweredSegments } from './answered-segments.js'
export { QUARANTINE_PREFIX, QuarantineRecords, type QuarantineRecordsDeps, type StoredQuarantine } from './quarantine-records.js'
export { SegmentQuarantine, type LostAttempt, type QuarantineDeps } from './segment-quarantine.js'
