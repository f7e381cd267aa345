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

/** What the room of a pool is read from. */
export interface RoomInputs {
  /** Targets of the service. */
  readonly states: readonly fleet.TargetState[]
  /** Highest number of calls that this gateway may have in flight at one target. */
  readonly maxRunning: number
  /** Shortest objective of the calls that the service serves, in ms. */
  readonly objectiveMs: number
}

/** Room of a pool. */
export function readRoom ({ stage }: Pool, inputs: RoomInputs, now: number): types.Room {
  const states = inputs.states.filter((state) => state.acceptsCalls(now))
  return stage === undefined ? plainRoom(states, inputs, now) : engineRoom(stage, states, inputs, now)
}

// After a prefill at a prefill-only engine, a mixed one needs a free slot too.
function engineRoom (stage: serving.Stage, states: readonly fleet.TargetState[], inputs: RoomInputs, now: number): types.Room {
  const sum = new RoomSum(inputs.objectiveMs * ENGINE_ROOM_SHARE)
  let mixedSlotFree = false
  for (const state of states) {
    const slotFree = state.running < inputs.maxRunning && state.load(now) < state.record.slots
    const ownStage = state.record.stage ?? 'decode'
    if (ownStage === 'decode' && slotFree) mixedSlotFree = true
    if (ownStage === stage) sum.add(state.prefillTokensAhead(), state.prefillTokensPerMs(now), slotFree)
  }
  return { ...sum.toRoom(), free: mixedSlotFree && sum.free }
}

function plainRoom (states: readonly fleet.TargetState[], inputs: RoomInputs, now: number): types.Room {
  const sum = new RoomSum(inputs.objectiveMs)
  for (const state of states) {
    const { slots } = state.record
    sum.add(Math.max(0, state.load(now) + 1 - slots), slots / placement.PLAIN_CALL_MS, state.running < inputs.maxRunning)
  }
  return sum.toRoom()
}

/** Adds up the backlogs of the targets of a pool; a target has room up to a backlog of `roomMs`. */
class RoomSum {
  free = false
  private shortestMs = Infinity
  private backlogWork = 0
  private excessWork = 0
  private workPerMs = 0

  constructor (private readonly roomMs: number) {}

  /** Adds a target that takes calls; `slotFree` tells whether it would take one more now. */
  add (work: number, workPerMs: number, slotFree: boolean): void {
    const ms = work / workPerMs
    if (slotFree && ms <= this.roomMs) this.free = true
    this.shortestMs = Math.min(this.shortestMs, ms)
    this.backlogWork += work
    this.excessWork += Math.max(0, ms - this.roomMs) * workPerMs
    this.workPerMs += workPerMs
  }

  toRoom (): types.Room {
    const { free, shortestMs, backlogWork, excessWork, workPerMs } = this
    return { free, backlogMs: Number.isFinite(shortestMs) ? shortestMs : 0, backlogWork, excessWork, workPerMs }
  }
}
