/** Runs cells of one protocol: builds a world, injects the faults at their steps and checks the invariants. */
import type { EntryProcess } from '../support/entry-process.js'
import type { ControlProcess } from '../support/control-process.js'
import type { Variant } from '../support/variant.js'
import { World } from '../support/world.js'
import type { Violation } from './checks.js'
import { runConfiguration, type ConfigProcess } from './configuration.js'
import { INJECT, type Fault } from './faults.js'
import { runMembership } from './membership.js'
import { runOrders } from './orders.js'
import { runRequests } from './request.js'
import type { Cell, Protocol } from './table.js'
import { runTargets } from './targets.js'
import { runUsage } from './usage.js'

/** Outcome of a run. */
export interface Outcome {
  readonly cells: readonly Cell[]
  readonly seed: number
  readonly violations: readonly Violation[]
  /** Cells whose step was not reached. */
  readonly unreached: readonly Cell[]
}

/** Time from which faults may be injected, in ms; the processes have started by then. */
const PROCESSES_START_MS = 1_500

type Runner = (world: World, cells: readonly Cell[]) => Promise<Violation[]>

const RUNNERS: Readonly<Record<Protocol, Runner>> = {
  membership: (world) => runMembership(world as World<EntryProcess>),
  configuration: (world) => runConfiguration(world as World<ConfigProcess>),
  request: (world, cells) => runRequests(world as World<EntryProcess>, cells),
  orders: (world, cells) => runOrders(world as World<ControlProcess>, cells),
  targets: (world, cells) => runTargets(world as World<ControlProcess>, cells),
  usage: (world, cells) => runUsage(world as World<ControlProcess>, cells)
}

/** Runs the cells together in one world. */
export async function runCells (cells: readonly Cell[], seed: number, variant: Variant = {}): Promise<Outcome> {
  using _patch = variant.patch?.()
  const world = new World(seed, variant)
  const pending = [...cells]
  world.onStep = (point) => {
    const index = pending.findIndex((cell) => cell.step === point.step)
    if (index >= 0) INJECT[pending.splice(index, 1)[0]!.fault](world, point)
  }
  const violations = await RUNNERS[cells[0]?.protocol ?? 'request'](world, cells)
  return { cells, seed, violations, unreached: pending }
}

/** A fault at one process; `at` is in ms after the start, `proc` is the index of the process. */
export interface TimedFault {
  readonly at: number
  readonly proc: number
  readonly fault: Fault
}

/** Runs a protocol with faults at given times; the last live process is never killed. */
export async function runSchedule (protocol: Protocol, schedule: readonly TimedFault[], seed: number): Promise<readonly Violation[]> {
  const world = new World(seed)
  for (const { at, proc: index, fault } of schedule) {
    world.time.after(PROCESSES_START_MS + at, () => {
      const proc = world.procs[index]
      const isLastAlive = world.procs.filter((other) => other.gate.alive).length === 1
      if (proc !== undefined && !(isLastAlive && fault === 'process_killed')) INJECT[fault](world, { step: 'any', proc })
    })
  }
  return await RUNNERS[protocol](world, schedule.map(({ fault }) => ({ protocol, step: 'any', fault })))
}
