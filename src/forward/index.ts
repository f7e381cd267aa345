/** The path of a call from a caller to targets and back. */
export { Forwarder, type ForwarderDeps } from './forwarder.js'
export { EventSplitter, type EventBatch } from './event-splitter.js'
