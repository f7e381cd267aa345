/** Forwards calls: chooses targets, repeats what may be repeated, and delivers one answer. */
import type * as calls from '../call/index.js'
import * as errors from '../errors/index.js'
import * as fleet from '../fleet/index.js'
import type * as log from '../log/index.js'
import type * as metrics from '../metrics/index.js'
import type * as placement from '../placement/index.js'
import type * as retry from '../retry/index.js'
import * as attempt from './attempt.js'
import * as callTimes from './call-times.js'
import * as stallTimeouts from './stall-timeouts.js'
import * as streamProgress from './stream-progress.js'

/** Least time in which a target can answer, in ms; with less left nothing is sent. */
const MIN_SEND_MS = 15

/** Shortest and longest time after which a caller is told to come back, in ms; spread, so that callers do not return together. */
const RETRY_AFTER_MIN_MS = 150
const RETRY_AFTER_MAX_MS = 500

/** What a forwarder needs from its surroundings. */
export interface ForwarderDeps extends attempt.AttemptDeps {
  readonly placerFor: (call: calls.Call) => placement.Placer
  readonly budgetFor: (service: string) => retry.SharedRetryBudget
  readonly fleet: fleet.Fleet
  readonly log: log.Logger
  readonly metrics: metrics.Metrics
  /** Closes kept connections to an address. */
  readonly dropConnections: (address: string) => void
}

/** Forwards each call to the end of its answer. */
export class Forwarder {
  constructor (private readonly deps: ForwarderDeps) {}

  /** Delivers an answer, or returns why there is none; `signal` is aborted when the caller has left. */
  async forward (call: calls.Call, reply: calls.Reply, signal: AbortSignal): Promise<errors.Refusal | undefined> {
    return await new Forwarding(this.deps, call, reply, signal).run()
  }
}

/** One call. */
class Forwarding {
  private readonly tried = new Set<string>()
  private readonly progress: streamProgress.StreamProgress
  private readonly times: callTimes.CallTimes
  private readonly budget: retry.SharedRetryBudget
  /** Arrivals at targets that count against the budget and the route's limit. */
  private arrivals = 0
  private mayHaveRun = false
  private current: attempt.Attempt | undefined
  private ended: 'deadline' | 'caller_left' | undefined
  private lastAnswer: { head: calls.ResponseHead, body: Uint8Array } | undefined
  private lastMessage = ''
  private prefillAccepted = false

  constructor (private readonly deps: ForwarderDeps, private readonly call: calls.Call, private readonly reply: calls.Reply, private readonly signal: AbortSignal) {
    this.progress = new streamProgress.StreamProgress(call, deps.metrics)
    this.times = new callTimes.CallTimes(call, deps.metrics)
    this.budget = deps.budgetFor(call.service.name)
  }

  async run (): Promise<errors.Refusal | undefined> {
    this.budget.countRequest()
    const onLeave = (): void => this.endEarly('caller_left')
    this.signal.addEventListener('abort', onLeave, { once: true })
    if (this.signal.aborted) onLeave()
    const timer = this.deps.env.timers.after(Math.max(0, this.call.deadlineAt - this.now()), () => this.endEarly('deadline'))
    try {
      return await this.loop()
    } finally {
      timer[Symbol.dispose]()
      this.signal.removeEventListener('abort', onLeave)
      this.times.finish(this.now())
    }
  }

  private async loop (): Promise<errors.Refusal | undefined> {
    for (;;) {
      const stop = this.reasonToStop()
      if (stop !== undefined) return this.giveUp(stop)
      const placed = this.place()
      if (placed === undefined) return this.giveUp('no_target')
      const lateMs = placed.expectedMs - this.servableMs
      if (lateMs > 0) return this.giveUp('deadline_unreachable', lateMs)
      if (!this.mayArrive()) return this.giveUp(this.mayHaveRun ? 'target_failed' : 'retry_budget_exhausted')
      if (await this.attemptAt(placed)) return undefined
    }
  }

  private reasonToStop (): errors.Refusal | errors.RefusalReason | undefined {
    if (this.ended === 'deadline') return 'deadline_exceeded'
    if (this.ended === 'caller_left') return 'caller_disconnected'
    if (this.call.deadlineAt - this.now() < MIN_SEND_MS) return 'deadline_unreachable'
    return this.call.checkAuthorization()
  }

  private place (): placement.Placement | undefined {
    const placer = this.deps.placerFor(this.call)
    const placed = placer.place(this.call, this.tried)
    if (placed !== undefined || this.tried.size === 0 || !this.mayRetry) return placed
    // With no other target left, one that failed before may serve the call now.
    return placer.place(this.call, new Set())
  }

  /** Time within which a target must begin to answer for the caller to be there still, in ms. */
  private get servableMs (): number {
    const now = this.now()
    const heardAt = this.progress.lastAt ?? this.call.arrivedAt
    return Math.min(this.call.deadlineAt, heardAt + this.call.route.callerIdleTimeoutMs) - now
  }

