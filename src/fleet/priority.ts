/** Priorities under which calls are sent to engines. */

/** Number of priority levels; 0 is the most urgent. */
const PRIORITIES = 10

/** First priority of deferred calls, which are expected to miss their objective: engines admit them last. */
export const FIRST_DEFERRED_PRIORITY = 5

/** The deferred priority of a call with `priority` that is expected to miss its latency objective. */
export function deferredPriority (priority: number): number {
  return Math.min(PRIORITIES - 1, FIRST_DEFERRED_PRIORITY + priority)
}
