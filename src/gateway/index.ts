/** The gateway between callers and targets: HTTP frontend, authorization and composition of the process. */
export type { CallerProtocol, CallerReq, CallHandler } from './types.js'
export { Gateway, type GatewayBounds, type GatewayDeps } from './gateway.js'
export { HttpFrontend, type HttpFrontendDeps } from './http-frontend.js'
export { LoopMonitor, type LoopMonitorDeps } from './loop-monitor.js'
export { requestExplanation, type ExplainReq } from './placement-explainer.js'
export { GatewayNode, type NodeDeps, type NodeSettings } from './node.js'
