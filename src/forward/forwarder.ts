/** Forwards calls: chooses targets, retries within the budget, and delivers one response. */
import type * as calls from '../call/index.js'
import * as errors from '../errors/index.js'
import * as fleet from '../fleet/index.js'
import type * as log from '../log/index.js'
import type * as metrics from '../metrics/index.js'
import type * as placement from '../placement/index.js'
import type * as quarantine from '../quarantine/index.js'
import type * as retry from '../retry/index.js'
import * as attempt from './attempt.js'
import * as callTimes from './call-times.js'
import * as stallTimeouts from './stall-timeouts.js'
import * as streamProgress from './stream-progress.js'

/** Least time in which a target can respond, in ms; with less left before the deadline nothing is sent. */
const MIN_SEND_MS = 15

/** Range of the retry-after of a refusal, in ms; the value is random so that callers do not retry at the same time. */
const RETRY_AFTER_MIN_MS = 150
const RETRY_AFTER_MAX_MS = 500

/** Shortest prefill that counts as a sample of an engine's speed, in tokens. */
const MIN_SPEED_SAMPLE_TOKENS = 1_000

/** Part of the time of a prefill that does not depend on the prompt, in ms. */
const PREFILL_OVERHEAD_MS = 12

/** What distinguishes the sends of one placement. */
type SendOptions = Pick<calls.SendPlan, 'prefillOnly' | 'kvSource' | 'fetchFrom'>

/** Dependencies of a forwarder. */
export interface ForwarderDeps extends attempt.AttemptDeps {
  readonly placerFor: (call: calls.Call) => placement.Placer
  readonly budgetFor: (service: string) => retry.SharedRetryBudget
  readonly fleet: fleet.Fleet
  readonly quarantine: Pick<quarantine.SegmentQuarantine, 'admit' | 'noteLost' | 'noteAnswered'>
  /** Age of the list of targets, in ms. */
  readonly listAgeMs: () => number
  /** Version of the configuration in force; undefined before the first. */
  readonly configVersion: () => number | undefined
  readonly log: log.Logger
  readonly metrics: metrics.Metrics
  /** Closes the idle connections to an address. */
  readonly dropIdleConnections: (address: string) => void
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
    // A stream that has begun was accepted before the change, and its events show that its prompt lets engines begin to respond.
    if (this.reply.started) return undefined
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
    // A stream that has begun takes only events; it shows that the request is sound, so another target may be able to resume it.
    if (this.reply.started) {
      this.triedTargets.add(target.record.id)
      this.noteFailure(result, target, 'run')
      return false
    }
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

  private async send (state: fleet.TargetState, choice: placement.Placement, options: SendOptions): Promise<attempt.AttemptResult> {
    const { call } = this
    const sentAt = this.now()
    const listAgeMs = Math.round(this.deps.listAgeMs())
    const missingMs = state.missingMs(sentAt)
    const plan: calls.SendPlan = { target: state.record, remainingMs: call.deadlineAt - sentAt, priority: choice.priority, resumeAfter: this.progress.lastId, ...options }
    const stream = call.route.streaming && options.prefillOnly !== true ? { reply: this.reply, progress: this.progress } : undefined
    const prefillTokens = options.kvSource === undefined ? choice.prefillTokens ?? 0 : 0
    const tokensAhead = state.prefillTokensAhead()
    const targetAttempt = new attempt.Attempt(this.deps, { call, plan, state, stream, prefillTokens, ...stallTimeouts.stallTimeouts(call, choice.expectedMs, options.prefillOnly === true) })
    this.currentAttempt = targetAttempt
    const result = await targetAttempt.run()
    this.currentAttempt = undefined
    const endedAt = this.now()
    this.times.addAttempt(sentAt, endedAt)
    this.deps.metrics.count('godwitpoint_placements_total', `phase="${phaseOf(options)}",in_time="${choice.priority < fleet.FIRST_DEFERRED_PRIORITY}"`)
    this.deps.metrics.recordDuration('godwitpoint_target_list_age', listAgeMs)
    if (missingMs !== undefined) this.deps.metrics.count('godwitpoint_sends_to_missing_targets_total')
    this.deps.log.info({
      id: call.id,
      route: call.route.name,
      target: state.record.id,
      list_age_ms: listAgeMs,
      missing_ms: missingMs,
      write_ms: targetAttempt.writeMs,
      phase: phaseOf(options),
      priority: choice.priority,
      waited_ms: Math.round(sentAt - call.arrivedAt),
      expected_ms: Math.round(choice.expectedMs),
      first_event_ms: targetAttempt.firstEventMs,
      longest_gap_ms: stream === undefined ? undefined : Math.round(this.progress.longestGapMs),
      ms: Math.round(endedAt - sentAt),
      prefill_tokens: prefillTokens,
      tokens_ahead: tokensAhead,
      fetch_from: options.fetchFrom,
      kind: result.kind,
      status: result.kind === 'answered' ? result.head.status : undefined
    }, 'attempt_ended')
    this.recordOutcome(result, state, sentAt, options)
    if (options.prefillOnly !== true) this.noteExecution(result, targetAttempt, state, sentAt)
    if (options.fetchFrom === undefined) this.recordPrefill({ tokens: prefillTokens, tokensAhead, ms: prefillMsOf(result, targetAttempt, endedAt - sentAt) }, state)
    return result
  }

