/** At-most-once execution of non-idempotent calls. */
export { LOOKUP_METHOD } from './types.js'
export type { Claim, ClaimOutcome, ClaimReq, Claims, StoredResponse, OwnerLiveness } from './types.js'
export { ObjectClaims } from './object-claims.js'
export { PageClaims, type PageClaimsDeps } from './page-claims.js'
export { ClaimSweeper } from './claim-sweeper.js'
export { MAX_AHEAD_MS, RETENTION_MS, SHARDS_PER_MINUTE } from './claim-key.js'
