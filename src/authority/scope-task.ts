/** Takes, renews, loses and releases the lease of one scope, and runs its duty while it is held. */
import { Err, Ok, StepError, type Result } from '../errors/index.js'
import type { Logger } from '../log/index.js'
import type { Intent, IntentBody, ScopeRecord } from '../schema/index.js'
import { delay, withTimeout } from '../time/index.js'
import {
  acquirableAt, acquiredRecord, applyLease, LEASE_TTL_MS, mayActAt, newLease, releasedRecord, RENEW_MS, type LeaseState, type LeaseStep
} from './lease.js'
import { ScopeStore, type PlannedWrite, type ScopeStoreDeps } from './scope-store.js'
import type { SendGate } from './send-gate.js'
import type { ScopeDuty, ScopeHandle } from './types.js'

/** Time by which a candidate waits longer than the one preferred before it, in ms. */
export const RANK_DELAY_MS = 1_000

/** Candidates up to this rank watch the record; the others read it now and then. */
const WATCHING_RANKS = 2

/** Longest wait of one watch, in ms. */
const WATCH_MS = 10_000

/** Interval between reads of the first candidate that does not watch, in ms; it grows fourfold with each rank. */
const READ_MS = 12_000
const READ_GROWTH = 4
const READ_LAST_MS = 600_000

/** Wait after a failed store call, in ms; it doubles while calls fail. */
const RETRY_MS = 1_000
const RETRY_LAST_MS = 8_000

/** Interval between rounds of the duty, in ms. */
const TICK_MS = 1_000

/** Longest wait for running sends before a lease is released, in ms. */
const RELEASE_WAIT_MS = 2_000
const RELEASE_POLL_MS = 50

/** Open intents of a scope; the object stays well below the store's limit of 1 MB. */
export const MAX_OPEN_INTENTS = 512

/** What a scope's task uses. */
export interface ScopeTaskDeps extends ScopeStoreDeps {
  readonly log: Logger
  readonly gate: SendGate
  /** Incarnation of this process. */
  readonly incarnation: string
  /** Address at which peers reach this process. */
  readonly address: string
  /** Place of this process among the live candidates for a scope; 0 is preferred. */
  readonly rankOf: (scope: string) => number
  readonly ttlMs?: number
}

/** One scope's lease. */
export class ScopeTask implements AsyncDisposable {
  private state: LeaseState
  private readonly store: ScopeStore
  private stopping = false
  private looping: Promise<void> | undefined
  private writes = 0
  private watching = false
  private failures = 0
  private wake: (() => void) | undefined

  constructor (private readonly deps: ScopeTaskDeps, readonly scope: string, private readonly duty: ScopeDuty) {
    this.state = newLease(deps.incarnation)
    this.store = new ScopeStore(deps, scope, (step) => { this.apply(step) })
  }

  /** Starts to compete for the lease. */
  start (): void {
    this.looping ??= this.loop()
  }

  /** The right to act, while the process has it. */
  get handle (): ScopeHandle | undefined {
    const fence = this.state.tenure?.fence
    return fence === undefined || !this.mayAct(fence) ? undefined : new TenureHandle(this, fence)
  }

  /** The record as last learnt. */
  get record (): ScopeRecord | undefined {
    return this.state.seen?.record
  }

  /** Whether the tenure with this fencing number may act now. */
  mayAct (fence: number): boolean {
    return !this.stopping && this.state.tenure?.fence === fence && !this.deps.gate.isRetired(this.scope, fence) &&
      mayActAt(this.state, this.deps.env.clock.now())
  }

  /** Gives up every tenure below `fence`; a peer that holds it told so. */
  depose (fence: number): void {
    this.apply({ kind: 'deposed', fence })
  }

  /** Wakes the task when it is now among the candidates that watch; others may have failed since it last looked. */
  reconsider (): void {
    if (this.state.tenure === undefined && !this.watching && this.deps.rankOf(this.scope) < WATCHING_RANKS) this.wake?.()
  }

  /** Makes one step; resolves with the time until the next one, in ms. */
  async step (): Promise<number> {
    if (this.state.tenure !== undefined) return await this.renew()
    return await this.compete()
  }

  /** Changes the record under a tenure. */
  async change (fence: number, edit: (record: ScopeRecord) => Result<ScopeRecord, StepError>): Promise<Result<void, StepError>> {
    const written = await this.store.write(() => {
      const seen = this.state.seen
      if (!this.mayAct(fence) || seen?.record === undefined) return Err(this.error('the lease is not held'))
      return edit(seen.record).map((record): PlannedWrite => ({ record: { ...record, nonce: this.nonce() }, expected: seen.version }))
    })
    if (written.ok && this.state.tenure?.fence !== fence) return Err(this.error('the lease was lost'))
    return written
  }

  /** Stops; the lease is released unless a send is still in flight. */
  async [Symbol.asyncDispose] (): Promise<void> {
    this.stopping = true
    this.wake?.()
    const timers = this.deps.env.timers
    for (let waited = 0; !this.deps.gate.isIdle(this.scope) && waited < RELEASE_WAIT_MS; waited += RELEASE_POLL_MS) await delay(timers, RELEASE_POLL_MS)
    if (this.deps.gate.isIdle(this.scope)) await this.release()
  }

  private async release (): Promise<void> {
    const released = await this.store.write(() => {
      const { seen, tenure } = this.state
      if (tenure === undefined || seen?.record === undefined) return Err(this.error('the lease is not held'))
      return Ok({ record: releasedRecord(seen.record, this.nonce()), expected: seen.version })
    })
    if (released.ok) this.deps.log.info({ scope: this.scope }, 'lease_released')
  }