  private get mayRetry (): boolean {
    return this.call.route.idempotency !== 'non_idempotent' || !this.mayHaveRun
  }

  private mayArrive (): boolean {
    if (this.arrivals === 0) return true
    if (this.arrivals >= this.call.route.maxTargets) return false
    if (!this.budget.tryRetry()) return false
    this.deps.metrics.count('godwitpoint_repeats_total', `service="${this.call.service.name}"`)
    return true
  }

  /** Whether the answer was delivered. */
  private async attemptAt (placed: placement.Placement): Promise<boolean> {
    const { prefillTarget } = placed
    if (prefillTarget === undefined || this.progress.lastId !== undefined) return await this.runAt(placed.target, placed, undefined)
    const handle = await this.prefillAt(prefillTarget, placed)
    if (handle === undefined) return false
    const kvSource = { address: prefillTarget.record.address, handle }
    const target = placed.target.acceptsCalls(this.now()) ? placed.target : undefined
    if (target === undefined || this.reasonToStop() !== undefined) {
      this.release(kvSource)
      return false
    }
    return await this.runAt(target, placed, kvSource, prefillTarget)
  }

  private async prefillAt (target: fleet.TargetState, placed: placement.Placement): Promise<string | undefined> {
    const end = await this.send(target, placed, { prefillOnly: true })
    const handle = end.kind === 'answered' && end.head.status === 200 ? this.deps.protocol.decodeKvHandle(end.body) : undefined
    const accepted = handle !== undefined && !this.prefillAccepted
    if (accepted) this.prefillAccepted = true
    else if (end.kind !== 'not_run' || end.written) this.arrivals++
    if (handle !== undefined) {
      this.notePrefilled(target)
      return handle
    }
    this.tried.add(target.record.id)
    this.noteFailure(end, target, 'read')
    return undefined
  }

  private async runAt (target: fleet.TargetState, placed: placement.Placement, kvSource: calls.KvSource | undefined, prefillTarget?: fleet.TargetState): Promise<boolean> {
    const end = await this.send(target, placed, { kvSource })
    if (end.kind === 'not_run') {
      if (end.written) this.arrivals++
      if (prefillTarget !== undefined && end.written) prefillTarget.kvTransferFailedAt = this.now()
      if (kvSource !== undefined && !end.written) this.release(kvSource)
      this.tried.add(target.record.id)
      this.noteFailure(end, target, 'run')
      return false
    }
    this.arrivals++
    if (end.kind === 'streamed') {
      this.notePrefilled(target)
      this.reply.end()
      return true
    }
    this.mayHaveRun = true
    if (end.kind === 'answered') return this.answered(end, target)
    this.tried.add(target.record.id)
    this.noteFailure(end, target, 'run')
    if (!this.mayRetry && this.ended === undefined) this.arrivals = Infinity
    return false
  }

  private answered (end: Extract<attempt.AttemptResult, { kind: 'answered' }>, target: fleet.TargetState): boolean {
    this.lastAnswer = { head: end.head, body: end.body }
    const failed = end.head.status >= 500
    if (failed && this.call.route.idempotency !== 'non_idempotent' && this.arrivals < this.call.route.maxTargets && this.budget.left >= 1) {
      this.tried.add(target.record.id)
      this.lastMessage = `status ${end.head.status}`
      this.deps.log.info({ id: this.call.id, target: target.record.id, status: end.head.status }, 'call_repeated')
      return false
    }
    this.deliver(this.lastAnswer)
    return true
  }

  private async send (state: fleet.TargetState, placed: placement.Placement, extra: { prefillOnly?: boolean, kvSource?: calls.KvSource | undefined }): Promise<attempt.AttemptResult> {
    const { call } = this
    const sentAt = this.now()
    const plan: calls.SendPlan = { target: state.record, remainingMs: call.deadlineAt - sentAt, priority: placed.priority, resumeAfter: this.progress.lastId, ...extra }
    const stream = call.route.streaming && extra.prefillOnly !== true ? { reply: this.reply, progress: this.progress } : undefined
    const prefillTokens = extra.kvSource === undefined && call.prompt !== undefined ? Math.max(0, call.prompt.promptTokens - state.cache.cachedTokens(call.prompt)) : 0
    const one = new attempt.Attempt(this.deps, { call, plan, state, stream, prefillTokens, ...stallTimeouts.stallTimeouts(call, placed.expectedMs, extra.prefillOnly === true) })
    this.current = one
    const end = await one.run()
    this.current = undefined
    const endedAt = this.now()
    this.times.addAttempt(sentAt, endedAt)
    this.deps.metrics.count('godwitpoint_placements_total', `phase="${phaseOf(extra)}",in_time="${placed.priority < fleet.FIRST_DEFERRED_PRIORITY}"`)
    this.deps.log.info({
      id: call.id,
      route: call.route.name,
      target: state.record.id,
      phase: phaseOf(extra),
      rank: placed.priority,
      waited_ms: Math.round(sentAt - call.arrivedAt),
      expected_ms: Math.round(placed.expectedMs),
      first_ms: one.firstEventMs,
      ms: Math.round(endedAt - sentAt),
      unread: prefillTokens,
      kind: end.kind,
      status: end.kind === 'answered' ? end.head.status : undefined
    }, 'attempt_ended')
    this.record(end, state, sentAt, extra)
    return end
  }

