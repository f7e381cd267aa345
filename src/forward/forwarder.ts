/** Forwards calls: chooses targets, retries within the budget, and delivers one response. */
import * as bytes from '../bytes/index.js'
import type * as calls from '../call/index.js'
import * as errors from '../errors/index.js'
import type * as fleet from '../fleet/index.js'
import type * as placement from '../placement/index.js'
import type * as quarantine from '../quarantine/index.js'
import type * as retry from '../retry/index.js'
import * as upstream from '../upstream/index.js'
import * as attempt from './attempt.js'
import * as attemptRace from './attempt-race.js'
import * as attemptRecorder from './attempt-recorder.js'
import * as callRetries from './call-retries.js'
import * as callTimes from './call-times.js'
import * as noPlacement from './no-placement.js'
import * as responseStatus from './response-status.js'
import * as sentTargets from './sent-targets.js'
import * as stallTimeouts from './stall-timeouts.js'
import * as streamProgress from './stream-progress.js'

/** Least time in which a target can respond, in ms; with less left before the deadline nothing is sent. */
const MIN_SEND_MS = 15

/** Bytes of all responses that are being buffered beyond which only small ones still are. */
const MAX_BUFFERED_RESPONSES_BYTES = 64 * 1024 * 1024

/** Range of the retry-after of a refusal, in ms; the value is random so that callers do not retry at the same time. */
const RETRY_AFTER_MIN_MS = 150
const RETRY_AFTER_MAX_MS = 500

/** Dependencies of a forwarder. */
export interface ForwarderDeps extends Omit<attempt.AttemptDeps, 'responseMemory'>, Partial<Pick<attempt.AttemptDeps, 'responseMemory'>>, attemptRecorder.RecorderDeps {
  readonly placerFor: (call: calls.Call) => placement.Placer
  readonly budgetFor: (service: string) => retry.SharedRetryBudget
  readonly quarantine: Pick<quarantine.SegmentQuarantine, 'admit' | 'waitMs' | 'isBarred' | 'returnTrials' | 'noteLost' | 'noteAnswered'>
  /** Age of the list of targets, in ms. */
  readonly listAgeMs: () => number
  /** Version of the configuration in force; undefined before the first. */
  readonly configVersion: () => number | undefined
}

/** Forwards each call until its response has ended. */
export class Forwarder {
  private readonly ownMemory = new bytes.ByteBudget(MAX_BUFFERED_RESPONSES_BYTES, { reserveBytes: Infinity })

  constructor (private readonly deps: ForwarderDeps) {}

  /** Delivers a response, or returns the refusal; `signal` is aborted when the caller has disconnected. */
  async forward (call: calls.Call, reply: calls.Reply, signal: AbortSignal): Promise<errors.Refusal | undefined> {
    return await new ForwardedCall({ ...this.deps, responseMemory: this.deps.responseMemory ?? this.ownMemory }, call, reply, signal).run()
  }
}

type CallDeps = ForwarderDeps & attempt.AttemptDeps

/** State of one call over all its attempts. */
class ForwardedCall {
  private readonly triedTargets = new Set<string>()
  /** Quarantined segments of which this call is the trial; until its next attempt has ended. */
  private readonly trials = new Set<string>()
  /** Whether a send of this call may have reached a target. */
  private wasSent = false
  private readonly progress: streamProgress.StreamProgress
  private readonly times: callTimes.CallTimes
  private readonly recorder: attemptRecorder.AttemptRecorder
  private readonly retries: callRetries.CallRetries
  private readonly race: attemptRace.AttemptRace
  /** Attempts whose request may have reached a target; they count against the retry budget and the route's `maxTargets`. */
  private readonly sent: sentTargets.SentTargets
  private readonly usedConnections = new upstream.UsedConnections()
  private mayHaveExecuted = false
  private endedBy: 'deadline' | 'caller_left' | undefined
  private lastResponse: { head: calls.ResponseHead, body: Uint8Array } | undefined
  private lastMessage = ''
  /** Whether a prefill has succeeded; the first one that does is not counted as an attempt. */
  private prefillAccepted = false

