/** Acquires, renews and releases the lease of one scope, and runs its duty while the lease is held. */
import { Err, Ok, StepError, type Result } from '../errors/index.js'
import type { Logger } from '../log/index.js'
import type { Intent, IntentBody, ScopeRecord } from '../schema/index.js'
import { delay, withTimeout } from '../time/index.js'
import {
  acquirableAt, acquiredRecord, applyLease, LEASE_TTL_MS, mayActAt, newLease, releasedRecord, RENEW_INTERVAL_MS, type LeaseState, type LeaseStep
} from './lease.js'
import { ScopeStore, type PlannedWrite, type ScopeStoreDeps } from './scope-store.js'
import type { SendGate } from './send-gate.js'
import type { ScopeDuty, ScopeHandle } from './types.js'

/** Additional wait of a candidate for each rank below the most preferred one, in ms. */
export const RANK_DELAY_MS = 1_000

/** Number of the most preferred candidates that watch the record; the others read it at intervals. */
const WATCHING_RANKS = 2

/** Longest duration of one watch, in ms. */
const WATCH_TIMEOUT_MS = 10_000

/**
 * Interval between reads of the first candidate that does not watch, and the longest one, in ms; it grows fourfold
 * with each rank.
 */
const READ_INTERVAL_MS = 12_000
const READ_INTERVAL_GROWTH = 4
const MAX_READ_INTERVAL_MS = 600_000

/** First and longest delay after failed store calls, in ms; the delay doubles while calls fail. */
const RETRY_DELAY_MS = 1_000
const MAX_RETRY_DELAY_MS = 8_000

/** Interval between runs of the duty, in ms. */
const TICK_INTERVAL_MS = 1_000

/** Longest wait for sends in flight before a lease is released, and the interval of checks meanwhile, in ms. */
const RELEASE_TIMEOUT_MS = 2_000
const RELEASE_POLL_INTERVAL_MS = 50

/** Maximum number of open intents of a scope; keeps the object well below the store's limit of 1 MB. */
export const MAX_OPEN_INTENTS = 512

/** Dependencies of a {@link ScopeTask}. */
export interface ScopeTaskDeps extends ScopeStoreDeps {
  readonly log: Logger
  readonly gate: SendGate
  /** Incarnation of this process. */
  readonly incarnation: string
  /** Address at which peers reach this process. */
  readonly address: string
  /** Rank of this process among the live candidates for a scope; 0 is the most preferred. */
  readonly rankOf: (scope: string) => number
  readonly ttlMs?: number
}

/** Competes for the lease of one scope and keeps it renewed while held. */
export class ScopeTask implements AsyncDisposable {
  private state: LeaseState
  private readonly store: ScopeStore
  private stopping = false
  private loopEnd: Promise<void> | undefined
  private writeCount = 0
  private isWatching = false
  private failedCalls = 0
  private endWait: (() => void) | undefined

  constructor (private readonly deps: ScopeTaskDeps, readonly scope: string, private readonly duty: ScopeDuty) {
    this.state = newLease(deps.incarnation)
    this.store = new ScopeStore(deps, scope, (step) => { this.apply(step) })
  }

  /** Starts to compete for the lease. */
  start (): void {
    this.loopEnd ??= this.loop()
  }

  /** Handle of the current lease term; `undefined` while this process may not act. */
  get handle (): ScopeHandle | undefined {
    const fence = this.state.term?.fence
    return fence === undefined || !this.mayAct(fence) ? undefined : new TermHandle(this, fence)
  }

  /** The record as last observed. */
  get record (): ScopeRecord | undefined {
    return this.state.observed?.record
  }

  /** Whether this process may act now under this fencing token. */
  mayAct (fence: number): boolean {
    return !this.stopping && this.state.term?.fence === fence && !this.deps.gate.isRetired(this.scope, fence) &&
      mayActAt(this.state, this.deps.env.clock.now())
  }

  /** Gives up any lease term with a fencing token below `fence`, which a peer announced. */
  depose (fence: number): void {
    this.apply({ kind: 'deposed', fence })
  }

