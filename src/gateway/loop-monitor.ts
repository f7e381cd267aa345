/** Measures how long the event loop could not run timers. */
import type * as log from '../log/index.js'
import type * as metrics from '../metrics/index.js'
import type * as time from '../time/index.js'

/** Time between two measurements, in ms. */
const INTERVAL_MS = 200

/** Delay from which on a line is logged, in ms: calls at their deadline are to be answered within half a second. */
const LOGGED_DELAY_MS = 250

/** Dependencies of a loop monitor. */
export interface LoopMonitorDeps {
  readonly env: time.Env
  /** Processor time of this process so far, in ms. */
  readonly cpuMs: () => number
  readonly log: log.Logger
  readonly metrics: Pick<metrics.Metrics, 'recordDuration'>
}

/** Records by how much a timer is late. The processor time of that period tells long work from a process that was paused. */
export class LoopMonitor implements Disposable {
  private timer: Disposable | undefined
  private lastAt = 0
  private lastCpuMs = 0

  constructor (private readonly deps: LoopMonitorDeps) {}

  /** Starts to measure. */
  start (): void {
    this.lastAt = this.deps.env.clock.now()
    this.lastCpuMs = this.deps.cpuMs()
    this.timer = this.deps.env.timers.after(INTERVAL_MS, () => this.measure())
  }

  [Symbol.dispose] (): void {
    this.timer?.[Symbol.dispose]()
  }

  private measure (): void {
    const delayMs = Math.max(0, this.deps.env.clock.now() - this.lastAt - INTERVAL_MS)
    const cpuMs = this.deps.cpuMs() - this.lastCpuMs
    this.deps.metrics.recordDuration('godwitpoint_event_loop_delay', delayMs)
    if (delayMs >= LOGGED_DELAY_MS) this.deps.log.warn({ ms: Math.round(delayMs), cpu_ms: Math.round(cpuMs) }, 'event_loop_delayed')
    this.start()
  }
}
