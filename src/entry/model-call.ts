/** A model call: admission, routing, streaming, and resumption when an attempt breaks. */
import type { Ticket } from '../admission/index.js'
import { Err, orThrow, Refusal, type Result } from '../errors/index.js'
import { retryReason, StreamSplice } from '../retry/index.js'
import type { RouteChoice, RouteReq, RoutedTarget } from '../routing/index.js'
import type { CompletionReq, Piece } from '../schema/index.js'
import { countTokens, prefixChain, type GenerateEnd, type GenerateReq, type TargetError } from '../target-clients/index.js'
import { delay } from '../time/index.js'
import { transferKv, runAttempt } from './attempt.js'
import { retryBudgetOf } from './budgets.js'
import { isKeyWithdrawn, recheckAuthorization, remainingMs, type CallContext } from './call-context.js'
import type { CallerRes, EntryDeps } from './types.js'

/** Maximum number of attempts of one call. */
const MAX_ATTEMPTS = 5

/** Delay before an engine that failed this call is tried again, in ms. */
const SAME_TARGET_RETRY_DELAY_MS = 100

/** Interval at which the key of a running stream is rechecked, in ms. */
const KEY_CHECK_INTERVAL_MS = 1_000

/** Executes a model call and writes the response to `res`. */
export async function runModelCall (call: CallContext, body: CompletionReq, res: CallerRes, deps: EntryDeps): Promise<void> {
  const promptTokens = countTokens(body.prompt)
  const work = promptTokens * call.profile.prefill_cost + body.max_tokens * call.profile.decode_cost
  const ticket = await admit(call, work, deps)
  try {
    orThrow(recheckAuthorization(call, deps))
    await new ModelCall(call, body, res, deps, ticket, promptTokens).run()
  } finally {
    ticket.release()
  }
}

/** Waits for admission of a call with `work` in work units; throws a refusal. */
export async function admit (call: CallContext, work: number, deps: EntryDeps): Promise<Ticket> {
  const { id, account, weight, deadlineAt } = call
  const ticket = await deps.admission.enter({ id, service: call.service.name, account, weight, work, deadlineAt }, call.req.signal)
  return orThrow(ticket)
}

/** The target of an attempt, and how many chunks of the response are appended to the prompt for it. */
interface AttemptPlan {
  readonly choice: RouteChoice
  readonly appendedPieces: number
}

class ModelCall {
  private readonly splice = new StreamSplice()
  private readonly chain: readonly string[]
  private readonly seed: number
  private readonly excluded = new Set<string>()
  private readonly stopController = new AbortController()
  private attempts = 0
  private mayHaveExecuted = false
  private resumePlan: AttemptPlan | undefined
  /** Engine of the last attempt; after a failed KV transfer not the one that was chosen first. */
  private lastTarget: RoutedTarget | undefined
  private lastTokenAt: number | undefined
  private promptCharged = false
  private isComplete = false
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

  private get serviceLabel (): string {
    return `service="${this.call.service.name}"`
  }

  async run (): Promise<void> {
    retryBudgetOf(this.call.service.name, this.deps).countRequest()
    const onDisconnect = (): void => { this.stopController.abort() }
    this.call.req.signal.addEventListener('abort', onDisconnect, { once: true })
    if (this.call.req.signal.aborted) onDisconnect()
    using _deadline = this.deps.env.timers.after(remainingMs(this.call, this.deps), onDisconnect)
    try {
      await this.runAttempts()
      this.isComplete = true
      this.endResponse()
      this.deps.metrics.count('godwitpoint_answers_total', this.serviceLabel)
    } finally {
      this.call.req.signal.removeEventListener('abort', onDisconnect)
      this.countUsage()
    }
  }

  private async runAttempts (): Promise<void> {
    while (this.splice.length < this.body.max_tokens) {
      const lengthBefore = this.splice.length
      const plan = this.planAttempt()
      const outcome = await this.attempt(plan)
      if (outcome.ok) return
      await this.retryOrThrow(outcome.val, plan, this.splice.length > lengthBefore)
    }
  }

