/** Forwards calls: chooses targets, retries within the budget, and delivers one response. */
import type * as calls from '../call/index.js'
import * as errors from '../errors/index.js'
import type * as fleet from '../fleet/index.js'
import type * as placement from '../placement/index.js'
import type * as quarantine from '../quarantine/index.js'
import type * as retry from '../retry/index.js'
import * as attempt from './attempt.js'
import * as attemptRecorder from './attempt-recorder.js'
import * as callTimes from './call-times.js'
import * as stallTimeouts from './stall-timeouts.js'
import * as streamProgress from './stream-progress.js'

/** Least time in which a target can respond, in ms; with less left before the deadline nothing is sent. */
const MIN_SEND_MS = 15

/** Range of the retry-after of a refusal, in ms; the value is random so that callers do not retry at the same time. */
const RETRY_AFTER_MIN_MS = 150
const RETRY_AFTER_MAX_MS = 500

/** Dependencies of a forwarder. */
export interface ForwarderDeps extends attempt.AttemptDeps, attemptRecorder.RecorderDeps {
  readonly placerFor: (call: calls.Call) => placement.Placer
  readonly budgetFor: (service: string) => retry.SharedRetryBudget
  readonly quarantine: Pick<quarantine.SegmentQuarantine, 'admit' | 'noteLost' | 'noteAnswered'>
  /** Age of the list of targets, in ms. */
  readonly listAgeMs: () => number
  /** Version of the configuration in force; undefined before the first. */
  readonly configVersion: () => number | undefined
}

/** Forwards each call until its response has ended. */
export class Forwarder {
  constructor (private readonly deps: ForwarderDeps) {}

  /** Delivers a response, or returns the refusal; `signal` is aborted when the caller has disconnected. */
  async forward (call: calls.Call, reply: calls.Reply, signal: AbortSignal): Promise<errors.Refusal | undefined> {
    return await new ForwardedCall(this.deps, call, reply, signal).run()
  }
}

/** State of one call over all its attempts. */
class ForwardedCall {
  private readonly triedTargets = new Set<string>()
  /** Quarantined segments of which this call is the trial; until its next attempt has ended. */
  private readonly trials = new Set<string>()
  private readonly progress: streamProgress.StreamProgress
  private readonly times: callTimes.CallTimes
  private readonly recorder: attemptRecorder.AttemptRecorder
  private readonly budget: retry.SharedRetryBudget
  /** Attempts whose request may have reached a target; they count against the retry budget and the route's `maxTargets`. */
  private countedAttempts = 0
  private mayHaveExecuted = false
  private currentAttempt: attempt.Attempt | undefined
  private endedBy: 'deadline' | 'caller_left' | undefined
  private lastResponse: { head: calls.ResponseHead, body: Uint8Array } | undefined
  private lastMessage = ''
  /** Whether a prefill has succeeded; the first one that does is not counted as an attempt. */
  private prefillAccepted = false

  constructor (private readonly deps: ForwarderDeps, private readonly call: calls.Call, private readonly reply: calls.Reply, private readonly signal: AbortSignal) {
    this.progress = new streamProgress.StreamProgress(call, deps.metrics)
    this.times = new callTimes.CallTimes(call, deps.metrics)
    this.recorder = new attemptRecorder.AttemptRecorder(deps, call, this.progress)
    this.budget = deps.budgetFor(call.service.name)
  }

  async run (): Promise<errors.Refusal | undefined> {
    this.budget.countRequest()
    const onCallerLeft = (): void => this.endEarly('caller_left')
    this.signal.addEventListener('abort', onCallerLeft, { once: true })
    if (this.signal.aborted) onCallerLeft()
    const timer = this.deps.env.timers.after(Math.max(0, this.call.deadlineAt - this.now()), () => this.endEarly('deadline'))
    try {
      return await this.attemptUntilDone()
    } finally {
      timer[Symbol.dispose]()
      this.signal.removeEventListener('abort', onCallerLeft)
      this.times.finish(this.now())
    }
  }

  private async attemptUntilDone (): Promise<errors.Refusal | undefined> {
    for (;;) {
      const stopReason = this.reasonToStop()
      if (stopReason !== undefined) return this.giveUp(stopReason)
      const choice = this.chooseTarget()
      if (choice === undefined) return this.giveUp('no_target')
      const lateMs = choice.expectedMs - this.firstEventTimeoutMs
      if (lateMs > 0) return this.giveUp('deadline_unreachable', lateMs)
      if (!this.mayAttempt()) return this.giveUp(this.mayHaveExecuted ? 'target_failed' : 'retry_budget_exhausted')
      if (await this.attemptAt(choice)) return undefined
    }
  }

  private reasonToStop (): errors.Refusal | errors.RefusalReason | undefined {
    if (this.endedBy === 'deadline') return 'deadline_exceeded'
    if (this.endedBy === 'caller_left') return 'caller_disconnected'
    if (this.call.deadlineAt - this.now() < MIN_SEND_MS) return 'deadline_unreachable'
    return this.call.checkAuthorization() ?? this.checkQuarantine()
  }

