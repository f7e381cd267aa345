/** Event streams (SSE) as bytes. */
export { EventSplitter, type EventBatch } from './event-splitter.js'
