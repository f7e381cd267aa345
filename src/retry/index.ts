/** Retry budgets, the decision whether an attempt may be retried, and joining of resumed streams. */
export { RetryBudget } from './retry-budget.js'
export { retryReason } from './may-retry.js'
export { StreamSplice } from './stream-splice.js'
export { SharedRetryBudget, type RetryLimits } from './shared-retry-budget.js'
