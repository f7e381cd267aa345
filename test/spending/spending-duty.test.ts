import * as chai from 'chai'
import { SpendingDuty, type DeclaredTarget } from '../../src/daemon/duties.js'
import { Err } from '../../src/errors/index.js'
import { Metrics } from '../../src/metrics/index.js'
import type { Intent } from '../../src/schema/index.js'
import { TargetOrderSender } from '../../src/spending/index.js'
import { MemoryPlatform } from '../../src/standin/index.js'
import { VirtualTime } from '../../src/time/index.js'
import { DirectRunner, FakeHandle, SILENT_LOG } from '../usage/harness.js'

const DECLARED: DeclaredTarget[] = ['a', 'b', 'c'].map((domain) => ({ name: `t-${domain}`, domain, priceClass: 'standard', leaving: false }))

/** A spending duty in virtual time, with a platform whose targets persist across changes of the lease holder. */
class SpendingWorld {
  readonly time = new VirtualTime()
  readonly platform = new MemoryPlatform(this.time.env(1))
  readonly leaving: string[] = []
  busy = 2
  running = 0

  startHolder (fence: number, intents: readonly Intent[] = []): FakeHandle {
    const handle = new FakeHandle(fence, intents, 'r/spending/s')
    const { ordering } = this.platform
    const sender = new TargetOrderSender(ordering, new Metrics())
    const duty = new SpendingDuty({
      clock: this.time,
      log: SILENT_LOG,
      metrics: new Metrics(),
      service: 's',
      ordering,
      sender,
      runner: new DirectRunner(sender),
      view: {
        declaredTargets: () => DECLARED,
        runningRequests: () => this.running,
        busyTargets: () => this.busy,
        setLeaving: (targets) => { this.leaving.splice(0, this.leaving.length, ...targets.map(({ name }) => name)) },
        limits: () => ({
          minTargets: 3, maxTargets: 8, minSurvivingShare: 0.8, budgetPerHour: 60, domains: ['a', 'b', 'c'], prices: { standard: 4, preemptible: 1.2 }, deliveryMs: 120_000
        })
      }
    })
    this.time.every(1_000, () => { if (handle.running) duty.tick(handle).catch((err: unknown) => { throw err }) })
    return handle
  }

  liveTargets (): string[] {
    return [...this.platform.ordering.targets.values()].filter(({ state }) => state !== 'released').map(({ name }) => name)
  }
}

describe('SpendingDuty', () => {
  it('places no order twice when replies are lost and the lease holder changes', async () => {
    for (const at of [1, 2, 5, 20, 500, 1_001, 1_003]) {
      const world = new SpendingWorld()
      const first = world.startHolder(1)
      world.busy = 4.4
      world.platform.ordering.faults.loseReplies = 5
      await world.time.advance(3_000 + at)
      first.mayActNow = first.running = false
      world.platform.ordering.faults.loseReplies = 3
      world.startHolder(2, first.intents())
      await world.time.advance(200_000)
      // 4.4 busy targets at 75% utilization need 6 targets, of which 3 are declared.
      chai.expect(world.liveTargets().length, `holder changed after ${at} ms`).to.equal(3)
    }
  })

  it('orders nothing while the list of targets is unavailable', async () => {
    const world = new SpendingWorld()
    world.busy = 4.4
    const { ordering } = world.platform
    const list = ordering.list.bind(ordering)
    ordering.list = async () => Err({ kind: 'unavailable', message: 'the list is down' })
    world.startHolder(1)
    await world.time.advance(30_000)
    chai.expect(ordering.received).to.deep.equal([])
    ordering.list = list
    await world.time.advance(200_000)
    chai.expect(world.liveTargets().length).to.equal(3)
  })

  it('orders in another failure domain when one is out of stock', async () => {
    const world = new SpendingWorld()
    world.busy = 4.4
    world.platform.ordering.faults.outOfStock.add('a').add('b').add('c')
    const handle = world.startHolder(1)
    await world.time.advance(200_000)
    chai.expect(world.liveTargets().length).to.equal(3)
    chai.expect(handle.intents()).to.deep.equal([])
    chai.expect(world.platform.ordering.received.filter(({ priceClass }) => priceClass === 'preemptible').length).to.be.at.most(3)
  })

  it('releases no target that still gets new work or has running requests', async () => {
    const world = new SpendingWorld()
    world.busy = 4.4
    world.startHolder(1)
    await world.time.advance(200_000)
    world.busy = 0.5
    world.running = 2
    await world.time.advanceUntil(() => world.leaving.length > 0, 10 * 3_600_000)
    await world.time.advance(30_000)
    chai.expect(world.liveTargets().length).to.equal(3)
    world.running = 0
    await world.time.advance(2_000)
    chai.expect(world.liveTargets().length).to.equal(2)
  })

  it('releases no target before every entry knows that it is leaving', async () => {
    const world = new SpendingWorld()
    world.busy = 4.4
    world.startHolder(1)
    await world.time.advance(200_000)
    world.busy = 0.5
    await world.time.advanceUntil(() => world.leaving.length > 0, 10 * 3_600_000)
    await world.time.advance(3_900)
    chai.expect(world.liveTargets().length).to.equal(3)
    await world.time.advance(4_000)
    chai.expect(world.liveTargets().length).to.equal(2)
  })

  it('removes reclaimed targets from service at once and replaces them', async () => {
    const world = new SpendingWorld()
    world.busy = 4.4
    world.startHolder(1)
    await world.time.advance(200_000)
    const reclaimed = [...world.platform.ordering.targets.values()].find(({ priceClass }) => priceClass === 'preemptible')!
    world.platform.ordering.reclaim(reclaimed.domain, world.time.wallTimeMs() + 10_000)
    await world.time.advance(1_100)
    chai.expect(world.leaving).to.include(reclaimed.name)
    await world.time.advance(5_000)
    const usable = [...world.platform.ordering.targets.values()].filter(({ state }) => state === 'running' || state === 'pending')
    chai.expect(usable.length).to.equal(3)
    chai.expect(usable.some(({ domain, priceClass }) => domain === reclaimed.domain && priceClass === 'preemptible')).to.equal(false)
  })
})
