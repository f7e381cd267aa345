/** Compares the role and spending policies with baselines in a queueing model; prints JSON. */
import { runRoleComparison, runSizes } from './policy/compare-roles.js'
import { runSpendingComparison } from './policy/compare-spending.js'
import { runUsageStore } from './policy/usage-store.js'

process.stdout.write(`${JSON.stringify({ roles: runRoleComparison(), sizes: runSizes(), spending: runSpendingComparison(), usage: await runUsageStore() }, null, 1)}\n`)