  private async renew (): Promise<number> {
    const idle = this.deps.env.clock.now() - (this.state.seen?.since ?? 0)
    if (idle < RENEW_MS) return RENEW_MS - idle
    const renewed = await this.store.write(() => {
      const { seen, tenure } = this.state
      if (tenure === undefined || seen?.record === undefined || this.stopping) return Err(this.error('the lease is not held'))
      return Ok({ record: { ...seen.record, nonce: this.nonce() }, expected: seen.version })
    })
    return this.next(renewed, RENEW_MS)
  }

  private async compete (): Promise<number> {
    const rank = this.deps.rankOf(this.scope)
    this.watching = rank < WATCHING_RANKS
    if (!this.watching) return await this.look(rank)
    const wait = this.waitFor(rank)
    if (wait <= 0) return await this.acquire()
    const known = this.state.seen
    if (known === undefined) return this.next(await this.store.read(), 0)
    return this.next(await this.store.watch(Math.min(wait, WATCH_MS), known.version), 0)
  }

  /** Reads the record, and acquires when it has not changed since the last read. */
  private async look (rank: number): Promise<number> {
    const before = this.state.seen?.version
    const interval = Math.min(READ_LAST_MS, READ_MS * READ_GROWTH ** (rank - WATCHING_RANKS))
    const read = await this.store.read()
    if (read.err || before === undefined || before !== this.state.seen?.version) return interval
    const wait = this.waitFor(rank)
    return wait <= 0 ? await this.acquire() : Math.min(interval, wait)
  }

  /** Time until this candidate may acquire; infinite before the first read. */
  private waitFor (rank: number): number {
    const due = acquirableAt(this.state)
    return due === undefined ? Infinity : due + rank * RANK_DELAY_MS - this.deps.env.clock.now()
  }

  private async acquire (): Promise<number> {
    return this.next(await this.store.write(() => this.planAcquisition()), RENEW_MS)
  }

  private planAcquisition (): Result<PlannedWrite, StepError> {
    const seen = this.state.seen
    if (seen === undefined || this.stopping) return Err(this.error('stopping'))
    const { incarnation, address, ttlMs = LEASE_TTL_MS } = this.deps
    return Ok({ record: acquiredRecord(seen.record, incarnation, address, ttlMs, this.nonce()), expected: seen.version })
  }

  /** Time until the next step, which grows while calls to the store fail. */
  private next (outcome: Result<void, StepError>, afterSuccess: number): number {
    this.failures = outcome.ok ? 0 : this.failures + 1
    return outcome.ok ? afterSuccess : Math.min(RETRY_LAST_MS, RETRY_MS * 2 ** (this.failures - 1))
  }

  private async loop (): Promise<void> {
    while (!this.stopping) {
      const wait = await this.step()
      if (!this.stopping) await withTimeout(this.deps.env.timers, wait, new Promise<void>((resolve) => { this.wake = resolve }), () => {})
    }
  }

  private apply (step: LeaseStep): void {
    const before = this.state.tenure?.fence
    this.state = applyLease(this.state, step)
    const after = this.state.tenure?.fence
    if (before === after) return
    if (before !== undefined) this.deps.log.warn({ scope: this.scope, fence: before }, 'lease_lost')
    if (after === undefined) return
    this.deps.metrics.count('godwitpoint_leases_acquired_total')
    this.deps.log.info({ scope: this.scope, fence: after }, 'lease_acquired')
    this.runDuty(after).catch((err: unknown) => { this.deps.log.error({ scope: this.scope, err }, 'duty_failed') })
  }

  private async runDuty (fence: number): Promise<void> {
    const handle = new TenureHandle(this, fence)
    while (!this.stopping && this.state.tenure?.fence === fence) {
      if (handle.mayAct()) {
        try {
          await this.duty.tick(handle)
        } catch (err) {
          this.deps.metrics.count('godwitpoint_duty_errors_total')
          this.deps.log.error({ scope: this.scope, err }, 'duty_failed')
        }
      }
      await delay(this.deps.env.timers, TICK_MS)
    }
  }

  private nonce (): string {
    return `${this.deps.incarnation}.${++this.writes}`
  }

  private error (message: string): StepError {
    return new StepError('lease', this.scope, message)
  }
}

/** One tenure; it stays valid no longer than its fencing number. */
class TenureHandle implements ScopeHandle {
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
    const written = await this.task.change(this.fence, (record) => {
      if (record.intents.some((other) => other.subject === subject)) return Err(new StepError('intent', this.scope, `${subject} has an open intent`))
      if (record.intents.length >= MAX_OPEN_INTENTS) return Err(new StepError('intent', this.scope, 'too many open intents'))
      const serial = (record.opened ?? 0) + 1
      intent = { id: `${this.scope}#${this.fence}.${serial}`, subject, fence: this.fence, senders: [record.holder], body }
      return Ok({ ...record, opened: serial, intents: [...record.intents, intent] })
    })
    if (written.err) return written
    return intent === undefined ? Err(new StepError('intent', this.scope, 'nothing was written')) : Ok(intent)
  }

  async close (id: string): Promise<Result<void, StepError>> {
    return await this.task.change(this.fence, (record) => Ok({ ...record, intents: record.intents.filter((intent) => intent.id !== id) }))
  }
}
