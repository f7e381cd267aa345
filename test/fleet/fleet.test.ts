import * as chai from 'chai'
import * as fleet from '../../src/fleet/index.js'
import * as log from '../../src/log/index.js'
import * as time from '../../src/time/index.js'
import * as build from '../support/gateway-builders.js'

function setUp () {
  const virtual = new time.VirtualTime()
  const gone: string[] = []
  const one = new fleet.Fleet({ clock: virtual, log: log.SILENT_LOGGER, onRemoved: (address) => gone.push(address) })
  const ids = (): string[] => one.ofService('s').filter((state) => state.acceptsCalls(virtual.now())).map((state) => state.record.id)
  return { virtual, one, gone, ids }
}

describe('Fleet', () => {
  it('sends nothing to a leaving target, also when an older entry is read later', () => {
    const { one, ids } = setUp()
    one.apply([build.aTarget('a'), build.aTarget('b')])
    one.apply([build.aTarget('a', { leaving: true }), build.aTarget('b')])
    one.apply([build.aTarget('a'), build.aTarget('b')])
    chai.expect(ids()).to.deep.equal(['b'])
  })

  it('takes a missing entry as gone, but not while entries may have lapsed with the store', async () => {
    const { virtual, one, ids } = setUp()
    one.apply([build.aTarget('a'), build.aTarget('b')])
    one.noteListFailure()
    one.apply([build.aTarget('b')])
    chai.expect(ids()).to.deep.equal(['a', 'b'])
    await virtual.advance(2_300)
    one.apply([build.aTarget('b')])
    chai.expect(ids()).to.deep.equal(['b'])
  })

  it('does not keep a leaving target that is missing after the store was away', () => {
    const { one } = setUp()
    one.apply([build.aTarget('a', { leaving: true })])
    one.noteListFailure()
    one.apply([])
    chai.expect(one.ofService('s')).to.have.length(0)
  })

  it('takes a target that started again under its id as a new one, and ignores late entries of the earlier start', () => {
    const { one, gone, ids } = setUp()
    one.apply([build.aTarget('a', { startedAt: 5 })])
    const first = one.ofService('s')[0]!
    first.cache.addPrompt({ promptTokens: 10, outputTokens: 1, segments: [{ id: 'p', tokens: 10 }] })
    one.apply([build.aTarget('a', { startedAt: 9 })])
    chai.expect(first.removed).to.equal(true)
    chai.expect(gone).to.have.length(1)
    one.apply([build.aTarget('a', { startedAt: 5, leaving: true })])
    chai.expect(ids()).to.deep.equal(['a'])
    chai.expect(one.ofService('s')[0]!.record.startedAt).to.equal(9)
  })
})

describe('FailureRecord', () => {
  it('pauses a target that cannot be reached, longer each time, and forgets failures', () => {
    const record = new fleet.FailureRecord()
    record.record('unreachable', 0, 0)
    chai.expect(record.isUsable(399)).to.equal(false)
    chai.expect(record.isUsable(400)).to.equal(true)
    record.record('unreachable', 400, 400)
    chai.expect(record.isUsable(1_199)).to.equal(false)
    chai.expect(record.failureRate(20_000)).to.be.below(0.02)
  })

  it('does not count what was sent before a pause as a new failure to reach the target', () => {
    const record = new fleet.FailureRecord()
    record.record('silent', 0, 700)
    record.record('silent', 100, 800)
    chai.expect(record.isUsable(1_100)).to.equal(true)
  })
})

describe('CacheEstimate', () => {
  const prompt = { promptTokens: 300, outputTokens: 1, segments: [{ id: 'a', tokens: 200 }, { id: 'b', tokens: 50 }, { id: 'c', tokens: 50 }] }

  it('counts parts only up to the first that is not kept whole', () => {
    const belief = new fleet.CacheEstimate()
    belief.addPrompt(prompt)
    chai.expect(belief.cachedTokens(prompt)).to.equal(300)
    belief.applyReport('a', 100)
    chai.expect(belief.cachedTokens(prompt)).to.equal(100)
    belief.applyReport('a', 0)
    chai.expect(belief.cachedTokens(prompt)).to.equal(0)
  })
})

describe('PeerLoad', () => {
  it('adds what others state, by rank, and drops old statements', () => {
    const peers = new fleet.PeerLoad()
    peers.apply('g1', [['t', 2, 100, 50]], 0)
    peers.apply('g2', [['t', 1, 10]], 500)
    chai.expect(peers.running('t', 600)).to.equal(3)
    chai.expect([peers.tokensAhead('t', 0, 600), peers.tokensAhead('t', 1, 600)]).to.deep.equal([110, 160])
    chai.expect(peers.tokensAhead('t', 9, 1_200)).to.equal(10)
  })
})
