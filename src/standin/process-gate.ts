/** A process that can be killed, paused and cut off, as the rest of a test sees it. */
import type { Env, Timers } from '../time/index.js'

/** Holds back everything that enters or leaves a process while it is paused, and drops it once it is dead. */
export class ProcessGate {
  private state: 'running' | 'paused' | 'dead' = 'running'
  private deferred: Array<() => void> = []
  private readonly killHandlers: Array<() => void> = []
  /** While cut off, calls to other failure domains, peers and the platform do not get through. */
  partitioned = false

  get alive (): boolean {
    return this.state !== 'dead'
  }

  get running (): boolean {
    return this.state === 'running'
  }

  /** Runs `fn` now, on waking, or never. */
  runWhenRunning (fn: () => void): void {
    if (this.state === 'running') fn()
    else if (this.state === 'paused') this.deferred.push(fn)
  }

  /** Resolves as soon as the process may go on. */
  async whenRunning (): Promise<void> {
    if (this.state !== 'running') await new Promise<void>((resolve) => { this.runWhenRunning(resolve) })
  }

  pause (): void {
    if (this.state === 'running') this.state = 'paused'
  }

  resume (): void {
    if (this.state !== 'paused') return
    this.state = 'running'
    for (const fn of this.deferred.splice(0)) this.runWhenRunning(fn)
  }

  kill (): void {
    if (this.state === 'dead') return
    this.state = 'dead'
    this.deferred = []
    for (const handler of this.killHandlers) handler()
  }

  /** Calls `close` when the process dies. */
  onKill (handler: () => void): void {
    if (this.state === 'dead') handler()
    else this.killHandlers.push(handler)
  }
}

/** The surroundings of a process behind a gate: its timers fire late while it is paused. */
export function gatedEnv (env: Env, gate: ProcessGate): Env {
  const timers: Timers = {
    after: (ms, fn) => {
      let cancelled = false
      const timer = env.timers.after(ms, () => gate.runWhenRunning(() => { if (!cancelled) fn() }))
      return { [Symbol.dispose]: () => { cancelled = true; timer[Symbol.dispose]() } }
    },
    every: (ms, fn) => {
      let due = false
      return env.timers.every(ms, () => {
        if (due) return
        due = true
        gate.runWhenRunning(() => { due = false; fn() })
      })
    }
  }
  return { ...env, timers }
}
