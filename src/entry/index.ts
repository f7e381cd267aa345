/** The path of a caller's request. */
export type * from './types.js'
export { RequestHandler } from './request-handler.js'
export { CallerListener, MAX_BODY_BYTES } from './http-listener.js'
export { createKey, type NewKey } from './keys.js'