  /** Plans the next attempt: at the same engine if the last one made progress, else at one that did not fail this call. */
  private planAttempt (): AttemptPlan {
    const resumePlan = this.resumePlan
    this.resumePlan = undefined
    if (resumePlan !== undefined) return resumePlan
    const choice = this.deps.router.choose(this.routeReq()) ?? this.chooseAmongFailed()
    if (choice !== undefined) return { choice, appendedPieces: this.splice.length }
    throw new Refusal('no_target', { step: 'route', ran: this.executionState, retryAfterMs: 1_000 })
  }

  private chooseAmongFailed (): RouteChoice | undefined {
    this.excluded.clear()
    return this.deps.router.choose(this.routeReq())
  }

  /** Executes one attempt; one that fails is cancelled at its engine, and later chunks of it are dropped. */
  private async attempt (plan: AttemptPlan): Promise<Result<GenerateEnd, TargetError>> {
    const id = `${this.call.id}-${++this.attempts}`
    const abort = new AbortController()
    const onStop = (): void => { abort.abort() }
    this.stopController.signal.addEventListener('abort', onStop, { once: true })
    if (this.stopController.signal.aborted) onStop()
    let succeeded = false
    try {
      const outcome = await this.send(id, plan, abort.signal)
      succeeded = outcome.ok
      return outcome
    } finally {
      this.splice.end(id)
      this.stopController.signal.removeEventListener('abort', onStop)
      if (!succeeded) abort.abort()
    }
  }

  private async send (id: string, plan: AttemptPlan, signal: AbortSignal): Promise<Result<GenerateEnd, TargetError>> {
    const req = this.generateReq(id, plan.appendedPieces)
    const routeReq = this.routeReq()
    const lengthBefore = this.splice.length
    this.splice.begin(id, plan.appendedPieces)
    if (plan.choice.prefillTarget !== undefined) this.mayHaveExecuted = true
    const transfer = await transferKv(req, plan.choice, routeReq, signal, this.deps)
    if (transfer !== undefined) this.chargePrompt(transfer.promptTokens - transfer.cachedTokens)
    const attemptReq = transfer === undefined ? req : { ...req, kv: transfer.kv }
    const choice = this.choiceAfterTransfer(plan, transfer !== undefined, routeReq)
    this.lastTarget = choice.target
    const outcome = await runAttempt(attemptReq, choice, routeReq, (piece) => this.relayPiece(id, piece), signal, this.deps)
    this.chargeAttemptPrompt(outcome, choice)
    if (outcome.ok && this.splice.length - lengthBefore !== outcome.val.outputTokens) {
      return Err({ kind: 'broken', ran: 'maybe', message: `${choice.target.name}: ${outcome.val.outputTokens} pieces announced, ${this.splice.length - lengthBefore} arrived` })
    }
    return outcome
  }

  /** Replaces the target after a failed KV transfer: a mixed engine prefills the prompt rather than the decode engine. */
  private choiceAfterTransfer (plan: AttemptPlan, transferred: boolean, routeReq: RouteReq): RouteChoice {
    if (transferred || plan.choice.prefillTarget === undefined) return plan.choice
    return this.deps.router.choose({ ...routeReq, split: false }) ?? plan.choice
  }

  private routeReq (): RouteReq {
    return {
      service: this.call.service.name,
      chain: this.chain,
      promptTokens: this.promptTokens,
      outputTokens: this.body.max_tokens - this.splice.length,
      priority: this.body.priority,
      exclude: this.excluded
    }
  }

  private generateReq (id: string, appendedPieces: number): GenerateReq {
    return {
      id,
      model: this.body.model,
      prompt: appendedPieces === 0 ? this.body.prompt : this.body.prompt + this.splice.textOfFirst(appendedPieces),
      maxTokens: this.body.max_tokens - appendedPieces,
      priority: this.body.priority,
      seed: this.seed,
      from: this.splice.length - appendedPieces
    }
  }

  private relayPiece (attempt: string, piece: Piece): Promise<void> | undefined {
    const text = this.splice.accept(attempt, piece)
    if (text === undefined) return undefined
    this.ticket.charge(this.call.profile.decode_cost)
    const now = this.deps.env.clock.now()
    if (this.lastTokenAt === undefined) this.deps.metrics.recordDuration('godwitpoint_first_token', now - this.call.arrivedAt, this.serviceLabel)
    else this.deps.metrics.recordDuration('godwitpoint_between_tokens', now - this.lastTokenAt, this.serviceLabel)
    this.lastTokenAt = now
    this.recheckKey(now)
    if (!this.body.stream || this.stopController.signal.aborted) return undefined
    if (!this.res.started) this.res.start(200, 'text/event-stream')
    this.res.write(`data: ${JSON.stringify({ index: this.splice.length - 1, text })}\n\n`)
    return this.untilDrained()
  }

