/** A supervisor tree: children are restarted with growing delays, up to a limit. */
import type { Logger } from '../log/index.js'
import type { Clock, Timers } from '../time/index.js'

/** First delay before a child is restarted, in ms. */
const RESTART_FIRST_MS = 100

/** Longest delay before a child is restarted, in ms. */
const RESTART_LAST_MS = 5_000

/** Restarts within {@link RESTART_WINDOW_MS} after which the supervisor gives up. */
const RESTART_LIMIT = 10

const RESTART_WINDOW_MS = 60_000

/** A running child: `stopped` rejects when it fails, and resolves when it ends by itself. */
export interface RunningChild extends AsyncDisposable {
  readonly stopped: Promise<void>
}

/** How a child is started. */
export interface ChildSpec {
  readonly name: string
  start (): Promise<RunningChild>
}

/** What a supervisor needs from its surroundings. */
export interface SupervisorEnv {
  readonly clock: Clock
  readonly timers: Timers
  readonly log: Logger
  /** Called once when children fail too often. */
  readonly giveUp: (err: Error) => void
}

/** Starts children in order and stops them in reverse order. */
export class Supervisor implements AsyncDisposable {
  private readonly children: Child[] = []

  constructor (private readonly env: SupervisorEnv) {}

  /** Starts a child and keeps it running. */
  async start (spec: ChildSpec): Promise<void> {
    const child = new Child(spec, this.env)
    this.children.push(child)
    await child.start()
  }

  async [Symbol.asyncDispose] (): Promise<void> {
    for (const child of this.children.splice(0).reverse()) await child[Symbol.asyncDispose]()
  }
}

class Child implements AsyncDisposable {
  private running: RunningChild | undefined
  private restarts: number[] = []
  private stopping = false

  constructor (private readonly spec: ChildSpec, private readonly env: SupervisorEnv) {}

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
    const now = this.env.clock.now()
    this.restarts = this.restarts.filter((at) => now - at < RESTART_WINDOW_MS)
    this.restarts.push(now)
    this.env.log.error({ child: this.spec.name, restarts: this.restarts.length, err }, 'child_failed')
    if (this.restarts.length > RESTART_LIMIT) {
      this.env.giveUp(err)
      return
    }
    const delayMs = Math.min(RESTART_LAST_MS, RESTART_FIRST_MS * 2 ** (this.restarts.length - 1))
    this.env.timers.after(delayMs, () => { this.start().catch((startErr: unknown) => { this.restart(startErr as Error) }) })
  }
}