  /**
   * Ends the current wait when this process is now among the candidates that watch, since more preferred ones may
   * have failed meanwhile.
   */
  watchIfPreferred (): void {
    if (this.state.term === undefined && !this.isWatching && this.deps.rankOf(this.scope) < WATCHING_RANKS) this.endWait?.()
  }

  /** Renews or competes once; resolves with the time until the next step, in ms. */
  async step (): Promise<number> {
    if (this.state.term !== undefined) return await this.renew()
    return await this.compete()
  }

  /** Updates the record under the lease term with this fencing token. */
  async editRecord (fence: number, edit: (record: ScopeRecord) => Result<ScopeRecord, StepError>): Promise<Result<void, StepError>> {
    const written = await this.store.write(() => {
      const observed = this.state.observed
      if (!this.mayAct(fence) || observed?.record === undefined) return Err(this.leaseError('the lease is not held'))
      return edit(observed.record).map((record): PlannedWrite => ({ record: { ...record, nonce: this.nonce() }, expected: observed.version }))
    })
    if (written.ok && this.state.term?.fence !== fence) return Err(this.leaseError('the lease was lost'))
    return written
  }

  /** Stops the task; the lease is released unless a send is still in flight. */
  async [Symbol.asyncDispose] (): Promise<void> {
    this.stopping = true
    this.endWait?.()
    const timers = this.deps.env.timers
    for (let waitedMs = 0; !this.deps.gate.isIdle(this.scope) && waitedMs < RELEASE_TIMEOUT_MS; waitedMs += RELEASE_POLL_INTERVAL_MS) await delay(timers, RELEASE_POLL_INTERVAL_MS)
    if (this.deps.gate.isIdle(this.scope)) await this.release()
  }

  private async release (): Promise<void> {
    const released = await this.store.write(() => {
      const { observed, term } = this.state
      if (term === undefined || observed?.record === undefined) return Err(this.leaseError('the lease is not held'))
      return Ok({ record: releasedRecord(observed.record, this.nonce()), expected: observed.version })
    })
    if (released.ok) this.deps.log.info({ scope: this.scope }, 'lease_released')
  }

  private async renew (): Promise<number> {
    const unchangedMs = this.deps.env.clock.now() - (this.state.observed?.unchangedSince ?? 0)
    if (unchangedMs < RENEW_INTERVAL_MS) return RENEW_INTERVAL_MS - unchangedMs
    const renewed = await this.store.write(() => {
      const { observed, term } = this.state
      if (term === undefined || observed?.record === undefined || this.stopping) return Err(this.leaseError('the lease is not held'))
      return Ok({ record: { ...observed.record, nonce: this.nonce() }, expected: observed.version })
    })
    return this.nextDelayMs(renewed, RENEW_INTERVAL_MS)
  }

  private async compete (): Promise<number> {
    const rank = this.deps.rankOf(this.scope)
    this.isWatching = rank < WATCHING_RANKS
    if (!this.isWatching) return await this.readOccasionally(rank)
    const waitMs = this.acquireDelayMs(rank)
    if (waitMs <= 0) return await this.acquire()
    const observed = this.state.observed
    if (observed === undefined) return this.nextDelayMs(await this.store.read(), 0)
    return this.nextDelayMs(await this.store.watch(Math.min(waitMs, WATCH_TIMEOUT_MS), observed.version), 0)
  }

  /** Reads the record, and acquires the lease when it is due and the record has not changed since the last read. */
  private async readOccasionally (rank: number): Promise<number> {
    const previousVersion = this.state.observed?.version
    const intervalMs = Math.min(MAX_READ_INTERVAL_MS, READ_INTERVAL_MS * READ_INTERVAL_GROWTH ** (rank - WATCHING_RANKS))
    const read = await this.store.read()
    if (read.err || previousVersion === undefined || previousVersion !== this.state.observed?.version) return intervalMs
    const waitMs = this.acquireDelayMs(rank)
    return waitMs <= 0 ? await this.acquire() : Math.min(intervalMs, waitMs)
  }

  /** Time until this candidate may acquire the lease, in ms; infinite before the first read. */
  private acquireDelayMs (rank: number): number {
    const acquirableFrom = acquirableAt(this.state)
    return acquirableFrom === undefined ? Infinity : acquirableFrom + rank * RANK_DELAY_MS - this.deps.env.clock.now()
  }

