/**
 * Measures fair sharing and membership: the service of the worst-served account compared with first come, first served,
 * and traffic and CPU cost as accounts and entries grow. Steps the components directly, without sockets. Prints one JSON object.
 */
import * as v8 from 'node:v8'
import * as vm from 'node:vm'
import { FairAdmission, ShareExchange, ShareCoordinator, type CoordinatorEntry, type QueueLimits, type Ticket } from '../src/admission/index.js'
import { Membership, ADVISED_WITHIN_MS, PROBE_INTERVAL_MS, type MemberRecord } from '../src/membership/index.js'
import { SeededRandom, SystemClock, VirtualTime, type Random, type Timers } from '../src/time/index.js'
import { REQUEST_MS, ShareSim, REQUEST_WORK } from '../test/admission/share-sim.js'

const clock = new SystemClock()
const ACCOUNT_COUNTS = [8, 1_000, 18_000]
const ENTRY_COUNTS = [4, 50, 550]
const REGION_COUNT = 7
const SERVICE_COUNT = 10
/** Requests per second of one entry: 23,000 over 550 entries. */
const REQUESTS_PER_SECOND = 42
const SIMULATED_SECONDS = 20
const NO_LIMITS: QueueLimits = { account: 1e6, service: 1e6, entry: 1e6 }

/** Work of the worst-served account as a ratio of its fair share, while one account floods four entries. */
async function worstServed (fcfs: boolean): Promise<number> {
  const slots = 16
  const limits = { account: fcfs ? 512 : 64, service: 512, entry: 4_096 }
  const sim = new ShareSim({ entries: 4, slots, fcfs, limits })
  for (let entry = 0; entry < 4; entry++) sim.load('flood', entry, 64)
  for (let index = 0; index < 7; index++) sim.load(`small-${index}`, index % 4, 4)
  await sim.time.advance(10_000)
  const workBefore = sim.snapshot()
  await sim.time.advance(60_000)
  const dueWork = slots * REQUEST_WORK / REQUEST_MS * 60_000 / 8
  return Math.min(...Array.from({ length: 7 }, (_, index) => sim.gain(`small-${index}`, workBefore) / dueWork))
}

interface ExchangeNode {
  readonly admission: FairAdmission
  readonly exchange: ShareExchange
  readonly coordinator: ShareCoordinator
  bytes: number
  messages: number
}

function createExchangeNodes (count: number, time: VirtualTime): ExchangeNode[] {
  const coordinators: CoordinatorEntry[] = Array.from({ length: count }, (_, index) => ({ id: `e${index}`, peerAddress: String(index) }))
  return coordinators.map(({ id }) => {
    const admission = new FairAdmission(time.env(1), NO_LIMITS)
    const exchange = new ShareExchange(admission, { id, incarnation: `${id}-1a2b3c4d`, epoch: 1_800_000_000_000 })
    exchange.setCoordinators(coordinators, count)
    const coordinator = new ShareCoordinator(`${id}-1a2b3c4d`)
    for (let service = 0; service < SERVICE_COUNT; service++) {
      exchange.setTotalSlots(`model-${service}`, 400)
      coordinator.slots.setTotalSlots(`model-${service}`, 400)
    }
    return { admission, exchange, coordinator, bytes: 0, messages: 0 }
  })
}

function addSecondOfWork (node: ExchangeNode, accounts: number, backlog: boolean, random: Random, now: number): void {
  for (let count = 0; count < REQUESTS_PER_SECOND; count++) {
    const account = `account-${Math.floor(accounts * random.next() ** 2)}`
    const queue = node.admission.queueOf(`model-${Math.floor(SERVICE_COUNT * random.next())}`)
    const state = queue.account(account, 1)
    queue.charge(state, 300 + Math.floor(700 * random.next()), 0)
    if (backlog) queue.push(state, { req: { id: '', service: queue.name, account, weight: 1, work: 500, deadlineAt: 0 }, settle: () => {}, cancel: () => {}, settled: false }, now)
  }
}

