/** Leader duties of a scope's lease holder: roles, spending and usage. */
export type { IntentRunner } from './intent-runner.js'
export { UsageDuty, type UsageDutyDeps } from './usage-duty.js'
export { RolesDuty, type RolesDutyDeps, type RolesView, type ServiceEngine } from './roles-duty.js'
export { SpendingDuty, type SpendingDutyDeps, type SpendingView, type DeclaredTarget } from './spending-duty.js'
