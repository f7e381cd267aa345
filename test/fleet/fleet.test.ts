import * as chai from 'chai'
import type * as exchange from '../../src/exchange/index.js'
import * as fleet from '../../src/fleet/index.js'
import * as log from '../../src/log/index.js'
import * as time from '../../src/time/index.js'
import * as build from '../support/gateway-builders.js'

function setUp () {
  const virtual = new time.VirtualTime()
  const removedAddresses: string[] = []
  const knownTargets = new fleet.Fleet({ clock: virtual, log: log.SILENT_LOGGER, onRemoved: (address) => removedAddresses.push(address) })
  const usableIds = (): string[] => knownTargets.ofService('s').filter((state) => state.acceptsCalls(virtual.now())).map((state) => state.record.id)
  return { virtual, knownTargets, removedAddresses, usableIds }
}

describe('Fleet', () => {
  it('sends no calls to a leaving target, also when an older record is read later', () => {
    const { knownTargets, usableIds } = setUp()
    knownTargets.apply([build.aTarget('a'), build.aTarget('b')])
    knownTargets.apply([build.aTarget('a', { leaving: true }), build.aTarget('b')])
    knownTargets.apply([build.aTarget('a'), build.aTarget('b')])
    chai.expect(usableIds()).to.deep.equal(['b'])
  })

  it('counts the segments that are tracked for all targets', () => {
    const { knownTargets } = setUp()
    knownTargets.apply([build.aTarget('a'), build.aTarget('b')])
    for (const state of knownTargets.all()) for (const id of ['p', 'q']) state.cache.applyReport(id, 10)
    chai.expect(knownTargets.trackedSegments).to.equal(4)
  })

  it('removes a target that is missing from the list, but not while its record may have expired during a store outage', async () => {
    const { virtual, knownTargets, usableIds } = setUp()
    knownTargets.apply([build.aTarget('a'), build.aTarget('b')])
    knownTargets.apply([build.aTarget('b')], { era: 0, keepUntil: 2_000 })
    await virtual.advance(1_999)
    knownTargets.apply([build.aTarget('b')])
    chai.expect(usableIds()).to.deep.equal(['a', 'b'])
    await virtual.advance(1)
    chai.expect(usableIds(), 'before the next list').to.deep.equal(['b'])
    knownTargets.apply([build.aTarget('b')])
    chai.expect(knownTargets.ofService('s')).to.have.length(1)
  })

  it('removes at once a target that was listed after a store outage and is missing when all have registered again', () => {
    const { knownTargets, usableIds } = setUp()
    knownTargets.apply([build.aTarget('a'), build.aTarget('b'), build.aTarget('c')])
    knownTargets.apply([build.aTarget('a'), build.aTarget('b')], { era: 0, keepUntil: 2_000 })
    knownTargets.apply([build.aTarget('b')])
    chai.expect(usableIds()).to.deep.equal(['b', 'c'])
  })

  it('keeps a target for an outage once: it is kept again only after it was listed', async () => {
    const { virtual, knownTargets, usableIds } = setUp()
    knownTargets.apply([build.aTarget('a')])
    knownTargets.apply([], { era: 0, keepUntil: 2_000 })
    await virtual.advance(1_000)
    knownTargets.apply([], { era: 0, keepUntil: 3_000 })
    await virtual.advance(1_000)
    chai.expect(usableIds()).to.deep.equal([])
  })

  it('does not use a target whose address another one has taken when the list, which is not up to date, names it again', async () => {
    const { virtual, knownTargets, removedAddresses, usableIds } = setUp()
    const records = [build.aTarget('a'), build.aTarget('b')]
    knownTargets.apply(records)
    knownTargets.noteMisaddressed(knownTargets.ofService('s')[0]!, virtual.now())
    chai.expect(removedAddresses).to.deep.equal([records[0]!.address])
    await virtual.advance(300)
    knownTargets.apply(records)
    chai.expect(usableIds()).to.deep.equal(['b'])
    knownTargets.apply([build.aTarget('a', { startedAt: 9 }), records[1]!])
    chai.expect(usableIds(), 'restarted').to.have.members(['a', 'b'])
  })

  it('tries a target that another one seemed to have replaced again, less and less often', async () => {
    const { virtual, knownTargets, usableIds } = setUp()
    knownTargets.apply([build.aTarget('a')])
    const [state] = knownTargets.ofService('s')
    for (const pauseMs of [400, 800, 1_600]) {
      knownTargets.noteMisaddressed(state!, virtual.now())
      await virtual.advance(pauseMs - 1)
      chai.expect(usableIds(), `before ${pauseMs}`).to.deep.equal([])
      await virtual.advance(1)
      chai.expect(usableIds(), `after ${pauseMs}`).to.deep.equal(['a'])
    }
  })

  it('removes a leaving target that is missing after a store outage', () => {
    const { knownTargets } = setUp()
    knownTargets.apply([build.aTarget('a', { leaving: true })])
    knownTargets.apply([], { era: 0, keepUntil: 2_000 })
    chai.expect(knownTargets.ofService('s')).to.have.length(0)
  })

  it('treats a target that restarted under its id as a new one, and ignores late records of the earlier incarnation', () => {
    const { knownTargets, removedAddresses, usableIds } = setUp()
    knownTargets.apply([build.aTarget('a', { startedAt: 5 })])
    const firstState = knownTargets.ofService('s')[0]!
    firstState.cache.addPrompt({ promptTokens: 10, outputTokens: 1, segments: [{ id: 'p', tokens: 10 }] })
    knownTargets.apply([build.aTarget('a', { startedAt: 9 })])
    chai.expect(firstState.removed).to.equal(true)
    chai.expect(removedAddresses).to.have.length(1)
    knownTargets.apply([build.aTarget('a', { startedAt: 5, leaving: true })])
    chai.expect(usableIds()).to.deep.equal(['a'])
    chai.expect(knownTargets.ofService('s')[0]!.record.startedAt).to.equal(9)
  })
})