function exchangeSecond (nodes: readonly ExchangeNode[], node: ExchangeNode, now: number): void {
  for (const { coordinator, report } of node.exchange.createReports(now)) {
    const target = nodes[Number(coordinator.peerAddress)]!
    const reply = target.coordinator.apply(report, now)
    if (reply === undefined) throw new Error('report refused')
    node.exchange.applyReply(report, reply, now)
    if (target === node) continue
    node.bytes += JSON.stringify({ jsonrpc: '2.0', id: 1_000, method: 'share.report', params: report }).length
    target.bytes += JSON.stringify({ jsonrpc: '2.0', id: 1_000, result: reply }).length
    node.messages++
    target.messages++
  }
}

function exchangeCost (accounts: number, entries: number, backlog: boolean): object {
  const time = new VirtualTime()
  const random = new SeededRandom(9)
  const entriesPerRegion = entries < REGION_COUNT ? entries : Math.ceil(entries / REGION_COUNT)
  const nodes = createExchangeNodes(entriesPerRegion, time)
  let cpuMs = 0
  for (let second = 1; second <= SIMULATED_SECONDS; second++) {
    for (const node of nodes) addSecondOfWork(node, accounts, backlog, random, second * 1_000)
    const startedAt = clock.now()
    for (const node of nodes) exchangeSecond(nodes, node, second * 1_000)
    cpuMs += clock.now() - startedAt
  }
  const perSecond = (valueOf: (node: ExchangeNode) => number): number[] => nodes.map((node) => Math.round(valueOf(node) / SIMULATED_SECONDS * 10) / 10)
  const mean = (values: readonly number[]): number => Math.round(values.reduce((sum, value) => sum + value, 0) / values.length * 10) / 10
  return {
    accounts,
    entries,
    entries_in_region: entriesPerRegion,
    backlogged: backlog,
    messages_out_per_s: mean(perSecond((node) => node.messages)),
    bytes_out_per_s: mean(perSecond((node) => node.bytes)),
    bytes_out_per_s_busiest: Math.max(...perSecond((node) => node.bytes)),
    cpu_percent: Math.round(cpuMs / nodes.length / SIMULATED_SECONDS / 10 * 1_000) / 1_000
  }
}

/** Time of one request through admission while every account has waiting requests, compared with a scan of all accounts per decision. */
async function decisionCost (accounts: number): Promise<object> {
  const timers: Timers = { after: () => NO_TIMER, every: () => NO_TIMER }
  const admission = new FairAdmission({ clock, timers, random: new SeededRandom(1) }, NO_LIMITS)
  const queue = admission.queueOf('s')
  const roundCount = 20_000
  const tickets: Ticket[] = []
  const enqueue = (index: number): void => {
    const req = { id: 'r', service: 's', account: `account-${index % accounts}`, weight: 1, work: 10, deadlineAt: 1e12 }
    admission.enter(req, new AbortController().signal).then((outcome) => { tickets.push(outcome.unwrap()) }, () => {})
  }
  for (let index = 0; index <= 2 * accounts; index++) enqueue(index)
  const startedAt = clock.now()
  for (let round = 0; round < roundCount; round++) {
    while (tickets.length === 0) await Promise.resolve()
    const ticket = tickets.pop()!
    ticket.charge(10)
    enqueue(round)
    ticket.release()
  }
  const requestUs = (clock.now() - startedAt) * 1_000 / roundCount
  const scanStartedAt = clock.now()
  for (let round = 0; round < 200; round++) [...queue.accounts.values()].reduce((best, next) => next.key < best.key ? next : best)
  const scanUs = (clock.now() - scanStartedAt) * 1_000 / 200
  return { accounts, admit_charge_release_us: round3(requestUs), scan_us: round3(scanUs), charge_us: round3(chargeCost(queue)) }
}

const NO_TIMER: Disposable = { [Symbol.dispose]: () => {} }

function chargeCost (queue: ReturnType<FairAdmission['queueOf']>): number {
  const account = queue.account('account-0')
  account.reserved = 1e9
  const startedAt = clock.now()
  for (let count = 0; count < 100_000; count++) queue.charge(account, 4, 4)
  return (clock.now() - startedAt) * 1_000 / 100_000
}

