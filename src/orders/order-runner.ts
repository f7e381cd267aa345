/** Carries out the intents of a scope: stores and sends each, confirms it from the receiver's state, and closes it. */
import type { ScopeHandle, SendGate } from '../authority/index.js'
import { Err, StepError, type Result } from '../errors/index.js'
import type { Logger } from '../log/index.js'
import type { Metrics } from '../metrics/index.js'
import type { Intent, IntentBody } from '../schema/index.js'
import { withTimeout, type Env } from '../time/index.js'
import { SendError, type IntentSender, type DelayedCopyEffect, type Retirement } from './types.js'

/**
 * Time for which a receiver may still read a delayed copy of an order from a broken connection, in ms. No different
 * order for the subject is sent before it has passed.
 */
export const DELAYED_COPY_MS = 60_000

/** Bounds of the delay before an unconfirmed order is sent again, in ms; the delay doubles with each send. */
const MIN_RESEND_DELAY_MS = 5_000
const MAX_RESEND_DELAY_MS = 60_000

/** Timeout of a call to a receiver, in ms; a send that takes longer still counts as in flight. */
const CALL_TIMEOUT_MS = 5_000

/** Time after a round for which its quarantined subjects are reported, in ms. */
const QUARANTINE_REPORT_TTL_MS = 30_000

/** Dependencies of {@link OrderRunner}. */
export interface OrderRunnerDeps {
  readonly env: Env
  readonly metrics: Metrics
  readonly log: Logger
  readonly gate: SendGate
  readonly sender: IntentSender
  readonly retirement: Retirement
  /** Incarnation of this process. */
  readonly incarnation: string
}

/** State of an intent after a round; `not_held` when the scope's lease is no longer held. */
export type RoundOutcome = 'closed' | 'waiting' | 'quarantined' | 'not_held'

/** Carries out the intents of one scope. */
export class OrderRunner {
  private progress = new Map<string, Progress>()
  private quarantinedSubjects: readonly string[] = []
  private lastRoundAt = -Infinity

  constructor (private readonly deps: OrderRunnerDeps) {}

  /** Subjects whose intent waits for the retirement of a former lease holder, for the report; empty once rounds stop. */
  get quarantined (): readonly string[] {
    return this.deps.env.clock.now() - this.lastRoundAt < QUARANTINE_REPORT_TTL_MS ? this.quarantinedSubjects : []
  }

  /** Stores an intent and sends it. */
  async submit (handle: ScopeHandle, subject: string, body: IntentBody): Promise<Result<Intent, StepError>> {
    const opened = await handle.open(subject, body)
    if (opened.ok) await this.advance(handle, opened.val)
    return opened
  }

  /** Runs one round: advances every open intent of the scope, those of former holders included. */
  async advanceAll (handle: ScopeHandle): Promise<void> {
    const intents = handle.intents()
    this.lastRoundAt = this.deps.env.clock.now()
    const keys = new Set(intents.map((intent) => progressKey(handle, intent)))
    this.progress = new Map([...this.progress].filter(([key]) => keys.has(key)))
    const outcomes = await Promise.all(intents.map(async (intent) => ({ intent, outcome: await this.advance(handle, intent) })))
    this.quarantinedSubjects = outcomes.filter(({ outcome }) => outcome === 'quarantined').map(({ intent }) => intent.subject)
  }

  /** Sends an intent when a send is due, and closes it once its effect is confirmed and no delayed copy can change it. */
  async advance (handle: ScopeHandle, intent: Intent): Promise<RoundOutcome> {
    if (!handle.mayAct()) return 'not_held'
    if (this.deps.sender.isReceiverRemoved?.(intent) === true) {
      await this.deps.sender.release?.(intent)
      return await this.close(handle, intent)
    }
    const progress = this.progressOf(handle, intent)
    if (progress.sendCount === 0 && !progress.inFlight) await this.send(handle, intent, progress)
    const confirmed = await this.confirm(intent)
    if (confirmed.err) return 'waiting'
    if (!confirmed.val) {
      if (this.isResendDue(progress)) await this.send(handle, intent, progress)
      return 'waiting'
    }
    if (!progress.confirmed) await this.deps.sender.release?.(intent)
    progress.confirmed = true
    return await this.closeWhenFinal(handle, intent, progress)
  }

  /**
   * Abandons an intent so that a different one may be opened. Fails while a copy of it may still take effect: one of
   * a former holder without evidence of its retirement, a send in flight, or a delayed copy on a broken connection.
   */
  async withdraw (handle: ScopeHandle, intent: Intent): Promise<Result<void, StepError>> {
    const progress = this.progressOf(handle, intent)
    if (!await this.formerHoldersRetired(handle, intent)) return Err(this.error('intent', intent, 'a former lease holder may still send the order'))
    if (this.copyMayStillArrive(handle, intent, progress)) return Err(this.error('intent', intent, 'a delayed copy of the order may still arrive'))
    const confirmed = await this.confirm(intent)
    if (confirmed.err) return confirmed
    await this.deps.sender.release?.(intent)
    return await handle.close(intent.id)
  }

  private async prepare (intent: Intent): Promise<boolean> {
    return this.deps.sender.prepare === undefined || await this.deps.sender.prepare(intent)
  }

  private isResendDue (progress: Progress): boolean {
    const delayMs = Math.min(MAX_RESEND_DELAY_MS, MIN_RESEND_DELAY_MS * 2 ** (progress.sendCount - 1))
    return progress.sendCount > 0 && !progress.inFlight && this.deps.env.clock.now() - progress.lastSentAt >= delayMs
  }

