/**
 * Placement of plain calls. Answers the load of short calls on targets with few slots, where a target that fails part
 * of its calls looks idle: failures count like waiting calls.
 */
import type * as fleet from '../fleet/index.js'
import type * as calls from '../call/index.js'
import type * as time from '../time/index.js'
import * as share from './connection-share.js'
import type * as types from './types.js'

/** Expected time of a call on an idle target, in ms; orders targets only. */
const CALL_MS = 40

/** Cost of a target whose calls all fail, in calls waiting for each slot. */
const FAILURE_COST = 8

/** Cost of a target in another failure domain, in calls waiting for each slot. */
const REMOTE_COST = 0.15

/** Places plain calls by load, recent failures and distance. */
export class PlainPlacer implements types.Placer {
  constructor (private readonly fleet: fleet.Fleet, private readonly env: time.Env, private readonly domain: string, private readonly gateways: () => number) {}

  place (call: calls.Call, tried: ReadonlySet<string>): types.Placement | undefined {
    const now = this.env.clock.now()
    const most = share.connectionShare(call.service, this.gateways())
    let best: fleet.TargetState | undefined
    let lowest = Infinity
    for (const state of this.fleet.ofService(call.service.name)) {
      if (tried.has(state.record.id) || !state.acceptsCalls(now) || state.running >= most) continue
      const cost = this.cost(state, now)
      if (cost >= lowest) continue
      lowest = cost
      best = state
    }
    if (best === undefined) return undefined
    const turns = Math.max(0, best.load(now) + 1 - best.record.slots) / best.record.slots
    return { target: best, priority: call.priority, expectedMs: CALL_MS * (1 + turns) }
  }

  private cost (state: fleet.TargetState, now: number): number {
    const waiting = (state.load(now) + this.env.random.next() * 0.1) / state.record.slots
    const remote = state.record.domain === this.domain ? 0 : REMOTE_COST
    return waiting + remote + FAILURE_COST * state.failures.failureRate(now)
  }
}
