/** Lease holders of a store in virtual time, which can be cut off from it, paused, stopped and killed one by one. */
import * as duties from '../../src/duties/index.js'
import * as errors from '../../src/errors/index.js'
import * as external from '../../src/external/index.js'
import * as log from '../../src/log/index.js'
import * as serving from '../../src/serving/index.js'
import type * as standin from '../../src/standin/index.js'
import type * as time from '../../src/time/index.js'

export const TAKEOVER_DELAY_MS = 3_000

/** A process that contends for the lease; its store client sends revisions without their era, as that of the platform does. */
export class LeaseHolder {
  readonly eras = new external.StoreEras()
  readonly lease: duties.Lease
  reachable = true
  private paused: { readonly until: Promise<void>, readonly end: () => void } | undefined
  private alive = true

  constructor (virtual: time.VirtualTime, private readonly store: standin.MemoryStore, readonly holder: string, incarnation = 1) {
    const gated = (fn: () => void) => (): void => { if (this.alive && this.paused === undefined) fn() }
    const timers: time.Timers = { after: (ms, fn) => virtual.after(ms, gated(fn)), every: (ms, fn) => virtual.every(ms, gated(fn)) }
    this.lease = new duties.Lease({
      env: { ...virtual.env(1), timers },
      elapsed: new serving.ElapsedClock(virtual),
      store: this.gatedStore(),
      eras: this.eras,
      holder,
      incarnation: `${holder}-${incarnation}`,
      takeoverDelayMs: TAKEOVER_DELAY_MS,
      contends: () => true,
      log: log.SILENT_LOGGER
    })
    this.lease.start()
  }

  /** Stamp for a call that is sent now; undefined while the process does not run. */
  stamp (): duties.LeaseStamp | undefined {
    return this.alive && this.paused === undefined ? this.lease.stamp() : undefined
  }

  /** Suspends the process: no timer fires and no reply arrives until `resume`. */
  pause (): void {
    if (this.paused !== undefined) return
    let end = (): void => {}
    const until = new Promise<void>((resolve) => { end = resolve })
    this.paused = { until, end }
  }

  resume (): void {
    this.paused?.end()
    this.paused = undefined
  }

  /** Ends the process without a release. */
  kill (): void {
    this.alive = false
  }

  private gatedStore (): external.ObjectStore {
    const client = this.store.client(this.eras)
    const cutOff = errors.Err({ kind: 'unavailable', message: 'cut off' } as const)
    const call = async <T> (send: () => Promise<errors.Result<T, external.StoreError>>): Promise<errors.Result<T, external.StoreError>> => {
      if (!this.reachable) return cutOff
      const result = await send()
      await this.paused?.until
      if (!this.alive) await new Promise(() => {})
      return this.reachable ? result : errors.Err({ kind: 'unknown', message: 'cut off' })
    }
    const isOutdated = (version: number): boolean => external.eraOf(version) < (this.eras.current ?? 0)
    return {
      get: async (key, mode) => await call(async () => await client.get(key, mode)),
      list: async (prefix, mode) => await call(async () => await client.list(prefix, mode)),
      put: async (key, value, expected) => {
        if (expected === 'absent') return await call(async () => await client.put(key, value, expected))
        if (isOutdated(expected)) return errors.Err({ kind: 'conflict', message: 'expected version is of an earlier era' })
        return await call(async () => await client.put(key, value, external.storeVersion(this.store.era, external.revisionOf(expected))))
      },
      delete: async (key, expected) => await call(async () => await client.delete(key, expected)),
      watch: async (prefix, version, waitMs) => await call(async () => await client.watch(prefix, version, waitMs))
    }
  }
}
