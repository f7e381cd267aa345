/** Chooses where a call is sent next, or why it is sent nowhere. */
import * as errors from '../errors/index.js'
import type * as calls from '../call/index.js'
import type * as fleet from '../fleet/index.js'
import type * as metrics from '../metrics/index.js'
import type * as placement from '../placement/index.js'
import type * as quarantine from '../quarantine/index.js'
import type * as time from '../time/index.js'
import type * as attemptRace from './attempt-race.js'
import * as callDecisions from './call-decisions.js'
import type * as callState from './call-state.js'
import * as noPlacement from './no-placement.js'

/** Dependencies of the choice. */
export interface NextTargetDeps {
  readonly env: time.Env
  readonly fleet: fleet.Fleet
  readonly metrics: metrics.Metrics
  readonly placerFor: (call: calls.Call) => placement.Placer
  readonly quarantine: Pick<quarantine.SegmentQuarantine, 'admit' | 'waitMs' | 'isBarred'>
}

/** Attempts of the call that are in flight. */
export type InFlight = Pick<attemptRace.AttemptRace, 'size' | 'targetIds'>

/** Chooses the targets of one call. */
export class NextTarget {
  constructor (private readonly deps: NextTargetDeps, private readonly state: callState.CallState, private readonly inFlight: InFlight) {}

  /**
   * Where the call may be sent now. A send beside another one has no prefill at a further target, as two targets must not go
   * on with one call.
   */
  choose (beside = false): placement.Placement | noPlacement.NoPlacement {
    const stopReason = this.reasonToStop()
    if (stopReason !== undefined) return new noPlacement.NoPlacement(stopReason)
    const choice = this.chooseTarget()
    if (choice === undefined || (beside && choice.prefillTarget !== undefined)) return new noPlacement.NoPlacement('no_target')
    const lateMs = this.lateMs(choice)
    return lateMs > 0 ? new noPlacement.NoPlacement('deadline_unreachable', lateMs) : choice
  }

  /** Takes what a send needs: a retry from the budget if it is one, and a trial of a quarantined segment. */
  commit (choice: placement.Placement): placement.Placement | noPlacement.NoPlacement {
    const { call: { prompt }, reply, trials, mayHaveExecuted } = this.state
    if (!this.mayAttempt()) return new noPlacement.NoPlacement(mayHaveExecuted ? 'target_failed' : 'retry_budget_exhausted')
    // A trial is taken only for a send.
    if (prompt !== undefined && !reply.started) this.deps.quarantine.admit(prompt, trials)
    return choice
  }

  /** Where the call may be sent while a run is silent. A call with a quarantined segment is tried at one target only. */
  reserve (silent: attemptRace.Run, beside: boolean): placement.Placement | undefined {
    const { call: { prompt }, reply, trials, sent, retries } = this.state
    if (trials.size > 0 || (prompt !== undefined && !reply.started && this.deps.quarantine.isBarred(prompt, trials))) return undefined
    // Where the silent attempt is aborted, the call must be able to return to its target: the next one may refuse.
    if (!sent.mayReplace(this.inFlight.size) || !retries.has(beside ? 1 : 2)) return undefined
    const choice = this.choose(beside)
    const next = choice instanceof noPlacement.NoPlacement ? choice : this.commit(choice)
    if (next instanceof noPlacement.NoPlacement) return undefined
    if (!beside) {
      sent.noteReplaced(silent.choice)
      retries.prepay()
    }
    return next
  }

  /** Why nothing may be sent for the call now; undefined when something may. */
  reasonToStop (): errors.Refusal | errors.RefusalReason | undefined {
    const { state } = this
    const end = callDecisions.endOfCall(state, this.now())
    if (end !== undefined) return end
    // A stream that has begun was accepted before the change, and its events show that its prompt lets engines begin to respond.
    if (state.reply.started) return undefined
    return state.call.checkAuthorization() ?? this.checkQuarantine()
  }

  private checkQuarantine (): errors.Refusal | undefined {
    const { call: { prompt }, trials } = this.state
    const retryAfterMs = prompt === undefined ? undefined : this.deps.quarantine.waitMs(prompt, trials)
    return retryAfterMs === undefined ? undefined : new errors.Refusal('segment_quarantined', { step: 'route', ran: 'no', retryAfterMs })
  }

  private chooseTarget (): placement.Placement | undefined {
    const { call, triedTargets } = this.state
    const placer = this.deps.placerFor(call)
    const excluded = [...this.inFlight.targetIds, ...this.targetsAboveLimit()]
    const choice = placer.place(call, new Set([...triedTargets, ...excluded]))
    if (triedTargets.size === 0 || !callDecisions.mayRetry(this.state) || (choice !== undefined && this.lateMs(choice) <= 0)) return choice
    // With no other target left, one that was only silent, or that failed before, may be able to serve the call now.
    return this.takeReplaced() ?? choice ?? placer.place(call, new Set(excluded))
  }

  // The placement of a silent attempt that was aborted, also when its response is expected late: it would still run.
  private takeReplaced (): placement.Placement | undefined {
    const now = this.now()
    const choice = this.inFlight.size === 0 && this.attemptsLeft ? this.state.sent.takeReplaced(now) : undefined
    if (choice === undefined) return undefined
    this.deps.metrics.count('godwitpoint_returns_to_silent_targets_total', `service="${this.state.call.service.name}"`)
    return { ...choice, expectedMs: Math.max(0, Math.min(choice.expectedMs, callDecisions.firstEventTimeoutMs(this.state, now))) }
  }

  // Targets that the call may not be sent to as it was already sent to `maxTargets` others.
  private targetsAboveLimit (): string[] {
    const { call, sent } = this.state
    if (!this.attemptsLeft || sent.mayAddTarget(this.inFlight.targetIds)) return []
    return this.deps.fleet.ofService(call.service.name).map((state) => state.record.id).filter((id) => !sent.has(id))
  }

  private mayAttempt (): boolean {
    const { call, sent, retries } = this.state
    if (sent.sends + this.inFlight.size === 0) return true
    if (!this.attemptsLeft) return false
    if (!retries.take()) return false
    this.deps.metrics.count('godwitpoint_repeats_total', `service="${call.service.name}"`)
    return true
  }

  private get attemptsLeft (): boolean {
    return this.state.sent.sendsLeft(this.inFlight.size)
  }

  private lateMs (choice: placement.Placement): number {
    return callDecisions.lateMs(this.state, choice, this.now())
  }

  private now (): number {
    return this.deps.env.clock.now()
  }
}
