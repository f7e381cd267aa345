/** One attempt: a call sent to one target, and its response. */
import * as bytes from '../bytes/index.js'
import type * as calls from '../call/index.js'
import * as eventStream from '../event-stream/index.js'
import type * as fleet from '../fleet/index.js'
import type * as time from '../time/index.js'
import type * as upstream from '../upstream/index.js'
import * as stallTimeouts from './stall-timeouts.js'
import type * as streamProgress from './stream-progress.js'

/** Largest response that is buffered until it is complete, in bytes. */
const MAX_BUFFERED_RESPONSE_BYTES = 16 * 1024 * 1024

/** Longest event of a stream, in bytes. */
const MAX_EVENT_BYTES = 1024 * 1024

/** Interval at which a stalled attempt is reported again, in ms; meanwhile another target may have become usable. */
const STALL_REPORT_INTERVAL_MS = 250

/** Why an attempt failed: no byte of the target or of the response for too long, the connection ended, or an unusable response. */
export type FailureCause = 'target_stalled' | 'response_stalled' | 'disconnected' | 'malformed'

/** How an attempt ended. After `failed` the call may or may not have been executed. */
export type AttemptResult =
  | { readonly kind: 'answered', readonly head: calls.ResponseHead, readonly body: Uint8Array }
  | { readonly kind: 'streamed' }
  | { readonly kind: 'not_run', readonly written: boolean, readonly message: string }
  | {
    readonly kind: 'failed'
    readonly message: string
    readonly cause: FailureCause
    /** Time since the last byte of this attempt's response, or since its send, and since the last byte of the target over all its calls; ms. */
    readonly silentMs: number
    readonly targetSilentMs: number
  }
  | { readonly kind: 'stopped' }

/** Dependencies of an attempt. */
export interface AttemptDeps {
  readonly fleet: fleet.Fleet
  readonly env: time.Env
  readonly upstream: upstream.Upstream
  readonly protocol: calls.TargetProtocol
  /** Bytes of the responses that are being buffered. */
  readonly responseMemory: bytes.ByteBudget
  /** Called when the call is known to execute: at its first event, or at its response. */
  readonly onExecution: (call: calls.Call) => void
}

/** Input of one attempt. */
export interface AttemptSpec {
  readonly call: calls.Call
  readonly plan: calls.SendPlan
  readonly state: fleet.TargetState
  /** Where events are relayed as they arrive; absent when the response is buffered until complete. */
  readonly stream?: { readonly reply: calls.Reply, readonly progress: streamProgress.StreamProgress } | undefined
  /** Prompt tokens that the target is expected to prefill. */
  readonly prefillTokens: number
  /** When the attempt is reported as stalled. It goes on until it is given up or stopped. */
  readonly stall: stallTimeouts.StallTimeouts
  /** Whether no other target may work on the call at the same time, from the start; a stream that has begun is exclusive too. */
  readonly exclusive: boolean
  /** Connections of all attempts of the call. */
  readonly usedConnections: upstream.UsedConnections
  readonly events: AttemptEvents
}

/** What an attempt reports while it runs. */
export interface AttemptEvents {
  /** The target has sent no byte for its stall timeout, over all its calls; reported once for each silence. */
  readonly onTargetSilent: () => void
  /** The attempt is stalled; reported again at intervals while it stays so. */
  readonly onStalled: () => void
  /** The first event of a stream has arrived and is about to be relayed. */
  readonly onFirstEvent: () => void
}

/** Sends a call and processes the response to its end. */
export class Attempt implements upstream.ResponseHandler {
  private readonly sentAt: number
  private activeRequest: upstream.ActiveRequest | undefined
  private responseHead: calls.ResponseHead | undefined
  private streaming = false
  private readonly body: bytes.ByteCollector
  private lastByteAt: number
  /** Tokens of this attempt in the prefill backlog; -1 once they are removed from it. */
  private prefillTokens: number
  /** Last byte of the target before the silence that was reported last, in ms. */
  private reportedSilenceSince: number | undefined
  /** Whether reading waits for the caller, who reads more slowly than the target sends. */
  private paused = false
  private stallTimer: Disposable | undefined
  private finish: ((result: AttemptResult) => void) | undefined
  /** Whether the credit of the call was taken for this send. */
  private creditTaken = false
  private readonly replacementTimeouts: stallTimeouts.StallTimeouts
  private readonly splitter: eventStream.EventSplitter

