/** Connections to targets. */
export type { AnswerHeaders, Receiver, SendError, Sending, SendReq, Upstream } from './types.js'
export { ConnectionPool, type PoolDeps } from './connection-pool.js'
