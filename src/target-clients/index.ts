/** Clients for targets (model engines and plain services): interfaces and HTTP implementations. */
export type * from './types.js'
export { CHARS_PER_TOKEN, countTokens, CACHE_BLOCK_TOKENS, prefixChain } from './tokens.js'
export { HttpTargetClients } from './http-clients.js'
export { HttpEngine, STALL_TIMEOUT_MS } from './http-engine.js'
export { HttpPlainTarget } from './http-plain.js'
