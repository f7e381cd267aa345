/** Placement: choice of the target of each call. */
export type { Placement, Placer, PrefixChoice, PrefixWay } from './types.js'
export { Explanation, type ExplainedCandidate, type ExcludedTarget } from './explanation.js'
export { PlainPlacer } from './plain-placer.js'
export { EnginePlacer } from './engine-placer.js'