  private record (end: attempt.AttemptResult, state: fleet.TargetState, sentAt: number, extra: { kvSource?: calls.KvSource | undefined }): void {
    const now = this.now()
    if (end.kind === 'streamed' || (end.kind === 'answered' && end.head.status < 500)) state.failures.record('ok', sentAt, now)
    else if (end.kind === 'answered') state.failures.record('error', sentAt, now)
    else if (end.kind === 'failed') state.failures.record(end.silent ? 'silent' : 'broken', sentAt, now)
    else if (end.kind === 'not_run' && extra.kvSource === undefined) state.failures.record(end.written ? 'refused' : 'unreachable', sentAt, now)
    if (end.kind === 'not_run' && end.message === 'wrong_target') this.deps.fleet.removeMisaddressed(state)
    if ((end.kind === 'failed' && end.silent) || (end.kind === 'not_run' && !end.written)) this.deps.dropConnections(state.record.address)
  }

  private notePrefilled (state: fleet.TargetState): void {
    if (this.call.prompt !== undefined) state.cache.addPrompt(this.call.prompt)
  }

  private noteFailure (end: attempt.AttemptResult, state: fleet.TargetState, phase: 'read' | 'run'): void {
    const message = end.kind === 'answered' ? `status ${end.head.status}` : end.kind === 'streamed' ? '' : end.kind === 'stopped' ? this.ended ?? 'stopped' : end.message
    this.lastMessage = message
    this.deps.metrics.count('godwitpoint_attempt_failures_total', `kind="${end.kind}",phase="${phase}"`)
    this.deps.log.info({ id: this.call.id, target: state.record.id, phase, kind: end.kind, reason: message, resumed_after: this.progress.lastId }, 'attempt_failed')
  }

  private release (kvSource: calls.KvSource): void {
    const { method, path } = this.deps.protocol.encodeKvRelease(kvSource.handle)
    const ignore = (): void => { /* an unreleased handle expires by itself */ }
    this.deps.upstream.send({ address: kvSource.address, method, path, headers: ['host', kvSource.address], body: new Uint8Array(0), nonIdempotent: false }, { onHead: ignore, onData: ignore, onEnd: ignore, onError: ignore })
  }

  private endEarly (reason: 'deadline' | 'caller_left'): void {
    this.ended ??= reason
    this.current?.stop()
  }

  private deliver (answer: { head: calls.ResponseHead, body: Uint8Array }): void {
    if (isPromise(answer.head.status)) this.reply.send({ ...answer.head, status: 502, headers: [] }, new Uint8Array(0))
    else this.reply.send(answer.head, answer.body)
  }

  /** Ends the call without an answer of its own: with a failed one, a broken stream, or a refusal. */
  private giveUp (stop: errors.RefusalReason | errors.Refusal, lateMs = 0): errors.Refusal | undefined {
    if (this.reply.started) {
      this.reply.abort()
      return undefined
    }
    if (this.lastAnswer !== undefined) {
      this.deliver(this.lastAnswer)
      return undefined
    }
    const ran = this.mayHaveRun ? 'maybe' : 'no'
    if (stop instanceof errors.Refusal && ran === 'no') return stop
    const reason = stop instanceof errors.Refusal ? stop.reason : stop
    const spread = RETRY_AFTER_MAX_MS - RETRY_AFTER_MIN_MS
    return new errors.Refusal(reason, {
      step: 'route',
      ran,
      ...(this.lastMessage === '' ? {} : { message: this.lastMessage }),
      ...(ran === 'no' ? { retryAfterMs: RETRY_AFTER_MIN_MS + lateMs + spread * this.deps.env.random.next() } : {})
    })
  }

  private now (): number {
    return this.deps.env.clock.now()
  }
}

function phaseOf (extra: { prefillOnly?: boolean, kvSource?: calls.KvSource | undefined }): 'read' | 'run_handed_over' | 'run' {
  if (extra.prefillOnly === true) return 'read'
  return extra.kvSource === undefined ? 'run' : 'run_handed_over'
}

// These statuses say that a call has not run, which a target's answer without a statement of its own does not.
function isPromise (status: number): boolean {
  return status === 408 || status === 421 || status === 429 || status === 503
}
