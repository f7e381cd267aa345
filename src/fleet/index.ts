/** The targets that there are and what is known of each. */
export { Fleet, type FleetParts } from './fleet.js'
export { FleetFeed, type FleetFeedParts } from './fleet-feed.js'
export { TargetState } from './target-state.js'
export { FailureRecord, type AttemptOutcome } from './failure-record.js'
export { Backlog, FIRST_LATE_RANK, lateRank } from './backlog.js'
export { LoadRow, PeerLoad } from './peer-load.js'
export { CacheFeed, type CacheFeedParts } from './cache-feed.js'
export { CacheBelief } from './cache-belief.js'
