/** Clocks, timers and random source of the process. No other file uses the global ones. */
import type { Clock, Env, Random, Timers } from './types.js'

/** Clock of the running process. */
export class SystemClock implements Clock {
  now (): number {
    return performance.now()
  }

  wallTimeMs (): number {
    return Date.now()
  }
}

/** Timers of the event loop. */
export class SystemTimers implements Timers {
  after (delayMs: number, fn: () => void): Disposable {
    const handle = setTimeout(fn, delayMs)
    return { [Symbol.dispose]: () => clearTimeout(handle) }
  }

  every (periodMs: number, fn: () => void): Disposable {
    const handle = setInterval(fn, periodMs)
    return { [Symbol.dispose]: () => clearInterval(handle) }
  }
}

/** The runtime's random source; not for secrets. */
export class SystemRandom implements Random {
  next (): number {
    return Math.random()
  }
}

/** The environment of a running process. */
export function systemEnv (): Env {
  return { clock: new SystemClock(), timers: new SystemTimers(), random: new SystemRandom() }
}