describe('RemovedTargets', () => {
  const RESTORED: fleet.ListStatus = { era: 1, mayListRemoved: true }

  it('does not let an earlier start return from an older copy, and takes a later start or another address for a new target', () => {
    const removed = new fleet.RemovedTargets()
    for (const leaving of [true, false]) {
      removed.note(build.aTarget('a', { startedAt: 5, leaving }), 0, 0)
      chai.expect(removed.admit(build.aTarget('a', { startedAt: 4, address: '10.0.0.9:1' }), RESTORED, 1)).to.equal(false)
      chai.expect(removed.admit(build.aTarget('a', { startedAt: 5, address: '10.0.0.9:1' }), RESTORED, 1)).to.equal(true)
      removed.note(build.aTarget('a', { startedAt: 5, leaving }), 0, 0)
      chai.expect(removed.admit(build.aTarget('a', { startedAt: 6 }), RESTORED, 1)).to.equal(true)
    }
  })

  it('remembers a bounded number of targets for a bounded time', () => {
    const removed = new fleet.RemovedTargets()
    for (let index = 0; index < 5_000; index++) removed.note(build.aTarget(`t${index}`, { leaving: true }), 0, index)
    chai.expect(removed.size).to.equal(1_000)
    chai.expect([removed.admit(build.aTarget('t3999'), RESTORED, 5_000), removed.admit(build.aTarget('t4000'), RESTORED, 5_000)]).to.deep.equal([true, false])
    removed.note(build.aTarget('late', { leaving: true }), 0, 700_000)
    chai.expect(removed.size).to.equal(1)
    chai.expect(removed.admit(build.aTarget('late'), RESTORED, 1_300_000)).to.equal(true)
  })
})

describe('FailureRecord', () => {
  it('pauses an unreachable target, longer each time, and lets failures decay', () => {
    const record = new fleet.FailureRecord()
    record.record('unreachable', 0, 0)
    chai.expect(record.isUsable(399)).to.equal(false)
    chai.expect(record.isUsable(400)).to.equal(true)
    record.record('unreachable', 400, 400)
    chai.expect(record.isUsable(1_199)).to.equal(false)
    chai.expect(record.failureRate(20_000)).to.be.below(0.02)
  })

  it('does not pause a target again for an attempt that was sent before the last pause', () => {
    const record = new fleet.FailureRecord()
    record.record('silent', 0, 700)
    record.record('silent', 100, 800)
    chai.expect(record.isUsable(1_100)).to.equal(true)
  })
})

describe('PeerLoad', () => {
  const linkTo = (gateway: string, kind: exchange.LinkKind): exchange.Link => ({ gateway, incarnation: '1', kind })

  it('adds up what members and other relays tell, until their links end', () => {
    const peerLoad = new fleet.PeerLoad({ clock: new time.VirtualTime(), ownRows: () => [['t', 5, 50]] })
    peerLoad.apply(linkTo('g1', 'member'), { complete: true, rows: [['t', 2, 150]] })
    peerLoad.apply(linkTo('g2', 'fellow'), { complete: true, rows: [['t', 1, 10]] })
    chai.expect([peerLoad.running('t'), peerLoad.pendingPrefillTokens('t')]).to.deep.equal([3, 160])
    chai.expect(peerLoad.changesSince(linkTo('g2', 'fellow'), undefined)!.payload).to.deep.equal({ complete: true, rows: [['t', 7, 200]] })
    peerLoad.linkEnded(linkTo('g1', 'member'))
    chai.expect([peerLoad.running('t'), peerLoad.pendingPrefillTokens('t')]).to.deep.equal([1, 10])
  })

  it('subtracts what this gateway has told from the totals of its relay, and drops old totals', async () => {
    const virtual = new time.VirtualTime()
    let own: fleet.LoadRow[] = [['t', 2, 100]]
    const peerLoad = new fleet.PeerLoad({ clock: virtual, ownRows: () => own })
    const relay = linkTo('r', 'relay')
    peerLoad.changesSince(relay, undefined)
    own = [['t', 9, 900]]
    peerLoad.apply(relay, { complete: true, rows: [['t', 6, 300], ['u', 1, 0]] })
    chai.expect([peerLoad.running('t'), peerLoad.pendingPrefillTokens('t'), peerLoad.running('u')]).to.deep.equal([4, 200, 1])
    await virtual.advance(1_001)
    chai.expect(peerLoad.running('t')).to.equal(0)
  })

  it('tells a member only the totals that have changed, also those that are zero again', async () => {
    const virtual = new time.VirtualTime()
    let own: fleet.LoadRow[] = [['t', 2, 100], ['u', 1, 0]]
    const peerLoad = new fleet.PeerLoad({ clock: virtual, ownRows: () => own })
    const member = linkTo('m', 'member')
    const first = peerLoad.changesSince(member, undefined)!
    chai.expect(first.payload).to.deep.equal({ complete: true, rows: [['t', 2, 100], ['u', 1, 0]] })
    own = [['u', 1, 0]]
    await virtual.advance(100)
    chai.expect(peerLoad.changesSince(member, first.next)!.payload).to.deep.equal({ complete: false, rows: [['t', 0, 0]] })
  })
})