function memoryPerAccount (): object {
  v8.setFlagsFromString('--expose-gc')
  const gc = vm.runInNewContext('gc') as () => void
  const count = 180_000
  const heapUsed = (): number => { gc(); return process.memoryUsage().heapUsed }
  const heapBefore = heapUsed()
  const admission = new FairAdmission(new VirtualTime().env(1))
  for (let index = 0; index < count; index++) admission.queueOf(`s${index % 10}`).account(`account-${Math.floor(index / 10)}`, 1)
  const heapWithAccounts = heapUsed()
  const coordinator = new ShareCoordinator('h')
  for (let index = 0; index < count; index++) {
    coordinator.apply({ id: 'e', incarnation: 'e1', epoch: 1, seq: index, rows: { [`s${index % 10}`]: [[`account-${Math.floor(index / 10)}`, 1, 0, 0]] } }, 0)
  }
  const heapWithSums = heapUsed()
  return { entry_bytes: Math.round((heapWithAccounts - heapBefore) / count), home_bytes_with_one_reporter: Math.round((heapWithSums - heapWithAccounts) / count), kept: admission.rows().length === coordinator.accountCount }
}

async function membershipCost (entries: number): Promise<object> {
  const time = new VirtualTime()
  const records = Array.from({ length: entries }, (_, index): MemberRecord => ({
    id: `entry-${index}`, incarnation: `entry-${index}-1a2b3c4d`, epoch: 1_800_000_000_000, version: 0, state: 'alive', address: `10.0.${index >> 8}.${index & 255}:8080`, peer: String(index), domain: `domain-${index % 16}`, region: `region-${index % REGION_COUNT}`
  }))
  const nodes = records.map((record, index) => new Membership(time.env(index + 1), record))
  for (const node of nodes) node.handleSyncRes({ digest: '', records })
  const warmUpTicks = 20
  const ticks = 32
  let cpuMs = 0
  let bytes = 0
  for (let tick = 0; tick < ticks; tick++) {
    await time.advance(PROBE_INTERVAL_MS)
    const startedAt = clock.now()
    for (const node of nodes) {
      const sent = exchangePings(node, nodes, time)
      if (tick >= warmUpTicks) bytes += sent
    }
    if (tick >= warmUpTicks) cpuMs += clock.now() - startedAt
  }
  const seconds = (ticks - warmUpTicks) * PROBE_INTERVAL_MS / 1_000
  const contactAgesMs = nodes.flatMap((node) => node.members().map((member) => time.now() - member.lastContactMs))
  return {
    entries,
    messages_out_per_s: (Math.min(3, entries - 1)) * 2 * 1_000 / PROBE_INTERVAL_MS,
    bytes_out_per_s: Math.round(bytes / entries / seconds),
    cpu_percent: round3(cpuMs / entries / seconds / 10),
    heard_within_3_s: round3(contactAgesMs.filter((age) => age <= ADVISED_WITHIN_MS).length / contactAgesMs.length)
  }
}

function exchangePings (node: Membership, nodes: readonly Membership[], time: VirtualTime): number {
  let bytes = 0
  for (const peer of node.startPings()) {
    const ping = JSON.stringify(node.buildPing(peer))
    const ack = JSON.stringify(nodes[Number(peer)]!.handlePing(JSON.parse(ping)))
    node.handleAck(peer, JSON.parse(ack), time.now())
    bytes += ping.length + ack.length
  }
  return bytes
}

function round3 (value: number): number {
  return Math.round(value * 1_000) / 1_000
}

async function main (): Promise<void> {
  const worst = { fair: round3(await worstServed(false)), fcfs: round3(await worstServed(true)) }
  const exchange = ENTRY_COUNTS.flatMap((entries) => ACCOUNT_COUNTS.map((accounts) => exchangeCost(accounts, entries, false)))
  exchange.push(exchangeCost(18_000, 550, true))
  const decisions: object[] = []
  for (const accounts of ACCOUNT_COUNTS) decisions.push(await decisionCost(accounts))
  const membership: object[] = []
  for (const entries of ENTRY_COUNTS) membership.push(await membershipCost(entries))
  const result = { worst_served_over_due: worst, exchange, decisions, memory_per_account: memoryPerAccount(), membership }
  process.stdout.write(JSON.stringify(result, null, 1) + '\n')
}

await main()
