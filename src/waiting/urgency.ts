/** Urgency of a waiting call as a small number, which gateways compare with each other. */
import type * as types from './types.js'

/** Least urgent priority that counts, and the largest excess of an account, in doublings of its share. */
const MAX_PRIORITY = 9
const MAX_EXCESS = 3

const PRIORITY_LEVELS = MAX_PRIORITY + 1
const EXCESS_LEVELS = MAX_EXCESS + 1

/** Number of levels. */
export const LEVELS = 2 * EXCESS_LEVELS * PRIORITY_LEVELS

/**
 * Level of a call; 0 is the most urgent. Calls whose objective can still be met at an idle target come first, since they
 * lose most by waiting; then accounts within their share, as an account must not gain room by sending more; then priority.
 */
export function urgencyLevel (call: types.WaitingCall, ownMs: number, excess: number, now: number): number {
  const lost = now + ownMs > call.objectiveAt ? 1 : 0
  const priority = Math.min(MAX_PRIORITY, Math.max(0, Math.trunc(call.priority)))
  return (lost * EXCESS_LEVELS + Math.min(MAX_EXCESS, excess)) * PRIORITY_LEVELS + priority
}
