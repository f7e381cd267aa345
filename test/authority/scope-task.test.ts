import * as chai from 'chai'
import { applyLease, mayActAt, newLease, type ScopeHandle, type ScopeTask } from '../../src/authority/index.js'
import { acquiredRecord, releasedRecord } from '../../src/authority/lease.js'
import type { ScopeRecord } from '../../src/schema/index.js'
import { MemoryStore } from '../../src/standin/index.js'
import { VirtualTime } from '../../src/time/index.js'
import { TestProcess, type ProcessOptions } from './process.js'

const SCOPE = 'hanoi-west/roles/desk-assistant'

describe('ScopeTask', () => {
  it('never lets two holders act at the same time, at whichever point a holder is paused', async () => {
    const pausePoints = (await runWithPause(-1, 0)).pausePoints
    chai.expect(pausePoints).to.be.above(20)
    for (let point = 0; point < pausePoints; point++) {
      const { overlaps, staleActs, actingFences } = await runWithPause(point, 15_000)
      chai.expect({ point, overlaps, staleActs }).to.deep.equal({ point, overlaps: 0, staleActs: 0 })
      chai.expect(actingFences.size, `point ${point}`).to.be.above(0)
    }
  })

  it('acquires the lease of a killed holder within 11 s', async () => {
    const { time, tasks, store, processes } = startPair()
    await time.advance(5_000)
    const holder = tasks.findIndex((task) => task.handle !== undefined)
    processes[holder]!.pause(1e9)
    const pausedAt = time.now()
    await time.advanceUntil(() => tasks[1 - holder]!.handle !== undefined, 11_000)
    chai.expect(time.now() - pausedAt).to.be.below(11_000)
    chai.expect(recordOf(store).fence).to.equal(2)
  })

  it('keeps its lease when the reply to the acquisition or to a renewal is lost', async () => {
    const { time, store, tasks } = startPair()
    store.faults.loseReplies = 1
    await time.advance(4_000)
    for (let round = 0; round < 4; round++) {
      store.faults.loseReplies = 1
      await time.advance(4_000)
      chai.expect(tasks.filter((task) => task.handle !== undefined)).to.have.length(1)
    }
    chai.expect(recordOf(store).fence).to.equal(1)
  })

  it('does not act while the store is down for an hour, calls it rarely, and has one holder afterwards', async () => {
    const { time, store, tasks } = startPair()
    await time.advance(5_000)
    store.faults.down = true
    await time.advance(10_000)
    for (let minute = 0; minute < 60; minute++) {
      chai.expect(tasks.filter((task) => task.handle !== undefined)).to.have.length(0)
      await time.advance(60_000)
    }
    const calls = store.calls.reads + store.calls.writes + store.calls.watches
    chai.expect(calls / 3_600, 'calls per second while down').to.be.below(1)
    store.faults.down = false
    await time.advance(15_000)
    chai.expect(tasks.filter((task) => task.handle !== undefined)).to.have.length(1)
  })

  it('never has two holders at the same time when their clocks drift in opposite directions', async () => {
    const ttlMs = 600_000
    const { time, store, tasks, processes } = startPair([{ rate: 0.99, ttlMs }, { rate: 1.01, ttlMs }], 0)
    await time.advance(100)
    chai.expect(tasks[0]!.handle).to.not.equal(undefined)
    // The holder cannot reach the store but continues to run on a slow clock; the clock of the successor is fast.
    const holder = recordOf(store).holder
    blockStore(processes[0]!)
    let overlaps = 0
    await time.advanceUntil(() => {
      if (tasks[0]!.mayAct(1) && tasks[1]!.handle !== undefined) overlaps++
      return recordOf(store).holder !== holder
    }, 700_000)
    await time.advance(10_000)
    chai.expect(overlaps).to.equal(0)
    chai.expect(tasks[0]!.mayAct(1)).to.equal(false)
  })

  it('releases its lease on a planned stop, so that another acquires it at once and knows that the holder retired', async () => {
    const { time, tasks, store, processes } = startPair()
    await time.advance(5_000)
    const holder = tasks.findIndex((task) => task.handle !== undefined)
    await advanceUntilSettled(time, tasks[holder]!.handle!.open('t1', { type: 'release_target' }))
    const stopDone = tasks[holder]![Symbol.asyncDispose]()
    await time.advance(2_500)
    await stopDone
    chai.expect(tasks[1 - holder]!.handle).to.not.equal(undefined)
    const former = recordOf(store).holders?.find((holderEntry) => holderEntry.incarnation === `${processes[holder]!.name}-1`)
    chai.expect(former).to.deep.equal({ incarnation: `${processes[holder]!.name}-1`, address: `${processes[holder]!.name}:1`, retired: true })
  })

  it('does not release its lease while a send is in flight', async () => {
    const { time, tasks, store, processes } = startPair()
    await time.advance(5_000)
    const holder = tasks.findIndex((task) => task.handle !== undefined)
    processes[holder]!.gate.enter(SCOPE, 1)
    const stopDone = tasks[holder]![Symbol.asyncDispose]()
    await time.advance(3_000)
    await stopDone
    chai.expect(recordOf(store).holder).to.equal(`${processes[holder]!.name}-1`)
  })

  it('rejects a second intent for a subject and any intent of a deposed holder', async () => {
    const { time, tasks } = startPair()
    await time.advance(5_000)
    const holder = tasks.find((task) => task.handle !== undefined)!
    const handle = holder.handle!
    const body = { type: 'release_target' as const }
    const opened = await advanceUntilSettled(time, Promise.all([handle.open('t1', body), handle.open('t1', body)]))
    chai.expect(opened.map((outcome) => outcome.ok)).to.deep.equal([true, false])
    holder.depose(2)
    chai.expect((await advanceUntilSettled(time, handle.open('t2', body))).ok).to.equal(false)
  })

  it('distributes scopes over the candidates', async () => {
    const candidates = ['a', 'b', 'c', 'd']
    const time = new VirtualTime()
    const store = new MemoryStore(time)
    const scopes = Array.from({ length: 40 }, (_, index) => `hanoi-west/usage/${index}`)
    const tasks = candidates.flatMap((name) => {
      const process = new TestProcess(name, time, { candidates })
      return scopes.map((scope) => process.task(store, scope))
    })
    for (const task of tasks) task.start()
    await time.advance(10_000)
    const heldCounts = candidates.map((_, index) => tasks.slice(index * 40, index * 40 + 40).filter((task) => task.handle !== undefined).length)
    chai.expect(heldCounts.reduce((a, b) => a + b)).to.equal(40)
    chai.expect(Math.min(...heldCounts)).to.be.above(3)
  })
})

