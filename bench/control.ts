/** Measures the cost of control: store calls, bytes of a configuration change, and the time until it is in force. */
import type { ConfigSet, Key } from '../src/schema/index.js'
import { systemEnv } from '../src/time/index.js'
import { ControlFleet } from '../test/authority/control-fleet.js'
import { exampleSet, Fleet, type FleetProcess } from '../test/config/fleet.js'

/** Bound within which a change must be in force everywhere, in ms (section 3 of the design). */
const PROPAGATION_BOUND_MS = 17_000

/** Time over which calls are counted, in ms of virtual time. */
const COUNTING_MS = 60_000

/** Fleet sizes: the one of today, a medium one, and the target size. */
const SIZES = [{ processes: 4, regions: 1 }, { processes: 50, regions: 2 }, { processes: 550, regions: 7 }]

const clock = systemEnv().clock

await printLeaseCalls()
await printConfigCalls()
await printChangeCost()
await printPropagationTimes()

/** Store calls for leases: the holder renews every 3 s, the next candidate watches, and the others read. */
async function printLeaseCalls (): Promise<void> {
  printHeader('store calls for leases, one region', 'processes', 'scopes', 'writes/s', 'watches/s', 'reads/s', 'calls/s/scope')
  for (const [processes, models] of [[4, 1], [4, 10], [50, 10], [79, 10]] as const) {
    const fleet = new ControlFleet(processNames(processes), withModels(exampleSet(), models))
    await fleet.time.advance(120_000)
    const rates = await countCalls(fleet.store, async () => { await fleet.time.advance(COUNTING_MS) })
    const callsPerSecond = rates.writes + rates.watches + rates.reads
    printRow(processes, fleet.scopes.length, rates.writes, rates.watches, rates.reads, callsPerSecond / fleet.scopes.length)
  }
}

/** Store calls for the configuration; bytes by whether the process watches the store. */
async function printConfigCalls (): Promise<void> {
  printHeader('store calls for the configuration', 'processes', 'regions', 'watchers', 'writes/s', 'watches/s', 'reads/s', 'B/s watcher', 'B/s other')
  for (const { processes, regions } of SIZES) {
    const fleet = new Fleet(processes, regions)
    await fleet.start(exampleSet())
    await fleet.time.advance(10_000)
    const initial = fleet.processes.map((process) => ({ bytes: process.bytes, polls: peerPolls(process) }))
    const rates = await countCalls(fleet.store, async () => { await fleet.time.advance(COUNTING_MS) })
    const bytes = fleet.processes.map((process, index) => (process.bytes - initial[index]!.bytes) / (COUNTING_MS / 1_000))
    const isWatcher = fleet.processes.map((process, index) => peerPolls(process) === initial[index]!.polls)
    const mean = (role: boolean): number => average(bytes.filter((_, index) => isWatcher[index] === role))
    printRow(processes, regions, isWatcher.filter(Boolean).length, rates.writes, rates.watches, rates.reads, mean(true), mean(false))
  }
}

/** Bytes and CPU time of a configuration change at the target size. */
async function printChangeCost (): Promise<void> {
  const set = largeSet()
  const fleet = new Fleet(3, 1)
  const publishedAt = clock.now()
  await fleet.start(set)
  await fleet.time.advanceUntil(() => fleet.generations().every((generation) => generation === 1), 60_000)
  const startCpuMs = clock.now() - publishedAt
  const puller = fleet.processes.find((process) => peerPolls(process) > 0)!
  await fleet.time.advance(1_000)
  const bytesBeforeRestart = puller.bytes
  puller.restart()
  await fleet.time.advance(10_000)
  const coldStartBytes = puller.bytes - bytesBeforeRestart
  const storedBytes = fleet.store.keys('config/').reduce((sum, key) => sum + fleet.store.peek(key)!.value.length, 0)
  printHeader('a change of one key, 18,000 accounts, 36,000 keys, 11,000 targets', 'stored MB', 'cold start MB', 'head KB', 'chunk KB', 'B from a peer', 'CPU ms/process', 'start CPU ms')
  const chunkKeysBefore = new Set(fleet.store.keys('config/chunk/'))
  const pulledBytes: number[] = []
  const cpuMsPerProcess: number[] = []
  for (let change = 1; change <= 5; change++) {
    await fleet.settle(fleet.publish((base) => withKeyWithdrawn(base!, change)))
    const bytesBefore = puller.bytes
    const startedAt = clock.now()
    await fleet.time.advanceUntil(() => fleet.generations().every((generation) => generation === change + 1), 60_000)
    cpuMsPerProcess.push((clock.now() - startedAt) / fleet.processes.length)
    pulledBytes.push(puller.bytes - bytesBefore)
  }
  const chunks = fleet.store.keys('config/chunk/').filter((key) => !chunkKeysBefore.has(key)).map((key) => fleet.store.peek(key)!.value.length)
  if (puller.propagator.current()?.generation !== 6) throw new Error('the restarted process has no configuration')
  printRow(storedBytes / 1e6, coldStartBytes / 1e6, fleet.store.peek('config/head')!.value.length / 1e3, average(chunks) / 1e3, average(pulledBytes), average(cpuMsPerProcess), startCpuMs / fleet.processes.length)
}

