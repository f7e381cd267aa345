import * as chai from 'chai'
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

  it('removes a target that is missing from the list, but not while its record may have expired during a store outage', async () => {
    const { virtual, knownTargets, usableIds } = setUp()
    knownTargets.apply([build.aTarget('a'), build.aTarget('b')])
    knownTargets.noteListFailure()
    knownTargets.apply([build.aTarget('b')])
    chai.expect(usableIds()).to.deep.equal(['a', 'b'])
    await virtual.advance(2_300)
    knownTargets.apply([build.aTarget('b')])
    chai.expect(usableIds()).to.deep.equal(['b'])
  })

  it('removes a leaving target that is missing after a store outage', () => {
    const { knownTargets } = setUp()
    knownTargets.apply([build.aTarget('a', { leaving: true })])
    knownTargets.noteListFailure()
    knownTargets.apply([])
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

describe('CacheEstimate', () => {
  const prompt = { promptTokens: 300, outputTokens: 1, segments: [{ id: 'a', tokens: 200 }, { id: 'b', tokens: 50 }, { id: 'c', tokens: 50 }] }

  it('counts segments only up to the first that is not completely cached', () => {
    const estimate = new fleet.CacheEstimate()
    estimate.addPrompt(prompt)
    chai.expect(estimate.cachedTokens(prompt)).to.equal(300)
    estimate.applyReport('a', 100)
    chai.expect(estimate.cachedTokens(prompt)).to.equal(100)
    estimate.applyReport('a', 0)
    chai.expect(estimate.cachedTokens(prompt)).to.equal(0)
  })
})

describe('PeerLoad', () => {
  it('adds up the reports of other gateways, and drops old reports', () => {
    const peerLoad = new fleet.PeerLoad()
    peerLoad.apply('g1', [['t', 2, 150]], 0)
    peerLoad.apply('g2', [['t', 1, 10]], 500)
    chai.expect(peerLoad.running('t', 600)).to.equal(3)
    chai.expect(peerLoad.pendingPrefillTokens('t', 600)).to.equal(160)
    chai.expect(peerLoad.pendingPrefillTokens('t', 1_200)).to.equal(10)
  })
})
