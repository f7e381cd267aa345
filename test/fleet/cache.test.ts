import * as chai from 'chai'
import * as fleet from '../../src/fleet/index.js'
import * as log from '../../src/log/index.js'
import type * as calls from '../../src/call/index.js'
import * as time from '../../src/time/index.js'
import type * as upstream from '../../src/upstream/index.js'
import * as build from '../support/gateway-builders.js'

const GATEWAYS = Array.from({ length: 30 }, (_, index) => `g${index}`)

const CHANGES: calls.CacheChanges = { epoch: 1, next: 5, changes: [{ id: 'p', tokens: 10 }] }

/** Each engine answers each question after its waiting time. */
function setUp (self: string, gateways: readonly string[]) {
  const virtual = new time.VirtualTime()
  const one = build.aFleet(virtual, Array.from({ length: 20 }, (_, index) => build.aTarget(`e${index}`, { stage: 'decode' })))
  const protocol: calls.CacheProtocol = {
    encodeCacheQuery: () => ({ method: 'GET', path: '/', headers: [] }) as unknown as calls.CacheQuery,
    decodeCacheChanges: () => CHANGES
  }
  let questions = 0
  const sender = {
    send: (_: unknown, sink: upstream.ResponseHandler) => {
      questions++
      virtual.after(1_000, () => {
        sink.onHead(200, {})
        sink.onEnd()
      })
      return { abort: () => {} }
    }
  } as unknown as upstream.Upstream
  const feed = new fleet.CacheFeed({ env: virtual.env(1), fleet: one, upstream: sender, protocol, selfName: self, gateways: () => gateways, log: log.SILENT_LOGGER })
  feed.start()
  return { virtual, one, feed, questions: () => questions }
}

describe('CacheFeed', () => {
  it('asks each engine from four gateways, so that the engine turns no question away, and one of them tells the others', async () => {
    const followers = new Map<string, number>()
    let tellers = 0
    for (const self of GATEWAYS) {
      const { virtual, one, feed } = setUp(self, GATEWAYS)
      await virtual.advance(8_000)
      for (const state of one.all()) if (state.followed) followers.set(state.record.id, (followers.get(state.record.id) ?? 0) + 1)
      tellers += one.cacheUpdates.changesSince(0).rows.length
      feed[Symbol.dispose]()
    }
    chai.expect([...followers.values()]).to.deep.equal(Array(20).fill(4))
    chai.expect(tellers).to.equal(20)
  })

  it('asks all engines itself among few gateways, and repeats nothing to them', async () => {
    const { virtual, one, feed } = setUp('g0', ['g0', 'g1', 'g2', 'g3'])
    await virtual.advance(8_000)
    chai.expect([...one.all()].filter((state) => state.followed)).to.have.length(20)
    chai.expect(one.cacheUpdates.changesSince(0)).to.deep.equal({ next: 0, rows: [] })
    feed[Symbol.dispose]()
  })

  it('asks few engines at once for all that they remember, so that the answers leave room for calls', async () => {
    const { virtual, feed, questions } = setUp('g0', ['g0'])
    await virtual.advance(600)
    chai.expect(questions()).to.equal(3)
    await virtual.advance(1_000)
    chai.expect(questions()).to.equal(6)
    feed[Symbol.dispose]()
  })

  it('does not pass on what an engine remembers at the first question: others know it, and it would fill their links', async () => {
    const { virtual, one, feed } = setUp('g0', ['g0', 'g1', 'g2', 'g3', 'g4'])
    await virtual.advance(1_700)
    chai.expect([...one.all()].filter((state) => state.followed)).not.to.have.length(0)
    chai.expect(one.cacheUpdates.changesSince(0).rows).to.have.length(0)
    feed[Symbol.dispose]()
  })

  it('stops to ask an engine when other gateways have its turn', async () => {
    const names = ['g0']
    const { virtual, one, feed } = setUp('g0', names)
    await virtual.advance(8_000)
    names.push(...GATEWAYS.slice(1))
    await virtual.advance(3_000)
    const followed = [...one.all()].filter((state) => state.followed).length
    chai.expect(followed).to.be.below(20)
    feed[Symbol.dispose]()
  })
})

describe('CacheNews', () => {
  it('gives what is new since a position, in bounded answers, and keeps a bounded number', () => {
    const news = new fleet.CacheUpdates()
    for (let index = 0; index < 20_000; index++) news.add('e1', [{ id: `p${index}`, tokens: 1 }])
    const first = news.changesSince(0)
    chai.expect(first.rows[0]!.changes).to.have.length(200)
    chai.expect(first.next).to.be.above(200)
    chai.expect(news.changesSince(20_000).rows).to.have.length(0)
    chai.expect(news.changesSince(undefined)).to.deep.equal({ next: 20_000, rows: [] })
    chai.expect(news.changesSince(19_999).rows[0]!.changes).to.deep.equal([{ id: 'p19999', tokens: 1 }])
  })
})
