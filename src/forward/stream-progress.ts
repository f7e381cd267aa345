/** What the caller has got of a stream, over all attempts. */
import type * as calls from '../call/index.js'
import type * as metrics from '../metrics/index.js'

/** Position in a stream; records how long the caller waited for each event. */
export class StreamProgress {
  private last: string | undefined
  private at: number | undefined
  private readonly label: string

  constructor (private readonly call: calls.Call, private readonly metrics: metrics.Metrics) {
    this.last = call.resumeAfter
    this.label = `service="${call.service.name}"`
  }

  /** Id of the last whole event that the caller has, also from an earlier call that it resumes. */
  get lastId (): string | undefined {
    return this.last
  }

  /** When the last event was passed on, on the steady clock. */
  get lastAt (): number | undefined {
    return this.at
  }

  /** Notes that events up to `id` were passed on. */
  noteRelayed (id: string | undefined, now: number): void {
    if (this.at === undefined) this.metrics.recordDuration('godwitpoint_first_token', now - this.call.arrivedAt, this.label)
    else this.metrics.recordDuration('godwitpoint_between_tokens', now - this.at, this.label)
    this.last = id ?? this.last
    this.at = now
  }
}
