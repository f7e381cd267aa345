/** Clocks, timers and random sources, real and virtual. */
export type { Clock, Env, Random, Timers } from './types.js'
export { systemEnv, SystemClock, SystemRandom, SystemTimers } from './real.js'
export { VirtualTime } from './virtual.js'
export { SeededRandom } from './seeded.js'
export { delay, withDeadline } from './deadline.js'
export { Poll, type PollDeps } from './poll.js'
export { RepeatingTask } from './repeating-task.js'
