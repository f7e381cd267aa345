/** Runs cells of the membership protocol: one entry joins and one leaves while callers use the recommended entries. */
import { delay } from '../../src/time/index.js'
import { refusalOf, submit, type CallerSpec } from '../support/callers.js'
import { EntryProcess } from '../support/entry-process.js'
import type { World } from '../support/world.js'
import { check, type Violation } from './checks.js'
import { heal } from './faults.js'

const ENTRY_COUNT = 3
const CALLER_COUNT = 3
const REQUEST_INTERVAL_MS = 600

/** Time from the start of the load to the join, to the stop and to its end, and from there to the checks, in ms; a stop takes 19 s. */
const JOIN_AT_MS = 2_000
const LEAVE_AT_MS = 4_000
const LOAD_DURATION_MS = 42_000
const SETTLE_MS = 8_000

/** Serves callers while an entry joins, another leaves and the faults are injected. */
export async function runMembership (world: World<EntryProcess>): Promise<Violation[]> {
  const createProc = (name: string, domain: string): EntryProcess => new EntryProcess(world, name, domain)
  const misdirected: string[] = []
  // Only the join of an additional entry is a step, not the start of the first ones.
  const { onStep } = world
  world.onStep = (point) => { if (point.step !== 'join' || world.procs.length > ENTRY_COUNT) onStep(point) }
  await world.start(ENTRY_COUNT, createProc)
  world.time.after(JOIN_AT_MS, () => world.add(createProc))
  world.time.after(LEAVE_AT_MS, () => { world.procs[0]!.stop().catch(() => {}) })
  for (let index = 0; index < CALLER_COUNT; index++) useAdvisedEntries(world, index, misdirected).catch(() => {})
  await world.time.advance(LOAD_DURATION_MS)
  heal(world)
  await world.time.advance(SETTLE_MS)
  const [leaving, , , joined] = world.procs
  const interrupted = world.tries.filter((callerTry) => callerTry.entry === leaving?.name && leaving.gate.alive && (callerTry.outcome === 'broken' || refusalOf(callerTry)?.reason === 'entry_stopping'))
  const isIsolated = joined?.gate.alive === true && !joined.membership.advise(undefined).entries.some((entry) => entry.address === world.procs[1]?.address || !world.procs[1]?.gate.alive)
  return [
    ...check(world),
    ...[...misdirected, ...interrupted.map((callerTry) => `${callerTry.id} at ${callerTry.entry} was ended by a planned stop`)].map((detail) => ({ invariant: 'I11', detail })),
    ...isIsolated ? [{ invariant: 'recovery', detail: 'the entry that joined does not know the others' }] : []
  ]
}

/** A caller that requests the recommended entries and uses them until the advice expires. */
async function useAdvisedEntries (world: World<EntryProcess>, index: number, misdirected: string[]): Promise<void> {
  const spec: CallerSpec = { name: `caller-${index}`, kind: index === 0 ? 'stream' : 'once', account: 'alder', firstEntry: 0, requests: 1, intervalMs: 0 }
  let advisedAddresses: readonly string[] = []
  let adviceExpiresAt = 0
  const loadEndsAt = world.time.now() + LOAD_DURATION_MS
  for (let request = 0; world.time.now() < loadEndsAt; request++) {
    if (world.time.now() >= adviceExpiresAt || advisedAddresses.length === 0) {
      const advisor = world.procs.find((proc, at) => proc.gate.running && !proc.stopsAccepting && at >= request % ENTRY_COUNT) ?? world.procs.find((proc) => proc.gate.running && !proc.stopsAccepting)
      const advice = advisor?.membership.advise(undefined)
      advisedAddresses = advice?.entries.map((entry) => entry.address) ?? []
      adviceExpiresAt = world.time.now() + (advice?.ttl_ms ?? 0)
    }
    const proc = world.procs.find((candidate) => candidate.address === advisedAddresses[request % advisedAddresses.length])
    if (proc?.stopsAccepting === true) misdirected.push(`${spec.name} was sent to ${proc.name} after it had stopped`)
    else if (proc?.gate.alive === true) await submit(world, proc, spec, `${spec.name}-${request}`, 0)
    await delay(world.time, REQUEST_INTERVAL_MS)
  }
}
