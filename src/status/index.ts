/** What operators read of a fleet of gateways from the store alone. */
export { readStatus, type DutyStatus, type GatewayFleetStatus, type ServiceStatus, type StatusSource, type UsageStatus } from './fleet-status.js'
export { renderStatus } from './render.js'
