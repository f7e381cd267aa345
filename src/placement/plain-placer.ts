/**
 * Placement of plain calls: short calls on targets with few slots. A target that fails part of its calls looks idle, so
 * failures count like waiting calls.
 */
import type * as fleet from '../fleet/index.js'
import type * as calls from '../call/index.js'
import type * as time from '../time/index.js'
import * as share from './connection-share.js'
import * as explanation from './explanation.js'
import type * as types from './types.js'

/** Expected time of a call on an idle target, in ms; does not affect the choice of a target. */
export const PLAIN_CALL_MS = 40

/** Cost of a target whose calls all fail, in calls waiting per slot. */
const FAILURE_COST_PER_SLOT = 8

/** Cost of a target in another failure domain, in calls waiting per slot. */
const OTHER_DOMAIN_COST_PER_SLOT = 0.15

/** Sends each plain call to the target of lowest cost: load per slot, how long work takes there, recent failures, other failure domain. */
export class PlainPlacer implements types.Placer {
  constructor (private readonly fleet: fleet.Fleet, private readonly env: time.Env, private readonly ownDomain: string, private readonly gatewayCount: () => number) {}

  place (call: calls.Call, tried: ReadonlySet<string>): types.Placement | undefined {
    const now = this.env.clock.now()
    const maxRunning = share.connectionShare(call.service, this.gatewayCount())
    let cheapest: fleet.TargetState | undefined
    let lowestCost = Infinity
    for (const state of this.fleet.ofService(call.service.name)) {
      if (tried.has(state.record.id) || !state.acceptsCalls(now) || state.running >= maxRunning) continue
      const cost = this.cost(state, this.env.random.next(), now)
      if (cost >= lowestCost) continue
      lowestCost = cost
      cheapest = state
    }
    return cheapest === undefined ? undefined : { target: cheapest, priority: call.priority, expectedMs: expectedMs(cheapest, now) }
  }

  explain (call: calls.Call): explanation.Explanation {
    const now = this.env.clock.now()
    const maxRunning = share.connectionShare(call.service, this.gatewayCount())
    const states = this.fleet.ofService(call.service.name)
    const candidates = states
      .filter((state) => explanation.excludedTarget(state, maxRunning, now) === undefined)
      .map((state) => this.explainTarget(state, now))
      .sort((a, b) => a.cost - b.cost)
    const excluded = states.flatMap((state) => explanation.excludedTarget(state, maxRunning, now) ?? [])
    const head = { unit: 'calls_per_slot', candidates, excluded }
    const [chosen] = candidates
    if (chosen === undefined) return { ...head, decision: 'no_target', reason: 'no target is usable' }
    return { ...head, decision: 'send', reason: 'lowest cost, up to a random tenth of a call', chosen }
  }

  private explainTarget (state: fleet.TargetState, now: number): explanation.ExplainedCandidate {
    const parts = [
      { name: 'load', value: state.load(now) / state.record.slots },
      { name: 'workFactor', value: state.work.at(now) },
      { name: 'failureRate', value: state.failures.failureRate(now) }
    ]
    return { target: state.record.id, expectedMs: Math.round(expectedMs(state, now)), cost: this.cost(state, 0, now), parts }
  }

  // In calls per slot; a random tenth of a call breaks ties. Where work takes longer, the calls ahead and this one count more.
  private cost (state: fleet.TargetState, random: number, now: number): number {
    const { slots } = state.record
    const load = state.load(now)
    const callsPerSlot = (load + random * 0.1 + (load + 1) * (state.work.at(now) - 1)) / slots
    const domainCost = state.record.domain === this.ownDomain ? 0 : OTHER_DOMAIN_COST_PER_SLOT
    return callsPerSlot + domainCost + FAILURE_COST_PER_SLOT * state.failures.failureRate(now)
  }
}

function expectedMs (state: fleet.TargetState, now: number): number {
  const { slots } = state.record
  const waitingPerSlot = Math.max(0, state.load(now) + 1 - slots) / slots
  return PLAIN_CALL_MS * (1 + waitingPerSlot) * state.work.at(now)
}
