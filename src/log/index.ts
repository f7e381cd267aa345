/** Logging: one key=value line for each event. */
export { createLogger, SILENT_LOGGER, type Logger } from './logger.js'
export { formatRecord, KeyValueStream, type LogRecord } from './key-value.js'
export { BoundedWriter, type BoundedWriterDeps } from './bounded-writer.js'
export { LimitedLogger } from './limited-logger.js'
