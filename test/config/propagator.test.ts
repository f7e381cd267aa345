import * as chai from 'chai'
import { MAX_CONFIRMATION_AGE_MS } from '../../src/config/index.js'
import type { ConfigSet } from '../../src/schema/index.js'
import { exampleSet, Fleet } from './fleet.js'

describe('ConfigPropagator', () => {
  it('puts a change in force everywhere, with a rate of store calls that does not grow with the number of entries', async () => {
    const callsPerSecond: number[] = []
    for (const size of [8, 40]) {
      const fleet = await started(size, 2)
      const before = { ...fleet.store.calls }
      await fleet.settle(fleet.publish((set) => reweighted(set!)))
      await fleet.time.advance(10_000)
      callsPerSecond.push((total(fleet.store.calls) - total(before)) / 10)
      await fleet.time.advanceUntil(() => fleet.generations().every((generation) => generation === 2), 17_000)
      chai.expect(fleet.processes.every((process) => process.propagator.keysAreFresh())).to.equal(true)
    }
    chai.expect(callsPerSecond[1]).to.be.at.most(callsPerSecond[0]! * 1.1)
  })

  it('keeps keys current at all times while nothing fails', async () => {
    const fleet = await started(30, 3)
    for (let step = 0; step < 200; step++) {
      await fleet.time.advance(100)
      chai.expect(fleet.processes.filter((process) => !process.propagator.keysAreFresh())).to.have.length(0)
    }
  })

  it('accepts keys while newer generations are known but not fetched, until its own last confirmation expires', async () => {
    const fleet = await started(4, 1)
    const process = fleet.processes.find((candidate) => !candidate.isWatcher)!
    process.isolated = true
    const isolatedAt = fleet.time.now()
    for (const generation of [2, 3, 4]) {
      process.propagator.applyStatus({ address: 'p1' }, { g: generation, w: 0, s: 0, p: generation, a: 0 }, fleet.time.now()).catch(() => {})
      await fleet.time.advance(300)
      chai.expect(process.propagator.keysAreFresh(), `generation ${generation} is known`).to.equal(true)
    }
    await fleet.time.advance(isolatedAt + MAX_CONFIRMATION_AGE_MS - fleet.time.now())
    chai.expect(process.propagator.keysAreFresh()).to.equal(false)
  })

  it('does not accept a withdrawn key when watches lag behind the published withdrawal', async () => {
    const fleet = await started(6, 1)
    fleet.store.setReadsStale(true)
    await fleet.withdrawInStoreWhileStale('key1')
    await fleet.time.advance(MAX_CONFIRMATION_AGE_MS + 1_000)
    for (const process of fleet.processes) chai.expect(process.propagator.keysAreFresh() && knowsKey(process.propagator.current()!.set, 'key1')).to.equal(false)
    fleet.store.setReadsStale(false)
    await fleet.time.advance(5_000)
    chai.expect(fleet.generations()).to.deep.equal(Array(6).fill(2))
    chai.expect(fleet.processes.every((process) => process.propagator.keysAreFresh())).to.equal(true)
  })

  it('refuses keyed requests when the store receives calls but responds to none in time, as it may hold a withdrawal', async () => {
    const fleet = await started(6, 1)
    fleet.storeTimesOut = true
    await fleet.withdrawInStore('key1')
    await fleet.time.advance(MAX_CONFIRMATION_AGE_MS + 500)
    for (let step = 0; step < 100; step++) {
      chai.expect(fleet.processes.filter((process) => process.propagator.keysAreFresh())).to.have.length(0)
      await fleet.time.advance(100)
    }
    fleet.storeTimesOut = false
    await fleet.time.advance(5_000)
    chai.expect(fleet.processes.every((process) => process.propagator.keysAreFresh())).to.equal(true)
    chai.expect(fleet.generations()).to.deep.equal(Array(6).fill(2))
  })

  it('does not start with a configuration from an old copy of the store', async () => {
    const fleet = new Fleet(1, 1)
    await fleet.settle(fleet.publish(() => exampleSet()))
    fleet.store.setReadsStale(true)
    await fleet.withdrawInStoreWhileStale('key1')
    fleet.processes[0]!.propagator.start()
    for (let step = 0; step < 50; step++) {
      await fleet.time.advance(100)
      chai.expect(fleet.generations()).to.not.include(1)
    }
    fleet.store.setReadsStale(false)
    await fleet.time.advance(5_000)
    chai.expect(fleet.generations()).to.deep.equal([2])
  })

  it('refuses keyed requests on an isolated process, which keeps its configuration and catches up later', async () => {
    const fleet = await started(5, 1)
    const process = fleet.processes[2]!
    process.isolated = true
    await fleet.withdrawInStore('key1')
    await fleet.time.advance(MAX_CONFIRMATION_AGE_MS)
    chai.expect(process.propagator.keysAreFresh()).to.equal(false)
    chai.expect(process.propagator.current()?.generation).to.equal(1)
    process.isolated = false
    await fleet.time.advance(4_000)
    chai.expect(process.propagator.current()?.generation).to.equal(2)
    chai.expect(process.propagator.keysAreFresh()).to.equal(true)
  })

  it('polls the store itself when it reaches no watcher', async () => {
    const fleet = await started(8, 1)
    const process = fleet.processes.find((candidate) => candidate.metrics.counter('godwitpoint_peer_polls_total') > 0)!
    process.peerCallsFail = true
    await fleet.settle(fleet.publish((set) => reweighted(set!)))
    await fleet.time.advance(8_000)
    chai.expect(process.propagator.current()?.generation).to.equal(2)
  })

  it('has no configuration after a restart until the store or a peer confirms it as current', async () => {
    for (const index of [0, 1, 2, 3]) {
      const fleet = await started(4, 1)
      fleet.store.faults.down = true
      await fleet.time.advance(MAX_CONFIRMATION_AGE_MS)
      fleet.processes[index]!.restart()
      await fleet.time.advance(30_000)
      chai.expect(fleet.processes.map((process) => process.propagator.keysAreFresh())).to.deep.equal([0, 1, 2, 3].map((other) => other !== index))
      chai.expect(fleet.generations()[index]).to.equal(0)
      fleet.store.faults.down = false
      await fleet.time.advance(15_000)
      chai.expect(fleet.generations()).to.deep.equal([1, 1, 1, 1])
    }
  })

  it('refuses a withdrawn key on all entries while the store is down, and stores the withdrawal although the entry that accepted it was killed', async () => {
    const fleet = await started(6, 2)
    fleet.store.faults.down = true
    await fleet.time.advance(5_000)
    chai.expect(fleet.processes.every((process) => process.propagator.keysAreFresh()), 'all others are in contact').to.equal(true)
    const outcome = await fleet.settle(fleet.processes[0]!.propagator.withdrawKey('key1'))
    chai.expect([outcome.stored, outcome.confirmed.length]).to.deep.equal([false, 5])
    chai.expect(fleet.processes.every((process) => process.propagator.isWithdrawn('key1'))).to.equal(true)
    fleet.processes[0]!.kill()
    await fleet.time.advance(3_600_000)
    chai.expect(fleet.processes.slice(1).every((process) => process.propagator.isWithdrawn('key1'))).to.equal(true)
    fleet.store.faults.down = false
    await fleet.time.advance(30_000)
    for (const process of fleet.processes.slice(1)) {
      chai.expect(knowsKey(process.propagator.current()!.set, 'key1')).to.equal(false)
      chai.expect(process.propagator.isWithdrawn('key1')).to.equal(false)
    }
  })

  it('refuses keyed requests on all entries when the store is down and one entry is isolated', async () => {
    const fleet = await started(4, 1)
    fleet.store.faults.down = true
    fleet.processes[3]!.isolated = true
    await fleet.time.advance(MAX_CONFIRMATION_AGE_MS)
    const outcome = await fleet.settle(fleet.processes[0]!.propagator.withdrawKey('key1'))
    chai.expect(outcome.unconfirmed).to.deep.equal(['p3-1'])
    chai.expect(fleet.processes.map((process) => process.propagator.keysAreFresh())).to.deep.equal([false, false, false, false])
    fleet.processes[3]!.isolated = false
    await fleet.time.advance(2_000)
    chai.expect(fleet.processes[3]!.propagator.isWithdrawn('key1')).to.equal(true)
  })

  it('learns of a withdrawal from another peer when the entry that accepted it is unreachable', async () => {
    const fleet = await started(4, 1)
    fleet.store.faults.down = true
    await fleet.settle(fleet.processes[0]!.propagator.withdrawKey('key1'))
    fleet.processes[0]!.kill()
    fleet.processes[3]!.restart()
    await fleet.time.advance(100)
    chai.expect(fleet.processes[3]!.propagator.isWithdrawn('key1')).to.equal(false)
    fleet.processes[3]!.propagator.applyStatus({ address: 'p1' }, fleet.processes[1]!.propagator.status(), fleet.time.now()).catch(() => {})
    await fleet.time.advance(2_000)
    chai.expect(fleet.processes[3]!.propagator.isWithdrawn('key1')).to.equal(true)
  })
})

async function started (size: number, regions: number): Promise<Fleet> {
  const fleet = new Fleet(size, regions)
  await fleet.start(exampleSet())
  await fleet.time.advanceUntil(() => fleet.generations().every((generation) => generation === 1), 10_000)
  return fleet
}

function reweighted (set: ConfigSet): ConfigSet {
  return { ...set, accounts: set.accounts.map((account, index) => index === 0 ? { ...account, weight: account.weight + 1 } : account) }
}

/** Whether the configuration has the key and does not show it as withdrawn. */
function knowsKey (set: ConfigSet, id: string): boolean {
  return set.keys.some((key) => key.id === id && !key.withdrawn)
}

function total (calls: Fleet['store']['calls']): number {
  return calls.reads + calls.writes + calls.watches
}
