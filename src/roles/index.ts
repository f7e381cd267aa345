/** Estimate of the workload mix, and planning of engine roles. */
export { forecast, observe, initialEstimate, type Mix, type MixEstimate, type MixStep } from './mix-estimate.js'
export { lateStartProbability, serviceLevel, type EngineModel, type RoleCounts } from './fleet-model.js'
export {
  DWELL_MS, MIN_SPLIT_FLEET, planRoles, resumeRole, INITIAL_ROLE_STATE, type RoleEngine, type RoleOrder, type RolePlan, type RolePlanInput, type RolePlanState
} from './role-planner.js'
