/** Runs cells of the usage protocol: three entries that count, replicate and flush, and one usage scope. */
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

const ENTRIES = 3
const SCOPE = 'r1/usage/0'
const WINDOW_MS = 10_000
const FLUSH_MS = 5_000
const COUNT_MS = 300

/** Time in which faults are injected and end, in ms; longer when a holder is paused for many windows. */
const FAULTS_MS = 45_000
const LAPSE_MS = 130_000

/** Time for all windows to be closed and reported, in ms, and time in which late reports would arrive. */
const FINISH_MS = 160_000
const LATE_MS = 15_000

/** Counts while the faults are injected. */
export async function runUsage (world: World<ControlProcess>, cells: readonly Cell[]): Promise<Violation[]> {
  const ledger: Ledger = { counted: [], lossMs: 1_000 }
  await world.start(ENTRIES, (name, domain) => withUsage(world, name, domain, ledger))
  await world.time.advance(cells.some((cell) => cell.fault === 'lease_lapses_while_paused') ? LAPSE_MS : FAULTS_MS)
  heal(world)
  ledger.closed = true
  await world.time.advanceUntil(() => billedCalls(world) >= ledger.counted.length, FINISH_MS).catch(() => {})
  await world.time.advance(LATE_MS)
  return checkUsage(world, ledger)
}

function withUsage (world: World<ControlProcess>, name: string, domain: string, ledger: Ledger): ControlProcess {
  const counters = new UsageCounters()
  const health = new StoreHealth()
  const proc = new ControlProcess(world, name, domain, SCOPE, ({ env, metrics, platform: { store, reports }, membership: { membership } }) => (_spec, tools) => new UsageDuty({
    clock: env.clock,
    log: SILENT_LOGGER,
    alive: () => membership.members().filter((member) => member.state === 'alive' || member.state === 'leaving').map((member) => member.incarnation),
    createRunner: (sender) => tools.createRunner(sender),
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
  new UsageChild({ env, metrics, peers, store, members, owner, counters, health, log: SILENT_LOGGER, windowMs: WINDOW_MS, flushMs: FLUSH_MS, shards: 1 }).start()
  env.timers.every(COUNT_MS, () => {
    if (ledger.closed === true) return
    counters.add('alder', 'talk', { requests: 1, promptTokens: 10, outputTokens: 3 })
    ledger.counted.push({ at: world.time.now(), by: name })
  })
  return proc
}
