import * as chai from 'chai'
import { SHARE_INTERVAL_MS } from '../../src/admission/index.js'
import { SeededRandom } from '../../src/time/index.js'
import { REQUEST_MS, SERVICE, ShareSim, REQUEST_WORK, type SimOptions } from './share-sim.js'

const ENTRIES = 4
const SLOTS = 16
/** Work per ms of all slots together, in work units. */
const WORK_PER_MS = SLOTS * REQUEST_WORK / REQUEST_MS
/** Bound of the difference in work ÷ weight between two busy accounts, from section 8 of docs/design.md. */
const MAX_DRIFT = 2 * (REQUEST_WORK + WORK_PER_MS * (SHARE_INTERVAL_MS + REQUEST_MS))

describe('fair share over four entries', () => {
  it('keeps the share of small accounts when one account floods every entry', async () => {
    const fair = await smallestShare({})
    const fcfs = await smallestShare({ fcfs: true, limits: { account: 512, service: 512, entry: 4_096 } })
    chai.expect(fair).to.be.above(0.9)
    chai.expect(fcfs).to.be.below(0.6)
  })

  it('gives an account no advantage from many keys or connections', async () => {
    const sim = new ShareSim({ entries: ENTRIES, slots: SLOTS })
    for (let batch = 0; batch < 15; batch++) sim.load('many', 0, 4)
    sim.load('one', 0, 16)
    chai.expect(await workRatio(sim, 'many', 'one')).to.be.within(0.9, 1.1)
  })

  it('keeps busy accounts within the bound of the drift, which is exceeded without the exchange', async () => {
    chai.expect(await largestDrift({})).to.be.at.most(MAX_DRIFT)
    chai.expect(await largestDrift({ exchange: false })).to.be.above(MAX_DRIFT)
  })

  it('divides work by weight', async () => {
    const sim = new ShareSim({ entries: ENTRIES, slots: SLOTS })
    for (let entry = 0; entry < 3; entry++) sim.load('heavy', entry, 20, Infinity, { weight: 3 })
    sim.load('light', 3, 30)
    chai.expect(await workRatio(sim, 'heavy', 'light')).to.be.within(2.5, 3.5)
  })

  it('does not give an account more than its fair share because it lagged until all its requests were running', async () => {
    const sim = new ShareSim({ entries: ENTRIES, slots: SLOTS })
    sim.load('light', 2, 12)
    sim.load('heavy', 0, 12, Infinity, { weight: 2 })
    await sim.time.advance(20_000)
    const before = sim.snapshot()
    await sim.time.advance(120_000)
    chai.expect(sim.gain('light', before)).to.be.at.least(WORK_PER_MS * 120_000 / 3 - MAX_DRIFT)
  })

  it('gives an account on one entry all slots while no other account has requests', async () => {
    const sim = new ShareSim({ entries: ENTRIES, slots: SLOTS })
    sim.load('alone', 2, 40)
    await sim.time.advance(3_000)
    const before = sim.snapshot()
    await sim.time.advance(10_000)
    chai.expect(sim.gain('alone', before)).to.be.above(0.9 * WORK_PER_MS * 10_000)
  })

  it('gives an account no credit for idle time', async () => {
    const sim = new ShareSim({ entries: 1, slots: SLOTS })
    sim.load('steady', 0, 40)
    sim.load('late', 0, 20, 5_000)
    await sim.time.advance(60_000)
    const before = sim.snapshot()
    sim.load('late', 0, 40)
    await sim.time.advance(20_000)
    chai.expect(sim.gain('late', before)).to.be.at.most(sim.gain('steady', before) + MAX_DRIFT)
  })

  it('gives more slots to an account whose requests do less work per slot', async () => {
    const sim = new ShareSim({ entries: ENTRIES, slots: SLOTS })
    sim.slowdown.set('slow', 2)
    sim.load('slow', 0, 30)
    sim.load('quick', 1, 30)
    chai.expect(await workRatio(sim, 'slow', 'quick')).to.be.within(0.8, 1.25)
  })

  it('does not penalize an account that becomes active again for work done elsewhere long ago', async () => {
    const sim = new ShareSim({ entries: ENTRIES, slots: SLOTS })
    sim.load('worker', 0, 4, 3_000)
    sim.load('worker', 1, 40, 60_000)
    await sim.time.advance(61_000)
    const before = sim.snapshot()
    sim.load('worker', 0, 30)
    sim.load('newcomer', 0, 30)
    await sim.time.advance(10_000)
    chai.expect(sim.gain('worker', before)).to.be.at.least(sim.gain('newcomer', before) - MAX_DRIFT)
  })

  for (const [name, delivery] of Object.entries(deliveryFaults())) {
    it(`bounds the drift with ${name} share messages`, async () => {
      chai.expect(await largestDrift({ delivery })).to.be.at.most(2 * MAX_DRIFT)
    })
  }
})