  /** Backpressure: pauses reading from the engine while the caller reads slowly, at most until the call ends. */
  private untilDrained (): Promise<void> | undefined {
    const drained = this.res.drained?.()
    if (drained === undefined) return undefined
    return new Promise((resolve) => {
      drained.then(resolve, () => resolve())
      this.stopController.signal.addEventListener('abort', () => resolve(), { once: true })
    })
  }

  /** Stops a running stream when its key is withdrawn. */
  private recheckKey (now: number): void {
    if (now - this.keyCheckedAt < KEY_CHECK_INTERVAL_MS) return
    this.keyCheckedAt = now
    if (!isKeyWithdrawn(this.call, this.deps)) return
    this.refusal = new Refusal('key_withdrawn', { step: 'stream', ran: 'maybe' })
    this.stopController.abort()
  }

  /** Charges the prompt once per call: the exact count when an attempt succeeds, an estimate when it breaks. */
  private chargeAttemptPrompt (outcome: Result<GenerateEnd, TargetError>, choice: RouteChoice): void {
    if (outcome.ok) this.chargePrompt(outcome.val.promptTokens - outcome.val.cachedTokens)
    else if (outcome.val.ran === 'maybe') this.chargePrompt(this.promptTokens - (choice.cachedTokens ?? 0))
  }

  private chargePrompt (tokens: number): void {
    if (this.promptCharged) return
    this.promptCharged = true
    this.ticket.charge(Math.max(0, tokens) * this.call.profile.prefill_cost)
  }

  private async retryOrThrow (err: TargetError, plan: AttemptPlan, madeProgress: boolean): Promise<void> {
    if (err.ran === 'maybe') this.mayHaveExecuted = true
    if (this.refusal !== undefined) throw this.refusal
    const target = this.lastTarget ?? plan.choice.target
    const detail = { step: 'stream', ran: this.executionState, message: err.message, peer: target.name, retryAfterMs: 1_000 } as const
    if (this.call.req.signal.aborted) throw new Refusal('caller_disconnected', { step: 'stream', ran: this.executionState })
    if (remainingMs(this.call, this.deps) <= 0) throw new Refusal('deadline_exceeded', detail)
    const reason = retryReason(err, true)
    if (reason === undefined || this.attempts >= MAX_ATTEMPTS) throw new Refusal('target_failed', detail)
    const budget = retryBudgetOf(this.call.service.name, this.deps)
    if (!(this.splice.length > 0 ? budget.tryContinue() : budget.tryRetry())) throw new Refusal('retry_budget_exhausted', detail)
    this.deps.metrics.countRetry(reason)
    if (madeProgress && (err.kind === 'broken' || err.kind === 'silent')) this.resumePlan = { choice: { target }, appendedPieces: plan.appendedPieces }
    else await this.excludeTarget(target)
  }

  /** Excludes a target from this call's next choice; waits first when it had failed this call before. */
  private async excludeTarget (target: RoutedTarget): Promise<void> {
    if (this.excluded.has(target.name)) await delay(this.deps.env.timers, SAME_TARGET_RETRY_DELAY_MS)
    this.excluded.add(target.name)
  }

  private get executionState (): 'no' | 'maybe' {
    return this.mayHaveExecuted ? 'maybe' : 'no'
  }

  private endResponse (): void {
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
   * Counts usage: for a stream the tokens that were sent, else the complete response. Tokens produced for a caller that
   * disconnected count too, since disconnecting late would be free otherwise.
   */
  private countUsage (): void {
    const served = this.isComplete || (this.splice.length > 0 && (this.body.stream || this.call.req.signal.aborted))
    if (!served) return
    this.deps.usage.add(this.call.account, this.call.service.name, { requests: 1, promptTokens: this.promptTokens, outputTokens: this.splice.length })
  }
}