  private checkQuarantine (): errors.Refusal | undefined {
    const { prompt } = this.call
    const retryAfterMs = prompt === undefined ? undefined : this.deps.quarantine.admit(prompt, this.trials)
    return retryAfterMs === undefined ? undefined : new errors.Refusal('segment_quarantined', { step: 'route', ran: 'no', retryAfterMs })
  }

  private chooseTarget (): placement.Placement | undefined {
    const placer = this.deps.placerFor(this.call)
    const choice = placer.place(this.call, this.triedTargets)
    if (choice !== undefined || this.triedTargets.size === 0 || !this.mayRetry) return choice
    // With no other target left, one that failed before may be able to serve the call now.
    return placer.place(this.call, new Set())
  }

  /** Time within which the first event must arrive: until the deadline or the idle timeout of the caller, in ms. */
  private get firstEventTimeoutMs (): number {
    const now = this.now()
    const lastEventAt = this.progress.lastRelayedAt ?? this.call.arrivedAt
    return Math.min(this.call.deadlineAt, lastEventAt + this.call.route.callerIdleTimeoutMs) - now
  }

  private get mayRetry (): boolean {
    return this.call.route.idempotency !== 'non_idempotent' || !this.mayHaveExecuted
  }

  private mayAttempt (): boolean {
    if (this.countedAttempts === 0) return true
    if (this.countedAttempts >= this.call.route.maxTargets) return false
    if (!this.budget.tryRetry()) return false
    this.deps.metrics.count('godwitpoint_repeats_total', `service="${this.call.service.name}"`)
    return true
  }

  /** One attempt, with a prefill at another target when serving is split; true once a response was delivered. */
  private async attemptAt (choice: placement.Placement): Promise<boolean> {
    const { prefillTarget } = choice
    if (prefillTarget === undefined || this.progress.lastId !== undefined) return await this.executeAt(choice.target, choice, undefined)
    const handle = await this.prefillAt(prefillTarget, choice)
    if (handle === undefined) return false
    const kvSource = { address: prefillTarget.record.address, handle }
    const target = choice.target.acceptsCalls(this.now()) ? choice.target : undefined
    if (target === undefined || this.reasonToStop() !== undefined) {
      this.releaseKvHandle(kvSource)
      return false
    }
    return await this.executeAt(target, choice, kvSource, prefillTarget)
  }

  private async prefillAt (target: fleet.TargetState, choice: placement.Placement): Promise<string | undefined> {
    const result = await this.send(target, choice, { prefillOnly: true, fetchFrom: choice.fetchFrom?.record.address })
    const handle = result.kind === 'answered' && result.head.status === 200 ? this.deps.protocol.decodeKvHandle(result.body) : undefined
    const firstPrefill = handle !== undefined && !this.prefillAccepted
    if (firstPrefill) this.prefillAccepted = true
    else if (result.kind !== 'not_run' || result.written) this.countedAttempts++
    if (handle !== undefined) {
      this.notePrefilled(target)
      return handle
    }
    this.triedTargets.add(target.record.id)
    this.noteFailure(result, target, 'read')
    return undefined
  }

  private async executeAt (target: fleet.TargetState, choice: placement.Placement, kvSource: calls.KvSource | undefined, prefillTarget?: fleet.TargetState): Promise<boolean> {
    const result = await this.send(target, choice, kvSource === undefined ? { fetchFrom: choice.fetchFrom?.record.address } : { kvSource })
    if (result.kind === 'not_run') {
      if (result.written) this.countedAttempts++
      if (prefillTarget !== undefined && result.written) prefillTarget.kvTransferFailedAt = this.now()
      if (kvSource !== undefined && !result.written) this.releaseKvHandle(kvSource)
      this.triedTargets.add(target.record.id)
      this.noteFailure(result, target, 'run')
      return false
    }
    this.countedAttempts++
    if (result.kind === 'streamed') {
      this.notePrefilled(target)
      this.reply.end()
      return true
    }
    this.mayHaveExecuted = true
    if (result.kind === 'answered') return this.handleResponse(result, target)
    this.triedTargets.add(target.record.id)
    this.noteFailure(result, target, 'run')
    if (!this.mayRetry && this.endedBy === undefined) this.countedAttempts = Infinity
    return false
  }

  private handleResponse (result: Extract<attempt.AttemptResult, { kind: 'answered' }>, target: fleet.TargetState): boolean {
    this.lastResponse = { head: result.head, body: result.body }
    const failed = result.head.status >= 500
    if (failed && this.call.route.idempotency !== 'non_idempotent' && this.countedAttempts < this.call.route.maxTargets && this.budget.remaining >= 1) {
      this.triedTargets.add(target.record.id)
      this.lastMessage = `status ${result.head.status}`
      this.deps.log.info({ id: this.call.id, target: target.record.id, status: result.head.status }, 'call_repeated')
      return false
    }
    this.deliver(this.lastResponse)
    return true
  }

