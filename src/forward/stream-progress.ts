/** Part of a stream that was relayed to the caller, over all attempts. */
import type * as calls from '../call/index.js'
import type * as metrics from '../metrics/index.js'
import type * as eventStream from '../event-stream/index.js'

/** Position in a stream; records the time to the first event and between events, in ms. */
export class StreamProgress {
  private relayedId: string | undefined
  private relayedAt: number | undefined
  private mediaType: string | undefined
  private positionKnown = true
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

  /** Whether the relayed events show where a further attempt has to go on: all of them have ids. */
  get isResumable (): boolean {
    return this.positionKnown
  }

  /** Notes the head of the response with which the stream begins. */
  noteBegun (head: calls.ResponseHead): void {
    this.mediaType = mediaTypeOf(head)
  }

  /** Whether a response may continue the stream: it has the media type of the one that has begun. */
  isContinuedBy (head: calls.ResponseHead): boolean {
    return mediaTypeOf(head) === this.mediaType
  }

  /** Notes that events were relayed. */
  noteRelayed ({ lastId, allHaveIds }: eventStream.EventBatch, now: number): void {
    if (this.relayedAt === undefined) this.metrics.recordDuration('godwitpoint_first_token', now - this.call.arrivedAt, this.label)
    else this.noteGap(now - this.relayedAt)
    this.relayedId = lastId ?? this.relayedId
    if (!allHaveIds) this.positionKnown = false
    this.relayedAt = now
  }

  private noteGap (gapMs: number): void {
    this.metrics.recordDuration('godwitpoint_between_tokens', gapMs, this.label)
    this.longestGapMs = Math.max(this.longestGapMs, gapMs)
  }
}

/** Content type without its parameters, in lower case; undefined when there is none. */
function mediaTypeOf ({ headers }: calls.ResponseHead): string | undefined {
  const index = headers.findIndex((name, position) => position % 2 === 0 && name.toLowerCase() === 'content-type')
  return index < 0 ? undefined : headers[index + 1]!.split(';')[0]!.trim().toLowerCase()
}
