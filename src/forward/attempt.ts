/** One send of a call to one target. */
import type * as calls from '../call/index.js'
import type * as fleet from '../fleet/index.js'
import type * as time from '../time/index.js'
import type * as upstream from '../upstream/index.js'
import * as eventSplitter from './event-splitter.js'
import type * as streamProgress from './stream-progress.js'

/** Largest answer that is held until it is whole, in bytes. */
const MAX_WHOLE_BYTES = 16 * 1024 * 1024

/** How an attempt ended. `failed` leaves open if the call ran. */
export type AttemptResult =
  | { readonly kind: 'answered', readonly head: calls.ResponseHead, readonly body: Uint8Array }
  | { readonly kind: 'streamed' }
  | { readonly kind: 'not_run', readonly written: boolean, readonly message: string }
  | { readonly kind: 'failed', readonly message: string, readonly silent: boolean }
  | { readonly kind: 'stopped' }

/** What an attempt needs from its surroundings. */
export interface AttemptDeps {
  readonly env: time.Env
  readonly upstream: upstream.Upstream
  readonly protocol: calls.TargetProtocol
  /** Called when the call has begun to run: with its first event, or with its answer. */
  readonly onExecution: (call: calls.Call) => void
}

/** What one attempt is to do. */
export interface AttemptSpec {
  readonly call: calls.Call
  readonly plan: calls.SendPlan
  readonly state: fleet.TargetState
  /** Where events go as they arrive; absent when the answer is wanted whole. */
  readonly stream?: { readonly reply: calls.Reply, readonly progress: streamProgress.StreamProgress } | undefined
  /** Prompt tokens that the target is expected to read. */
  readonly prefillTokens: number
  /** Time without a byte after which the attempt is given up, in ms: from this target at all, and for this call. */
  readonly targetStallMs: number
  readonly callStallMs: number
}

/** Sends a call and follows its answer to the end. */
export class Attempt implements upstream.ResponseHandler {
  private readonly sentAt: number
  private sending: upstream.ActiveRequest | undefined
  private head_: calls.ResponseHead | undefined
  private streaming = false
  private readonly chunks: Uint8Array[] = []
  private bytes = 0
  private lastByteAt: number
  private prefillTokens: number
  private watch: Disposable | undefined
  private finish: ((end: AttemptResult) => void) | undefined
  private readonly splitter = new eventSplitter.EventSplitter()

  constructor (private readonly deps: AttemptDeps, private readonly spec: AttemptSpec) {
    this.sentAt = deps.env.clock.now()
    this.lastByteAt = this.sentAt
    this.prefillTokens = spec.prefillTokens
  }

  /** Runs the attempt. */
  async run (): Promise<AttemptResult> {
    const { call, plan, state } = this.spec
    state.running++
    state.prefillBacklog.add(plan.priority, this.prefillTokens)
    try {
      return await new Promise<AttemptResult>((resolve) => {
        this.finish = resolve
        this.watchStall()
        const headers = this.deps.protocol.encodeHeaders(call, plan)
        const nonIdempotent = call.route.idempotency === 'non_idempotent'
        this.sending = this.deps.upstream.send({ address: state.record.address, method: call.method, path: call.path, headers, body: call.body, nonIdempotent }, this)
        if (this.finish === undefined) this.sending.abort()
      })
    } finally {
      this.watch?.[Symbol.dispose]()
      this.prefillDone()
      state.running--
    }
  }

  /** Time to the first event, in ms, rounded; undefined before it. */
  firstEventMs: number | undefined

  /** Gives the attempt up and closes its connection, so that the target stops work. */
  stop (): void {
    this.close({ kind: 'stopped' })
  }

