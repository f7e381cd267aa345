/** A gateway between callers and targets. */
export type { CallerProtocol, CallerReq, CallHandler } from './types.js'
export { Gateway, type GatewayBounds, type GatewayParts } from './gateway.js'
export { HttpFront, type FrontParts } from './http-front.js'
export { GatewayNode, type NodeParts, type NodeSettings } from './node.js'
