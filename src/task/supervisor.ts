/** Supervision of tasks: failed children are restarted with exponential backoff, up to a limit. */
import type { Logger } from '../log/index.js'
import type { Clock, Timers } from '../time/index.js'

/** First delay before a child is restarted, in ms. */
const FIRST_RESTART_DELAY_MS = 100

/** Longest delay before a child is restarted, in ms. */
const MAX_RESTART_DELAY_MS = 5_000

/** Restarts of a child allowed within {@link RESTART_WINDOW_MS}; the supervisor gives up at the next failure. */
const MAX_RESTARTS = 10

/** Time within which restarts of a child are counted, in ms. */
const RESTART_WINDOW_MS = 60_000

/** A running child; `stopped` rejects when the child fails, and resolves when it ends without a failure. */
export interface RunningChild extends AsyncDisposable {
  readonly stopped: Promise<void>
}

/** Name of a child and how it is started. */
export interface ChildSpec {
  readonly name: string
  start (): Promise<RunningChild>
}

/** Dependencies of a {@link Supervisor}. */
export interface SupervisorDeps {
  readonly clock: Clock
  readonly timers: Timers
  readonly log: Logger
  /** Called when a child fails too often; it is not restarted then. */
  readonly onGiveUp: (err: Error) => void
}

/** Starts children in order and stops them in reverse order. */
export class Supervisor implements AsyncDisposable {
  private readonly children: Child[] = []

  constructor (private readonly deps: SupervisorDeps) {}

  /** Starts a child and keeps it running. */
  async start (spec: ChildSpec): Promise<void> {
    const child = new Child(spec, this.deps)
    this.children.push(child)
    await child.start()
  }

  async [Symbol.asyncDispose] (): Promise<void> {
    for (const child of this.children.splice(0).reverse()) await child[Symbol.asyncDispose]()
  }
}

class Child implements AsyncDisposable {
  private running: RunningChild | undefined
  private restartTimes: number[] = []
  private stopping = false

  constructor (private readonly spec: ChildSpec, private readonly deps: SupervisorDeps) {}

  async start (): Promise<void> {
    if (this.stopping) return
    const running = await this.spec.start()
    this.running = running
    running.stopped.then(
      () => {},
      (err: unknown) => { this.restart(err as Error) }
    )
  }

  async [Symbol.asyncDispose] (): Promise<void> {
    this.stopping = true
    await this.running?.[Symbol.asyncDispose]()
  }

  private restart (err: Error): void {
    if (this.stopping) return
    const now = this.deps.clock.now()
    this.restartTimes = this.restartTimes.filter((at) => now - at < RESTART_WINDOW_MS)
    this.restartTimes.push(now)
    this.deps.log.error({ child: this.spec.name, restarts: this.restartTimes.length, err }, 'child_failed')
    if (this.restartTimes.length > MAX_RESTARTS) {
      this.deps.onGiveUp(err)
      return
    }
    const delayMs = Math.min(MAX_RESTART_DELAY_MS, FIRST_RESTART_DELAY_MS * 2 ** (this.restartTimes.length - 1))
    this.deps.timers.after(delayMs, () => { this.start().catch((startErr: unknown) => { this.restart(startErr as Error) }) })
  }
}
