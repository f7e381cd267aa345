/** Which gateway holds the duties: one object in the store, renewed by conditional updates. */
import type * as external from '../external/index.js'
import type * as log from '../log/index.js'
import type * as serving from '../serving/index.js'
import * as time from '../time/index.js'
import * as z from 'zod'
import type * as types from './types.js'

/** Key of the lease object. */
export const LEASE_KEY = 'godwitpoint-duties/lease'

/** Time between two renewals, and between two looks of the others, in ms. */
const RENEW_MS = 1_000

/** Time after the start of a renewal for which the holder acts, in ms. */
const VALID_MS = 1_800

/** Time without a change of the object after which another gateway takes the lease, in ms. Covers calls that the last holder sent just before its lease ended. */
const TAKEOVER_MS = 3_500

const LeaseValue = z.object({
  holder: z.string(),
  /** Changes with each start of a process. */
  incarnation: z.string(),
  token: z.int(),
  renewal: z.int(),
  released: z.boolean()
})
export type LeaseValue = z.infer<typeof LeaseValue>

/** The lease as it is stored; throws when the object is none. */
export function decodeLease (object: external.StoredObject): LeaseValue {
  return LeaseValue.parse(JSON.parse(object.value))
}

/** What a lease needs from its surroundings. */
export interface LeaseDeps {
  readonly env: time.Env
  readonly elapsed: serving.ElapsedClock
  readonly store: external.ObjectStore
  readonly holder: string
  readonly incarnation: string
  /** Time for which two holders must not take turns, in ms. */
  readonly takeoverDelayMs: number
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
  readonly at: number
}

/** Holds the lease, or waits for it. */
export class Lease implements AsyncDisposable {
  private held: HeldLease | undefined
  private seen: ObservedLease | undefined
  private task: Disposable | undefined
  private stopped = false

  constructor (private readonly deps: LeaseDeps) {}

  /** Starts to look for the lease. */
  start (): void {
    const { env, log } = this.deps
    this.task = new time.RepeatingTask(env.timers, RENEW_MS, async () => await this.turn(), (err) => log.error({ err }, 'lease_failed'))
  }

  /** The stamp for a call that is sent now; undefined when this gateway must not call. */
  stamp (): types.LeaseStamp | undefined {
    const now = this.deps.elapsed.now()
    if (this.held === undefined || this.stopped || now >= this.held.validUntil || now < this.held.actFrom) return undefined
    return { holder: this.deps.holder, token: this.held.value.token }
  }

  /** Gives the lease back. */
  async [Symbol.asyncDispose] (): Promise<void> {
    this.stopped = true
    this.task?.[Symbol.dispose]()
    const held = this.held
    this.held = undefined
    if (held === undefined) return
    const value = { ...held.value, released: true, renewal: held.value.renewal + 1 }
    const put = await this.deps.store.put(LEASE_KEY, JSON.stringify(value), held.version)
    this.deps.log.info({ token: held.value.token, released: put.ok }, 'lease_released')
  }

  private async turn (): Promise<void> {
    if (this.held !== undefined) await this.renew(this.held)
    else await this.look('stale_ok')
  }

  private async renew (held: HeldLease): Promise<void> {
    const askedAt = this.deps.elapsed.now()
    const value = { ...held.value, renewal: held.value.renewal + 1 }
    const put = await this.deps.store.put(LEASE_KEY, JSON.stringify(value), held.version)
    if (this.stopped) return
    if (put.ok) {
      this.held = { ...held, value, version: put.val.version, validUntil: askedAt + VALID_MS }
      return
    }
    if (put.val.kind === 'conflict') this.lose('changed by another process')
    else if (this.deps.elapsed.now() >= held.validUntil) this.lose(put.val.message)
    else if (put.val.kind === 'unknown') await this.look('default')
  }

  private lose (reason: string): void {
    this.deps.log.warn({ token: this.held?.value.token, reason }, 'lease_lost')
    this.held = undefined
    this.seen = undefined
  }

  // Most looks change nothing, so an old state will do for them; before this process acts on one it looks again.
  private async look (mode: external.ReadMode): Promise<void> {
    const askedAt = this.deps.elapsed.now()
    const found = await this.deps.store.get(LEASE_KEY, mode)
    if (found.err || this.stopped) return
    if (found.val === undefined && mode === 'stale_ok') return await this.look('default')
    if (found.val === undefined) {
      await this.take(undefined, 'absent')
      return
    }
    const parsed = LeaseValue.safeParse(JSON.parse(found.val.value))
    const value = parsed.success ? parsed.data : undefined
    const own = value !== undefined && value.incarnation === this.deps.incarnation && !value.released
    if (own && mode === 'stale_ok') return await this.look('default')
    if (own) {
      this.adopt(value, found.val.version, askedAt)
      return
    }
    if (this.held !== undefined) this.lose('held by another process')
    if (this.seen?.version !== found.val.version) this.seen = { version: found.val.version, at: askedAt }
    if (value?.released !== true && askedAt - this.seen.at < TAKEOVER_MS) return
    if (mode === 'stale_ok') await this.look('default')
    else await this.take(value, found.val.version)
  }

  // A write whose answer was lost took effect.
  private adopt (value: LeaseValue, version: number, askedAt: number): void {
    const actFrom = this.held?.actFrom ?? askedAt + this.deps.takeoverDelayMs
    if (this.held === undefined) this.deps.log.info({ token: value.token, adopted: true }, 'lease_taken')
    this.held = { value, version, validUntil: askedAt + VALID_MS, actFrom }
  }

  private async take (last: LeaseValue | undefined, expected: external.ExpectedVersion): Promise<void> {
    const askedAt = this.deps.elapsed.now()
    const value: LeaseValue = {
      holder: this.deps.holder,
      incarnation: this.deps.incarnation,
      token: (last?.token ?? 0) + 1,
      renewal: 0,
      released: false
    }
    const put = await this.deps.store.put(LEASE_KEY, JSON.stringify(value), expected)
    if (put.err || this.stopped) return
    // After a release the last holder may have acted just now: two holders must not take turns within this time.
    const actFrom = last?.released === true && last.holder !== this.deps.holder ? askedAt + this.deps.takeoverDelayMs : askedAt
    this.held = { value, version: put.val.version, validUntil: askedAt + VALID_MS, actFrom }
    this.deps.log.info({ token: value.token, last_holder: last?.holder, last_released: last?.released }, 'lease_taken')
  }
}
