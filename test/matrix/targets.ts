/** Runs cells of the targets protocol: one spending scope, with demand that rises and falls. */
import { SpendingDuty } from '../../src/daemon/duties.js'
import { SILENT_LOGGER } from '../../src/log/index.js'
import { TargetOrderSender } from '../../src/spending/index.js'
import { DOMAINS, MODEL } from '../support/build.js'
import { ControlProcess } from '../support/control-process.js'
import type { World } from '../support/world.js'
import type { Violation } from './checks.js'
import { checkTargets } from './checks-control.js'
import { heal } from './faults.js'
import type { Cell } from './table.js'

const CANDIDATE_COUNT = 3
const SCOPE = `r1/spending/${MODEL}`

/**
 * Time of high demand, and time of low demand until targets are released, in ms. The planner keeps the peak of 10 min,
 * then waits for 10 min of low use; a new holder starts over.
 */
const HIGH_DEMAND_MS = 150_000
const LOW_DEMAND_MS = 1_300_000

/** Time in which delayed copies of orders would arrive, in ms. */
const LATE_COPY_MS = 100_000

const LIMITS = {
  minTargets: 3, maxTargets: 9, minSurvivingShare: 0.8, budgetPerHour: 100, domains: DOMAINS, prices: { standard: 4, preemptible: 1.2 }, deliveryMs: 120_000
}

/** Demand during a run, in busy targets. */
export interface Demand {
  busyTargets: number
}

/** Serves high, then low demand while the faults are injected. */
export async function runTargets (world: World<ControlProcess>, cells: readonly Cell[]): Promise<Violation[]> {
  const demand: Demand = { busyTargets: 3 }
  // This protocol does not depend on membership, and its pings would take most of the time of the run.
  world.joinOnStart = false
  await world.start(CANDIDATE_COUNT, (name, domain) => new ControlProcess(world, name, domain, SCOPE, (proc) => (_spec, services) => {
    const { env: { clock }, metrics, platform: { ordering } } = proc
    const sender = new TargetOrderSender(ordering, metrics)
    return new SpendingDuty({
      clock,
      metrics,
      ordering,
      sender,
      log: SILENT_LOGGER,
      service: MODEL,
      runner: services.createRunner(sender),
      view: {
        declaredTargets: () => DOMAINS.map((domain) => ({ name: `${MODEL}-${domain}`, domain, priceClass: 'standard', leaving: false })),
        runningRequests: () => 0,
        busyTargets: () => demand.busyTargets,
        limits: () => LIMITS,
        setLeaving: (targets) => { if (targets.some((target) => target.leaveByWallMs === undefined)) proc.reachDutyStep('drain') }
      }
    })
  }))
  await world.time.advance(HIGH_DEMAND_MS)
  demand.busyTargets = 0.5
  await world.time.advanceUntil(() => [...world.platform.ordering.targets.values()].every((target) => target.state === 'released'), LOW_DEMAND_MS * (1 + cells.length)).catch(() => {})
  if (cells.some((cell) => cell.fault === 'lease_lapses_while_paused')) await world.time.advance(LATE_COPY_MS)
  heal(world)
  return checkTargets(world, LIMITS.maxTargets - DOMAINS.length)
}
