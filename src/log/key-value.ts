/** A bunyan stream that prints each record as one key=value line. */
import type * as stream from 'node:stream'

/** A bunyan record: the fixed fields and those of the log call; `msg` is the event. */
export type LogRecord = Record<string, unknown> & { time: Date, level: number, msg: string }

/** Writes records to `out`, one line each. */
export class KeyValueStream {
  constructor (private readonly out: Pick<stream.Writable, 'write'>) {}

  write (record: LogRecord): void {
    this.out.write(`${formatRecord(record)}\n`)
  }
}

/** Formats a record as one line; empty values, and those with white space, quotes or `=`, are JSON strings. */
export function formatRecord (record: LogRecord): string {
  const fields = [
    formatField('time', record.time.toISOString()),
    formatField('level', LEVEL_NAMES.get(record.level) ?? String(record.level)),
    formatField('event', record.msg)
  ]
  for (const [key, value] of Object.entries(record)) {
    if (!FIXED_FIELDS.has(key) && value !== undefined) fields.push(formatField(key, value))
  }
  return fields.join(' ')
}

/** Names of bunyan's numeric levels. */
const LEVEL_NAMES = new Map([[10, 'trace'], [20, 'debug'], [30, 'info'], [40, 'warn'], [50, 'error'], [60, 'fatal']])

/** Fields that are printed first, or not at all. */
const FIXED_FIELDS = new Set(['time', 'level', 'msg', 'v', 'name', 'hostname', 'pid'])

function formatField (key: string, value: unknown): string {
  const text = typeof value === 'string' ? value : value instanceof Error ? value.message : JSON.stringify(value)
  return `${key}=${/^[^\s"=]+$/.test(text) ? text : JSON.stringify(text)}`
}
