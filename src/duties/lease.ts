/** Leader lease of the gateways: one object in the store, acquired and renewed by conditional updates. */
import * as external from '../external/index.js'
import type * as log from '../log/index.js'
import type * as serving from '../serving/index.js'
import * as time from '../time/index.js'
import * as validation from '../validation/index.js'
import * as z from 'zod'
import type * as types from './types.js'

/** Key of the lease object. */
export const LEASE_KEY = 'godwitpoint-duties/lease'

/** Time between two renewals by the holder, and between two checks by the other gateways, in ms. */
const RENEW_INTERVAL_MS = 1_000

/** Time after the start of a successful renewal for which the holder may act, in ms. */
const VALIDITY_MS = 1_800

/**
 * Time without a change of the object after which another gateway acquires the lease, in ms. It covers calls that the
 * previous holder sent just before its lease expired.
 */
const TAKEOVER_AFTER_MS = 3_500

/**
 * Shortest time that a new holder waits when the object does not show who held the lease last, in ms. A holder whose
 * renewals a restore of the store has lost acts for the validity after it, and calls that it sent then may still arrive.
 */
const MIN_WAIT_MS = 2_700

const LeaseValue = z.object({
  holder: z.string(),
  /** Differs at each start of a process. */
  incarnation: z.string(),
  token: z.int(),
  renewal: z.int(),
  released: z.boolean()
})
export type LeaseValue = z.infer<typeof LeaseValue>

/** Decodes the stored lease; throws when the object is not a lease. */
export function decodeLease (object: external.StoredObject): LeaseValue {
  return LeaseValue.parse(JSON.parse(object.value))
}

/** Dependencies of a lease. */
export interface LeaseDeps {
  readonly env: time.Env
  readonly elapsed: serving.ElapsedClock
  readonly store: external.ObjectStore
  readonly eras: external.StoreEras
  readonly holder: string
  readonly incarnation: string
  /** Time that a new holder waits after a release or a restore so that holders do not alternate within it, in ms. */
  readonly takeoverDelayMs: number
  /** Whether this gateway takes over a lease that nobody holds; a few gateways are enough. */
  readonly contends: () => boolean
  readonly log: log.Logger
}

interface HeldLease {
  readonly value: LeaseValue
  readonly version: number
  readonly validUntil: number
  readonly actFrom: number
}

interface ObservedLease {
  readonly version: number
  readonly observedAt: number
}

/** Holds the lease, or waits until it can be acquired. */
export class Lease implements AsyncDisposable {
  private heldLease: HeldLease | undefined
  private observed: ObservedLease | undefined
  private task: Disposable | undefined
  private stopped = false
  /** Highest version of the object that this process has seen. */
  private seenVersion = 0

  constructor (private readonly deps: LeaseDeps) {
    deps.eras.onRestored(() => { if (this.heldLease !== undefined) this.dropLease('store restored') })
  }

  /** Starts to acquire and renew the lease. */
  start (): void {
    const { env, log } = this.deps
    this.task = new time.RepeatingTask(env.timers, RENEW_INTERVAL_MS, async () => await this.renewOrCheck(), (err) => log.error({ err }, 'lease_failed'))
  }

  /** Lease stamp for a call that is sent now; undefined when this gateway must not make such calls. */
  stamp (): types.LeaseStamp | undefined {
    const now = this.deps.elapsed.now()
    if (this.heldLease === undefined || this.stopped || now >= this.heldLease.validUntil || now < this.heldLease.actFrom) return undefined
    return { holder: this.deps.holder, token: this.heldLease.value.token }
  }

  /** Releases the lease. */
  async [Symbol.asyncDispose] (): Promise<void> {
    this.stopped = true
    this.task?.[Symbol.dispose]()
    const lease = this.heldLease
    this.heldLease = undefined
    if (lease === undefined) return
    const value = { ...lease.value, released: true, renewal: lease.value.renewal + 1 }
    const put = await this.deps.store.put(LEASE_KEY, JSON.stringify(value), lease.version)
    this.deps.log.info({ token: lease.value.token, released: put.ok }, 'lease_released')
  }

  private async renewOrCheck (): Promise<void> {
    if (this.heldLease !== undefined) await this.renew(this.heldLease)
    else if (this.deps.contends()) await this.check('stale_ok')
  }

