/** Conditional updates of a scope's object; the outcome of each is settled before the next one is sent. */
import { Err, Ok, StepError, type Result } from '../errors/index.js'
import type { Metrics } from '../metrics/index.js'
import type { ExpectedVersion, ObjectStore, StoredObject, StoreError } from '../external/index.js'
import { ScopeRecord } from '../schema/index.js'
import { withTimeout, type Env } from '../time/index.js'
import type { LeaseStep } from './lease.js'

/** Timeout of one store call, in ms; a store that is up responds within milliseconds. */
export const STORE_CALL_TIMEOUT_MS = 1_000

/** Maximum number of times that one call sends an update before it leaves the outcome open. */
const MAX_SENDS_PER_WRITE = 2

/** Key prefix of the scopes' objects. */
const SCOPE_PREFIX = 'scope/'

/** Key of a scope's object. */
export function scopeKey (scope: string): string {
  return SCOPE_PREFIX + scope
}

/** Dependencies of {@link ScopeStore}. */
export interface ScopeStoreDeps {
  readonly env: Env
  readonly store: ObjectStore
  readonly metrics: Metrics
}

/** Sends one update at a time. After a lost reply, the outcome is settled before anything else is written. */
export class ScopeStore {
  private readonly key: string
  private pendingWrite: PendingWrite | undefined
  private writeQueue: Promise<unknown> = Promise.resolve()
  private watchedVersion = 0

  constructor (private readonly deps: ScopeStoreDeps, private readonly scope: string, private readonly onStep: (step: LeaseStep) => void) {
    this.key = scopeKey(scope)
  }

  /** Updates the object; `plan` is called for the new record after all earlier updates have settled. */
  async write (plan: () => Result<PlannedWrite, StepError>): Promise<Result<void, StepError>> {
    const settleThenWrite = async (): Promise<Result<void, StepError>> => {
      const previousOutcome = await this.settlePendingWrite()
      if (previousOutcome.err) return previousOutcome
      const planned = plan()
      if (planned.err) return planned
      this.pendingWrite = { ...planned.val, startedAt: this.deps.env.clock.now(), replyLost: false }
      return await this.settlePendingWrite()
    }
    const outcome = this.writeQueue.then(settleThenWrite)
    this.writeQueue = outcome.catch(() => {})
    return await outcome
  }

  /** Reads the object. */
  async read (): Promise<Result<void, StepError>> {
    const result = await this.withCallTimeout(this.deps.store.get(this.key), STORE_CALL_TIMEOUT_MS)
    if (result.err) return Err(this.toStepError(result.val))
    this.noteObserved(result.val, false)
    return Ok(undefined)
  }

  /** Waits up to `waitMs` for a change of the object after `knownVersion`. */
  async watch (waitMs: number, knownVersion: ExpectedVersion): Promise<Result<void, StepError>> {
    const fromVersion = Math.max(this.watchedVersion, knownVersion === 'absent' ? 0 : knownVersion)
    const result = await this.withCallTimeout(this.deps.store.watch(this.key, fromVersion, waitMs), waitMs + STORE_CALL_TIMEOUT_MS)
    if (result.err) return Err(this.toStepError(result.val))
    this.watchedVersion = Math.max(fromVersion, result.val.version)
    const change = result.val.changes.find((object) => object.key === this.key)
    if (change !== undefined) this.noteObserved(change, false)
    return Ok(undefined)
  }

  /**
   * Determines the outcome of the last update, by sending it again if need be. Resending is safe: the update is
   * conditional, so it takes effect at most once, and when the second copy conflicts, the nonce of the current record
   * shows whether the first copy took effect.
   */
  private async settlePendingWrite (): Promise<Result<void, StepError>> {
    for (let sends = 0; this.pendingWrite !== undefined; sends++) {
      const pending = this.pendingWrite
      if (sends === MAX_SENDS_PER_WRITE) return Err(new StepError('lease', this.scope, 'the outcome of an update is still unknown'))
      const startedAt = this.deps.env.clock.now()
      const result = await this.withCallTimeout(this.deps.store.put(this.key, JSON.stringify(pending.record), pending.expected), STORE_CALL_TIMEOUT_MS)
      if (result.ok) {
        this.noteWritten(pending, result.val.version, startedAt)
      } else if (result.val.kind === 'conflict') {
        const conflictError = this.handleConflict(pending, result.val.current)
        if (conflictError !== undefined) return Err(conflictError)
      } else if (result.val.kind === 'unknown') {
        this.deps.metrics.countRetry('store_reply_lost')
        this.pendingWrite = { ...pending, replyLost: true }
      } else {
        if (!pending.replyLost) this.pendingWrite = undefined
        return Err(this.toStepError(result.val))
      }
    }
    return Ok(undefined)
  }

  private noteWritten (pending: PendingWrite, version: number, startedAt: number): void {
    this.pendingWrite = undefined
    this.onStep({ kind: 'written', version, record: pending.record, startedAt })
  }

  private handleConflict (pending: PendingWrite, current: StoredObject | undefined): StepError | undefined {
    const record = current === undefined ? undefined : parseRecord(current)
    if (current !== undefined && record?.nonce === pending.record.nonce) {
      this.noteWritten(pending, current.version, pending.startedAt)
      return undefined
    }
    this.pendingWrite = undefined
    this.deps.metrics.count('godwitpoint_lease_conflicts_total')
    this.noteObserved(current, true)
    return new StepError('lease', this.scope, `the scope is held by ${record?.holder ?? 'nobody'}`)
  }

  private noteObserved (object: StoredObject | undefined, authoritative: boolean): void {
    const observedAt = this.deps.env.clock.now()
    const record = object === undefined ? undefined : parseRecord(object)
    this.onStep({ kind: 'observed', version: object?.version ?? 'absent', record, observedAt, authoritative })
  }

  private toStepError (err: StoreError): StepError {
    if (err.kind === 'unavailable') this.deps.metrics.countRetry('store_unavailable')
    return new StepError('lease', this.scope, `store: ${err.message}`)
  }

  private async withCallTimeout<T> (call: Promise<Result<T, StoreError>>, timeoutMs: number): Promise<Result<T, StoreError>> {
    return await withTimeout<Result<T, StoreError>>(this.deps.env.timers, timeoutMs, call, () => Err({ kind: 'unknown', message: `store call timed out after ${timeoutMs} ms` }))
  }
}

/** A new record and the version that it replaces. */
export interface PlannedWrite {
  readonly record: ScopeRecord
  readonly expected: ExpectedVersion
}

interface PendingWrite extends PlannedWrite {
  readonly startedAt: number
  /** Whether a reply was lost, in which case the update may have taken effect. */
  readonly replyLost: boolean
}

function parseRecord (object: StoredObject): ScopeRecord {
  return ScopeRecord.parse(JSON.parse(object.value))
}
