/**
 * A process in virtual time that can be paused whenever a timer or store call of it completes, and whose clock may
 * drift.
 */
import { preferenceRank, ScopeTask, SendGate, type ScopeDuty } from '../../src/authority/index.js'
import { SILENT_LOGGER } from '../../src/log/index.js'
import { Metrics } from '../../src/metrics/index.js'
import type { ObjectStore } from '../../src/external/index.js'
import { SeededRandom, type Env, type VirtualTime } from '../../src/time/index.js'

/** Settings of a test process. */
export interface ProcessOptions {
  /** Rate of its clock relative to virtual time. */
  readonly rate?: number
  readonly ttlMs?: number
  /** Names of all candidates, for the order of preference. */
  readonly candidates?: readonly string[]
}

/** A test process. */
export class TestProcess {
  readonly env: Env
  readonly gate = new SendGate()
  readonly metrics = new Metrics()
  /** Points passed so far at which the process can be paused. */
  pausePoints = 0
  /** Number of the point at which the process pauses for `pauseMs`; -1 for none. */
  pauseAtPoint = -1
  pauseMs = 0
  private pausedUntil = -1

  constructor (readonly name: string, private readonly time: VirtualTime, private readonly options: ProcessOptions = {}) {
    const rate = options.rate ?? 1
    this.env = {
      clock: { now: () => time.now() * rate, wallTimeMs: () => time.wallTimeMs() },
      timers: {
        after: (ms, fn) => time.after(ms / rate, () => { this.runUnlessPaused(fn) }),
        every: (ms, fn) => time.every(ms / rate, () => { this.runUnlessPaused(fn) })
      },
      random: new SeededRandom(1)
    }
  }

  /** Pauses the process for `ms` from now on. */
  pause (ms: number): void {
    this.pausedUntil = this.time.now() + ms
  }

  /** The store as this process sees it: results are delayed while the process is paused. */
  pausableStore (store: ObjectStore): ObjectStore {
    const afterPause = async <T>(call: Promise<T>): Promise<T> => {
      const result = await call
      await new Promise<void>((resolve) => { this.runUnlessPaused(resolve) })
      return result
    }
    return {
      get: async (key) => await afterPause(store.get(key)),
      list: async (prefix) => await afterPause(store.list(prefix)),
      put: async (key, value, expected) => await afterPause(store.put(key, value, expected)),
      delete: async (key, expected) => await afterPause(store.delete(key, expected)),
      watch: async (prefix, version, waitMs) => await afterPause(store.watch(prefix, version, waitMs))
    }
  }

  /** A task that competes for a scope. */
  task (store: ObjectStore, scope: string, duty: ScopeDuty = { tick: async () => {} }): ScopeTask {
    const candidates = this.options.candidates ?? [this.name]
    return new ScopeTask({
      env: this.env,
      store: this.pausableStore(store),
      metrics: this.metrics,
      log: SILENT_LOGGER,
      gate: this.gate,
      incarnation: `${this.name}-1`,
      address: `${this.name}:1`,
      rankOf: (name) => preferenceRank(name, this.name, candidates),
      ...(this.options.ttlMs === undefined ? {} : { ttlMs: this.options.ttlMs })
    }, scope, duty)
  }

  private runUnlessPaused (fn: () => void): void {
    if (this.pausePoints++ === this.pauseAtPoint) this.pause(this.pauseMs)
    const remainingMs = this.pausedUntil - this.time.now()
    if (remainingMs > 0) this.time.after(remainingMs, fn)
    else fn()
  }
}
