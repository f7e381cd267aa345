/** Part of a stream that was relayed to the caller, over all attempts. */
import type * as calls from '../call/index.js'
import type * as metrics from '../metrics/index.js'

/** Position in a stream; records the time to the first event and between events, in ms. */
export class StreamProgress {
  private relayedId: string | undefined
  private relayedAt: number | undefined
  private readonly label: string
  /** Longest time between two events so far, in ms; 0 before the second. */
  longestGapMs = 0

  constructor (private readonly call: calls.Call, private readonly metrics: metrics.Metrics) {
    this.relayedId = call.resumeAfter
    this.label = `service="${call.service.name}"`
  }

  /** Id of the last complete event that the caller has received, also in an earlier call that this one resumes. */
  get lastId (): string | undefined {
    return this.relayedId
  }

  /** When the last event was relayed, on the monotonic clock; undefined before the first. */
  get lastRelayedAt (): number | undefined {
    return this.relayedAt
  }

  /** Notes that events up to `id` were relayed. */
  noteRelayed (id: string | undefined, now: number): void {
    if (this.relayedAt === undefined) this.metrics.recordDuration('godwitpoint_first_token', now - this.call.arrivedAt, this.label)
    else this.noteGap(now - this.relayedAt)
    this.relayedId = id ?? this.relayedId
    this.relayedAt = now
  }

  private noteGap (gapMs: number): void {
    this.metrics.recordDuration('godwitpoint_between_tokens', gapMs, this.label)
    this.longestGapMs = Math.max(this.longestGapMs, gapMs)
  }
}
