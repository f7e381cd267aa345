/** Choice of the target of a call. */
export type { Placement, Placer } from './types.js'
export { PlainPlacer } from './plain-placer.js'
export { EnginePlacer } from './engine-placer.js'