  onHead (status: number, headers: upstream.ResponseHeaders): void {
    this.noteByte()
    const { call, state, stream } = this.spec
    const head = this.deps.protocol.decodeHead(status, headers)
    this.head_ = head
    if (head.load !== undefined) state.applyReportedLoad(head.load, this.lastByteAt)
    if (head.wrongTarget) this.close({ kind: 'not_run', written: true, message: 'wrong_target' })
    else if (head.id !== call.id && !(head.id === undefined && status >= 400)) this.close({ kind: 'failed', message: 'answer to another request', silent: false })
    else if (head.encoded) this.close({ kind: 'failed', message: 'encoded answer', silent: false })
    else this.streaming = stream !== undefined && status === 200
  }

  onData (chunk: Uint8Array): void {
    this.noteByte()
    if (this.finish === undefined) return
    if (this.streaming) this.relay(chunk)
    else this.collect(chunk)
  }

  onEnd (): void {
    this.noteByte()
    if (this.streaming) this.endStream()
    else this.endWhole()
  }

  onError (err: upstream.SendError): void {
    if (err.written) this.settle({ kind: 'failed', message: err.message, silent: false })
    else this.settle({ kind: 'not_run', written: false, message: err.message })
  }

  private relay (chunk: Uint8Array): void {
    const { reply, progress } = this.spec.stream!
    const batch = this.splitter.push(chunk, progress.lastId)
    if (this.splitter.unfinished > eventSplitter.MAX_EVENT_BYTES) this.close({ kind: 'failed', message: 'event too long', silent: false })
    if (batch === undefined) return
    this.firstEvent()
    if (!reply.started) reply.start(this.head_!)
    progress.noteRelayed(batch.lastId, this.lastByteAt)
    if (reply.write(batch.bytes)) return
    this.sending?.pause()
    reply.onDrain(() => this.sending?.resume())
  }

  private collect (chunk: Uint8Array): void {
    this.chunks.push(chunk)
    this.bytes += chunk.length
    if (this.bytes > MAX_WHOLE_BYTES) this.close({ kind: 'failed', message: 'answer too long', silent: false })
  }

  private endStream (): void {
    const { reply } = this.spec.stream!
    if (this.splitter.unfinished > 0 || !reply.started) {
      this.settle({ kind: 'failed', message: 'the stream ended before its last event', silent: false })
      return
    }
    this.settle({ kind: 'streamed' })
  }

  private endWhole (): void {
    const head = this.head_!
    if (head.notExecuted) {
      this.settle({ kind: 'not_run', written: true, message: `status ${head.status}` })
      return
    }
    if (this.spec.plan.prefillOnly !== true) this.deps.onExecution(this.spec.call)
    this.settle({ kind: 'answered', head, body: this.chunks.length === 1 ? this.chunks[0]! : Buffer.concat(this.chunks) })
  }

  private firstEvent (): void {
    if (this.prefillTokens < 0) return
    this.prefillDone()
    this.firstEventMs = Math.round(this.lastByteAt - this.sentAt)
    this.deps.onExecution(this.spec.call)
  }

  // The prompt has been read, or nobody waits for it.
  private prefillDone (): void {
    if (this.prefillTokens > 0) this.spec.state.prefillBacklog.add(this.spec.plan.priority, -this.prefillTokens)
    this.prefillTokens = -1
  }

  private noteByte (): void {
    this.lastByteAt = this.deps.env.clock.now()
    this.spec.state.lastByteAt = this.lastByteAt
  }

  private watchStall (): void {
    const { targetStallMs, callStallMs, state } = this.spec
    if (!Number.isFinite(targetStallMs)) return
    const now = this.deps.env.clock.now()
    const targetDueAt = Math.max(this.lastByteAt, state.lastByteAt) + targetStallMs
    const dueAt = Math.min(targetDueAt, this.lastByteAt + callStallMs)
    if (now < dueAt) {
      this.watch = this.deps.env.timers.after(dueAt - now + 1, () => this.watchStall())
      return
    }
    this.close({ kind: 'failed', message: now >= targetDueAt ? 'target silent' : 'call silent', silent: now >= targetDueAt })
  }

  private close (end: AttemptResult): void {
    this.sending?.abort()
    this.settle(end)
  }

  private settle (end: AttemptResult): void {
    const finish = this.finish
    this.finish = undefined
    finish?.(end)
  }
}
