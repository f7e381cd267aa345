/** Forwards calls: chooses targets, retries within the budget, and delivers one response. */
import * as bytes from '../bytes/index.js'
import type * as calls from '../call/index.js'
import * as errors from '../errors/index.js'
import type * as fleet from '../fleet/index.js'
import type * as placement from '../placement/index.js'
import type * as quarantine from '../quarantine/index.js'
import type * as waiting from '../waiting/index.js'
import * as attempt from './attempt.js'
import * as attemptRace from './attempt-race.js'
import * as attemptRecorder from './attempt-recorder.js'
import * as callDecisions from './call-decisions.js'
import * as callState from './call-state.js'
import * as callTimes from './call-times.js'
import * as nextTarget from './next-target.js'
import * as noPlacement from './no-placement.js'
import * as responseStatus from './response-status.js'
import * as stallTimeouts from './stall-timeouts.js'

/** Bytes of all responses that are being buffered beyond which only small ones still are. */
const MAX_BUFFERED_RESPONSES_BYTES = 64 * 1024 * 1024

/** Range of the retry-after of a refusal, in ms; the value is random so that callers do not retry at the same time. */
const RETRY_AFTER_MIN_MS = 150
const RETRY_AFTER_MAX_MS = 500

/** Dependencies of a forwarder. */
export interface ForwarderDeps extends Omit<attempt.AttemptDeps, 'responseMemory'>, Partial<Pick<attempt.AttemptDeps, 'responseMemory'>>, attemptRecorder.RecorderDeps, Omit<nextTarget.NextTargetDeps, 'quarantine'>, callState.CallStateDeps {
  /** Decides which calls wait before their first attempt; absent: none does. */
  readonly admission?: waiting.CallAdmission | undefined
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

/** Carries out the attempts of one call. */
class ForwardedCall {
  private readonly state: callState.CallState
  private readonly times: callTimes.CallTimes
  private readonly recorder: attemptRecorder.AttemptRecorder
  private readonly race: attemptRace.AttemptRace
  private readonly target: nextTarget.NextTarget

  constructor (private readonly deps: CallDeps, private readonly call: calls.Call, private readonly reply: calls.Reply, private readonly signal: AbortSignal) {
    this.state = callState.createCallState(deps, call, reply)
    this.times = new callTimes.CallTimes(call, deps.metrics)
    this.recorder = new attemptRecorder.AttemptRecorder(deps, call, this.state.progress)
    this.race = new attemptRace.AttemptRace({ metrics: deps.metrics, service: call.service.name, callId: call.id, log: deps.log, execute: async (run) => await this.attemptAt(run), reserve: (silent, beside) => this.target.reserve(silent, beside) })
    this.target = new nextTarget.NextTarget(deps, this.state, this.race)
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
      if (!this.state.wasSent) this.deps.quarantine.returnTrials(this.state.trials)
    }
  }

  private async attemptUntilDone (): Promise<errors.Refusal | undefined> {
    let choice = this.target.choose()
    const held = this.admit(choice)
    if (held instanceof errors.Refusal) return this.giveUp(new noPlacement.NoPlacement(held))
    if (held !== undefined) choice = await this.chooseAfterWait(held)
    for (;;) {
      const next = choice instanceof noPlacement.NoPlacement ? choice : this.target.commit(choice)
      if (next instanceof noPlacement.NoPlacement) return this.giveUp(next)
      if (await this.race.run(next)) return undefined
      choice = this.target.choose()
    }
  }

  /** Asks whether the call waits before its first attempt; undefined when it goes on now. */
  private admit (choice: placement.Placement | noPlacement.NoPlacement): waiting.HeldCall | errors.Refusal | undefined {
    const { admission } = this.deps
    if (admission === undefined) return undefined
    if (!(choice instanceof noPlacement.NoPlacement)) return admission.admit(this.call, { choice, lateMs: 0 })
    return choice.isUnplaced ? admission.admit(this.call, { choice: undefined, lateMs: choice.lateMs }) : undefined
  }

  private async chooseAfterWait (held: waiting.HeldCall): Promise<placement.Placement | noPlacement.NoPlacement> {
    this.state.held = held
    const refusal = await held.ended
    this.state.held = undefined
    return refusal === undefined ? this.target.choose() : new noPlacement.NoPlacement(refusal)
  }

