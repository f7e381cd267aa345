import * as chai from 'chai'
import { applyLease, mayActAt, newLease, type ScopeHandle, type ScopeTask } from '../../src/authority/index.js'
import { acquiredRecord, releasedRecord } from '../../src/authority/lease.js'
import type { ScopeRecord } from '../../src/schema/index.js'
import { MemoryStore } from '../../src/standin/index.js'
import { VirtualTime } from '../../src/time/index.js'
import { TestProcess, type ProcessOptions } from './process.js'

const SCOPE = 'hanoi-west/roles/desk-assistant'

describe('ScopeTask', () => {
  it('never lets two holders act at once, wherever a holder is paused', async () => {
    const points = (await pausedRun(-1, 0)).points
    chai.expect(points).to.be.above(20)
    for (let at = 0; at < points; at++) {
      const { both, late, acted } = await pausedRun(at, 15_000)
      chai.expect({ at, both, late }).to.deep.equal({ at, both: 0, late: 0 })
      chai.expect(acted.size, `point ${at}`).to.be.above(0)
    }
  })

  it('takes over a killed holder within 11 s', async () => {
    const { time, tasks, store, processes } = pair()
    await time.advance(5_000)
    const holder = tasks.findIndex((task) => task.handle !== undefined)
    processes[holder]!.pause(1e9)
    const renewed = time.now()
    await time.advanceUntil(() => tasks[1 - holder]!.handle !== undefined, 11_000)
    chai.expect(time.now() - renewed).to.be.below(11_000)
    chai.expect(recordOf(store).fence).to.equal(2)
  })

  it('keeps its lease when the reply of the acquisition or of a renewal is lost', async () => {
    const { time, store, tasks } = pair()
    store.faults.loseReplies = 1
    await time.advance(4_000)
    for (let round = 0; round < 4; round++) {
      store.faults.loseReplies = 1
      await time.advance(4_000)
      chai.expect(tasks.filter((task) => task.handle !== undefined)).to.have.length(1)
    }
    chai.expect(recordOf(store).fence).to.equal(1)
  })

  it('stops acting while the store is down for an hour and has one holder afterwards', async () => {
    const { time, store, tasks } = pair()
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

  it('allows for clock drift in both directions', async () => {
    const ttlMs = 600_000
    const { time, store, tasks, processes } = pair([{ rate: 0.99, ttlMs }, { rate: 1.01, ttlMs }], 0)
    await time.advance(100)
    chai.expect(tasks[0]!.handle).to.not.equal(undefined)
    // The holder loses the store but not its life; the successor's clock is fast, the holder's is slow.
    const holder = recordOf(store).holder
    cutOff(processes[0]!)
    let both = 0
    await time.advanceUntil(() => {
      if (tasks[0]!.mayAct(1) && tasks[1]!.handle !== undefined) both++
      return recordOf(store).holder !== holder
    }, 700_000)
    await time.advance(10_000)
    chai.expect(both).to.equal(0)
    chai.expect(tasks[0]!.mayAct(1)).to.equal(false)
  })

  it('releases its lease on a planned stop, so that another takes over at once and knows it retired', async () => {
    const { time, tasks, store, processes } = pair()
    await time.advance(5_000)
    const holder = tasks.findIndex((task) => task.handle !== undefined)
    await settled(time, tasks[holder]!.handle!.open('t1', { type: 'release_target' }))
    const stopped = tasks[holder]![Symbol.asyncDispose]()
    await time.advance(2_500)
    await stopped
    chai.expect(tasks[1 - holder]!.handle).to.not.equal(undefined)
    const former = recordOf(store).holders?.find((one) => one.incarnation === `${processes[holder]!.name}-1`)
    chai.expect(former).to.deep.equal({ incarnation: `${processes[holder]!.name}-1`, address: `${processes[holder]!.name}:1`, retired: true })
  })

  it('does not release its lease while a send is in flight', async () => {
    const { time, tasks, store, processes } = pair()
    await time.advance(5_000)
    const holder = tasks.findIndex((task) => task.handle !== undefined)
    processes[holder]!.gate.enter(SCOPE, 1)
    const stopped = tasks[holder]![Symbol.asyncDispose]()
    await time.advance(3_000)
    await stopped
    chai.expect(recordOf(store).holder).to.equal(`${processes[holder]!.name}-1`)
  })

  it('refuses a second intent for a subject and any intent of a deposed holder', async () => {
    const { time, tasks } = pair()
    await time.advance(5_000)
    const holder = tasks.find((task) => task.handle !== undefined)!
    const handle = holder.handle!
    const body = { type: 'release_target' as const }
    const opened = await settled(time, Promise.all([handle.open('t1', body), handle.open('t1', body)]))
    chai.expect(opened.map((outcome) => outcome.ok)).to.deep.equal([true, false])
    holder.depose(2)
    chai.expect((await settled(time, handle.open('t2', body))).ok).to.equal(false)
  })

  it('spreads scopes over the candidates', async () => {
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
    const held = candidates.map((_, index) => tasks.slice(index * 40, index * 40 + 40).filter((task) => task.handle !== undefined).length)
    chai.expect(held.reduce((a, b) => a + b)).to.equal(40)
    chai.expect(Math.min(...held)).to.be.above(3)
  })
})

describe('applyLease', () => {
  const record: ScopeRecord = { holder: 'x', fence: 3, nonce: 'n', ttl_ms: 10_000, intents: [] }

  it('does not take a holder that came back for retired', () => {
    const intent = { id: 'i', subject: 's', fence: 3, senders: ['x'], body: { type: 'release_target' as const } }
    const released = releasedRecord({ ...record, intents: [intent], holders: [{ incarnation: 'x', address: 'x:1' }] }, 'm')
    chai.expect(acquiredRecord(released, 'x', 'x:1', 10_000, 'o').holders).to.deep.equal([{ incarnation: 'x', address: 'x:1' }])
  })

  it('drops a read from an old copy', () => {
    const seen = applyLease(newLease('me'), { kind: 'observed', version: 9, record, at: 1, authoritative: false })
    chai.expect(applyLease(seen, { kind: 'observed', version: 8, record: { ...record, fence: 2 }, at: 2, authoritative: false })).to.equal(seen)
  })

  it('lets a holder act until TTL less drift and margin, counted from the start of its write', () => {
    const held = applyLease(newLease('x'), { kind: 'written', version: 1, record, startedAt: 100 })
    chai.expect([mayActAt(held, 100 + 8_899), mayActAt(held, 100 + 8_900)]).to.deep.equal([true, false])
  })
})

interface Pair {
  readonly time: VirtualTime
  readonly store: MemoryStore
  readonly processes: readonly TestProcess[]
  readonly tasks: readonly ScopeTask[]
}

/** Two processes that compete; with `first`, that one starts a little earlier. */
function pair (options: readonly ProcessOptions[] = [{}, {}], first?: number, tick: (handle: ScopeHandle, index: number) => Promise<void> = async () => {}): Pair {
  const time = new VirtualTime()
  const store = new MemoryStore(time)
  const names = ['a', 'b']
  const processes = names.map((name, index) => new TestProcess(name, time, { candidates: first === undefined ? names : [name], ...options[index] }))
  const tasks = processes.map((process, index) => process.task(store, SCOPE, { tick: async (handle) => await tick(handle, index) }))
  tasks.forEach((task, index) => {
    if (first === undefined || index === first) task.start()
    else time.after(50, () => { task.start() })
  })
  return { time, store, processes, tasks }
}

/** Runs two holders for 30 s with a pause of the first one at a continuation point. */
async function pausedRun (pauseAt: number, pauseMs: number): Promise<{ points: number, both: number, late: number, acted: Set<number> }> {
  const acted = new Set<number>()
  let both = 0
  let late = 0
  const { time, processes, tasks } = pair(undefined, 0, async (handle) => {
    if (!handle.mayAct()) return
    if ([...acted].some((fence) => fence > handle.fence)) late++
    acted.add(handle.fence)
  })
  processes[0]!.pauseAt = pauseAt
  processes[0]!.pauseMs = pauseMs
  for (let step = 0; step < 300; step++) {
    await time.advance(100)
    if (tasks.every((task) => task.handle !== undefined)) both++
  }
  return { points: processes[0]!.points, both, late, acted }
}

function cutOff (process: TestProcess): void {
  process.pause(1e9)
}

function recordOf (store: MemoryStore): ScopeRecord {
  return JSON.parse(store.peek(`scope/${SCOPE}`)!.value) as ScopeRecord
}

async function settled<T> (time: VirtualTime, work: Promise<T>): Promise<T> {
  let done = false
  work.finally(() => { done = true }).catch(() => {})
  await time.advanceUntil(() => done, 60_000)
  return await work
}
