/** Time of a call: before its first send, at targets, and in this gateway. */
import type * as calls from '../call/index.js'
import type * as metrics from '../metrics/index.js'

/** Times one call and records it in the histograms of its service, in ms. */
export class CallTimes {
  private readonly label: string
  /** Time with at least one attempt in flight, in ms. */
  private atTargetsMs = 0
  private attempts = 0
  /** Since when at least one attempt has been running; undefined before the first. */
  private busySince: number | undefined

  constructor (private readonly call: calls.Call, private readonly metrics: metrics.Metrics) {
    this.label = `service="${call.service.name}"`
  }

  /** Notes that an attempt is sent; times are ms on the monotonic clock. */
  beginAttempt (now: number): void {
    if (this.busySince === undefined) this.metrics.recordDuration('godwitpoint_queue_wait', now - this.call.arrivedAt, this.label)
    if (this.attempts === 0) this.busySince = now
    this.attempts++
  }

  /** Notes that an attempt has ended. */
  endAttempt (now: number): void {
    this.attempts--
    if (this.attempts === 0) this.atTargetsMs += now - this.busySince!
  }

  /** Records the total time of the call, and the part of it that was not spent at targets. */
  finish (now: number): void {
    const totalMs = now - this.call.arrivedAt
    this.metrics.recordDuration('godwitpoint_request', totalMs, this.label)
    this.metrics.recordDuration('godwitpoint_added', totalMs - this.atTargetsMs, this.label)
  }
}
