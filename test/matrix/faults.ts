/** Faults of the environment and how each is injected. */
import { delay } from '../../src/time/index.js'
import type { InjectionPoint, World } from '../support/world.js'

export const FAULTS = [
  'process_killed', 'process_paused', 'partition', 'reports_lag', 'reports_missing', 'engine_crash_in_change', 'key_withdrawn',
  'domain_reclaimed', 'store_down', 'store_slow', 'store_reply_lost', 'lease_lapses_while_paused', 'racing_edits', 'connection_silent'
] as const

export type Fault = typeof FAULTS[number]

/** A pause longer than a lease, in ms. */
const PAUSE_MS = 12_000
const PARTITION_MS = 8_000
const OUTAGE_MS = 12_000
/** Time from the start of a change to the crash of its engine, and duration of the outage, in ms. */
const CRASH_AFTER_MS = 50
const CRASH_DURATION_MS = 3_000

/** A pause long enough for a successor to do all that it may do without the former holder, in ms. */
const LONG_PAUSE_MS = 100_000

/** Notice before targets are reclaimed, in ms. */
const RECLAIM_NOTICE_MS = 3_000

/** Longer than the timeout of platform calls, so that replies arrive too late, in ms. */
const STORE_DELAY_MS = 2_500

/** Steps whose call goes to the platform, and steps whose call goes to an engine and is no generation. */
const PLATFORM_STEPS = /^(claim|lease|intent|close_window|report|place|give_back|edit|publish|join)/
const TARGET_STEPS = /^(order|confirm)/

export const INJECT: Readonly<Record<Fault, (world: World, point: InjectionPoint) => void>> = {
  process_killed: (_world, { proc }) => proc.gate.kill(),
  process_paused: (world, { proc }) => {
    proc.gate.pause()
    world.time.after(PAUSE_MS, () => proc.gate.resume())
  },
  lease_lapses_while_paused: (world, { proc }) => {
    proc.gate.pause()
    proc.lostContactAt ??= world.time.now()
    world.time.after(LONG_PAUSE_MS, () => proc.gate.resume())
  },
  partition: (world, { proc }) => {
    proc.gate.partitioned = true
    for (const connection of proc.connections) if (connection.crossesDomains) connection.stall()
    world.time.after(PARTITION_MS, () => { proc.gate.partitioned = false })
  },
  reports_lag: (world) => { setLoadReports(world, 'lagging') },
  reports_missing: (world) => { setLoadReports(world, 'missing') },
  engine_crash_in_change: (world, { target }) => {
    const { inner } = world.engine(target)
    world.startEngineChange(inner)
    world.time.after(CRASH_AFTER_MS, () => inner.crash())
    world.time.after(CRASH_AFTER_MS + CRASH_DURATION_MS, () => { inner.faults.crashed = false })
  },
  key_withdrawn: (world) => {
    world.edit((set) => ({ ...set, keys: set.keys.map((key) => key.account === 'withdrawn' ? { ...key, withdrawn: true } : key) }))
      .then((at) => world.withdrawals.push({ account: 'withdrawn', at }), () => {})
  },
  domain_reclaimed: (world, { target, proc }) => { reclaim(world, [...world.engines, ...world.plains].find((candidate) => candidate.name === target)?.domain ?? proc.domain) },
  store_down: (world) => { applyFor(world, OUTAGE_MS, (on) => { world.platform.store.faults.down = on }) },
  store_slow: (world) => { applyFor(world, OUTAGE_MS, (on) => { world.platform.store.faults.delayMs = on ? STORE_DELAY_MS : 2 }) },
  store_reply_lost: (world, { step }) => {
    const { store, ordering, reports } = world.platform
    const { faults } = /place|give_back/.test(step) ? ordering : step === 'report' ? reports : store
    faults.loseReplies++
  },
  racing_edits: (world) => { raceEdits(world).catch(() => {}) },
  connection_silent: (world, { step, proc, connection, payload }) => {
    if (PLATFORM_STEPS.test(step)) proc.stallNextPlatformCall = true
    else if (TARGET_STEPS.test(step)) proc.stallNextTargetCall = true
    else if (connection !== undefined && !step.startsWith('settle')) connection.stall()
    else callerConnection(proc, payload).stalled = true
  }
}

/** Ends all active faults; killed processes and reclaimed domains do not come back. */
export function heal (world: World): void {
  world.platform.store.faults.down = false
  world.platform.store.faults.delayMs = 2
  world.platform.store.faults.loseReplies = 0
  world.loadReports = 'fresh'
  for (const proc of world.procs) {
    proc.gate.partitioned = false
    proc.gate.resume()
  }
}

function applyFor (world: World, ms: number, setFault: (on: boolean) => void): void {
  setFault(true)
  world.time.after(ms, () => setFault(false))
}

function setLoadReports (world: World, state: World['loadReports']): void {
  applyFor(world, OUTAGE_MS, (on) => { world.loadReports = on ? state : 'fresh' })
}

function reclaim (world: World, domain: string): void {
  const reclaimed = [...world.engines, ...world.plains].filter((candidate) => candidate.domain === domain)
  const names = new Set(reclaimed.map((located) => located.name))
  world.edit((set) => ({ ...set, targets: set.targets.map((target) => names.has(target.name) ? { ...target, leaving: true } : target) }))
    .then((at) => { for (const target of names) world.leavingTargets.push({ target, at }) }, () => {})
  world.time.after(RECLAIM_NOTICE_MS, () => { for (const { inner } of reclaimed) inner.faults.crashed = true })
}

async function raceEdits (world: World): Promise<void> {
  const setWeight = async (weight: number): Promise<unknown> => await world.editOnce((set) => (
    { ...set, accounts: set.accounts.map((account) => account.name === 'cedar' ? { ...account, weight } : account) }
  ))
  await Promise.all([setWeight(2), setWeight(3)])
  await delay(world.time, 1)
}

/** The connection of the caller whose try the payload belongs to, or else that of the latest try at the entry. */
function callerConnection (proc: InjectionPoint['proc'], payload = ''): { stalled: boolean } {
  const id = /<([^>]+)>/.exec(payload)?.[1] ?? ''
  const connection = proc.callerConnections.get(id) ?? [...proc.callerConnections.values()].at(-1)
  if (connection === undefined) throw new Error('no caller is connected')
  return connection
}
