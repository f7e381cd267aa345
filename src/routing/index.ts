/** Choice of the target a request goes to. */
export type { AttemptOutcome, RoutedTarget, RouteChoice, RouteReq, Router } from './types.js'
export { TwoChoiceRouter, type Distance } from './two-choice-router.js'
export { REPORT_LIFE_MS } from './target-load.js'
export { LeastSentRouter } from './least-sent-router.js'
