/**
 * Attempts of one call at the same time. An attempt that is silent goes on while a second one is sent beside it, and the
 * first usable response wins. Where two targets must not work on the call at once, the silent attempt is aborted first, and
 * only when another can be sent in its place. Without one, silence ends no attempt.
 */
import type * as log from '../log/index.js'
import type * as metrics from '../metrics/index.js'
import type * as placement from '../placement/index.js'
import type * as attempt from './attempt.js'

/** Attempts of one call at the same time. */
const MAX_PARALLEL = 2

/** Why the gateway stopped an attempt. */
export type StopCause = 'deadline' | 'caller_left' | 'other_won' | 'internal_error'

/** A placement that is being carried out: one attempt, or a prefill and the attempt after it. */
export class Run {
  /** The attempt in flight; undefined between two. */
  attempt: attempt.Attempt | undefined
  /** Set once the gateway has stopped the run; nothing may be sent for it any more. */
  stoppedBy: StopCause | undefined
  /** Whether the attempt in flight is the prefill. */
  prefilling = false

  /** `beside` tells whether the run was started while another one was silent. */
  constructor (readonly choice: placement.Placement, readonly beside: boolean) {}

  /** Id of the target that works on the call now; the one that generates is idle until the prompt is prefilled. */
  get targetId (): string {
    const { target, prefillTarget } = this.choice
    return this.prefilling && prefillTarget !== undefined ? prefillTarget.record.id : target.record.id
  }

  stop (cause: StopCause): void {
    this.stoppedBy ??= cause
    this.attempt?.stop()
  }
}

/** Dependencies of a race. */
export interface RaceDeps {
  readonly metrics: Pick<metrics.Metrics, 'count'>
  readonly service: string
  readonly callId: string
  readonly log: log.Logger
  /** Carries out a run; true once it has delivered a response. */
  readonly execute: (run: Run) => Promise<boolean>
  /**
   * Where the call may be sent once more now, `beside` a silent run or in its place; a retry was taken from the budget
   * for it. Undefined when it may not.
   */
  readonly reserve: (silent: Run, beside: boolean) => placement.Placement | undefined
}

/** Carries out the runs of one call. */
export class AttemptRace {
  private readonly runs = new Set<Run>()
  /** Placement of the run that follows a silent one as soon as that has ended. */
  private successor: placement.Placement | undefined
  /** Set once a placement for the call has thrown: it goes on with the attempts that it has. */
  private reserveFailed = false
  private hedged = false
  private winner: Run | undefined
  private delivered = false
  private stoppedBy: StopCause | undefined
  private settle: { readonly resolve: (delivered: boolean) => void, readonly reject: (err: unknown) => void } | undefined

  constructor (private readonly deps: RaceDeps) {}

  /** Number of runs in flight. */
  get size (): number {
    return this.runs.size
  }

  /** Ids of the targets that work on the call. */
  get targetIds (): string[] {
    return [...this.runs].map((run) => run.targetId)
  }

  /** Carries out a placement, and others beside it or in its place while it is silent; true once a response was delivered. */
  async run (first: placement.Placement): Promise<boolean> {
    this.hedged = false
    this.winner = undefined
    this.delivered = false
    return await new Promise((resolve, reject) => {
      this.settle = { resolve, reject }
      this.start(first, false)
    })
  }

  /** Notes that the response of a run is delivered: the others are stopped. */
  win (run: Run): void {
    this.winner = run
    for (const other of this.runs) if (other !== run) other.stop('other_won')
  }

  /** Notes that the attempt of a run is stalled: another one is sent beside it or in its place, if that is possible. */
  noteStalled (run: Run): void {
    const { attempt, stoppedBy } = run
    if (attempt === undefined || stoppedBy !== undefined || this.successor !== undefined) return
    if (!attempt.exclusive && this.addBeside(run)) return
    if (attempt.isReplaceable) this.replace(run, attempt)
  }

  /** Stops all runs; no further one is started. */
  stop (cause: StopCause): void {
    this.stoppedBy ??= cause
    for (const run of this.runs) run.stop(cause)
  }

  private replace (run: Run, silent: attempt.Attempt): void {
    if (this.runs.size > 1) return
    this.successor = this.reserve(run, false)
    if (this.successor === undefined) return
    this.deps.metrics.count('godwitpoint_silent_attempts_replaced_total', `service="${this.deps.service}"`)
    silent.giveUp()
  }

  private addBeside (silent: Run): boolean {
    if (this.runs.size >= MAX_PARALLEL) return false
    const choice = this.reserve(silent, true)
    if (choice === undefined) return false
    this.hedged = true
    this.deps.metrics.count('godwitpoint_hedged_attempts_total', `service="${this.deps.service}"`)
    this.start(choice, true)
    return true
  }

  // Called from a timer, where an exception would end the process. Without a further attempt the silent one goes on.
  private reserve (silent: Run, beside: boolean): placement.Placement | undefined {
    if (this.reserveFailed) return undefined
    try {
      return this.deps.reserve(silent, beside)
    } catch (err) {
      this.reserveFailed = true
      this.deps.metrics.count('godwitpoint_failed_placements_total', `service="${this.deps.service}"`)
      this.deps.log.error({ err, id: this.deps.callId }, 'placement_failed')
      return undefined
    }
  }

  private start (choice: placement.Placement, beside: boolean): void {
    const run = new Run(choice, beside)
    this.runs.add(run)
    this.deps.execute(run).then((delivered) => this.noteEnded(run, delivered)).catch((err: unknown) => this.fail(err))
  }

  private noteEnded (run: Run, delivered: boolean): void {
    this.runs.delete(run)
    const next = this.successor
    this.successor = undefined
    if (delivered) this.delivered = true
    else if (next !== undefined && this.stoppedBy === undefined) this.start(next, false)
    const [other] = this.runs
    if (other?.attempt?.isStalled === true) this.noteStalled(other)
    if (this.runs.size === 0) this.end()
  }

  private end (): void {
    if (this.hedged) this.deps.metrics.count('godwitpoint_hedges_ended_total', `winner="${this.winner === undefined ? 'none' : this.winner.beside ? 'beside' : 'first'}"`)
    this.settle?.resolve(this.delivered)
  }

  private fail (err: unknown): void {
    this.stop('internal_error')
    this.settle?.reject(err)
  }
}