  /** Sends the same order under the current fencing token. */
  private async send (handle: ScopeHandle, intent: Intent, progress: Progress): Promise<void> {
    if (!await this.prepare(intent)) return
    // No await may come between this check and the send: the lease could end in it.
    const permit = handle.mayAct() ? this.deps.gate.enter(handle.scope, handle.fence) : undefined
    if (permit === undefined) return
    if (progress.sendCount > 0) this.deps.metrics.countRetry('target_error')
    progress.sendCount++
    progress.lastSentAt = this.deps.env.clock.now()
    const call = this.deps.sender.send({ ...intent, fence: handle.fence })
    progress.inFlight = true
    const onSettled = (): void => {
      progress.inFlight = false
      permit[Symbol.dispose]()
    }
    call.then(onSettled, onSettled)
    const outcome = await this.withCallTimeout(call, intent)
    if (outcome.ok) {
      progress.accepted = true
      return
    }
    this.deps.metrics.count('godwitpoint_order_failures_total')
    this.deps.log.warn({ step: 'order', peer: intent.subject, order: intent.id, err: outcome.val }, 'order_failed')
    const mayHaveArrived = !(outcome.val instanceof SendError) || outcome.val.mayHaveArrived
    if (mayHaveArrived) progress.lastBrokenAt = this.deps.env.clock.now()
    // No byte reached the receiver, so the attempt does not count and no delayed copy can arrive.
    else progress.sendCount--
  }

  private async confirm (intent: Intent): Promise<Result<boolean, StepError>> {
    return await this.withCallTimeout(this.deps.sender.confirm(intent), intent)
  }

  private async closeWhenFinal (handle: ScopeHandle, intent: Intent, progress: Progress): Promise<RoundOutcome> {
    const copyEffect = this.delayedCopyEffect(intent)
    if (copyEffect === 'harmless') return await this.close(handle, intent)
    // A fencing token protects only once the receiver has seen it, and a lost reply does not show that it has.
    if (copyEffect === 'fenced' && isInherited(intent, handle) && !progress.accepted) {
      if (this.isResendDue(progress)) await this.send(handle, intent, progress)
      return 'waiting'
    }
    if (this.copyMayStillArrive(handle, intent, progress)) return 'waiting'
    if (copyEffect === 'effective' && !await this.formerHoldersRetired(handle, intent)) {
      this.deps.metrics.count('godwitpoint_quarantine_rounds_total')
      return 'quarantined'
    }
    return await this.close(handle, intent)
  }

  private async close (handle: ScopeHandle, intent: Intent): Promise<RoundOutcome> {
    const closed = await handle.close(intent.id)
    return closed.ok ? 'closed' : handle.mayAct() ? 'waiting' : 'not_held'
  }

  private copyMayStillArrive (handle: ScopeHandle, intent: Intent, progress: Progress): boolean {
    const copyEffect = this.delayedCopyEffect(intent)
    if (copyEffect === 'harmless') return false
    const inheritedAt = copyEffect === 'effective' && isInherited(intent, handle) ? progress.firstSeenAt : -Infinity
    return this.deps.env.clock.now() - Math.max(inheritedAt, progress.lastBrokenAt) < DELAYED_COPY_MS
  }

  private async formerHoldersRetired (handle: ScopeHandle, intent: Intent): Promise<boolean> {
    if (!this.deps.gate.retire(handle.scope, handle.fence)) return false
    const others = intent.senders.filter((sender) => sender !== this.deps.incarnation)
    const retired = await Promise.all(others.map(async (sender) => await this.deps.retirement.isRetired(sender, handle.scope, handle.fence)))
    return retired.every(Boolean)
  }

  private delayedCopyEffect (intent: Intent): DelayedCopyEffect {
    return this.deps.sender.delayedCopyEffect?.(intent) ?? 'harmless'
  }

  private progressOf (handle: ScopeHandle, intent: Intent): Progress {
    const key = progressKey(handle, intent)
    const existing = this.progress.get(key)
    if (existing !== undefined) return existing
    const created = { sendCount: 0, lastSentAt: -Infinity, firstSeenAt: this.deps.env.clock.now(), lastBrokenAt: -Infinity, inFlight: false, accepted: false, confirmed: false }
    this.progress.set(key, created)
    return created
  }

  private async withCallTimeout<T> (call: Promise<Result<T, StepError>>, intent: Intent): Promise<Result<T, StepError>> {
    const onTimeout = (): Result<T, StepError> => Err(this.error('order', intent, `no reply within ${CALL_TIMEOUT_MS} ms`))
    return await withTimeout(this.deps.env.timers, CALL_TIMEOUT_MS, call.catch((err: unknown) => Err(this.error('order', intent, String(err)))), onTimeout)
  }

  private error (step: 'intent' | 'order', intent: Intent, message: string): StepError {
    return new StepError(step, intent.subject, message)
  }
}

/** Progress of one intent in one lease term; times are monotonic, in ms. */
interface Progress {
  sendCount: number
  lastSentAt: number
  /** When this process first saw the intent in this lease term. */
  firstSeenAt: number
  /** When a send last failed after the receiver may have got it. */
  lastBrokenAt: number
  inFlight: boolean
  /** Whether the receiver accepted a send of this lease term, so that it has seen the fencing token. */
  accepted: boolean
  confirmed: boolean
}

/** Whether another holder, or this one in an earlier lease term, may have sent the order without a record here. */
function isInherited (intent: Intent, handle: ScopeHandle): boolean {
  return intent.fence < handle.fence
}

function progressKey (handle: ScopeHandle, intent: Intent): string {
  return `${handle.fence} ${intent.id}`
}