  constructor (private readonly deps: AttemptDeps, private readonly spec: AttemptSpec) {
    this.body = new bytes.ByteCollector(MAX_BUFFERED_RESPONSE_BYTES, deps.responseMemory)
    this.splitter = new eventStream.EventSplitter(MAX_EVENT_BYTES, deps.responseMemory)
    this.sentAt = deps.env.clock.now()
    this.lastByteAt = this.sentAt
    this.prefillTokens = spec.prefillTokens
    this.replacementTimeouts = stallTimeouts.replacementTimeouts(spec.stall)
  }

  /** Runs the attempt until the response has ended, failed or was aborted. */
  async run (): Promise<AttemptResult> {
    const { call, plan, state, usedConnections } = this.spec
    state.running++
    if (call.prompt !== undefined) state.held.hold(call.prompt)
    state.pendingPrefillTokens += this.prefillTokens
    if (call.prompt !== undefined && plan.kvSource === undefined) state.cache.addPending(call.prompt)
    try {
      return await new Promise<AttemptResult>((resolve) => {
        this.finish = resolve
        this.watchSilence()
        const headers = this.deps.protocol.encodeHeaders(call, plan)
        const nonIdempotent = call.route.idempotency === 'non_idempotent'
        this.activeRequest = this.deps.upstream.send({ address: state.record.address, method: call.method, path: call.path, headers, body: call.body, nonIdempotent, usedConnections }, this)
        if (this.finish === undefined) this.activeRequest.abort()
      })
    } finally {
      this.stallTimer?.[Symbol.dispose]()
      this.body[Symbol.dispose]()
      this.splitter[Symbol.dispose]()
      this.endPrefill()
      state.running--
      if (call.prompt !== undefined) state.held.release(call.prompt)
    }
  }

  /** Time from the send to the first event, in ms, rounded; undefined before it. */
  firstEventMs: number | undefined

  /** When the first event arrived, in ms on the monotonic clock; undefined before it. */
  get firstEventAt (): number | undefined {
    return this.firstEventMs === undefined ? undefined : this.sentAt + this.firstEventMs
  }

  /** Time from the send until the request was written, in ms, rounded; undefined before it. */
  writeMs: number | undefined

  /** Whether no other target may work on the call while this attempt runs. */
  get exclusive (): boolean {
    return this.spec.exclusive || this.firstEventMs !== undefined
  }

  /** Whether the target, or the response, has been silent for longer than its stall timeout. */
  get isStalled (): boolean {
    return !this.paused && this.deps.env.clock.now() > this.stallAt(this.timeouts)
  }

  /** Whether the silence is longer than that of a sound target, so that the attempt may be aborted for another one. */
  get isReplaceable (): boolean {
    return !this.paused && this.deps.env.clock.now() > this.stallAt(this.replacementTimeouts)
  }

  /** Aborts the attempt and closes its connection, so that the target stops working on it. */
  stop (): void {
    this.abortWith({ kind: 'stopped' })
  }

  /** Aborts a stalled attempt as failed. */
  giveUp (): void {
    const { targetStallMs } = this.replacementTimeouts
    if (this.deps.env.clock.now() > this.targetByteAt + targetStallMs) this.abortWith(this.failure('target stalled', 'target_stalled'))
    else this.abortWith(this.failure('response stalled', 'response_stalled'))
  }

  // The target may have left, or turned requests away, while this one waited for a connection.
  mayWrite (): boolean {
    const now = this.deps.env.clock.now()
    if (this.spec.state.isBarred(now) || !this.takesCredit()) return false
    this.writeMs = Math.round(now - this.sentAt)
    return true
  }