  private async acquire (): Promise<number> {
    return this.nextDelayMs(await this.store.write(() => this.planAcquisition()), RENEW_INTERVAL_MS)
  }

  private planAcquisition (): Result<PlannedWrite, StepError> {
    const observed = this.state.observed
    if (observed === undefined || this.stopping) return Err(this.leaseError('the task is stopping or has not read the scope yet'))
    const { incarnation, address, ttlMs = LEASE_TTL_MS } = this.deps
    return Ok({ record: acquiredRecord(observed.record, incarnation, address, ttlMs, this.nonce()), expected: observed.version })
  }

  /** Time until the next step, in ms; grows while store calls fail. */
  private nextDelayMs (outcome: Result<void, StepError>, successDelayMs: number): number {
    this.failedCalls = outcome.ok ? 0 : this.failedCalls + 1
    return outcome.ok ? successDelayMs : Math.min(MAX_RETRY_DELAY_MS, RETRY_DELAY_MS * 2 ** (this.failedCalls - 1))
  }

  private async loop (): Promise<void> {
    while (!this.stopping) {
      const waitMs = await this.step()
      if (!this.stopping) await withTimeout(this.deps.env.timers, waitMs, new Promise<void>((resolve) => { this.endWait = resolve }), () => {})
    }
  }

  private apply (step: LeaseStep): void {
    const formerFence = this.state.term?.fence
    this.state = applyLease(this.state, step)
    const currentFence = this.state.term?.fence
    if (formerFence === currentFence) return
    if (formerFence !== undefined) this.deps.log.warn({ scope: this.scope, fence: formerFence }, 'lease_lost')
    if (currentFence === undefined) return
    this.deps.metrics.count('godwitpoint_leases_acquired_total')
    this.deps.log.info({ scope: this.scope, fence: currentFence }, 'lease_acquired')
    this.runDuty(currentFence).catch((err: unknown) => { this.deps.log.error({ scope: this.scope, err }, 'duty_failed') })
  }

  private async runDuty (fence: number): Promise<void> {
    const handle = new TermHandle(this, fence)
    while (!this.stopping && this.state.term?.fence === fence) {
      if (handle.mayAct()) {
        try {
          await this.duty.tick(handle)
        } catch (err) {
          this.deps.metrics.count('godwitpoint_duty_errors_total')
          this.deps.log.error({ scope: this.scope, err }, 'duty_failed')
        }
      }
      await delay(this.deps.env.timers, TICK_INTERVAL_MS)
    }
  }

  private nonce (): string {
    return `${this.deps.incarnation}.${++this.writeCount}`
  }

  private leaseError (message: string): StepError {
    return new StepError('lease', this.scope, message)
  }
}

/** Handle of one lease term; it is invalid once the term with its fencing token has ended. */
class TermHandle implements ScopeHandle {
  constructor (private readonly task: ScopeTask, readonly fence: number) {}

  get scope (): string {
    return this.task.scope
  }

  mayAct (): boolean {
    return this.task.mayAct(this.fence)
  }

  intents (): readonly Intent[] {
    return this.mayAct() ? this.task.record?.intents ?? [] : []
  }

  async open (subject: string, body: IntentBody): Promise<Result<Intent, StepError>> {
    let intent: Intent | undefined
    const written = await this.task.editRecord(this.fence, (record) => {
      if (record.intents.some((other) => other.subject === subject)) return Err(new StepError('intent', this.scope, `${subject} has an open intent`))
      if (record.intents.length >= MAX_OPEN_INTENTS) return Err(new StepError('intent', this.scope, 'too many open intents'))
      const serial = (record.opened ?? 0) + 1
      intent = { id: `${this.scope}#${this.fence}.${serial}`, subject, fence: this.fence, senders: [record.holder], body }
      return Ok({ ...record, opened: serial, intents: [...record.intents, intent] })
    })
    if (written.err) return written
    return intent === undefined ? Err(new StepError('intent', this.scope, 'no intent was written')) : Ok(intent)
  }

  async close (id: string): Promise<Result<void, StepError>> {
    return await this.task.editRecord(this.fence, (record) => Ok({ ...record, intents: record.intents.filter((intent) => intent.id !== id) }))
  }
}
