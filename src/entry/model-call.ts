/** A model call: admitted, routed, streamed, and resumed when an attempt breaks. */
import type { Ticket } from '../admission/index.js'
import { Err, orThrow, Refusal, type Result } from '../errors/index.js'
import { retryReason, StreamSplice } from '../retry/index.js'
import type { RouteChoice, RouteReq, RoutedTarget } from '../routing/index.js'
import type { CompletionReq, Piece } from '../schema/index.js'
import { countTokens, prefixChain, type GenerateEnd, type GenerateReq, type TargetError } from '../target-clients/index.js'
import { delay } from '../time/index.js'
import { handOver, runAttempt } from './attempt.js'
import { budgetOf } from './budgets.js'
import { keyWithdrawn, stillAuthorized, timeLeft, type CallContext } from './call-context.js'
import type { CallerRes, EntryDeps } from './types.js'

/** Most attempts of one call. */
const MAX_ATTEMPTS = 5

/** Pause before an engine that failed this call is tried again, in ms. */
const SAME_AGAIN_MS = 100

/** Interval at which the key of a running stream is checked again, in ms. */
const KEY_CHECK_MS = 1_000

/** Runs a model call and writes the answer. */
export async function runModelCall (call: CallContext, body: CompletionReq, res: CallerRes, deps: EntryDeps): Promise<void> {
  const promptTokens = countTokens(body.prompt)
  const work = promptTokens * call.profile.prefill_cost + body.max_tokens * call.profile.decode_cost
  const ticket = await admit(call, work, deps)
  try {
    orThrow(stillAuthorized(call, deps))
    await new ModelCall(call, body, res, deps, ticket, promptTokens).run()
  } finally {
    ticket.release()
  }
}

/** Waits for a slot; throws a refusal. */
export async function admit (call: CallContext, work: number, deps: EntryDeps): Promise<Ticket> {
  const { id, account, weight, deadlineAt } = call
  const entered = await deps.admission.enter({ id, service: call.service.name, account, weight, work, deadlineAt }, call.req.signal)
  return orThrow(entered)
}

/** Where an attempt goes, and how much of the answer was appended to the prompt for it. */
interface Place {
  readonly choice: RouteChoice
  readonly origin: number
}

class ModelCall {
  private readonly splice = new StreamSplice()
  private readonly chain: readonly string[]
  private readonly seed: number
  private readonly excluded = new Set<string>()
  private readonly stop = new AbortController()
  private attempts = 0
  private mayHaveRun = false
  private resumeAt: Place | undefined
  /** Engine of the last attempt; after a failed hand-over not the one that was chosen first. */
  private ranOn: RoutedTarget | undefined
  private lastTokenAt: number | undefined
  private promptCharged = false
  private whole = false
  private keyCheckedAt: number
  private refusal: Refusal | undefined

  constructor (
    private readonly call: CallContext,
    private readonly body: CompletionReq,
    private readonly res: CallerRes,
    private readonly deps: EntryDeps,
    private readonly ticket: Ticket,
    private readonly promptTokens: number
  ) {
    this.seed = body.seed ?? Math.floor(deps.env.random.next() * 2 ** 31)
    this.chain = prefixChain(body.model, body.prompt)
    this.keyCheckedAt = deps.env.clock.now()
  }

  private get label (): string {
    return `service="${this.call.service.name}"`
  }

  async run (): Promise<void> {
    budgetOf(this.call.service.name, this.deps).countRequest()
    const onDisconnect = (): void => { this.stop.abort() }
    this.call.req.signal.addEventListener('abort', onDisconnect, { once: true })
    if (this.call.req.signal.aborted) onDisconnect()
    using _deadline = this.deps.env.timers.after(timeLeft(this.call, this.deps), onDisconnect)
    try {
      await this.answer()
      this.whole = true
      this.finish()
      this.deps.metrics.count('godwitpoint_answers_total', this.label)
    } finally {
      this.call.req.signal.removeEventListener('abort', onDisconnect)
      this.countUsage()
    }
  }

  private async answer (): Promise<void> {
    while (this.splice.length < this.body.max_tokens) {
      const before = this.splice.length
      const place = this.place()
      const outcome = await this.attempt(place)
      if (outcome.ok) return
      await this.retryOrThrow(outcome.val, place, this.splice.length > before)
    }
  }

