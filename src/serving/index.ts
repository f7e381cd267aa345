/** The configuration that a gateway serves under, and its freshness. */
export type {
  AccountQuota, CallerLimits, EngineLimits, OrderLimits, Idempotency, RouteShare, ServingAccount, ServingConfig, ServingRoute, ServingService, Stage, TargetRecord
} from './types.js'
export { RouteTable, pickService } from './route-table.js'
export { ElapsedClock } from './elapsed-clock.js'
export { Freshness } from './freshness.js'
export { ConfigFeed, type ConfigFeedDeps } from './config-feed.js'
