/** Retry budgets of an entry, one per service. */
import { RetryBudget } from '../retry/index.js'
import type { EntryDeps } from './types.js'

const budgets = new WeakMap<EntryDeps, Map<string, RetryBudget>>()

/** The retry budget of a service on this entry. */
export function retryBudgetOf (service: string, deps: EntryDeps): RetryBudget {
  const byService = budgets.get(deps) ?? new Map<string, RetryBudget>()
  budgets.set(deps, byService)
  const budget = byService.get(service) ?? new RetryBudget(deps.env.clock)
  byService.set(service, budget)
  return budget
}