  /** The same engine when the last attempt had made progress there, else one that did not fail this call. */
  private place (): Place {
    const resume = this.resumeAt
    this.resumeAt = undefined
    if (resume !== undefined) return resume
    const choice = this.deps.router.choose(this.need()) ?? this.routeAmongFailed()
    if (choice !== undefined) return { choice, origin: this.splice.length }
    throw new Refusal('no_target', { step: 'route', ran: this.ran, retryAfterMs: 1_000 })
  }

  private routeAmongFailed (): RouteChoice | undefined {
    this.excluded.clear()
    return this.deps.router.choose(this.need())
  }

  /** Runs one attempt; one that is given up is cancelled, and its later pieces are dropped. */
  private async attempt (place: Place): Promise<Result<GenerateEnd, TargetError>> {
    const id = `${this.call.id}-${++this.attempts}`
    const abort = new AbortController()
    const onStop = (): void => { abort.abort() }
    this.stop.signal.addEventListener('abort', onStop, { once: true })
    if (this.stop.signal.aborted) onStop()
    let whole = false
    try {
      const outcome = await this.send(id, place, abort.signal)
      whole = outcome.ok
      return outcome
    } finally {
      this.splice.end(id)
      this.stop.signal.removeEventListener('abort', onStop)
      if (!whole) abort.abort()
    }
  }

  private async send (id: string, place: Place, signal: AbortSignal): Promise<Result<GenerateEnd, TargetError>> {
    const req = this.generateReq(id, place.origin)
    const need = this.need()
    const first = this.splice.length
    this.splice.begin(id, place.origin)
    if (place.choice.prefillTarget !== undefined) this.mayHaveRun = true
    const handed = await handOver(req, place.choice, need, signal, this.deps)
    if (handed !== undefined) this.chargePrompt(handed.promptTokens - handed.cachedTokens)
    const sent = handed === undefined ? req : { ...req, kv: handed.kv }
    const choice = this.withoutHandOver(place, handed !== undefined, need)
    this.ranOn = choice.target
    const outcome = await runAttempt(sent, choice, need, (piece) => this.take(id, piece), signal, this.deps)
    this.settlePrompt(outcome, choice)
    if (outcome.ok && this.splice.length - first !== outcome.val.outputTokens) {
      return Err({ kind: 'broken', ran: 'maybe', message: `${choice.target.name}: ${outcome.val.outputTokens} pieces announced, ${this.splice.length - first} arrived` })
    }
    return outcome
  }

  /** A decode engine should not process a long prompt itself; after a failed hand-over a mixed engine does. */
  private withoutHandOver (place: Place, handed: boolean, need: RouteReq): RouteChoice {
    if (handed || place.choice.prefillTarget === undefined) return place.choice
    return this.deps.router.choose({ ...need, split: false }) ?? place.choice
  }

  private need (): RouteReq {
    return {
      service: this.call.service.name,
      chain: this.chain,
      promptTokens: this.promptTokens,
      outputTokens: this.body.max_tokens - this.splice.length,
      priority: this.body.priority,
      exclude: this.excluded
    }
  }

  private generateReq (id: string, origin: number): GenerateReq {
    return {
      id,
      model: this.body.model,
      prompt: origin === 0 ? this.body.prompt : this.body.prompt + this.splice.textOfFirst(origin),
      maxTokens: this.body.max_tokens - origin,
      priority: this.body.priority,
      seed: this.seed,
      from: this.splice.length - origin
    }
  }

  private take (attempt: string, piece: Piece): Promise<void> | undefined {
    const text = this.splice.accept(attempt, piece)
    if (text === undefined) return undefined
    this.ticket.charge(this.call.profile.decode_cost)
    const now = this.deps.env.clock.now()
    if (this.lastTokenAt === undefined) this.deps.metrics.recordDuration('godwitpoint_first_token', now - this.call.arrivedAt, this.label)
    else this.deps.metrics.recordDuration('godwitpoint_between_tokens', now - this.lastTokenAt, this.label)
    this.lastTokenAt = now
    this.checkKey(now)
    if (!this.body.stream || this.stop.signal.aborted) return undefined
    if (!this.res.started) this.res.start(200, 'text/event-stream')
    this.res.write(`data: ${JSON.stringify({ index: this.splice.length - 1, text })}\n\n`)
    return this.untilDrained()
  }

