/** Planning of target counts by failure domain and price class, and orders for targets. */
export { expectedWork, observeDemand, initialDemand, type Demand, type DemandStep } from './demand.js'
export {
  noteOutOfStock, planSpending, preemptibleLimit, INITIAL_SPENDING_STATE,
  type PlannedOrder, type PlannedRelease, type SpendingInput, type SpendingLimits, type SpendingPlan, type SpendingState, type SpendingTarget
} from './spending-planner.js'
export { TargetOrderSender, type Rejection } from './target-order-sender.js'
