/** Conditional updates of a scope's object, each with a certain outcome before the next one is made. */
import { Err, Ok, StepError, type Result } from '../errors/index.js'
import type { Metrics } from '../metrics/index.js'
import type { ExpectedVersion, ObjectStore, StoredObject, StoreError } from '../external/index.js'
import { ScopeRecord } from '../schema/index.js'
import { withTimeout, type Env } from '../time/index.js'
import type { LeaseStep } from './lease.js'

/** Time allowed for one store call, in ms; the store answers in milliseconds when it is up. */
export const STORE_CALL_MS = 1_000

/** Times an update is sent within one call before its outcome is left open. */
const SENDS_PER_CALL = 2

/** Prefix of the objects of scopes. */
const SCOPE_PREFIX = 'scope/'

/** Key of a scope's object. */
export function scopeKey (scope: string): string {
  return SCOPE_PREFIX + scope
}

/** The store, the clock and the counters. */
export interface ScopeStoreDeps {
  readonly env: Env
  readonly store: ObjectStore
  readonly metrics: Metrics
}

/** Makes updates one at a time. A lost reply is resolved before anything else is written. */
export class ScopeStore {
  private readonly key: string
  private attempt: Attempt | undefined
  private turn: Promise<unknown> = Promise.resolve()
  private watchedTo = 0

  constructor (private readonly deps: ScopeStoreDeps, private readonly scope: string, private readonly learn: (step: LeaseStep) => void) {
    this.key = scopeKey(scope)
  }

  /** Updates the object; `plan` gives the new record when its turn has come. */
  async write (plan: () => Result<PlannedWrite, StepError>): Promise<Result<void, StepError>> {
    const run = async (): Promise<Result<void, StepError>> => {
      const earlier = await this.settle()
      if (earlier.err) return earlier
      const planned = plan()
      if (planned.err) return planned
      this.attempt = { ...planned.val, startedAt: this.deps.env.clock.now(), lost: false }
      return await this.settle()
    }
    const outcome = this.turn.then(run)
    this.turn = outcome.catch(() => {})
    return await outcome
  }

  /** Reads the object. */
  async read (): Promise<Result<void, StepError>> {
    const answer = await this.limited(this.deps.store.get(this.key), STORE_CALL_MS)
    if (answer.err) return Err(this.failure(answer.val))
    this.observed(answer.val, false)
    return Ok(undefined)
  }

  /** Waits up to `waitMs` for a change of the object. */
  async watch (waitMs: number, known: ExpectedVersion): Promise<Result<void, StepError>> {
    const from = Math.max(this.watchedTo, known === 'absent' ? 0 : known)
    const answer = await this.limited(this.deps.store.watch(this.key, from, waitMs), waitMs + STORE_CALL_MS)
    if (answer.err) return Err(this.failure(answer.val))
    this.watchedTo = Math.max(from, answer.val.version)
    const change = answer.val.changes.find((object) => object.key === this.key)
    if (change !== undefined) this.observed(change, false)
    return Ok(undefined)
  }

  /**
   * Finds out the outcome of the last update. Sending it again is safe: the condition lets it take effect once,
   * and the refusal of the second copy shows by the nonce whether the first one did.
   */
  private async settle (): Promise<Result<void, StepError>> {
    for (let send = 0; this.attempt !== undefined; send++) {
      const attempt = this.attempt
      if (send === SENDS_PER_CALL) return Err(new StepError('lease', this.scope, 'the outcome of an update is not known yet'))
      const startedAt = this.deps.env.clock.now()
      const answer = await this.limited(this.deps.store.put(this.key, JSON.stringify(attempt.record), attempt.expected), STORE_CALL_MS)
      if (answer.ok) {
        this.took(attempt, answer.val.version, startedAt)
      } else if (answer.val.kind === 'conflict') {
        const lost = this.refused(attempt, answer.val.current)
        if (lost !== undefined) return Err(lost)
      } else if (answer.val.kind === 'unknown') {
        this.deps.metrics.countRetry('store_reply_lost')
        this.attempt = { ...attempt, lost: true }
      } else {
        if (!attempt.lost) this.attempt = undefined
        return Err(this.failure(answer.val))
      }
    }
    return Ok(undefined)
  }

  private took (attempt: Attempt, version: number, startedAt: number): void {
    this.attempt = undefined
    this.learn({ kind: 'written', version, record: attempt.record, startedAt })
  }

  private refused (attempt: Attempt, current: StoredObject | undefined): StepError | undefined {
    const record = current === undefined ? undefined : parseRecord(current)
    if (current !== undefined && record?.nonce === attempt.record.nonce) {
      this.took(attempt, current.version, attempt.startedAt)
      return undefined
    }
    this.attempt = undefined
    this.deps.metrics.count('godwitpoint_lease_conflicts_total')
    this.observed(current, true)
    return new StepError('lease', this.scope, `the scope is held by ${record?.holder ?? 'nobody'}`)
  }

  private observed (object: StoredObject | undefined, authoritative: boolean): void {
    const at = this.deps.env.clock.now()
    const record = object === undefined ? undefined : parseRecord(object)
    this.learn({ kind: 'observed', version: object?.version ?? 'absent', record, at, authoritative })
  }

  private failure (err: StoreError): StepError {
    if (err.kind === 'unavailable') this.deps.metrics.countRetry('store_unavailable')
    return new StepError('lease', this.scope, `store: ${err.message}`)
  }

  private async limited<T> (call: Promise<Result<T, StoreError>>, ms: number): Promise<Result<T, StoreError>> {
    return await withTimeout<Result<T, StoreError>>(this.deps.env.timers, ms, call, () => Err({ kind: 'unknown', message: `no answer within ${ms} ms` }))
  }
}

/** A new record and the version it replaces. */
export interface PlannedWrite {
  readonly record: ScopeRecord
  readonly expected: ExpectedVersion
}

interface Attempt extends PlannedWrite {
  readonly startedAt: number
  /** Whether a reply was lost, so that the update may have taken effect. */
  readonly lost: boolean
}

function parseRecord (object: StoredObject): ScopeRecord {
  return ScopeRecord.parse(JSON.parse(object.value))
}
