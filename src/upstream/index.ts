/** HTTP connections to targets. */
export type { ResponseHeaders, ResponseHandler, SendError, ActiveRequest, SendReq, Upstream } from './types.js'
export { UsedConnections } from './used-connections.js'
export { ConnectionPool, type ConnectionPoolDeps } from './connection-pool.js'
