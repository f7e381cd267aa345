/** The operator interface of entries. */
export type { OperatorActions, WithdrawalOutcome } from './types.js'
export { OperatorListener } from './http-listener.js'
export { OperatorClient } from './http-client.js'
