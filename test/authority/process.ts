/** A process in virtual time that can be paused at any of its continuation points and whose clock may drift. */
import { preferenceRank, ScopeTask, SendGate, type ScopeDuty } from '../../src/authority/index.js'
import { SILENT_LOGGER } from '../../src/log/index.js'
import { Metrics } from '../../src/metrics/index.js'
import type { ObjectStore } from '../../src/external/index.js'
import { SeededRandom, type Env, type VirtualTime } from '../../src/time/index.js'

/** Settings of a test process. */
export interface ProcessOptions {
  /** Rate of its clock relative to true time. */
  readonly rate?: number
  readonly ttlMs?: number
  /** Names of all candidates, for the order of preference. */
  readonly candidates?: readonly string[]
}

/** One process. */
export class TestProcess {
  readonly env: Env
  readonly gate = new SendGate()
  readonly metrics = new Metrics()
  /** Continuation points passed so far. */
  points = 0
  /** Pauses for `pauseMs` at this continuation point. */
  pauseAt = -1
  pauseMs = 0
  private pausedUntil = -1

  constructor (readonly name: string, private readonly time: VirtualTime, private readonly options: ProcessOptions = {}) {
    const rate = options.rate ?? 1
    this.env = {
      clock: { now: () => time.now() * rate, wallTimeMs: () => time.wallTimeMs() },
      timers: {
        after: (ms, fn) => time.after(ms / rate, () => { this.whenRunning(fn) }),
        every: (ms, fn) => time.every(ms / rate, () => { this.whenRunning(fn) })
      },
      random: new SeededRandom(1)
    }
  }

  /** Stops for `ms` now. */
  pause (ms: number): void {
    this.pausedUntil = this.time.now() + ms
  }

  /** The store as this process sees it: replies wait while it is paused. */
  sees (store: ObjectStore): ObjectStore {
    const wait = async <T>(call: Promise<T>): Promise<T> => {
      const answer = await call
      await new Promise<void>((resolve) => { this.whenRunning(resolve) })
      return answer
    }
    return {
      get: async (key) => await wait(store.get(key)),
      list: async (prefix) => await wait(store.list(prefix)),
      put: async (key, value, expected) => await wait(store.put(key, value, expected)),
      delete: async (key, expected) => await wait(store.delete(key, expected)),
      watch: async (prefix, version, waitMs) => await wait(store.watch(prefix, version, waitMs))
    }
  }

  /** A task that competes for a scope. */
  task (store: ObjectStore, scope: string, duty: ScopeDuty = { tick: async () => {} }): ScopeTask {
    const candidates = this.options.candidates ?? [this.name]
    return new ScopeTask({
      env: this.env,
      store: this.sees(store),
      metrics: this.metrics,
      log: SILENT_LOGGER,
      gate: this.gate,
      incarnation: `${this.name}-1`,
      address: `${this.name}:1`,
      rankOf: (name) => preferenceRank(name, this.name, candidates),
      ...(this.options.ttlMs === undefined ? {} : { ttlMs: this.options.ttlMs })
    }, scope, duty)
  }

  private whenRunning (fn: () => void): void {
    if (this.points++ === this.pauseAt) this.pause(this.pauseMs)
    const left = this.pausedUntil - this.time.now()
    if (left > 0) this.time.after(left, fn)
    else fn()
  }
}