/** Time from the write of the head until the change is in force at the last process. */
async function printPropagationTimes (): Promise<void> {
  printHeader('time until a change is in force, 20 changes', 'processes', 'case', 'median s', 'worst s', 'bound s')
  for (const { processes, regions } of SIZES) {
    printRow(processes, 'no fault', ...await propagationTimes(processes, regions, () => {}))
    printRow(processes, 'watchers of a region killed', ...await propagationTimes(processes, regions, killWatchers))
  }
}

async function propagationTimes (processes: number, regions: number, fault: (fleet: Fleet) => void): Promise<[number, number, number]> {
  const fleet = new Fleet(processes, regions)
  await fleet.start(exampleSet())
  await fleet.time.advanceUntil(() => fleet.generations().every((generation) => generation === 1), 30_000)
  const times: number[] = []
  for (let change = 1; change <= 20; change++) {
    await fleet.time.advance(1_000 + 137 * change)
    if (change === 20) fault(fleet)
    const generation = await fleet.settle(fleet.publish((set) => withWeight(set!, change)))
    const publishedAt = fleet.time.now()
    const live = fleet.processes.filter((process) => process.running)
    await fleet.time.advanceUntil(() => live.every((process) => process.propagator.current()?.generation === generation), PROPAGATION_BOUND_MS)
    times.push((fleet.time.now() - publishedAt) / 1_000)
  }
  times.sort((a, b) => a - b)
  return [times[Math.floor(times.length / 2)]!, times.at(-1)!, PROPAGATION_BOUND_MS / 1_000]
}

/** Kills the watchers of a region; the failure detector needs 3 s, and until then the others consider them alive. */
function killWatchers (fleet: Fleet): void {
  const region = fleet.processes[0]!.region
  const watchers = fleet.processes.filter((process) => process.region === region && process.isWatcher)
  for (const watcher of watchers) watcher.kill(3_000)
}

function peerPolls (process: FleetProcess): number {
  return process.metrics.counter('godwitpoint_peer_polls_total')
}

function processNames (count: number): string[] {
  return Array.from({ length: count }, (_, index) => `p${index}`)
}

function withModels (set: ConfigSet, count: number): ConfigSet {
  const model = set.services.find((service) => service.kind === 'model')!
  return { ...set, services: Array.from({ length: count }, (_, index) => ({ ...model, name: `model-${index}` })) }
}

function withWeight (set: ConfigSet, weight: number): ConfigSet {
  return { ...set, accounts: set.accounts.map((account, index) => index === 0 ? { ...account, weight: weight + 1 } : account) }
}

function withKeyWithdrawn (set: ConfigSet, index: number): ConfigSet {
  return { ...set, keys: set.keys.map((key, position) => position === index * 7_000 ? { ...key, withdrawn: true } : key) }
}

/** A configuration of the target size. */
function largeSet (): ConfigSet {
  const set = exampleSet()
  const service = set.services.find((candidate) => candidate.kind === 'model')!.name
  const accounts = Array.from({ length: 18_000 }, (_, index) => ({ name: `account-${index}`, weight: 1 + index % 7 }))
  const keys = Array.from({ length: 36_000 }, (_, index): Key => ({
    id: `k${index.toString(36).padStart(11, '0')}`, account: `account-${index % 18_000}`, digest: index.toString(16).padStart(64, '0'), withdrawn: false
  }))
  const targets = Array.from({ length: 11_000 }, (_, index) => ({
    name: `engine-${index}`, service, domain: set.failure_domains[index % set.failure_domains.length]!.name, url: `http://10.${index >> 16}.${(index >> 8) & 255}.${index & 255}:8000`, price_class: 'standard' as const, checks_fence: index % 2 === 0, leaving: false, ordered: false
  }))
  return { ...set, accounts, keys, targets }
}

interface Rates {
  readonly reads: number
  readonly writes: number
  readonly watches: number
}

async function countCalls (store: Fleet['store'], run: () => Promise<void>): Promise<Rates> {
  const callsBefore = { ...store.calls }
  await run()
  const perSecond = (kind: keyof Rates): number => (store.calls[kind] - callsBefore[kind]) / (COUNTING_MS / 1_000)
  return { reads: perSecond('reads'), writes: perSecond('writes'), watches: perSecond('watches') }
}

function average (values: readonly number[]): number {
  return values.length === 0 ? 0 : values.reduce((a, b) => a + b, 0) / values.length
}

function printHeader (title: string, ...columns: readonly string[]): void {
  console.log(`\n${title}\n${columns.join('\t')}`)
}

function printRow (...values: ReadonlyArray<number | string>): void {
  console.log(values.map((value) => typeof value === 'number' ? String(Math.round(value * 100) / 100) : value).join('\t'))
}
