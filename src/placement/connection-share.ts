/** Each gateway's share of the connections that a target accepts from all of them. */
import type * as serving from '../serving/index.js'

/** Part of the connections that is used: idle ones and those of a gateway that has just come count too. */
const USED_SHARE = 0.8

/** Most calls that one of so many gateways may have at a target of the service. */
export function connectionShare (service: serving.ServingService, gateways: number): number {
  return Math.max(1, Math.floor(service.maxConnections * USED_SHARE / Math.max(1, gateways)))
}
