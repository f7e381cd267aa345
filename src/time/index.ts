/** Clocks, timers and random sources, real and virtual. */
export type { Clock, Env, Random, Timers } from './types.js'
export { systemEnv, SystemClock, SystemRandom, SystemTimers } from './real.js'
export { VirtualTime } from './virtual.js'
export { SeededRandom } from './seeded.js'
export { delay, withTimeout } from './timeout.js'
export { Poller, type PollerDeps } from './poller.js'
export { RepeatingTask } from './repeating-task.js'
