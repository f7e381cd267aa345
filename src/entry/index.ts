/** Serving of callers' requests: HTTP listener, authentication, and calls to model engines and plain services. */
export type * from './types.js'
export { RequestHandler } from './request-handler.js'
export { CallerListener, MAX_BODY_BYTES } from './http-listener.js'
export { createKey, type NewKey } from './keys.js'
