/** Compares role policies with baselines for both deployments, and finds the fleet size from which splitting pays off. */
import { MIN_SPLIT_FLEET } from '../../src/roles/index.js'
import type { EngineSpec } from './engine.js'
import type { LatencyTargets } from './fleet.js'
import { FixedSplit, GivenSplit, Planner, Threshold, type RolePolicy } from './role-policies.js'
import { modelOf, runRoles, type RunSpec } from './role-run.js'
import { SCENARIOS, type Workload } from './workload.js'

const TARGETS: LatencyTargets = { ttftMs: 390, itlMs: 48, deadlineMs: 20_000 }

/** An engine like the stand-in engine of `src/standin`. */
const STANDIN: EngineSpec = { prefillRate: 20_000, tokenMs: 20, fullSpeedStreams: 8, slots: 8, interference: 2, prefillSlowdown: 1, changeMs: 5_000 }

/** An engine with more interference between the phases: prefill stops most of the decoding. */
const CONTENDED: EngineSpec = { ...STANDIN, interference: 4, prefillSlowdown: 1.3 }

/** An engine on which prefill slows decoding beyond the target between tokens, but is not slowed itself. */
const DISTURBED: EngineSpec = { ...STANDIN, interference: 3 }

const ENGINES = { standin: STANDIN, contended: CONTENDED }

const DEPLOYMENTS: ReadonlyArray<{ readonly name: string, readonly engines: number, readonly domains: readonly string[], readonly workload: Workload }> = [
  {
    name: 'inspect-llm',
    engines: 6,
    domains: ['gl-west', 'gl-central', 'gl-east'],
    workload: { long: { promptTokens: 4_000, outputTokens: 40 }, short: { promptTokens: 400, outputTokens: 120 }, longRate: 2.4, shortRate: 2.0 }
  },
  {
    name: 'desk-assistant',
    engines: 8,
    domains: ['hb-main', 'hb-annex', 'ward-hall'],
    workload: { long: { promptTokens: 3_000, outputTokens: 60 }, short: { promptTokens: 300, outputTokens: 150 }, longRate: 2.4, shortRate: 1.6 }
  }
]

/** Fleet sizes for which all splits are compared. */
const FLEET_SIZES = [2, 3, 4, 5, 6, 8, 12]

/** Compares the best static split with all engines mixed, under a steady request mix, by fleet size. */
export function runSizes (): object {
  return Object.fromEntries(Object.entries({ ...ENGINES, disturbed: DISTURBED }).map(([kind, engine]) => [kind, FLEET_SIZES.map((engines) => {
    const spec: RunSpec = { ...DEPLOYMENTS[0]!, engine, engines, targets: TARGETS, scenario: 'steady', seconds: 300, seed: 11 }
    const mixed = runRoles(spec, new FixedSplit('all_mixed', 0)).goodput
    const splits = Array.from({ length: engines - 1 }, (_, index) => index + 1).flatMap((prefill) => (
      (['decode', 'mixed'] as const).map((rest) => ({ prefill, rest, goodput: runRoles(spec, new GivenSplit(prefill, rest)).goodput }))
    ))
    const bestSplit = splits.reduce((first, next) => next.goodput > first.goodput ? next : first)
    return { engines, all_mixed: mixed, best_split: bestSplit, pays: bestSplit.goodput > mixed }
  })]))
}

/** Runs all comparisons, by engine, deployment, scenario and policy. */
export function runRoleComparison (): object {
  return Object.fromEntries(Object.entries(ENGINES).map(([kind, engine]) => [kind, Object.fromEntries(DEPLOYMENTS.map((deployment) => [
    deployment.name, Object.fromEntries(SCENARIOS.map((scenario) => {
      const spec: RunSpec = { ...deployment, engine, targets: TARGETS, scenario, seconds: 900, seed: 7 }
      return [scenario, Object.fromEntries(createPolicies(spec).map((policy) => [policy.name, runRoles(spec, policy)]))]
    }))
  ]))]))
}

function createPolicies (spec: RunSpec): RolePolicy[] {
  return [
    new FixedSplit('all_mixed', 0),
    new FixedSplit('fixed_split', 1 / 4),
    new Threshold(),
    new Planner(modelOf(spec.engine, TARGETS), spec.engine.changeMs + 3_000, MIN_SPLIT_FLEET)
  ]
}
