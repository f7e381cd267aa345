/** The compared policies for engine roles. */
import { forecast, observe, planRoles, INITIAL_ROLE_STATE, initialEstimate, type EngineModel, type RoleEngine } from '../../src/roles/index.js'
import type { Role } from '../../src/schema/index.js'
import type { Fleet } from './fleet.js'
import type { ModelEngine } from './engine.js'

/** A policy that decides on role changes once a second. */
export interface RolePolicy {
  readonly name: string
  /** Sets the roles at the start of a run. */
  start (fleet: Fleet): void
  decide (fleet: Fleet, now: number): ReadonlyArray<{ readonly engine: ModelEngine, readonly role: Role }>
}

/** A static split by share of prefill engines. */
export class FixedSplit implements RolePolicy {
  constructor (readonly name: string, private readonly prefillShare: number) {}

  start (fleet: Fleet): void {
    const prefill = this.prefillShare === 0 ? 0 : Math.max(1, Math.round(fleet.engines.length * this.prefillShare))
    fleet.engines.forEach((engine, index) => { engine.role = prefill === 0 ? 'mixed' : index < prefill ? 'prefill' : 'decode' })
  }

  decide (): [] {
    return []
  }
}

/** A static split by number of prefill engines, with one role for all others. */
export class GivenSplit implements RolePolicy {
  readonly name = 'given'

  constructor (private readonly prefillCount: number, private readonly otherRole: Role) {}

  start (fleet: Fleet): void {
    fleet.engines.forEach((engine, index) => { engine.role = index < this.prefillCount ? 'prefill' : this.otherRole })
  }

  decide (): [] {
    return []
  }
}

/** Interval at which the threshold policy evaluates the request mix, in ms. */
const DECISION_INTERVAL_MS = 5_000

/** Difference between current and desired split from which the threshold policy changes an engine, in engines. */
const DEAD_BAND_ENGINES = 0.75

/** Follows the request mix of the last 5 s, one engine at a time, with a dead band but without history, costs or dwell time. */
export class Threshold implements RolePolicy {
  readonly name = 'threshold'
  private previous = { prefill: 0, decode: 0 }

  start (fleet: Fleet): void {
    new FixedSplit('', 1 / 4).start(fleet)
  }

  decide (fleet: Fleet, now: number): ReadonlyArray<{ engine: ModelEngine, role: Role }> {
    if (now % DECISION_INTERVAL_MS !== 0) return []
    const prefill = (fleet.prefillTokens - this.previous.prefill) / fleet.spec.prefillRate
    const decode = (fleet.decodeTokens - this.previous.decode) * fleet.spec.tokenMs / 1_000 / fleet.spec.fullSpeedStreams
    this.previous = { prefill: fleet.prefillTokens, decode: fleet.decodeTokens }
    const up = fleet.engines.filter((engine) => engine.up)
    if (up.some((engine) => !engine.accepts(now))) return []
    const desired = Math.min(up.length - 1, Math.max(1, up.length * prefill / Math.max(1e-9, prefill + decode)))
    const current = up.filter((engine) => engine.role === 'prefill').length
    const role: Role = current < desired ? 'prefill' : 'decode'
    const engine = up.find((other) => other.role !== role)
    return Math.abs(desired - current) < DEAD_BAND_ENGINES || engine === undefined ? [] : [{ engine, role }]
  }
}

/** The planner of `src/roles`. */
export class Planner implements RolePolicy {
  readonly name: string
  private estimate = initialEstimate(0)
  private state = INITIAL_ROLE_STATE
  private previous = { prefill: 0, decode: 0, squares: 0 }

  constructor (private readonly model: EngineModel, private readonly roleChangeMs: number, private readonly minFleet: number) {
    this.name = 'planner'
  }

  start (): void {}

  decide (fleet: Fleet, now: number): ReadonlyArray<{ engine: ModelEngine, role: Role }> {
    this.estimate = observe(this.estimate, {
      now, prefillTokens: fleet.prefillTokens - this.previous.prefill, decodeTokens: fleet.decodeTokens - this.previous.decode, promptSquares: fleet.promptSquares - this.previous.squares
    })
    this.previous = { prefill: fleet.prefillTokens, decode: fleet.decodeTokens, squares: fleet.promptSquares }
    const engines = fleet.engines.map((engine): RoleEngine => ({
      target: engine.name, role: engine.role, available: engine.up, changing: engine.up && !engine.accepts(now), running: engine.running
    }))
    const plan = planRoles(this.state, { now, engines, mix: forecast(this.estimate, this.roleChangeMs), slowMix: this.estimate.slow, model: this.model, downtimeMs: this.roleChangeMs, minFleet: this.minFleet })
    this.state = plan.state
    const engine = fleet.engines.find(({ name }) => name === plan.order?.target)
    return engine === undefined || plan.order === undefined ? [] : [{ engine, role: plan.order.role }]
  }
}
