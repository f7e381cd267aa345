/** Runs cells of the usage protocol: three entries that count, replicate and flush usage, and one usage scope. */
import { UsageDuty } from '../../src/daemon/duties.js'
import { UsageChild } from '../../src/daemon/usage-child.js'
import { SILENT_LOGGER } from '../../src/log/index.js'
import { StoreHealth, UsageCounters } from '../../src/usage/index.js'
import { ControlProcess } from '../support/control-process.js'
import type { World } from '../support/world.js'
import type { Violation } from './checks.js'
import { billedCalls, checkUsage, type Ledger } from './checks-control.js'
import { heal } from './faults.js'
import type { Cell } from './table.js'

const ENTRY_COUNT = 3
const SCOPE = 'r1/usage/0'
const WINDOW_MS = 10_000
const FLUSH_INTERVAL_MS = 5_000
const COUNT_INTERVAL_MS = 300

/** Time in which faults are injected and end, in ms; it is longer when a holder is paused for many windows. */
const FAULT_PHASE_MS = 45_000
const LONG_FAULT_PHASE_MS = 130_000

/** Time within which all windows must be closed and reported, and time in which late reports would arrive, in ms. */
const COMPLETION_MS = 160_000
const LATE_REPORT_MS = 15_000

/** Counts calls while the faults are injected, and checks the bills. */
export async function runUsage (world: World<ControlProcess>, cells: readonly Cell[]): Promise<Violation[]> {
  const ledger: Ledger = { counted: [], tolerableLossMs: 1_000 }
  await world.start(ENTRY_COUNT, (name, domain) => createUsageProcess(world, name, domain, ledger))
  await world.time.advance(cells.some((cell) => cell.fault === 'lease_lapses_while_paused') ? LONG_FAULT_PHASE_MS : FAULT_PHASE_MS)
  heal(world)
  ledger.closed = true
  await world.time.advanceUntil(() => billedCalls(world) >= ledger.counted.length, COMPLETION_MS).catch(() => {})
  await world.time.advance(LATE_REPORT_MS)
  return checkUsage(world, ledger)
}

function createUsageProcess (world: World<ControlProcess>, name: string, domain: string, ledger: Ledger): ControlProcess {
  const counters = new UsageCounters()
  const health = new StoreHealth()
  const proc = new ControlProcess(world, name, domain, SCOPE, ({ env, metrics, platform: { store, reports }, membership: { membership } }) => (_spec, services) => new UsageDuty({
    clock: env.clock,
    log: SILENT_LOGGER,
    alive: () => membership.members().filter((member) => member.state === 'alive' || member.state === 'leaving').map((member) => member.incarnation),
    createRunner: (sender) => services.createRunner(sender),
    metrics,
    store,
    reports,
    health,
    reporter: name,
    shard: 0,
    windowMs: WINDOW_MS
  }))
  const { env, metrics, peers, platform: { store }, membership: { membership } } = proc
  const members = {
    alive: () => membership.members().filter((member) => member.id !== name && member.state === 'alive').map(({ incarnation, domain, peerAddress }) => ({ incarnation, domain, address: peerAddress })),
    isTerminated: (incarnation: string) => membership.terminationEvidence(incarnation) !== undefined
  }
  const owner = { incarnation: name, domain }
  new UsageChild({ env, metrics, peers, store, members, owner, counters, health, log: SILENT_LOGGER, windowMs: WINDOW_MS, flushMs: FLUSH_INTERVAL_MS, shards: 1 }).start()
  env.timers.every(COUNT_INTERVAL_MS, () => {
    if (ledger.closed === true) return
    counters.add('alder', 'talk', { requests: 1, promptTokens: 10, outputTokens: 3 })
    ledger.counted.push({ at: world.time.now(), by: name })
  })
  return proc
}
