/** Limits the rate of log lines of each event. */
import type * as time from '../time/index.js'
import type * as logger from './logger.js'

/** Log lines of one event that are written per second; further ones are only counted. */
const EVENT_LINES_PER_S = 250

const SECOND_MS = 1_000

type Level = 'debug' | 'info' | 'warn' | 'error'

/** Lines of an event in the current second. */
interface EventBudget {
  /** Number of the second on the monotonic clock. */
  second: number
  written: number
  suppressed: number
}

/**
 * Writes up to `linesPerS` lines of each event per second to `inner`. The next line of the event in a later second is
 * preceded by a line with the number of suppressed ones. `onEvent` is called for every line, also for suppressed ones.
 */
export class LimitedLogger implements logger.Logger {
  private readonly budgets = new Map<string, EventBudget>()

  constructor (private readonly inner: logger.Logger, private readonly clock: time.Clock, private readonly onEvent: (event: string) => void = () => {}, private readonly linesPerS = EVENT_LINES_PER_S) {}

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
    if (budget.second !== second) this.startSecond(budget, second, event)
    if (budget.written >= this.linesPerS) {
      budget.suppressed++
      return
    }
    budget.written++
    this.inner[level](fields, event)
  }

  private startSecond (budget: EventBudget, second: number, event: string): void {
    if (budget.suppressed > 0) this.inner.warn({ suppressed_event: event, count: budget.suppressed }, 'log_lines_suppressed')
    budget.second = second
    budget.written = 0
    budget.suppressed = 0
  }
}
