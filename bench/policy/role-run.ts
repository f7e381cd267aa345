/** Runs a role policy under a scenario. */
import type { EngineModel } from '../../src/roles/index.js'
import type { Role } from '../../src/schema/index.js'
import { STEP_MS, type EngineSpec, type ModelEngine } from './engine.js'
import { Fleet, type Outcome, type LatencyTargets } from './fleet.js'
import type { RolePolicy } from './role-policies.js'
import { Arrivals, type Scenario, type Workload } from './workload.js'

/** Parameters of a run. */
export interface RunSpec {
  readonly engines: number
  readonly domains: readonly string[]
  readonly engine: EngineSpec
  readonly targets: LatencyTargets
  readonly workload: Workload
  readonly scenario: Scenario
  readonly seconds: number
  readonly seed: number
}

/** Time at the start of a run that is not counted, in ms, as the policies start from different splits. */
const WARM_UP_MS = 120_000

/** Notice before targets are reclaimed, in ms. */
const RECLAIM_NOTICE_MS = 10_000

/** The model of the engines that the planner gets. */
export function modelOf (spec: EngineSpec, targets: LatencyTargets): EngineModel {
  return {
    prefillRate: spec.prefillRate, decodeRate: spec.fullSpeedStreams * 1_000 / spec.tokenMs, tokenMs: spec.tokenMs, interference: spec.interference, prefillSlowdown: spec.prefillSlowdown, itlMs: targets.itlMs, ttftMs: targets.ttftMs
  }
}

/** Runs a policy; with the same seed, each policy gets the same arrivals. */
export function runRoles (spec: RunSpec, policy: RolePolicy): Outcome & { readonly role_changes: number } {
  const fleet = new Fleet(spec.engines, spec.domains, spec.engine, spec.targets)
  const arrivals = new Arrivals(spec.scenario, spec.workload, spec.engines, spec.seed)
  const pending = new Map<ModelEngine, Role>()
  let changes = 0
  policy.start(fleet)
  for (let now = 0; now < spec.seconds * 1_000; now += STEP_MS) {
    injectFault(fleet, spec, now)
    arrivals.step(now, (prompt, output) => { fleet.arrive(now, prompt, output) })
    fleet.step(now)
    for (const [engine, role] of pending) {
      if (engine.running > 0) continue
      Object.assign(engine, { role, draining: false, changingUntil: now + spec.engine.changeMs })
      pending.delete(engine)
    }
    if (now % 1_000 !== 0) continue
    for (const { engine, role } of policy.decide(fleet, now)) {
      engine.draining = true
      pending.set(engine, role)
      changes++
    }
  }
  return { ...fleet.outcome(WARM_UP_MS), role_changes: changes }
}

/** Injects the fault of the scenario in the middle of a run; lost engines are replaced after a delivery time of 120 s. */
function injectFault (fleet: Fleet, spec: RunSpec, now: number): void {
  const faultAt = spec.seconds * 500
  const lost = spec.scenario === 'engine_lost' ? fleet.engines.slice(0, 1) : fleet.engines.filter((engine) => engine.domain === spec.domains[0])
  if (!['engine_lost', 'domain_lost', 'reclaim_with_notice'].includes(spec.scenario)) return
  if (spec.scenario === 'reclaim_with_notice' && now === faultAt - RECLAIM_NOTICE_MS) for (const engine of lost) engine.draining = true
  if (now === faultAt) fleet.fail(lost)
  if (now === faultAt + 120_000) for (const engine of lost) Object.assign(engine, { up: true, draining: false, role: 'mixed' })
}
