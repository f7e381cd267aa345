import * as chai from 'chai'
import * as fc from 'fast-check'
import { FairAdmission, ShareExchange, ShareCoordinator, type ShareReport } from '../../src/admission/index.js'
import { VirtualTime } from '../../src/time/index.js'

describe('ShareHome', () => {
  it('counts each work unit once, however reports are repeated and reordered', () => {
    fc.assert(fc.property(fc.array(fc.nat(100), { minLength: 1, maxLength: 20 }), fc.array(fc.nat(19), { maxLength: 60 }), (steps, order) => {
      const home = new ShareCoordinator('h')
      const totals = steps.map((_, index) => steps.slice(0, index + 1).reduce((sum, step) => sum + step, 0))
      const delivered = order.map((index) => index % steps.length)
      for (const index of delivered) home.apply(report('a', 0, index, totals[index]!), 0)
      const newest = Math.max(-1, ...delivered)
      chai.expect(othersSeenBy('b', home)).to.equal(newest < 0 ? 0 : totals[newest])
    }), { seed: 7 })
  })

  it('drops reports of an older incarnation and keeps what it did', () => {
    const home = new ShareCoordinator('h')
    home.apply(report('a', 1, 9, 50), 0)
    home.apply(report('a', 2, 0, 5), 0)
    chai.expect(home.apply(report('a', 1, 10, 500), 0)).to.equal(undefined)
    chai.expect(othersSeenBy('b', home)).to.equal(55)
  })

  it('does not count again what another home entry has counted', () => {
    const home = new ShareCoordinator('h')
    home.apply(report('a', 0, 0, 1_000, 990), 0)
    chai.expect(othersSeenBy('b', home)).to.equal(10)
  })

  it('answers the demand of live entries only', () => {
    const home = new ShareCoordinator('h')
    home.apply(report('a', 0, 0, 1), 0)
    chai.expect(home.apply(report('b', 0, 0, 0), 4_000)?.rows?.['s']?.[0]?.[2]).to.equal(3)
    chai.expect(home.apply(report('b', 0, 1, 0), 6_000)?.rows?.['s']?.[0]?.[2]).to.equal(0)
  })
})

describe('SlotHome', () => {
  it('gives the slots of an entry that claims no more to the others', () => {
    const { slots } = new ShareCoordinator('h')
    slots.setTotal('s', 10)
    slots.claim('a', ['s', 1, 20, 1, 0], 0)
    chai.expect(slots.claim('b', ['s', 1, 20, 1, 0], 0)).to.deep.equal(['s', 5, 0, 5])
    chai.expect(slots.claim('b', ['s', 1, 20, 1, 0], 4_000)).to.deep.equal(['s', 10, 0, 10])
  })
})

describe('ShareExchange', () => {
  it('sends at most 4 KiB of rows at once and every changed account in turn', () => {
    const { admission, exchange } = exchangeOf()
    const queue = admission.queueOf('s')
    for (let index = 0; index < 1_000; index++) queue.charge(queue.account(`account-${index}`, 1), index + 1, 0)
    const seen = new Set<string>()
    for (let step = 0; step < 24; step++) {
      const rows = exchange.step(step * 1_000).flatMap(({ report }) => report.rows?.['s'] ?? [])
      chai.expect(JSON.stringify(rows).length).to.be.at.most(4_096 + 64)
      for (const [name] of rows) seen.add(name)
    }
    chai.expect(seen.size).to.equal(1_000)
  })

  it('sends the largest change first', () => {
    const { admission, exchange } = exchangeOf()
    const queue = admission.queueOf('s')
    for (let index = 0; index < 1_000; index++) queue.charge(queue.account(`account-${index}`, 1), index === 900 ? 500 : 1, 0)
    const rows = exchange.step(0).flatMap(({ report }) => report.rows?.['s'] ?? [])
    chai.expect(rows[0]?.[0]).to.equal('account-900')
  })
})

describe('a change of home entry', () => {
  it('counts what a new home entry began to count, and nothing from before', () => {
    const { admission, exchange } = exchangeOf()
    const account = admission.queueOf('s').account('x', 1)
    const progress = ([home, others, begun]: [string, number, 0 | 1]): number => {
      exchange.answered(report('a', 0, 0, 0), { home, rows: { s: [['x', others, 0, begun]] } }, 0)
      return account.progress
    }
    const answers: Array<[string, number, 0 | 1]> = [['h1', 100, 1], ['h1', 150, 0], ['h2', 30, 1], ['h3', 5_000, 0], ['h3', 5_010, 0]]
    chai.expect(answers.map(progress)).to.deep.equal([0, 50, 80, 80, 90])
  })
})

function exchangeOf (): { admission: FairAdmission, exchange: ShareExchange } {
  const admission = new FairAdmission(new VirtualTime().env(1))
  const exchange = new ShareExchange(admission, { id: 'a', incarnation: 'a-0', epoch: 0 })
  exchange.setHomes([{ id: 'h', peerAddress: 'h' }], 1)
  return { admission, exchange }
}

function report (id: string, epoch: number, seq: number, total: number, base = 0): ShareReport {
  return { id, incarnation: `${id}-${epoch}`, epoch, seq, rows: { s: [['x', total, 3, base]] } }
}

function othersSeenBy (id: string, home: ShareCoordinator): number | undefined {
  return home.apply(report(id, 0, 0, 0), 0)?.rows?.['s']?.[0]?.[1]
}