describe('applyLease', () => {
  const record: ScopeRecord = { holder: 'x', fence: 3, nonce: 'n', ttl_ms: 10_000, intents: [] }

  it('does not list a holder as retired that released the lease and acquired it again', () => {
    const intent = { id: 'i', subject: 's', fence: 3, senders: ['x'], body: { type: 'release_target' as const } }
    const released = releasedRecord({ ...record, intents: [intent], holders: [{ incarnation: 'x', address: 'x:1' }] }, 'm')
    chai.expect(acquiredRecord(released, 'x', 'x:1', 10_000, 'o').holders).to.deep.equal([{ incarnation: 'x', address: 'x:1' }])
  })

  it('ignores a stale read', () => {
    const state = applyLease(newLease('me'), { kind: 'observed', version: 9, record, observedAt: 1, authoritative: false })
    chai.expect(applyLease(state, { kind: 'observed', version: 8, record: { ...record, fence: 2 }, observedAt: 2, authoritative: false })).to.equal(state)
  })

  it('lets a holder act until the TTL less clock drift and margin has passed since the start of its write', () => {
    const state = applyLease(newLease('x'), { kind: 'written', version: 1, record, startedAt: 100 })
    chai.expect([mayActAt(state, 100 + 8_899), mayActAt(state, 100 + 8_900)]).to.deep.equal([true, false])
  })
})

interface CompetingPair {
  readonly time: VirtualTime
  readonly store: MemoryStore
  readonly processes: readonly TestProcess[]
  readonly tasks: readonly ScopeTask[]
}

/** Starts two processes that compete; the one at `firstIndex`, if given, starts 50 ms earlier. */
function startPair (options: readonly ProcessOptions[] = [{}, {}], firstIndex?: number, tick: (handle: ScopeHandle, index: number) => Promise<void> = async () => {}): CompetingPair {
  const time = new VirtualTime()
  const store = new MemoryStore(time)
  const names = ['a', 'b']
  const processes = names.map((name, index) => new TestProcess(name, time, { candidates: firstIndex === undefined ? names : [name], ...options[index] }))
  const tasks = processes.map((process, index) => process.task(store, SCOPE, { tick: async (handle) => await tick(handle, index) }))
  tasks.forEach((task, index) => {
    if (firstIndex === undefined || index === firstIndex) task.start()
    else time.after(50, () => { task.start() })
  })
  return { time, store, processes, tasks }
}

/** Runs two competing processes for 30 s; the first one pauses at the given point. */
async function runWithPause (pauseAtPoint: number, pauseMs: number): Promise<{ pausePoints: number, overlaps: number, staleActs: number, actingFences: Set<number> }> {
  const actingFences = new Set<number>()
  let overlaps = 0
  let staleActs = 0
  const { time, processes, tasks } = startPair(undefined, 0, async (handle) => {
    if (!handle.mayAct()) return
    if ([...actingFences].some((fence) => fence > handle.fence)) staleActs++
    actingFences.add(handle.fence)
  })
  processes[0]!.pauseAtPoint = pauseAtPoint
  processes[0]!.pauseMs = pauseMs
  for (let step = 0; step < 300; step++) {
    await time.advance(100)
    if (tasks.every((task) => task.handle !== undefined)) overlaps++
  }
  return { pausePoints: processes[0]!.pausePoints, overlaps, staleActs, actingFences }
}

function blockStore (process: TestProcess): void {
  process.pause(1e9)
}

function recordOf (store: MemoryStore): ScopeRecord {
  return JSON.parse(store.peek(`scope/${SCOPE}`)!.value) as ScopeRecord
}

async function advanceUntilSettled<T> (time: VirtualTime, work: Promise<T>): Promise<T> {
  let settled = false
  work.finally(() => { settled = true }).catch(() => {})
  await time.advanceUntil(() => settled, 60_000)
  return await work
}