  /** One attempt, with a prefill at another target when serving is split; true once a response was delivered. */
  private async attemptAt (run: attemptRace.Run): Promise<boolean> {
    const { choice } = run
    const { prefillTarget } = choice
    if (prefillTarget === undefined || this.state.progress.lastId !== undefined) return await this.executeAt(run, choice.target, undefined)
    const handle = await this.prefillAt(run, prefillTarget)
    if (handle === undefined) return false
    const kvSource = { address: prefillTarget.record.address, handle }
    const target = choice.target.acceptsCalls(this.now()) ? choice.target : undefined
    if (target === undefined || this.target.reasonToStop() !== undefined) {
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
    const firstPrefill = handle !== undefined && !this.state.prefillAccepted
    if (firstPrefill) this.state.prefillAccepted = true
    else if (result.kind !== 'not_run' || result.written) this.state.sent.add(target.record.id)
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
      if (result.written) this.state.sent.add(target.record.id)
      if (prefillTarget !== undefined && result.written) prefillTarget.kvTransferFailedAt = this.now()
      if (kvSource !== undefined && !result.written) this.releaseKvHandle(kvSource)
      this.noteFailure(result, target, 'run')
      return false
    }
    this.state.sent.add(target.record.id)
    if (run.stoppedBy === 'other_won') return false
    if (result.kind === 'streamed') {
      this.notePrefilled(target)
      this.reply.end()
      return true
    }
    this.state.mayHaveExecuted = true
    if (result.kind === 'answered' && callDecisions.mayUseResponse(result.head.status, this.race.size)) {
      const delivered = this.handleResponse(result, target)
      if (delivered) this.race.win(run)
      return delivered
    }
    if (result.kind === 'answered') this.state.lastResponse = result
    this.noteFailure(result, target, 'run')
    if (!callDecisions.mayRetry(this.state) && this.state.endedBy === undefined) this.state.sent.close()
    return false
  }

  private handleResponse (result: Extract<attempt.AttemptResult, { kind: 'answered' }>, target: fleet.TargetState): boolean {
    // A stream that has begun takes only events; it shows that the request is sound, so another target may be able to resume it.
    if (this.reply.started) {
      this.noteFailure(result, target, 'run')
      return false
    }
    this.state.lastResponse = { head: result.head, body: result.body }
    if (callDecisions.isRepeatedAfter(this.state, result.head.status)) {
      this.state.triedTargets.add(target.record.id)
      this.state.lastMessage = `status ${result.head.status}`
      this.deps.log.info({ id: this.call.id, target: target.record.id, status: result.head.status }, 'call_repeated')
      return false
    }
    this.deliver(this.state.lastResponse)
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
      this.state.wasSent = true
      if (options.prefillOnly !== true) this.state.trials.clear()
    }
    this.recorder.noteEnded(sent, result)
    return result
  }

  private createAttempt (run: attemptRace.Run, state: fleet.TargetState, options: attemptRecorder.SendOptions, prefillTokens: number): attempt.Attempt {
    const { call, state: { progress, usedConnections } } = this
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
      usedConnections,
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
    this.state.triedTargets.add(state.record.id)
    this.state.lastMessage = callDecisions.failureMessage(this.state, result)
    this.recorder.noteFailure(result, state, phase, this.state.lastMessage)
  }

  private releaseKvHandle (kvSource: calls.KvSource): void {
    const { method, path } = this.deps.protocol.encodeKvRelease(kvSource.handle)
    const ignore = (): void => { /* a handle that is not released expires at the target */ }
    this.deps.upstream.send({ address: kvSource.address, method, path, headers: ['host', kvSource.address], body: new Uint8Array(0), nonIdempotent: false }, { onHead: ignore, onData: ignore, onEnd: ignore, onError: ignore })
  }

  private endEarly (reason: callState.EarlyEnd): void {
    this.state.endedBy ??= reason
    this.state.held?.leave()
    this.race.stop(reason)
  }

  private deliver (response: callState.TargetResponse): void {
    if (responseStatus.impliesNotExecuted(response.head.status)) this.reply.send({ ...response.head, status: 502, headers: [] }, new Uint8Array(0))
    else this.reply.send(response.head, response.body)
  }

  /** Ends the call without success: aborts a started stream, delivers the last error response, or refuses. */
  private giveUp ({ reason, lateMs }: noPlacement.NoPlacement): errors.Refusal | undefined {
    const { lastResponse, lastMessage, triedTargets } = this.state
    if (this.reply.started) {
      this.recorder.noteBrokenOff({ reason: callDecisions.reasonOf(reason), detail: lastMessage, targetsTried: triedTargets.size, configVersion: this.deps.configVersion() })
      this.reply.abort()
      return undefined
    }
    if (lastResponse !== undefined) {
      this.deliver(lastResponse)
      return undefined
    }
    return callDecisions.refusalOf(this.state, reason, () => this.retryAfterMs(reason, lateMs))
  }

  private retryAfterMs (reason: errors.Refusal | errors.RefusalReason, lateMs: number): number {
    if (reason === 'deadline_unreachable' && this.deps.admission !== undefined) return this.deps.admission.retryAfterMs(this.call, lateMs)
    return RETRY_AFTER_MIN_MS + lateMs + (RETRY_AFTER_MAX_MS - RETRY_AFTER_MIN_MS) * this.deps.env.random.next()
  }

  private now (): number {
    return this.deps.env.clock.now()
  }
}
