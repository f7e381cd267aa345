/** Forwarding of calls to targets and of responses back to callers. */
export { Forwarder, type ForwarderDeps } from './forwarder.js'
