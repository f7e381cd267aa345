/** Status of a fleet of gateways for operators, read from the store alone. */
export { readStatus, type DutyStatus, type GatewayFleetStatus, type ServiceStatus, type StatusSource, type UsageStatus } from './fleet-status.js'
export { renderStatus } from './render.js'
