/** Bounds the log lines of each kind. */
import type * as time from '../time/index.js'
import type * as logger from './logger.js'

/** Lines of one event written in a second; further ones are counted. */
const LINES_PER_S = 250

const SECOND_MS = 1_000

type Level = 'debug' | 'info' | 'warn' | 'error'

interface Budget {
  second: number
  written: number
  suppressed: number
}

/** Passes on so many lines of each event a second, and says once a second how many it left out; `onEvent` is told of all. */
export class LimitedLogger implements logger.Logger {
  private readonly budgets = new Map<string, Budget>()

  constructor (private readonly inner: logger.Logger, private readonly clock: time.Clock, private readonly onEvent: (event: string) => void = () => {}, private readonly linesPerS = LINES_PER_S) {}

  debug (fields: object, event: string): void {
    this.write('debug', fields, event)
  }

  info (fields: object, event: string): void {
    this.write('info', fields, event)
  }

  warn (fields: object, event: string): void {
    this.write('warn', fields, event)
  }

  error (fields: object, event: string): void {
    this.write('error', fields, event)
  }

  private write (level: Level, fields: object, event: string): void {
    this.onEvent(event)
    const second = Math.floor(this.clock.now() / SECOND_MS)
    const budget = this.budgets.get(event) ?? { second, written: 0, suppressed: 0 }
    this.budgets.set(event, budget)
    if (budget.second !== second) this.renew(budget, second, event)
    if (budget.written >= this.linesPerS) {
      budget.suppressed++
      return
    }
    budget.written++
    this.inner[level](fields, event)
  }

  private renew (budget: Budget, second: number, event: string): void {
    if (budget.suppressed > 0) this.inner.warn({ suppressed_event: event, count: budget.suppressed }, 'log_lines_suppressed')
    budget.second = second
    budget.written = 0
    budget.suppressed = 0
  }
}
