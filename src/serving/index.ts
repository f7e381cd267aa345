/** The configuration that a gateway serves under, and how current it is. */
export type {
  CallerLimits, EngineLimits, OrderLimits, Repeat, RouteShare, ServingAccount, ServingConfig, ServingRoute, ServingService, Stage, TargetRecord
} from './types.js'
export { RouteTable, serviceOf } from './route-table.js'
export { ElapsedClock } from './elapsed-clock.js'
export { Currency } from './currency.js'
export { ConfigFeed, type ConfigFeedDeps } from './config-feed.js'
