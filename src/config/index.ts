/** Versioned configuration: checks, chunks, publication and look-ups. */
export { ConfigIndex } from './config-index.js'
export { checkConfig, type ConfigProblem } from './check.js'
export { joinConfig, makeChunk, makeHead, splitConfig, type ConfigChunk } from './chunks.js'
export { chunkKey, HEAD_KEY, publishConfig, readChunks, readConfig, type PublishedConfig } from './publish.js'
export { editConfig, withKeyWithdrawn } from './edit.js'
