/** Runs cells of the request protocol: a small load on three entries. */
import { runCaller, submitProbe, type CallerSpec } from '../support/callers.js'
import { EntryProcess } from '../support/entry-process.js'
import type { World } from '../support/world.js'
import { check, type Violation } from './checks.js'
import { heal } from './faults.js'
import type { Cell } from './table.js'

const ENTRY_COUNT = 3

/** Longest duration of a run, in ms of virtual time. */
const RUN_LIMIT_MS = 300_000

/** Time after the end of the faults within which the entries must have recovered, in ms. */
const SETTLE_MS = 6_000

const LOAD: readonly CallerSpec[] = [
  { name: 'a', kind: 'stream', account: 'alder', firstEntry: 0, requests: 3, intervalMs: 200 },
  { name: 'b', kind: 'whole', account: 'birch', firstEntry: 1, requests: 3, intervalMs: 300 },
  { name: 'c', kind: 'stream', account: 'birch', firstEntry: 2, requests: 3, intervalMs: 250 },
  { name: 'd', kind: 'once', account: 'cedar', firstEntry: 0, requests: 4, intervalMs: 150 },
  { name: 'e', kind: 'once', account: 'cedar', firstEntry: 1, requests: 4, intervalMs: 200 },
  { name: 'f', kind: 'read', account: 'alder', firstEntry: 2, requests: 3, intervalMs: 200 },
  { name: 'g', kind: 'open', account: 'open', firstEntry: 1, requests: 3, intervalMs: 300 }
]

/** Uses its key at all entries for longer than the other faults last. */
const WITHDRAWN_KEY_CALLER: CallerSpec = { name: 'w', kind: 'read', account: 'withdrawn', firstEntry: 0, requests: 36, intervalMs: 600 }

/** Runs the load while the faults of the cells are injected. */
export async function runRequests (world: World<EntryProcess>, cells: readonly Cell[]): Promise<Violation[]> {
  world.streamsToBreak = cells.filter((cell) => cell.step === 'resume/model').length
  await world.start(ENTRY_COUNT, (name, domain) => new EntryProcess(world, name, domain))
  const load = cells.some((cell) => cell.fault === 'key_withdrawn') ? [...LOAD, WITHDRAWN_KEY_CALLER] : LOAD
  await advanceUntilSettled(world, load.map((spec) => runCaller(world, spec)))
  heal(world)
  await world.time.advance(SETTLE_MS)
  await advanceUntilSettled(world, world.procs.filter((proc) => proc.gate.alive).flatMap((proc) => submitProbe(world, proc)))
  return check(world)
}

async function advanceUntilSettled (world: World<EntryProcess>, work: ReadonlyArray<Promise<unknown>>): Promise<void> {
  let done = false
  const all = Promise.all(work)
  all.then(() => { done = true }, () => { done = true })
  await world.time.advanceUntil(() => done, RUN_LIMIT_MS)
  await all
}