  onHead (status: number, headers: upstream.ResponseHeaders): void {
    this.noteByte()
    const { state, stream } = this.spec
    const head = this.deps.protocol.decodeHead(status, headers)
    this.responseHead = head
    if (!this.isOwnResponse(head)) {
      this.abortWith(this.failure('response does not carry the id of this request', 'malformed'))
      return
    }
    if (head.load !== undefined) state.applyReportedLoad(head.load, this.lastByteAt)
    if (!head.wrongTarget) this.noteTargetReport(head)
    if (head.wrongTarget) this.abortWith({ kind: 'not_run', written: true, message: 'wrong_target' })
    else if (head.encoded) this.abortWith(this.failure('response has a content encoding', 'malformed'))
    else if (stream?.reply.started === true && status === 200 && !stream.progress.isContinuedBy(head)) this.abortWith(this.failure('response has another content type than the stream', 'malformed'))
    else this.streaming = stream !== undefined && status === 200
  }

  onData (chunk: Uint8Array): void {
    this.noteByte()
    if (this.finish === undefined) return
    if (this.streaming) this.relay(chunk)
    else this.bufferChunk(chunk)
  }

  onEnd (): void {
    this.noteByte()
    if (this.streaming) this.endStream()
    else this.endBuffered()
  }

  onError (err: upstream.SendError): void {
    if (err.written) this.settle(this.failure(err.message, 'disconnected'))
    else this.settle({ kind: 'not_run', written: false, message: err.message })
  }

  // What a target executes after a prefill elsewhere was paid for with the prefill.
  private takesCredit (): boolean {
    const { call, plan } = this.spec
    if (call.credit === undefined || plan.kvSource !== undefined) return true
    this.creditTaken = call.credit.mayWrite()
    return this.creditTaken
  }

  private noteTargetReport ({ leaving, retryAfterMs }: calls.ResponseHead): void {
    const { state } = this.spec
    if (leaving === true) this.deps.fleet.noteLeaving(state)
    if (retryAfterMs !== undefined) state.noteRefusal(retryAfterMs, this.lastByteAt)
  }

  // No connection carries two attempts of a call, so a response with the id of the call is that to this attempt.
  // A target may refuse a request without its id. On a connection that was used before, such a response may also be a
  // repetition of the one to an earlier request, which tells nothing about this call.
  private isOwnResponse ({ id, status }: calls.ResponseHead): boolean {
    if (id !== undefined) return id === this.spec.call.id
    return status >= 400 && this.activeRequest?.reused !== true
  }

  private relay (chunk: Uint8Array): void {
    const batch = this.splitter.push(chunk, this.spec.stream!.progress.lastId)
    if (batch !== undefined) this.relayEvents(batch)
    if (this.splitter.isTooLong) this.abortWith(this.failure('event exceeds the size limit', 'malformed'))
    else if (this.lacksMemoryFor(this.splitter.pendingBytes)) this.abortWith(this.failure('no memory for an event of this size', 'malformed'))
  }

  private relayEvents (batch: eventStream.EventBatch): void {
    const { reply, progress } = this.spec.stream!
    this.noteFirstEvent()
    this.startReply()
    progress.noteRelayed(batch, this.lastByteAt)
    if (reply.write(batch.bytes)) return
    this.pauseUntilDrained(reply)
  }

  // The target is not silent while nothing is read from it.
  private pauseUntilDrained (reply: calls.Reply): void {
    this.paused = true
    this.activeRequest?.pause()
    reply.onDrain(() => {
      this.paused = false
      this.lastByteAt = this.deps.env.clock.now()
      this.activeRequest?.resume()
    })
  }

  private bufferChunk (chunk: Uint8Array): void {
    if (!this.body.add(chunk)) this.abortWith(this.failure('response exceeds the size limit', 'malformed'))
    else if (this.lacksMemoryFor(this.body.length)) this.abortWith(this.failure('no memory for a response of this size', 'malformed'))
  }

  private lacksMemoryFor (bufferedBytes: number): boolean {
    return this.deps.responseMemory.refuses(bufferedBytes)
  }

