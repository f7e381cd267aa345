import * as chai from 'chai'
import { UsageWorld, WINDOW_MS, type FakeEntry } from './harness.js'

const ACCOUNTS = ['northshore-rental', 'site-duluth', 'site-erie']

describe('usage billing', () => {
  it('bills exactly what was counted when lease holders, the store and reports fail at random', async () => {
    for (const seed of [1, 2, 3, 4]) {
      const { world, random } = traffic(seed)
      let fence = 1
      let holder = world.startHolder(fence)
      for (let step = 0; step < 60; step++) {
        const fault = Math.floor(random.next() * 6)
        if (fault === 0) world.platform.store.faults.loseReplies = 3
        if (fault === 1) world.platform.reports.faults.loseReplies = 2
        if (fault === 2) world.platform.store.faults.down = !world.platform.store.faults.down
        if (fault === 3) {
          holder.handle.mayActNow = holder.handle.running = false
          holder = world.startHolder(++fence, holder.handle.intents())
        }
        if (fault === 4) world.platform.store.setReadsStale(!world.platform.store.faults.stale)
        await world.time.advance(9_000)
      }
      Object.assign(world.platform.store.faults, { down: false, loseReplies: 0 })
      world.platform.store.setReadsStale(false)
      world.platform.reports.faults.loseReplies = 0
      stopTraffic(world)
      await world.time.advance(5 * WINDOW_MS)
      chai.expect(world.conflictingReports(), `seed ${seed}`).to.deep.equal([])
      chai.expect(world.billed(), `seed ${seed}`).to.deep.equal(world.counted)
    }
  })

  it('loses at most the last second of usage of a killed entry, and bills nothing twice', async () => {
    for (const killAt of [31_234, 32_500, 33_999, 34_950]) {
      const world = new UsageWorld()
      const [victim] = [world.addEntry('a'), world.addEntry('b'), world.addEntry('c')]
      world.startHolder(1)
      const tick = world.time.every(50, () => world.count(victim!, 'site-erie'))
      await world.time.advance(killAt)
      victim!.kill()
      tick[Symbol.dispose]()
      await world.time.advance(6 * WINDOW_MS)
      chai.expect(world.counted.get('site-erie')! - world.billed().get('site-erie')!, `killed at ${killAt}`).to.be.within(0, 1_000 / 50)
      chai.expect(world.conflictingReports()).to.deep.equal([])
      chai.expect(world.platform.store.keys('usage/entry/0/a')).to.deep.equal([])
    }
  })

  it('bills usage that arrives after the close of its window once, in a later window', async () => {
    const world = new UsageWorld()
    const [paused] = [world.addEntry('a'), world.addEntry('b'), world.addEntry('c')]
    world.startHolder(1)
    await world.time.advance(WINDOW_MS)
    world.count(paused!, 'site-erie', 7)
    // The entry is paused: it neither flushes nor replicates, but counts as alive.
    const child = paused!.child
    pause(paused!)
    await world.time.advance(2 * WINDOW_MS)
    chai.expect(world.billed().get('site-erie')).to.equal(undefined)
    child.start()
    await world.time.advance(3 * WINDOW_MS)
    chai.expect(world.billed().get('site-erie')).to.equal(7)
    chai.expect(world.metrics.counter('godwitpoint_usage_windows_late_total', 'reason="entry_unreachable"')).to.equal(0)
  })

  for (const { name, resumeWhen, billed } of [
    // Sealed: the usage in the old record is known, so nothing is lost.
    { name: 'sealed', resumeWhen: (value: string | undefined) => value?.includes('sealed') === true, billed: 10 },
    // Deleted: what was counted while paused (3) is given up, since it may be billed already.
    { name: 'deleted', resumeWhen: (value: string | undefined) => value === undefined, billed: 7 }
  ]) {
    it(`bills nothing twice when a paused entry resumes after its record was ${name}`, async () => {
      const world = new UsageWorld()
      const [paused] = [world.addEntry('a'), world.addEntry('b'), world.addEntry('c')]
      world.startHolder(1)
      world.count(paused!, 'site-erie', 5)
      await world.time.advance(WINDOW_MS)
      pause(paused!)
      paused!.alive = false
      for (let s = 0; s < 600 && !resumeWhen(world.platform.store.peek('usage/entry/0/a')?.value); s++) await world.time.advance(1_000)
      paused!.alive = true
      world.count(paused!, 'site-erie', 3)
      paused!.child.start()
      await world.time.advance(7_000)
      world.count(paused!, 'site-erie', 2)
      await world.time.advance(3 * WINDOW_MS)
      chai.expect(world.billed().get('site-erie')).to.equal(billed)
    })
  }

  // The entry cannot flush while the store is down, is paused before the store returns, and finds its record closed when
  // it resumes. Its peers hold what it counted in between.
  it('bills what a paused entry had replicated since its last flush', async () => {
    const world = new UsageWorld()
    const [paused] = [world.addEntry('a'), world.addEntry('b'), world.addEntry('c')]
    world.startHolder(1)
    world.count(paused!, 'site-erie', 5)
    await world.time.advance(WINDOW_MS)
    world.platform.store.faults.down = true
    world.count(paused!, 'site-erie', 4)
    await world.time.advance(7_000)
    pause(paused!)
    paused!.alive = false
    paused!.terminationKnown = false
    // A flush that was in progress gives up before the store returns.
    await world.time.advance(10_000)
    world.platform.store.faults.down = false
    for (let s = 0; s < 600 && world.platform.store.peek('usage/entry/0/a') !== undefined; s++) await world.time.advance(1_000)
    paused!.alive = true
    paused!.child.start()
    await world.time.advance(4 * WINDOW_MS)
    chai.expect(world.billed().get('site-erie')).to.equal(9)
    chai.expect(world.conflictingReports()).to.deep.equal([])
  })

  it('reports the same figures after the lease holder lost its lease while reports failed', async () => {
    const world = new UsageWorld()
    const entries = [world.addEntry('a'), world.addEntry('b'), world.addEntry('c')]
    const first = world.startHolder(1)
    world.count(entries[0]!, 'site-erie', 4)
    world.platform.reports.faults.down = true
    await world.time.advance(2 * WINDOW_MS)
    first.handle.mayActNow = false
    world.count(entries[1]!, 'site-erie', 6)
    world.startHolder(2, first.handle.intents())
    world.platform.reports.faults.down = false
    await world.time.advance(4 * WINDOW_MS)
    chai.expect(world.conflictingReports()).to.deep.equal([])
    chai.expect(world.billed().get('site-erie')).to.equal(10)
    chai.expect(world.platform.reports.received.every((bill) => bill.reporter === 'holder-2')).to.equal(true)
    chai.expect(world.metrics.counter('godwitpoint_usage_windows_late_total', 'reason="no_holder"')).to.be.at.least(1)
  })

  it('does not close a window again when a new lease holder reads an old copy of the store', async () => {
    const world = new UsageWorld()
    const entries = [world.addEntry('a'), world.addEntry('b'), world.addEntry('c')]
    const first = world.startHolder(1)
    world.time.every(500, () => world.count(entries[0]!, 'site-erie'))
    await world.time.advance(WINDOW_MS + 20_000)
    // The copy is made here and read nine windows later, when later windows are closed and earlier records deleted.
    const store = world.platform.store as unknown as { copy: unknown }
    world.platform.store.setReadsStale(true)
    const { copy } = store
    world.platform.store.setReadsStale(false)
    await world.time.advance(9 * WINDOW_MS)
    store.copy = copy
    first.handle.mayActNow = first.handle.running = false
    world.startHolder(2)
    await world.time.advance(WINDOW_MS)
    chai.expect(world.conflictingReports()).to.deep.equal([])
    world.platform.store.setReadsStale(false)
    await world.time.advance(3 * WINDOW_MS)
    chai.expect(world.conflictingReports()).to.deep.equal([])
    chai.expect(world.billed().get('site-erie')).to.be.at.most(world.counted.get('site-erie')!)
  })
})

function traffic (seed: number): { world: UsageWorld, random: { next (): number } } {
  const world = new UsageWorld()
  const random = world.time.env(seed).random
  const entries = ['a', 'b', 'c', 'd'].map((id) => world.addEntry(id))
  timers.set(world, world.time.every(700, () => {
    world.count(entries[Math.floor(random.next() * 4)]!, ACCOUNTS[Math.floor(random.next() * 3)]!)
  }))
  return { world, random }
}

const timers = new Map<UsageWorld, Disposable>()

function stopTraffic (world: UsageWorld): void {
  timers.get(world)?.[Symbol.dispose]()
}

function pause (entry: FakeEntry): void {
  const alive = entry.alive
  entry.kill()
  entry.alive = alive
}
