import * as chai from 'chai'
import * as fc from 'fast-check'
import { FairAdmission, ShareExchange, ShareCoordinator, type ShareReport } from '../../src/admission/index.js'
import { VirtualTime } from '../../src/time/index.js'

describe('ShareCoordinator', () => {
  it('counts each work unit once when reports are duplicated and reordered', () => {
    fc.assert(fc.property(fc.array(fc.nat(100), { minLength: 1, maxLength: 20 }), fc.array(fc.nat(19), { maxLength: 60 }), (steps, order) => {
      const coordinator = new ShareCoordinator('h')
      const totals = steps.map((_, index) => steps.slice(0, index + 1).reduce((sum, step) => sum + step, 0))
      const delivered = order.map((index) => index % steps.length)
      for (const index of delivered) coordinator.apply(createReport('a', 0, index, totals[index]!), 0)
      const newest = Math.max(-1, ...delivered)
      chai.expect(othersWorkSeenBy('b', coordinator)).to.equal(newest < 0 ? 0 : totals[newest])
    }), { seed: 7 })
  })

  it('drops reports of an older incarnation and keeps the work it reported before', () => {
    const coordinator = new ShareCoordinator('h')
    coordinator.apply(createReport('a', 1, 9, 50), 0)
    coordinator.apply(createReport('a', 2, 0, 5), 0)
    chai.expect(coordinator.apply(createReport('a', 1, 10, 500), 0)).to.equal(undefined)
    chai.expect(othersWorkSeenBy('b', coordinator)).to.equal(55)
  })

  it('does not count work again that another coordinator entry has counted', () => {
    const coordinator = new ShareCoordinator('h')
    coordinator.apply(createReport('a', 0, 0, 1_000, 990), 0)
    chai.expect(othersWorkSeenBy('b', coordinator)).to.equal(10)
  })

  it('replies with the demand of live entries only', () => {
    const coordinator = new ShareCoordinator('h')
    coordinator.apply(createReport('a', 0, 0, 1), 0)
    chai.expect(coordinator.apply(createReport('b', 0, 0, 0), 4_000)?.rows?.['s']?.[0]?.[2]).to.equal(3)
    chai.expect(coordinator.apply(createReport('b', 0, 1, 0), 6_000)?.rows?.['s']?.[0]?.[2]).to.equal(0)
  })
})

describe('SlotCoordinator', () => {
  it('gives the slots of an entry that stopped renewing its claim to the others', () => {
    const { slots } = new ShareCoordinator('h')
    slots.setTotalSlots('s', 10)
    slots.applyClaim('a', ['s', 1, 20, 1, 0], 0)
    chai.expect(slots.applyClaim('b', ['s', 1, 20, 1, 0], 0)).to.deep.equal(['s', 5, 0, 5])
    chai.expect(slots.applyClaim('b', ['s', 1, 20, 1, 0], 4_000)).to.deep.equal(['s', 10, 0, 10])
  })
})

describe('ShareExchange', () => {
  it('sends at most 4 KiB of rows per interval, and reports each changed account in turn', () => {
    const { admission, exchange } = createExchange()
    const queue = admission.queueOf('s')
    for (let index = 0; index < 1_000; index++) queue.charge(queue.account(`account-${index}`, 1), index + 1, 0)
    const reported = new Set<string>()
    for (let step = 0; step < 24; step++) {
      const rows = exchange.createReports(step * 1_000).flatMap(({ report }) => report.rows?.['s'] ?? [])
      chai.expect(JSON.stringify(rows).length).to.be.at.most(4_096 + 64)
      for (const [name] of rows) reported.add(name)
    }
    chai.expect(reported.size).to.equal(1_000)
  })

  it('sends the largest change first', () => {
    const { admission, exchange } = createExchange()
    const queue = admission.queueOf('s')
    for (let index = 0; index < 1_000; index++) queue.charge(queue.account(`account-${index}`, 1), index === 900 ? 500 : 1, 0)
    const rows = exchange.createReports(0).flatMap(({ report }) => report.rows?.['s'] ?? [])
    chai.expect(rows[0]?.[0]).to.equal('account-900')
  })
})

describe('a change of the coordinator entry', () => {
  it('counts the new sum of a coordinator that took over, and only increments of an established sum', () => {
    const { admission, exchange } = createExchange()
    const account = admission.queueOf('s').account('x', 1)
    const progress = ([coordinator, othersWork, isNewSum]: [string, number, 0 | 1]): number => {
      exchange.applyReply(createReport('a', 0, 0, 0), { home: coordinator, rows: { s: [['x', othersWork, 0, isNewSum]] } }, 0)
      return account.progress
    }
    const replies: Array<[string, number, 0 | 1]> = [['h1', 100, 1], ['h1', 150, 0], ['h2', 30, 1], ['h3', 5_000, 0], ['h3', 5_010, 0]]
    chai.expect(replies.map(progress)).to.deep.equal([0, 50, 80, 80, 90])
  })
})

function createExchange (): { admission: FairAdmission, exchange: ShareExchange } {
  const admission = new FairAdmission(new VirtualTime().env(1))
  const exchange = new ShareExchange(admission, { id: 'a', incarnation: 'a-0', epoch: 0 })
  exchange.setCoordinators([{ id: 'h', peerAddress: 'h' }], 1)
  return { admission, exchange }
}

function createReport (id: string, epoch: number, seq: number, work: number, countedElsewhere = 0): ShareReport {
  return { id, incarnation: `${id}-${epoch}`, epoch, seq, rows: { s: [['x', work, 3, countedElsewhere]] } }
}

function othersWorkSeenBy (id: string, coordinator: ShareCoordinator): number | undefined {
  return coordinator.apply(createReport(id, 0, 0, 0), 0)?.rows?.['s']?.[0]?.[1]
}
