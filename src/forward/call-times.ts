/** Time of a call: before its first send, at targets, and in this gateway. */
import type * as calls from '../call/index.js'
import type * as metrics from '../metrics/index.js'

/** Times one call and records it in the histograms of its service, in ms. */
export class CallTimes {
  private readonly label: string
  private atTargetsMs = 0
  private sent = false

  constructor (private readonly call: calls.Call, private readonly metrics: metrics.Metrics) {
    this.label = `service="${call.service.name}"`
  }

  /** Adds an attempt from `sentAt` to `endedAt`, on the monotonic clock. */
  addAttempt (sentAt: number, endedAt: number): void {
    if (!this.sent) this.metrics.recordDuration('godwitpoint_queue_wait', sentAt - this.call.arrivedAt, this.label)
    this.sent = true
    this.atTargetsMs += endedAt - sentAt
  }

  /** Records the total time of the call, and the part of it that was not spent at targets. */
  finish (now: number): void {
    const totalMs = now - this.call.arrivedAt
    this.metrics.recordDuration('godwitpoint_request', totalMs, this.label)
    this.metrics.recordDuration('godwitpoint_added', totalMs - this.atTargetsMs, this.label)
  }
}
