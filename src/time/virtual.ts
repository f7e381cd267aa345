/** Virtual time: callbacks run in the order of their due times, without waiting. */
import type { Clock, Env, Timers } from './types.js'
import { SeededRandom } from './seeded.js'

/** Wall-clock time at virtual time 0, in ms since the Unix epoch. */
const VIRTUAL_EPOCH_MS = 1_800_000_000_000

/** Microtask turns between two timers, so that chains of awaits settle. */
const MICROTASK_ROUNDS = 20

/** A clock and timers that advance only on request. */
export class VirtualTime implements Clock, Timers {
  private nowMs = 0
  private nextOrder = 0
  private readonly queue: ScheduledCallback[] = []

  now (): number {
    return this.nowMs
  }

  wallTimeMs (): number {
    return VIRTUAL_EPOCH_MS + this.nowMs
  }

  after (delayMs: number, fn: () => void): Disposable {
    return this.insert({ dueMs: this.nowMs + Math.max(0, delayMs), order: this.nextOrder++, fn, cancelled: false })
  }

  every (periodMs: number, fn: () => void): Disposable {
    let next: Disposable
    const arm = (): void => {
      next = this.after(periodMs, () => { arm(); fn() })
    }
    arm()
    return { [Symbol.dispose]: () => next[Symbol.dispose]() }
  }

  /** Advances by `ms` and calls the callbacks that fall due; promises settle between two of them. */
  async advance (ms: number): Promise<void> {
    const endMs = this.nowMs + ms
    await settlePromises()
    for (let next = this.queue[0]; next !== undefined && next.dueMs <= endMs; next = this.queue[0]) {
      this.queue.shift()
      if (next.cancelled) continue
      this.nowMs = next.dueMs
      next.fn()
      await settlePromises()
    }
    this.nowMs = endMs
  }

  /** Advances until `done()` holds; throws when it does not within `limitMs` of virtual time. */
  async advanceUntil (done: () => boolean, limitMs: number): Promise<void> {
    const endMs = this.nowMs + limitMs
    await settlePromises()
    while (!done()) {
      const next = this.queue[0]
      if (next === undefined || next.dueMs > endMs) throw new Error(`condition not met within ${limitMs} ms of virtual time`)
      await this.advance(next.dueMs - this.nowMs)
    }
  }

  /** An environment with this clock and a random source with the given seed. */
  env (seed: number): Env {
    return { clock: this, timers: this, random: new SeededRandom(seed) }
  }

  private insert (item: ScheduledCallback): Disposable {
    let index = this.queue.length
    while (index > 0 && isLater(this.queue[index - 1]!, item)) index--
    this.queue.splice(index, 0, item)
    return { [Symbol.dispose]: () => { item.cancelled = true } }
  }
}

interface ScheduledCallback {
  readonly dueMs: number
  /** Order of scheduling, among callbacks with the same due time. */
  readonly order: number
  readonly fn: () => void
  cancelled: boolean
}

function isLater (a: ScheduledCallback, b: ScheduledCallback): boolean {
  return a.dueMs > b.dueMs || (a.dueMs === b.dueMs && a.order > b.order)
}

async function settlePromises (): Promise<void> {
  for (let round = 0; round < MICROTASK_ROUNDS; round++) await Promise.resolve()
}