  private async send (state: fleet.TargetState, choice: placement.Placement, options: attemptRecorder.SendOptions): Promise<attempt.AttemptResult> {
    const { call } = this
    const sentAt = this.now()
    const plan: calls.SendPlan = { target: state.record, remainingMs: call.deadlineAt - sentAt, priority: choice.priority, resumeAfter: this.progress.lastId, ...options }
    const stream = call.route.streaming && options.prefillOnly !== true ? { reply: this.reply, progress: this.progress } : undefined
    const prefillTokens = options.kvSource === undefined ? choice.prefillTokens ?? 0 : 0
    const sent: attemptRecorder.SentAttempt = {
      attempt: new attempt.Attempt(this.deps, { call, plan, state, stream, prefillTokens, ...stallTimeouts.stallTimeouts(call, choice.expectedMs, options.prefillOnly === true) }),
      state,
      choice,
      options,
      sentAt,
      listAgeMs: Math.round(this.deps.listAgeMs()),
      missingMs: state.missingMs(sentAt),
      prefillTokens,
      tokensAhead: state.prefillTokensAhead()
    }
    this.currentAttempt = sent.attempt
    const result = await sent.attempt.run()
    this.currentAttempt = undefined
    this.times.addAttempt(sentAt, this.now())
    if (options.prefillOnly !== true) this.trials.clear()
    this.recorder.noteEnded(sent, result)
    return result
  }

  private notePrefilled (state: fleet.TargetState): void {
    if (this.call.prompt !== undefined) state.cache.addPrompt(this.call.prompt)
  }

  private noteFailure (result: attempt.AttemptResult, state: fleet.TargetState, phase: 'read' | 'run'): void {
    this.lastMessage = result.kind === 'answered' ? `status ${result.head.status}` : result.kind === 'streamed' ? '' : result.kind === 'stopped' ? this.endedBy ?? 'stopped' : result.message
    this.recorder.noteFailure(result, state, phase, this.lastMessage)
  }

  private releaseKvHandle (kvSource: calls.KvSource): void {
    const { method, path } = this.deps.protocol.encodeKvRelease(kvSource.handle)
    const ignore = (): void => { /* a handle that is not released expires at the target */ }
    this.deps.upstream.send({ address: kvSource.address, method, path, headers: ['host', kvSource.address], body: new Uint8Array(0), nonIdempotent: false }, { onHead: ignore, onData: ignore, onEnd: ignore, onError: ignore })
  }

  private endEarly (reason: 'deadline' | 'caller_left'): void {
    this.endedBy ??= reason
    this.currentAttempt?.stop()
  }

  private deliver (response: { head: calls.ResponseHead, body: Uint8Array }): void {
    if (impliesNotExecuted(response.head.status)) this.reply.send({ ...response.head, status: 502, headers: [] }, new Uint8Array(0))
    else this.reply.send(response.head, response.body)
  }

  /** Ends the call without success: aborts a started stream, delivers the last error response, or refuses. */
  private giveUp (stopReason: errors.RefusalReason | errors.Refusal, lateMs = 0): errors.Refusal | undefined {
    if (this.reply.started) {
      this.logBrokenOff(stopReason instanceof errors.Refusal ? stopReason.reason : stopReason)
      this.reply.abort()
      return undefined
    }
    if (this.lastResponse !== undefined) {
      this.deliver(this.lastResponse)
      return undefined
    }
    const ran = this.mayHaveExecuted ? 'maybe' : 'no'
    if (stopReason instanceof errors.Refusal && ran === 'no') return stopReason
    const reason = stopReason instanceof errors.Refusal ? stopReason.reason : stopReason
    const rangeMs = RETRY_AFTER_MAX_MS - RETRY_AFTER_MIN_MS
    return new errors.Refusal(reason, {
      step: 'route',
      ran,
      ...(this.lastMessage === '' ? {} : { message: this.lastMessage }),
      ...(ran === 'no' ? { retryAfterMs: RETRY_AFTER_MIN_MS + lateMs + rangeMs * this.deps.env.random.next() } : {})
    })
  }

  private logBrokenOff (reason: errors.RefusalReason): void {
    const { call, progress } = this
    const now = this.now()
    this.deps.metrics.count('godwitpoint_streams_broken_off_total', `reason="${reason}"`)
    this.deps.log.warn({
      id: call.id,
      route: call.route.name,
      reason,
      detail: this.lastMessage,
      targets_tried: this.triedTargets.size,
      relayed_to: progress.lastId,
      silent_ms: Math.round(now - (progress.lastRelayedAt ?? call.arrivedAt)),
      left_ms: Math.round(call.deadlineAt - now),
      config_version: call.configVersion,
      current_config_version: this.deps.configVersion()
    }, 'stream_broken_off')
  }

  private now (): number {
    return this.deps.env.clock.now()
  }
}

// Callers take these statuses to mean that the call was not executed. A target's response with such a status and
// without an explicit report that the call was not executed does not guarantee that, so it must not be relayed.
function impliesNotExecuted (status: number): boolean {
  return status === 408 || status === 421 || status === 429 || status === 503
}