describe('fair share when coordinator entries change', () => {
  it('returns to equal shares after a coordinator entry crashed', async () => {
    const sim = createBusySim({})
    await sim.time.advance(10_000)
    sim.entries[3]!.alive = false
    await sim.time.advance(3_500)
    sim.setCoordinators()
    await sim.time.advance(10_000)
    const before = sim.snapshot()
    await sim.time.advance(20_000)
    chai.expect(sim.gain('a', before) / sim.gain('b', before)).to.be.within(0.85, 1.15)
    chai.expect(sim.gain('a', before) + sim.gain('b', before)).to.be.above(0.9 * WORK_PER_MS * 20_000)
  })

  it('counts the work of other entries once when the coordinator entry changes', async () => {
    const sim = createBusySim({})
    await sim.time.advance(20_000)
    const progresses = (): number[] => ['a', 'b'].map((name) => sim.entries[0]!.admission.queueOf(SERVICE).account(name).progress)
    const before = progresses()
    const served = sim.snapshot()
    sim.setCoordinators((_viewer, other) => other !== 3)
    await sim.time.advance(5_000)
    sim.setCoordinators()
    await sim.time.advance(5_000)
    for (const [index, name] of ['a', 'b'].entries()) {
      chai.expect(progresses()[index]! - before[index]!).to.be.closeTo(sim.gain(name, served), MAX_DRIFT / 2)
    }
  })

  it('shares fairly on both sides of a partition, and over all entries after it', async () => {
    let isPartitioned = false
    const delivery: SimOptions['delivery'] = (from, to) => isPartitioned && (from < 2) !== (to < 2) ? [] : [1.5]
    const sim = createBusySim({ delivery })
    await sim.time.advance(10_000)
    isPartitioned = true
    sim.setCoordinators((viewer, other) => (viewer < 2) === (other < 2))
    const beforePartition = sim.snapshot()
    await sim.time.advance(20_000)
    for (const name of ['a', 'b']) chai.expect(sim.gain(name, beforePartition)).to.be.above(0.3 * WORK_PER_MS * 20_000)
    isPartitioned = false
    sim.setCoordinators()
    await sim.time.advance(15_000)
    const before = sim.snapshot()
    await sim.time.advance(10_000)
    chai.expect(sim.gain('a', before) / sim.gain('b', before)).to.be.within(0.8, 1.25)
  })
})

function createBusySim (options: Partial<SimOptions>): ShareSim {
  const sim = new ShareSim({ entries: ENTRIES, slots: SLOTS, ...options })
  for (let entry = 0; entry < ENTRIES; entry++) sim.load('a', entry, 20)
  for (const entry of [0, 2]) sim.load('b', entry, 30)
  return sim
}

async function smallestShare (options: Partial<SimOptions>): Promise<number> {
  const sim = new ShareSim({ entries: ENTRIES, slots: SLOTS, ...options })
  for (let entry = 0; entry < ENTRIES; entry++) sim.load('flood', entry, 64)
  for (let small = 0; small < 3; small++) sim.load(`small-${small}`, small, 8)
  await sim.time.advance(10_000)
  const before = sim.snapshot()
  await sim.time.advance(30_000)
  const fairWork = WORK_PER_MS * 30_000 / 4
  return Math.min(...[0, 1, 2].map((small) => sim.gain(`small-${small}`, before) / fairWork))
}

async function largestDrift (options: Partial<SimOptions>): Promise<number> {
  const sim = createBusySim(options)
  sim.load('c', 1, 30, Infinity, { weight: 2 })
  await sim.time.advance(10_000)
  const before = sim.snapshot()
  let largest = 0
  for (let sample = 0; sample < 120; sample++) {
    await sim.time.advance(500)
    const gains = [sim.gain('a', before), sim.gain('b', before), sim.gain('c', before, 2)]
    largest = Math.max(largest, Math.max(...gains) - Math.min(...gains))
  }
  return largest
}

async function workRatio (sim: ShareSim, first: string, second: string): Promise<number> {
  await sim.time.advance(10_000)
  const before = sim.snapshot()
  await sim.time.advance(20_000)
  return sim.gain(first, before) / sim.gain(second, before)
}

function deliveryFaults (): Record<string, NonNullable<SimOptions['delivery']>> {
  const random = new SeededRandom(11)
  return {
    lost: () => random.next() < 0.3 ? [] : [1.5],
    delayed: () => [random.next() * 1_000],
    duplicated: () => [1.5, random.next() * 3_000]
  }
}
