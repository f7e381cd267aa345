/** Store calls of usage accounting and its scope, measured with the real tasks in virtual time, and sizes of objects at the target size. */
import { ScopeTask, SendGate } from '../../src/authority/index.js'
import { UsageChild } from '../../src/daemon/usage-child.js'
import { UsageDuty } from '../../src/daemon/duties.js'
import { Err, Ok, type Result } from '../../src/errors/index.js'
import { createLogger } from '../../src/log/index.js'
import { Metrics } from '../../src/metrics/index.js'
import { OrderRunner } from '../../src/orders/index.js'
import type { PeerError, PeerHandler, Peers } from '../../src/peer/index.js'
import { MemoryPlatform, type MemoryStore } from '../../src/standin/index.js'
import { delay, SeededRandom, VirtualTime } from '../../src/time/index.js'
import { encode, EntryUsage, FinalUsage, planClose, REPORT_BATCH_ACCOUNTS, StoreHealth, UsageCounters, type VersionedUsage } from '../../src/usage/index.js'

const log = createLogger('bench', 'error', process.stderr)
const SERVICE = 'inspect-llm'

interface LoadSpec { readonly entries: number, readonly accounts: number, readonly windowMs: number, readonly flushMs: number, readonly windows: number }

/** Counts store calls per window at the size of today, and computes those at the target size from measured object sizes. */
export async function runUsageStore (): Promise<object> {
  const demo = await countCalls({ entries: 4, accounts: 8, windowMs: 60_000, flushMs: 5_000, windows: 10 })
  const hourly = await countCalls({ entries: 4, accounts: 8, windowMs: 3_600_000, flushMs: 5_000, windows: 1 })
  // A tenth of the accounts of the target size: the number of report writes depends on accounts, not on entries.
  const batch = await countCalls({ entries: 4, accounts: 1_800, windowMs: 600_000, flushMs: 30_000, windows: 2 })
  return { today_demo_window_60_s: demo, today_window_1_h: hourly, accounts_1800: batch, target: targetSize() }
}

async function countCalls (spec: LoadSpec): Promise<object> {
  const time = new VirtualTime()
  const platform = new MemoryPlatform(time.env(1))
  const random = new SeededRandom(9)
  const members = new Map<string, Map<string, PeerHandler>>()
  const counters = Array.from({ length: spec.entries }, (_, index) => startEntry(`e${index}`, time, platform.store, members, spec))
  startLeaseHolder(time, platform, [...members.keys()], spec)
  time.every(500, () => {
    for (const counter of counters) counter.add(`account-${Math.floor(random.next() * spec.accounts)}`, SERVICE, { requests: 1, promptTokens: 500, outputTokens: 80 })
  })
  if (spec.accounts > 100) for (let index = 0; index < spec.accounts; index++) counters[0]!.add(`account-${index}`, SERVICE, { requests: 1, promptTokens: 1, outputTokens: 1 })
  await time.advance(2 * spec.windowMs - time.wallTimeMs() % spec.windowMs)
  const initialCalls = { ...platform.store.calls, reports: platform.reports.received.length }
  await time.advance(spec.windows * spec.windowMs)
  const { calls } = platform.store
  const perWindow = (after: number, start: number): number => Math.round((after - start) / spec.windows)
  return {
    writes_per_window: perWindow(calls.writes, initialCalls.writes),
    reads_per_window: perWindow(calls.reads, initialCalls.reads),
    reports_per_window: perWindow(platform.reports.received.length, initialCalls.reports),
    flush_writes_expected: Math.round(spec.entries * spec.windowMs / spec.flushMs)
  }
}

function startEntry (id: string, time: VirtualTime, store: MemoryStore, members: Map<string, Map<string, PeerHandler>>, spec: LoadSpec): UsageCounters {
  const counters = new UsageCounters()
  const handlers = new Map<string, PeerHandler>()
  members.set(id, handlers)
  const peers: Peers = {
    handle: (method, handler) => { handlers.set(method, handler) },
    async call<T> (address: string, method: string, params: unknown): Promise<Result<T, PeerError>> {
      await delay(time, 3)
      const handler = members.get(address)?.get(method)
      return handler === undefined ? Err({ kind: 'refused', message: 'no such entry' }) : Ok(await handler(params) as T)
    }
  }
  new UsageChild({
    env: time.env(2),
    log,
    metrics: new Metrics(),
    store,
    peers,
    counters,
    owner: { incarnation: id, domain: id },
    health: new StoreHealth(),
    windowMs: spec.windowMs,
    flushMs: spec.flushMs,
    shards: 1,
    members: {
      alive: () => [...members.keys()].filter((other) => other !== id).map((other) => ({ incarnation: other, address: other, domain: other })),
      isTerminated: () => false
    }
  }).start()
  return counters
}

function startLeaseHolder (time: VirtualTime, platform: MemoryPlatform, alive: readonly string[], spec: LoadSpec): void {
  const env = time.env(3)
  const metrics = new Metrics()
  const gate = new SendGate()
  const common = { env, metrics, log, gate, incarnation: 'holder' }
  const duty = new UsageDuty({
    clock: time,
    store: platform.store,
    metrics,
    health: new StoreHealth(),
    windowMs: spec.windowMs,
    shard: 0,
    alive: () => alive,
    log,
    reports: platform.reports,
    reporter: 'holder',
    createRunner: (sender) => new OrderRunner({ ...common, sender, retirement: { isRetired: async () => true } })
  })
  new ScopeTask({ ...common, store: platform.store, address: 'holder', rankOf: () => 0 }, 'r/usage/0', duty).start()
}

/** Sizes of the objects of one shard when each of 550 entries serves each of 18,000 accounts, which use 1.5 services each. */
function targetSize (): object {
  const shards = 8
  const accounts = 18_000 / shards
  const rows = Array.from({ length: accounts * 1.5 }, (_, index) => ({
    account: `client-account-${10_000 + index % accounts}`, service: index < accounts ? 'inspect-llm' : 'desk-assistant', requests: 3_000_000, prompt_tokens: 6_000_000_000, output_tokens: 300_000_000
  }))
  const records = Array.from({ length: 550 }, (_, index): VersionedUsage => (
    { version: index, usage: { incarnation: `entry-${index}-0a1b2c3d`, through: 9, seq: 9, state: 'open', rows: index < 2 ? rows : [] } }
  ))
  const plan = planClose({ window: 9, shard: 0, previous: undefined, records, alive: [], graceOver: true, now: 0, late: undefined })
  if (plan.kind !== 'close') throw new Error(`plan is ${plan.kind}`)
  const final = encode(FinalUsage, { ...plan.record, retired: plan.record.totals })
  return {
    shards,
    entry_object_bytes: encode(EntryUsage, records[0]!.usage).length,
    final_object_bytes: final.length,
    flush_writes_per_s_at_30_s: Math.round(550 * shards / 30),
    flush_writes_per_s_at_60_s: Math.round(550 * shards / 60),
    report_writes_per_window_one_intent_an_account: 18_000 * 2,
    report_writes_per_window_batched: shards * Math.ceil(accounts / REPORT_BATCH_ACCOUNTS) * 2
  }
}
