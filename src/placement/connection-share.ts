/** Each gateway's share of the connections that a target accepts from all of them. */
import type * as serving from '../serving/index.js'

/** Share of the accepted connections that is used: idle ones and those of a gateway that just started count too. */
const USED_CONNECTIONS_SHARE = 0.8

/** Highest number of calls that each of `gateways` gateways may have in flight at one target of the service. */
export function connectionShare (service: serving.ServingService, gateways: number): number {
  return Math.max(1, Math.floor(service.maxConnections * USED_CONNECTIONS_SHARE / Math.max(1, gateways)))
}
