/** Virtual time: callbacks run in order of their due time, with no waiting. */
import type { Clock, Env, Timers } from './types.js'
import { SeededRandom } from './seeded.js'

/** Wall-clock origin of a virtual run, in milliseconds since the Unix epoch. */
const VIRTUAL_EPOCH_MS = 1_800_000_000_000

/** Microtask rounds run between two timers, enough for chains of awaits to settle. */
const SETTLE_ROUNDS = 20

/** A clock and timers that advance only when told to. */
export class VirtualTime implements Clock, Timers {
  private current = 0
  private sequence = 0
  private readonly due: Due[] = []

  now (): number {
    return this.current
  }

  wallTimeMs (): number {
    return VIRTUAL_EPOCH_MS + this.current
  }

  after (delayMs: number, fn: () => void): Disposable {
    return this.insert({ at: this.current + Math.max(0, delayMs), order: this.sequence++, fn, cancelled: false })
  }

  every (periodMs: number, fn: () => void): Disposable {
    let next: Disposable
    const arm = (): void => {
      next = this.after(periodMs, () => { arm(); fn() })
    }
    arm()
    return { [Symbol.dispose]: () => next[Symbol.dispose]() }
  }

  /** Advances by `ms`, running what falls due; promises settle between two timers. */
  async advance (ms: number): Promise<void> {
    const end = this.current + ms
    await settle()
    for (let next = this.due[0]; next !== undefined && next.at <= end; next = this.due[0]) {
      this.due.shift()
      if (next.cancelled) continue
      this.current = next.at
      next.fn()
      await settle()
    }
    this.current = end
  }

  /** Advances until `done()` holds; throws after `limitMs`. */
  async advanceUntil (done: () => boolean, limitMs: number): Promise<void> {
    const end = this.current + limitMs
    await settle()
    while (!done()) {
      const next = this.due[0]
      if (next === undefined || next.at > end) throw new Error(`condition not met within ${limitMs} ms of virtual time`)
      await this.advance(next.at - this.current)
    }
  }

  /** Surroundings that use this clock and a random source with the given seed. */
  env (seed: number): Env {
    return { clock: this, timers: this, random: new SeededRandom(seed) }
  }

  private insert (item: Due): Disposable {
    let index = this.due.length
    while (index > 0 && isLater(this.due[index - 1]!, item)) index--
    this.due.splice(index, 0, item)
    return { [Symbol.dispose]: () => { item.cancelled = true } }
  }
}

interface Due {
  readonly at: number
  readonly order: number
  readonly fn: () => void
  cancelled: boolean
}

function isLater (a: Due, b: Due): boolean {
  return a.at > b.at || (a.at === b.at && a.order > b.order)
}

async function settle (): Promise<void> {
  for (let round = 0; round < SETTLE_ROUNDS; round++) await Promise.resolve()
}
