/** Compares spending policies with baselines for both deployments. */
import { FixedTargets, PlannedTargets, ThresholdTargets } from './spending-policies.js'
import { runSpending, SPENDING_SCENARIOS, type SpendingSpec } from './spending-run.js'

const DEPLOYMENTS: Readonly<Record<string, Omit<SpendingSpec, 'scenario'>>> = {
  'inspect-llm': {
    targets: 6, domains: ['gl-west', 'gl-central', 'gl-east'], minTargets: 4, maxTargets: 12, budgetPerHour: 40, minSurvivingShare: 0.8, hours: 6, deliveryMs: 120_000, seed: 3
  },
  'desk-assistant': {
    targets: 8, domains: ['hb-main', 'hb-annex', 'ward-hall'], minTargets: 3, maxTargets: 14, budgetPerHour: 20, minSurvivingShare: 0.6, hours: 6, deliveryMs: 120_000, seed: 3
  }
}

/** Runs all comparisons, by deployment, scenario and policy. */
export function runSpendingComparison (): object {
  return Object.fromEntries(Object.entries(DEPLOYMENTS).map(([name, deployment]) => [name, Object.fromEntries(SPENDING_SCENARIOS.map((scenario) => [
    scenario, Object.fromEntries([new FixedTargets(), new ThresholdTargets(), new PlannedTargets()].map((policy) => [policy.name, runSpending({ ...deployment, scenario }, policy)]))
  ]))]))
}