  /** Holds the engine's pieces back while the caller reads slowly, until the call ends. */
  private untilDrained (): Promise<void> | undefined {
    const drained = this.res.drained?.()
    if (drained === undefined) return undefined
    return new Promise((resolve) => {
      drained.then(resolve, () => resolve())
      this.stop.signal.addEventListener('abort', () => resolve(), { once: true })
    })
  }

  /** A key that is withdrawn stops its running streams too. */
  private checkKey (now: number): void {
    if (now - this.keyCheckedAt < KEY_CHECK_MS) return
    this.keyCheckedAt = now
    if (!keyWithdrawn(this.call, this.deps)) return
    this.refusal = new Refusal('key_withdrawn', { step: 'stream', ran: 'maybe' })
    this.stop.abort()
  }

  /** Charges the prompt once a call: exactly when an attempt ends, by estimate when it breaks. */
  private settlePrompt (outcome: Result<GenerateEnd, TargetError>, choice: RouteChoice): void {
    if (outcome.ok) this.chargePrompt(outcome.val.promptTokens - outcome.val.cachedTokens)
    else if (outcome.val.ran === 'maybe') this.chargePrompt(this.promptTokens - (choice.cachedTokens ?? 0))
  }

  private chargePrompt (tokens: number): void {
    if (this.promptCharged) return
    this.promptCharged = true
    this.ticket.charge(Math.max(0, tokens) * this.call.profile.prefill_cost)
  }

  private async retryOrThrow (err: TargetError, place: Place, progressed: boolean): Promise<void> {
    if (err.ran === 'maybe') this.mayHaveRun = true
    if (this.refusal !== undefined) throw this.refusal
    const target = this.ranOn ?? place.choice.target
    const detail = { step: 'stream', ran: this.ran, message: err.message, peer: target.name, retryAfterMs: 1_000 } as const
    if (this.call.req.signal.aborted) throw new Refusal('caller_disconnected', { step: 'stream', ran: this.ran })
    if (timeLeft(this.call, this.deps) <= 0) throw new Refusal('deadline_exceeded', detail)
    const reason = retryReason(err, true)
    if (reason === undefined || this.attempts >= MAX_ATTEMPTS) throw new Refusal('target_failed', detail)
    const budget = budgetOf(this.call.service.name, this.deps)
    if (!(this.splice.length > 0 ? budget.tryContinue() : budget.tryRetry())) throw new Refusal('retry_budget_exhausted', detail)
    this.deps.metrics.countRetry(reason)
    if (progressed && (err.kind === 'broken' || err.kind === 'silent')) this.resumeAt = { choice: { target }, origin: place.origin }
    else await this.leaveOut(target)
  }

  /** Leaves a target out of this call's next choice; when it had failed before, waits a little. */
  private async leaveOut (target: RoutedTarget): Promise<void> {
    if (this.excluded.has(target.name)) await delay(this.deps.env.timers, SAME_AGAIN_MS)
    this.excluded.add(target.name)
  }

  private get ran (): 'no' | 'maybe' {
    return this.mayHaveRun ? 'maybe' : 'no'
  }

  private finish (): void {
    const usage = { prompt_tokens: this.promptTokens, output_tokens: this.splice.length }
    if (this.body.stream) {
      if (!this.res.started) this.res.start(200, 'text/event-stream')
      this.res.end(`data: ${JSON.stringify({ usage })}\n\ndata: [DONE]\n\n`)
      return
    }
    const body = Buffer.from(JSON.stringify({ model: this.body.model, text: this.splice.text, usage }))
    this.res.start(200, 'application/json', { 'content-length': String(body.length) })
    this.res.end(body)
  }

  /**
   * Counts what was served: of a stream the tokens that were sent, else the whole answer. Tokens produced for a
   * caller that disconnected count too, else disconnecting late would be free.
   */
  private countUsage (): void {
    const served = this.whole || (this.splice.length > 0 && (this.body.stream || this.call.req.signal.aborted))
    if (!served) return
    this.deps.usage.add(this.call.account, this.call.service.name, { requests: 1, promptTokens: this.promptTokens, outputTokens: this.splice.length })
  }
}