  constructor (private readonly deps: CallDeps, private readonly call: calls.Call, private readonly reply: calls.Reply, private readonly signal: AbortSignal) {
    this.progress = new streamProgress.StreamProgress(call, deps.metrics)
    this.times = new callTimes.CallTimes(call, deps.metrics)
    this.recorder = new attemptRecorder.AttemptRecorder(deps, call, this.progress)
    this.sent = new sentTargets.SentTargets(call.route.maxTargets)
    this.retries = new callRetries.CallRetries(deps.budgetFor(call.service.name))
    this.race = new attemptRace.AttemptRace({ metrics: deps.metrics, service: call.service.name, callId: call.id, log: deps.log, execute: async (run) => await this.attemptAt(run), reserve: (silent, beside) => this.reserve(silent, beside) })
  }

  async run (): Promise<errors.Refusal | undefined> {
    this.deps.budgetFor(this.call.service.name).countRequest()
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
      if (!this.wasSent) this.deps.quarantine.returnTrials(this.trials)
    }
  }

  private async attemptUntilDone (): Promise<errors.Refusal | undefined> {
    for (;;) {
      const next = this.nextPlacement()
      if (next instanceof noPlacement.NoPlacement) return this.giveUp(next.reason, next.lateMs)
      if (await this.race.run(next)) return undefined
    }
  }

  /**
   * Where the call is sent next; takes a retry from the budget if the send is one. A send beside another one has no prefill
   * at a further target, as two targets must not go on with one call.
   */
  private nextPlacement (beside = false): placement.Placement | noPlacement.NoPlacement {
    const stopReason = this.reasonToStop()
    if (stopReason !== undefined) return new noPlacement.NoPlacement(stopReason)
    const choice = this.chooseTarget()
    if (choice === undefined || (beside && choice.prefillTarget !== undefined)) return new noPlacement.NoPlacement('no_target')
    const lateMs = this.lateMs(choice)
    if (lateMs > 0) return new noPlacement.NoPlacement('deadline_unreachable', lateMs)
    if (!this.mayAttempt()) return new noPlacement.NoPlacement(this.mayHaveExecuted ? 'target_failed' : 'retry_budget_exhausted')
    // A trial is taken only for a send.
    if (this.call.prompt !== undefined && !this.reply.started) this.deps.quarantine.admit(this.call.prompt, this.trials)
    return choice
  }

  /** Where the call may be sent while a run is silent. A call with a quarantined segment is tried at one target only. */
  private reserve (silent: attemptRace.Run, beside: boolean): placement.Placement | undefined {
    const { prompt } = this.call
    if (this.trials.size > 0 || (prompt !== undefined && !this.reply.started && this.deps.quarantine.isBarred(prompt, this.trials))) return undefined
    // Where the silent attempt is aborted, the call must be able to return to its target: the next one may refuse.
    if (!this.sent.mayReplace(this.race.size) || !this.retries.has(beside ? 1 : 2)) return undefined
    const next = this.nextPlacement(beside)
    if (next instanceof noPlacement.NoPlacement) return undefined
    if (!beside) {
      this.sent.noteReplaced(silent.choice)
      this.retries.prepay()
    }
    return next
  }

  private reasonToStop (): errors.Refusal | errors.RefusalReason | undefined {
    if (this.endedBy === 'deadline') return 'deadline_exceeded'
    if (this.endedBy === 'caller_left') return 'caller_disconnected'
    if (this.call.deadlineAt - this.now() < MIN_SEND_MS) return 'deadline_unreachable'
    // Another attempt would run from the start, and pieces of two runs would be joined.
    if (!this.progress.isResumable) return 'target_failed'
    // A stream that has begun was accepted before the change, and its events show that its prompt lets engines begin to respond.
    if (this.reply.started) return undefined
    return this.call.checkAuthorization() ?? this.checkQuarantine()
  }

  private checkQuarantine (): errors.Refusal | undefined {
    const { prompt } = this.call
    const retryAfterMs = prompt === undefined ? undefined : this.deps.quarantine.waitMs(prompt, this.trials)
    return retryAfterMs === undefined ? undefined : new errors.Refusal('segment_quarantined', { step: 'route', ran: 'no', retryAfterMs })
  }

  private chooseTarget (): placement.Placement | undefined {
    const placer = this.deps.placerFor(this.call)
    const excluded = [...this.race.targetIds, ...this.targetsAboveLimit()]
    const choice = placer.place(this.call, new Set([...this.triedTargets, ...excluded]))
    if (this.triedTargets.size === 0 || !this.mayRetry || (choice !== undefined && this.lateMs(choice) <= 0)) return choice
    // With no other target left, one that was only silent, or that failed before, may be able to serve the call now.
    return this.takeReplaced() ?? choice ?? placer.place(this.call, new Set(excluded))
  }

  /** The placement of a silent attempt that was aborted, also when its response is expected late: it would still run. */
  private takeReplaced (): placement.Placement | undefined {
    const choice = this.race.size === 0 && this.attemptsLeft ? this.sent.takeReplaced(this.now()) : undefined
    if (choice === undefined) return undefined
    this.deps.metrics.count('godwitpoint_returns_to_silent_targets_total', `service="${this.call.service.name}"`)
    return { ...choice, expectedMs: Math.max(0, Math.min(choice.expectedMs, this.firstEventTimeoutMs)) }
  }

  /** Targets that the call may not be sent to as it was already sent to `maxTargets` others. */
  private targetsAboveLimit (): string[] {
    if (!this.attemptsLeft || this.sent.mayAddTarget(this.race.targetIds)) return []
    return this.deps.fleet.ofService(this.call.service.name).map((state) => state.record.id).filter((id) => !this.sent.has(id))
  }

  private lateMs (choice: placement.Placement): number {
    return choice.expectedMs - this.firstEventTimeoutMs
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

  /** Attempts that count, those in flight included. */
  private get usedAttempts (): number {
    return this.sent.sends + this.race.size
  }

  private get attemptsLeft (): boolean {
    return this.sent.sendsLeft(this.race.size)
  }

  private mayAttempt (): boolean {
    if (this.usedAttempts === 0) return true
    if (!this.attemptsLeft) return false
    if (!this.retries.take()) return false
    this.deps.metrics.count('godwitpoint_repeats_total', `service="${this.call.service.name}"`)
    return true
  }

  /** One attempt, with a prefill at another target when serving is split; true once a response was delivered. */
  private async attemptAt (run: attemptRace.Run): Promise<boolean> {
    const { choice } = run
    const { prefillTarget } = choice
    if (prefillTarget === undefined || this.progress.lastId !== undefined) return await this.executeAt(run, choice.target, undefined)
    const handle = await this.prefillAt(run, prefillTarget)
    if (handle === undefined) return false
    const kvSource = { address: prefillTarget.record.address, handle }
    const target = choice.target.acceptsCalls(this.now()) ? choice.target : undefined
    if (target === undefined || this.reasonToStop() !== undefined) {
      this.releaseKvHandle(kvSource)
      return false
    }
    return await this.executeAt(run, target, kvSource, prefillTarget)
  }

  private async prefillAt (run: attemptRace.Run, target: fleet.TargetState): Promise<string | undefined> {
    run.prefilling = true
    const result = await this.send(run, target, { prefillOnly: true, fetchFrom: run.choice.fetchFrom?.record.address })
    run.prefilling = false
    const handle = result.kind === 'answered' && result.head.status === 200 ? this.deps.protocol.decodeKvHandle(result.body) : undefined
    const firstPrefill = handle !== undefined && !this.prefillAccepted
    if (firstPrefill) this.prefillAccepted = true
    else if (result.kind !== 'not_run' || result.written) this.sent.add(target.record.id)
    if (handle !== undefined) {
      this.notePrefilled(target)
      return handle
    }
    this.noteFailure(result, target, 'read')
    return undefined
  }

  private async executeAt (run: attemptRace.Run, target: fleet.TargetState, kvSource: calls.KvSource | undefined, prefillTarget?: fleet.TargetState): Promise<boolean> {
    const result = await this.send(run, target, kvSource === undefined ? { fetchFrom: run.choice.fetchFrom?.record.address } : { kvSource })
    if (result.kind === 'not_run') {
      if (result.written) this.sent.add(target.record.id)
      if (prefillTarget !== undefined && result.written) prefillTarget.kvTransferFailedAt = this.now()
      if (kvSource !== undefined && !result.written) this.releaseKvHandle(kvSource)
      this.noteFailure(result, target, 'run')
      return false
    }
    this.sent.add(target.record.id)
    if (run.stoppedBy === 'other_won') return false
    if (result.kind === 'streamed') {
      this.notePrefilled(target)
      this.reply.end()
      return true
    }
    this.mayHaveExecuted = true
    if (result.kind === 'answered' && (this.race.size === 1 || responseStatus.isUsable(result.head.status))) {
      const delivered = this.handleResponse(result, target)
      if (delivered) this.race.win(run)
      return delivered
    }
    if (result.kind === 'answered') this.lastResponse = result
    this.noteFailure(result, target, 'run')
    if (!this.mayRetry && this.endedBy === undefined) this.sent.close()
    return false
  }

  private handleResponse (result: Extract<attempt.AttemptResult, { kind: 'answered' }>, target: fleet.TargetState): boolean {
    // A stream that has begun takes only events; it shows that the request is sound, so another target may be able to resume it.
    if (this.reply.started) {
      this.noteFailure(result, target, 'run')
      return false
    }
    this.lastResponse = { head: result.head, body: result.body }
    const failed = result.head.status >= 500
    if (failed && this.call.route.idempotency !== 'non_idempotent' && this.sent.sendsLeft(0) && this.retries.has(1)) {
      this.triedTargets.add(target.record.id)
      this.lastMessage = `status ${result.head.status}`
      this.deps.log.info({ id: this.call.id, target: target.record.id, status: result.head.status }, 'call_repeated')
      return false
    }
    this.deliver(this.lastResponse)
    return true
  }

  private async send (run: attemptRace.Run, state: fleet.TargetState, options: attemptRecorder.SendOptions): Promise<attempt.AttemptResult> {
    const { choice } = run
    const sentAt = this.now()
    const prefillTokens = options.kvSource === undefined ? choice.prefillTokens ?? 0 : 0
    const sent: attemptRecorder.SentAttempt = {
      attempt: this.createAttempt(run, state, options, prefillTokens),
      run,
      state,
      options,
      sentAt,
      listAgeMs: Math.round(this.deps.listAgeMs()),
      missingMs: state.missingMs(sentAt),
      prefillTokens,
      tokensAhead: state.prefillTokensAhead()
    }
    this.times.beginAttempt(sentAt)
    run.attempt = sent.attempt
    const result = await sent.attempt.run()
    run.attempt = undefined
    this.times.endAttempt(this.now())
    if (result.kind !== 'not_run' || result.written) {
      this.wasSent = true
      if (options.prefillOnly !== true) this.trials.clear()
    }
    this.recorder.noteEnded(sent, result)
    return result
  }

  private createAttempt (run: attemptRace.Run, state: fleet.TargetState, options: attemptRecorder.SendOptions, prefillTokens: number): attempt.Attempt {
    const { call, progress } = this
    const { choice } = run
    const sentAt = this.now()
    const prefillOnly = options.prefillOnly === true
    return new attempt.Attempt(this.deps, {
      call,
      plan: { target: state.record, remainingMs: call.deadlineAt - sentAt, priority: choice.priority, resumeAfter: progress.lastId, ...options },
      state,
      stream: call.route.streaming && !prefillOnly ? { reply: this.reply, progress } : undefined,
      prefillTokens,
      stall: stallTimeouts.stallTimeouts(call, choice.expectedMs, prefillOnly),
      exclusive: progress.lastId !== undefined || choice.prefillTarget !== undefined,
      usedConnections: this.usedConnections,
      events: {
        onTargetSilent: () => this.recorder.noteTargetSilent(state, sentAt),
        onStalled: () => this.race.noteStalled(run),
        onFirstEvent: () => this.race.win(run)
      }
    })
  }

  private notePrefilled (state: fleet.TargetState): void {
    if (this.call.prompt !== undefined) state.cache.addPrompt(this.call.prompt)
  }

  private noteFailure (result: attempt.AttemptResult, state: fleet.TargetState, phase: 'read' | 'run'): void {
    this.triedTargets.add(state.record.id)
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
    this.race.stop(reason)
  }

  private deliver (response: { head: calls.ResponseHead, body: Uint8Array }): void {
    if (responseStatus.impliesNotExecuted(response.head.status)) this.reply.send({ ...response.head, status: 502, headers: [] }, new Uint8Array(0))
    else this.reply.send(response.head, response.body)
  }

  /** Ends the call without success: aborts a started stream, delivers the last error response, or refuses. */
  private giveUp (stopReason: errors.RefusalReason | errors.Refusal, lateMs = 0): errors.Refusal | undefined {
    if (this.reply.started) {
      this.recorder.noteBrokenOff({
        reason: stopReason instanceof errors.Refusal ? stopReason.reason : stopReason,
        detail: this.lastMessage,
        targetsTried: this.triedTargets.size,
        configVersion: this.deps.configVersion()
      })
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

  private now (): number {
    return this.deps.env.clock.now()
  }
}