  private async renew (lease: HeldLease): Promise<void> {
    const startedAt = this.deps.elapsed.now()
    const value = { ...lease.value, renewal: lease.value.renewal + 1 }
    const put = await this.deps.store.put(LEASE_KEY, JSON.stringify(value), lease.version)
    // A reply of a later era has made this process give the lease up.
    if (this.stopped || this.heldLease !== lease) return
    if (put.ok) {
      this.heldLease = { ...lease, value, version: put.val.version, validUntil: startedAt + VALIDITY_MS }
      return
    }
    if (put.val.kind === 'conflict') this.dropLease('changed by another process')
    else if (this.deps.elapsed.now() >= lease.validUntil) this.dropLease(put.val.message)
    else if (put.val.kind === 'unknown') await this.check('default')
  }

  private dropLease (reason: string): void {
    this.deps.log.warn({ token: this.heldLease?.value.token, reason }, 'lease_lost')
    this.heldLease = undefined
    this.observed = undefined
  }

  // Most checks change nothing, so a stale read is enough; before acting on it, this process reads again in default mode.
  private async check (mode: external.ReadMode): Promise<void> {
    const startedAt = this.deps.elapsed.now()
    const stored = await this.deps.store.get(LEASE_KEY, mode)
    if (stored.err || this.stopped) return
    if (stored.val === undefined && mode === 'stale_ok') return await this.check('default')
    if (stored.val === undefined) {
      if (this.heldLease !== undefined) this.dropLease('object is absent')
      await this.acquire(undefined, 'absent')
      return
    }
    const { version } = stored.val
    if (external.eraOf(version) < this.era) return
    this.seenVersion = Math.max(this.seenVersion, version)
    const value = validation.decodeJson(LeaseValue, stored.val.value)
    const isOwn = value !== undefined && value.incarnation === this.deps.incarnation && !value.released
    if (isOwn && mode === 'stale_ok') return await this.check('default')
    if (isOwn && this.isCurrent(value, version)) {
      this.resumeOwn(value, version, startedAt)
      return
    }
    if (this.heldLease !== undefined) this.dropLease('held by another process')
    if (this.observed?.version !== version) this.observed = { version, observedAt: startedAt }
    if (!isOwn && value?.released !== true && startedAt - this.observed.observedAt < TAKEOVER_AFTER_MS) return
    if (mode === 'stale_ok') await this.check('default')
    else await this.acquire(value, version)
  }

  private get era (): number {
    return this.deps.eras.current ?? 0
  }

  // Whether a lease was acquired in the store's present era, and the object with it has been written in that era.
  private isCurrent (value: LeaseValue, version: number): boolean {
    return external.eraOf(value.token) === external.eraOf(version) && external.eraOf(version) >= this.era
  }

  // Resumes a lease of this process: a write whose reply was lost took effect.
  private resumeOwn (value: LeaseValue, version: number, startedAt: number): void {
    const actFrom = this.heldLease?.actFrom ?? startedAt + this.waitMs
    if (this.heldLease === undefined) this.deps.log.info({ token: value.token, after_lost_reply: true }, 'lease_taken')
    this.heldLease = { value, version, validUntil: startedAt + VALIDITY_MS, actFrom }
  }

  private get waitMs (): number {
    return Math.max(this.deps.takeoverDelayMs, MIN_WAIT_MS)
  }

  // The token is above the version that is replaced, so it rises with each acquisition and, as versions do, across restores,
  // whatever the replaced object contains.
  private nextToken (expected: external.ExpectedVersion): number {
    return (expected === 'absent' ? Math.max(external.storeVersion(this.era, 0), this.seenVersion) : expected) + 1
  }

  private async acquire (previous: LeaseValue | undefined, expected: external.ExpectedVersion): Promise<void> {
    const startedAt = this.deps.elapsed.now()
    const value: LeaseValue = {
      holder: this.deps.holder,
      incarnation: this.deps.incarnation,
      token: this.nextToken(expected),
      renewal: 0,
      released: false
    }
    const put = await this.deps.store.put(LEASE_KEY, JSON.stringify(value), expected)
    if (put.err || this.stopped || !this.isCurrent(value, put.val.version)) return
    // Unless the object was observed unchanged for the takeover time, a previous holder may act still or have just acted:
    // after a release, and where a restore has lost what it wrote.
    const isObserved = expected !== 'absent' && previous?.released !== true && previous?.incarnation !== this.deps.incarnation
    const actFrom = isObserved ? startedAt : startedAt + this.waitMs
    this.heldLease = { value, version: put.val.version, validUntil: startedAt + VALIDITY_MS, actFrom }
    this.deps.log.info({ token: value.token, previous_holder: previous?.holder, previous_released: previous?.released }, 'lease_taken')
  }
}
