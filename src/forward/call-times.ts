/** Where the time of a call goes: before its first send, at targets, and in this gateway. */
import type * as calls from '../call/index.js'
import type * as metrics from '../metrics/index.js'

/** Adds up the time of one call, for the histograms of its service. */
export class CallTimes {
  private readonly label: string
  private atTargetsMs = 0
  private sent = false

  constructor (private readonly call: calls.Call, private readonly metrics: metrics.Metrics) {
    this.label = `service="${call.service.name}"`
  }

  /** Notes a send from `sentAt` to `endedAt`, on the steady clock. */
  addAttempt (sentAt: number, endedAt: number): void {
    if (!this.sent) this.metrics.recordDuration('godwitpoint_queue_wait', sentAt - this.call.arrivedAt, this.label)
    this.sent = true
    this.atTargetsMs += endedAt - sentAt
  }

  /** Records the time of the whole call, and the part of it that no target took. */
  finish (now: number): void {
    const totalMs = now - this.call.arrivedAt
    this.metrics.recordDuration('godwitpoint_request', totalMs, this.label)
    this.metrics.recordDuration('godwitpoint_added', totalMs - this.atTargetsMs, this.label)
  }
}
