/** Control over a simulated process: it can be killed, paused and partitioned from the others. */
import type { Env, Timers } from '../time/index.js'

/** Defers everything that enters or leaves a process while it is paused, and drops it once the process is dead. */
export class ProcessGate {
  private state: 'running' | 'paused' | 'dead' = 'running'
  private deferred: Array<() => void> = []
  private readonly killHandlers: Array<() => void> = []
  /** During a partition, calls to other failure domains, to peers and to the platform fail. */
  partitioned = false

  get alive (): boolean {
    return this.state !== 'dead'
  }

  get running (): boolean {
    return this.state === 'running'
  }

  /** Runs `fn` at once, after the process is resumed when it is paused, or never when it is dead. */
  runWhenRunning (fn: () => void): void {
    if (this.state === 'running') fn()
    else if (this.state === 'paused') this.deferred.push(fn)
  }

  /** Resolves once the process is running; never when it is dead. */
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

  /** Calls `handler` when the process is killed. */
  onKill (handler: () => void): void {
    if (this.state === 'dead') handler()
    else this.killHandlers.push(handler)
  }
}

/** The environment of a process behind a gate: timers that fire while it is paused are deferred until it is resumed. */
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