  // A prefill writes no response, so it neither clears a segment nor makes it suspect.
  private noteExecution (result: attempt.AttemptResult, { firstEventAt }: attempt.Attempt, state: fleet.TargetState, sentAt: number): void {
    const { prompt } = this.call
    if (prompt === undefined) return
    this.trials.clear()
    if (result.kind === 'streamed' || (result.kind === 'answered' && isSuccess(result.head.status))) this.deps.quarantine.noteAnswered(prompt)
    else if (result.kind === 'failed' && result.cause === 'disconnected') this.deps.quarantine.noteLost({ prompt, target: state.record, sentAt, firstEventAt })
  }

  // Only prompts that are long enough, and that did not wait for long behind others, show how fast an engine is.
  private recordPrefill (prefill: { readonly tokens: number, readonly tokensAhead: number, readonly ms: number | undefined }, state: fleet.TargetState): void {
    const { tokens, tokensAhead, ms } = prefill
    if (ms === undefined || tokens < MIN_SPEED_SAMPLE_TOKENS || tokensAhead > tokens) return
    state.notePrefill(tokens + tokensAhead, Math.max(1, ms - PREFILL_OVERHEAD_MS), this.now())
  }

  private recordOutcome (result: attempt.AttemptResult, state: fleet.TargetState, sentAt: number, options: { kvSource?: calls.KvSource | undefined }): void {
    const now = this.now()
    if (result.kind === 'streamed' || (result.kind === 'answered' && result.head.status < 500)) state.failures.record('ok', sentAt, now)
    else if (result.kind === 'answered') state.failures.record('error', sentAt, now)
    else if (result.kind === 'failed') state.failures.record(result.cause === 'target_stalled' ? 'silent' : 'broken', sentAt, now)
    else if (result.kind === 'not_run' && result.message === 'wrong_target') this.deps.fleet.noteMisaddressed(state, sentAt)
    else if (result.kind === 'not_run' && options.kvSource === undefined) state.failures.record(result.written ? 'refused' : 'unreachable', sentAt, now)
    if ((result.kind === 'failed' && result.cause === 'target_stalled') || (result.kind === 'not_run' && !result.written)) this.deps.dropIdleConnections(state.record.address)
  }

  private notePrefilled (state: fleet.TargetState): void {
    if (this.call.prompt !== undefined) state.cache.addPrompt(this.call.prompt)
  }

  private noteFailure (result: attempt.AttemptResult, state: fleet.TargetState, phase: 'read' | 'run'): void {
    const message = result.kind === 'answered' ? `status ${result.head.status}` : result.kind === 'streamed' ? '' : result.kind === 'stopped' ? this.endedBy ?? 'stopped' : result.message
    this.lastMessage = message
    this.deps.metrics.count('godwitpoint_attempt_failures_total', `kind="${result.kind}",phase="${phase}"`)
    this.deps.log.info({ id: this.call.id, target: state.record.id, phase, kind: result.kind, reason: message, silent_ms: result.kind === 'failed' ? result.silentMs : undefined, target_silent_ms: result.kind === 'failed' ? result.targetSilentMs : undefined, resumed_after: this.progress.lastId, segments: result.kind === 'failed' ? sharedSegmentIds(this.call) : undefined }, 'attempt_failed')
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

/** Ids of the prompt's segments that other calls may share, all but the last, separated by commas; undefined without a prompt. */
function sharedSegmentIds (call: calls.Call): string | undefined {
  return call.prompt?.segments.slice(0, -1).map((segment) => segment.id).join(',')
}

/** Time until a prompt was prefilled, in ms; undefined when the attempt does not show it. */
function prefillMsOf (result: attempt.AttemptResult, targetAttempt: attempt.Attempt, ms: number): number | undefined {
  if (result.kind === 'streamed') return targetAttempt.firstEventMs
  return result.kind === 'answered' && result.head.status === 200 ? ms : undefined
}

function phaseOf (options: SendOptions): 'read' | 'run_handed_over' | 'run' {
  if (options.prefillOnly === true) return 'read'
  return options.kvSource === undefined ? 'run' : 'run_handed_over'
}

function isSuccess (status: number): boolean {
  return status >= 200 && status < 300
}

// Callers take these statuses to mean that the call was not executed. A target's response with such a status and
// without an explicit report that the call was not executed does not guarantee that, so it must not be relayed.
function impliesNotExecuted (status: number): boolean {
  return status === 408 || status === 421 || status === 429 || status === 503
}
