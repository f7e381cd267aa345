/** Creates the loggers of a process. */
import bunyan from 'bunyan'
import type * as nodeStream from 'node:stream'
import { KeyValueStream } from './key-value.js'

/** Logger of the system's components. Field values must not hold secrets; `event` is snake_case. */
export interface Logger {
  debug (fields: object, event: string): void
  info (fields: object, event: string): void
  warn (fields: object, event: string): void
  error (fields: object, event: string): void
}

/** A logger that prints one key=value line for each event to `out`. */
export function createLogger (component: string, level: bunyan.LogLevelString, out: Pick<nodeStream.Writable, 'write'>): Logger {
  const stream = new KeyValueStream(out) as unknown as NodeJS.WritableStream
  return bunyan.createLogger({ name: 'godwitpoint', component, streams: [{ type: 'raw', level, stream }] })
}

/** A logger that discards everything. */
export const SILENT_LOGGER: Logger = { debug: drop, info: drop, warn: drop, error: drop }

function drop (): void {}