  private endStream (): void {
    const { reply } = this.spec.stream!
    if (this.splitter.pendingBytes === 0 && this.spec.call.resumeAfter !== undefined && !reply.started) this.beginEmptyStream()
    if (this.splitter.pendingBytes > 0 || !reply.started) {
      this.settle(this.failure('stream ended before its first event or within an event', 'disconnected'))
      return
    }
    this.settle({ kind: 'streamed' })
  }

  // The caller already has all events of the stream that it resumes. Without an event, no time to the first one is known.
  private beginEmptyStream (): void {
    this.spec.events.onFirstEvent()
    this.deps.onExecution(this.spec.call)
    this.startReply()
  }

  private startReply (): void {
    const { reply, progress } = this.spec.stream!
    if (reply.started) return
    progress.noteBegun(this.responseHead!)
    reply.start(this.responseHead!)
  }

  private endBuffered (): void {
    const head = this.responseHead!
    if (head.notExecuted) {
      this.settle({ kind: 'not_run', written: true, message: `status ${head.status}` })
      return
    }
    if (this.spec.plan.prefillOnly !== true) this.deps.onExecution(this.spec.call)
    this.settle({ kind: 'answered', head, body: this.body.take() })
  }

  private noteFirstEvent (): void {
    if (this.prefillTokens < 0) return
    this.endPrefill()
    this.firstEventMs = Math.round(this.lastByteAt - this.sentAt)
    this.spec.events.onFirstEvent()
    this.deps.onExecution(this.spec.call)
  }

  // Removes the tokens from the backlog: the prompt is prefilled, or the attempt has ended.
  private endPrefill (): void {
    if (this.prefillTokens < 0) return
    const { call, plan, state } = this.spec
    state.pendingPrefillTokens -= this.prefillTokens
    if (call.prompt !== undefined && plan.kvSource === undefined) state.cache.removePending(call.prompt)
    this.prefillTokens = -1
  }

  private noteByte (): void {
    this.lastByteAt = this.deps.env.clock.now()
    this.spec.state.noteByte(this.lastByteAt)
  }

  private watchSilence (): void {
    const { stall, events } = this.spec
    if (!Number.isFinite(stall.targetStallMs) || this.finish === undefined) return
    const now = this.deps.env.clock.now()
    const silentAt = this.targetByteAt + stall.targetStallMs
    if (now > silentAt && !this.paused && this.reportedSilenceSince !== this.targetByteAt) {
      this.reportedSilenceSince = this.targetByteAt
      events.onTargetSilent()
    }
    if (this.isStalled) events.onStalled()
    const nextAt = [silentAt, this.stallAt(this.timeouts)].filter((at) => at >= now)
    this.stallTimer = this.deps.env.timers.after(nextAt.length === 0 ? STALL_REPORT_INTERVAL_MS : Math.min(...nextAt) - now + 1, () => this.watchSilence())
  }

  private stallAt ({ targetStallMs, callStallMs }: stallTimeouts.StallTimeouts): number {
    return Math.min(this.targetByteAt + targetStallMs, this.lastByteAt + callStallMs)
  }

  private get timeouts (): stallTimeouts.StallTimeouts {
    return this.exclusive ? this.replacementTimeouts : this.spec.stall
  }

  /** When the target last sent a byte of any call, or when this attempt was sent or read on if that is later; in ms. */
  private get targetByteAt (): number {
    return Math.max(this.lastByteAt, this.spec.state.lastByteAt)
  }

  private failure (message: string, cause: FailureCause): AttemptResult {
    const now = this.deps.env.clock.now()
    return { kind: 'failed', message, cause, silentMs: Math.round(now - this.lastByteAt), targetSilentMs: Math.round(now - this.targetByteAt) }
  }

  private abortWith (result: AttemptResult): void {
    this.activeRequest?.abort()
    this.settle(result)
  }

  private settle (result: AttemptResult): void {
    const finish = this.finish
    this.finish = undefined
    if (finish !== undefined && this.creditTaken && result.kind === 'not_run') this.spec.call.credit?.noteNotExecuted()
    finish?.(result)
  }
}
