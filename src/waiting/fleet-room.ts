/** Room of the targets of a pool, read from the fleet. */
import type * as fleet from '../fleet/index.js'
import * as placement from '../placement/index.js'
import type * as serving from '../serving/index.js'
import type * as types from './types.js'

/** Share of the shortest objective up to which an engine's backlog leaves room for a late call. */
const ENGINE_ROOM_SHARE = 0.25

/** The targets of one service and stage. */
export interface Pool {
  readonly service: string
  /** Absent for plain services. */
  readonly stage?: serving.Stage | undefined
}

/** Name of a pool in messages between gateways. */
export function poolName ({ service, stage }: Pool): string {
  return stage === undefined ? service : `${service}/${stage}`
}

/** Room of a pool among the targets of its service; `objectiveMs` is the shortest of the calls that it serves. */
export function readRoom (pool: Pool, states: readonly fleet.TargetState[], objectiveMs: number, now: number): types.Room {
  return pool.stage === undefined ? plainRoom(states, objectiveMs, now) : engineRoom(pool.stage, states, objectiveMs, now)
}

/** Whether all targets that take calls have all their slots in use; false when none takes calls. */
export function allFull (states: readonly fleet.TargetState[], now: number): boolean {
  const usable = states.filter((state) => state.acceptsCalls(now))
  return usable.length > 0 && usable.every((state) => state.load(now) >= state.record.slots)
}

// After a prefill at a prefill-only engine, a mixed one needs a free slot too.
function engineRoom (stage: serving.Stage, states: readonly fleet.TargetState[], objectiveMs: number, now: number): types.Room {
  let backlogMs = Infinity
  let freeBacklogMs = Infinity
  let backlogWork = 0
  let excessWork = 0
  let workPerMs = 0
  let mixedSlotFree = false
  const roomMs = objectiveMs * ENGINE_ROOM_SHARE
  for (const state of states) {
    if (!state.acceptsCalls(now)) continue
    const slotFree = state.load(now) < state.record.slots
    const ownStage = state.record.stage ?? 'decode'
    if (ownStage === 'decode' && slotFree) mixedSlotFree = true
    if (ownStage !== stage) continue
    const tokensPerMs = state.prefillTokensPerMs(now)
    const targetWork = state.prefillTokensAhead()
    const targetMs = targetWork / tokensPerMs
    backlogWork += targetWork
    excessWork += Math.max(0, targetMs - roomMs) * tokensPerMs
    workPerMs += tokensPerMs
    backlogMs = Math.min(backlogMs, targetMs)
    if (slotFree) freeBacklogMs = Math.min(freeBacklogMs, targetMs)
  }
  return { free: mixedSlotFree && freeBacklogMs <= roomMs, backlogMs: Number.isFinite(backlogMs) ? backlogMs : 0, backlogWork, excessWork, workPerMs }
}

function plainRoom (states: readonly fleet.TargetState[], objectiveMs: number, now: number): types.Room {
  let backlogMs = Infinity
  let backlogWork = 0
  let excessWork = 0
  let workPerMs = 0
  for (const state of states) {
    if (!state.acceptsCalls(now)) continue
    const { slots } = state.record
    backlogWork += state.load(now)
    workPerMs += slots / placement.PLAIN_CALL_MS
    const targetMs = Math.max(0, state.load(now) + 1 - slots) / slots * placement.PLAIN_CALL_MS
    excessWork += Math.max(0, targetMs - objectiveMs) * slots / placement.PLAIN_CALL_MS
    backlogMs = Math.min(backlogMs, targetMs)
  }
  return { free: backlogMs <= objectiveMs, backlogMs: Number.isFinite(backlogMs) ? backlogMs : 0, backlogWork, excessWork, workPerMs }
}
