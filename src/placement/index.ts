/** Placement: choice of the target of each call. */
export { connectionShare } from './connection-share.js'
export type { Placement, Placer, PrefixChoice, PrefixWay } from './types.js'
export { Explanation, type ExplainedCandidate, type ExcludedTarget } from './explanation.js'
export { PLAIN_CALL_MS, PlainPlacer } from './plain-placer.js'
export { EnginePlacer, SLO_TOLERANCE_FACTOR } from './engine-placer.js'
