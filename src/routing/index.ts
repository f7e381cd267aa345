/** Choice of the target for a request. */
export type { AttemptOutcome, RoutedTarget, RouteChoice, RouteReq, Router } from './types.js'
export { TwoChoiceRouter, type DomainLatency } from './two-choice-router.js'
export { REPORT_LIFE_MS } from './target-load.js'
export { LeastOutstandingRouter } from './least-outstanding-router.js'
