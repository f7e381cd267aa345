import * as chai from 'chai'
import type * as exchange from '../../src/exchange/index.js'
import * as fleet from '../../src/fleet/index.js'
import * as log from '../../src/log/index.js'
import type * as calls from '../../src/call/index.js'
import * as time from '../../src/time/index.js'
import type * as upstream from '../../src/upstream/index.js'
import * as build from '../support/gateway-builders.js'

const GATEWAYS = Array.from({ length: 30 }, (_, index) => `g${index}`)

const CHANGES: calls.CacheChanges = { epoch: 1, next: 5, changes: [{ id: 'p', tokens: 1_000 }, { id: 'q', tokens: 10 }] }

const FELLOW: exchange.Link = { gateway: 'other', incarnation: '1', kind: 'fellow' }

/** Rows that a fellow relay gets of the changes after a position. */
function rowsSince (updates: fleet.CacheUpdates, position: number): fleet.CacheRow[] {
  return (updates.changesSince(FELLOW, position)?.payload ?? []) as fleet.CacheRow[]
}

/** A feed over 20 engines; each engine responds to a poll after 1 s. The first polls fail, or get a malformed response. */
function setUp (selfName: string, gateways: readonly string[], { failingPolls = 0, malformedPolls = 0 } = {}) {
  const virtual = new time.VirtualTime()
  const knownTargets = build.aFleet(virtual, Array.from({ length: 20 }, (_, index) => build.aTarget(`e${index}`, { stage: 'decode' })))
  const protocol: calls.CacheProtocol = {
    decodeLoad: () => ({ running: 2, waiting: 1, slots: 4 }),
    encodeCacheQuery: () => ({ method: 'GET', path: '/', headers: [] }) as unknown as calls.CacheQuery,
    decodeCacheChanges: () => {
      if (failingPolls-- > 0) throw new Error('cannot decode')
      return malformedPolls-- > 0 ? undefined : CHANGES
    }
  }
  let polls = 0
  const client = {
    send: (_: unknown, handler: upstream.ResponseHandler) => {
      polls++
      virtual.after(1_000, () => {
        handler.onHead(200, {})
        handler.onEnd()
      })
      return { abort: () => {} }
    }
  } as unknown as upstream.Upstream
  const feed = new fleet.CacheFeed({ env: virtual.env(1), fleet: knownTargets, upstream: client, protocol, selfName, gateways: () => gateways, log: log.SILENT_LOGGER })
  feed.start()
  return { virtual, knownTargets, feed, pollCount: () => polls }
}

describe('CacheFeed', () => {
  it('polls each engine from one gateway, since engines reject many polls, and tells the others of its larger segments', async () => {
    const followers = new Map<string, number>()
    let told = 0
    for (const selfName of GATEWAYS) {
      const { virtual, knownTargets, feed } = setUp(selfName, GATEWAYS)
      await virtual.advance(8_000)
      for (const state of knownTargets.all()) if (state.followed) followers.set(state.record.id, (followers.get(state.record.id) ?? 0) + 1)
      const rows = rowsSince(knownTargets.cacheUpdates, 0)
      told += rows.length
      chai.expect(rows.flatMap((row) => row.changes).every(([id]) => id === 'p')).to.equal(true)
      feed[Symbol.dispose]()
    }
    chai.expect([...followers.values()]).to.deep.equal(Array(20).fill(1))
    chai.expect(told).to.equal(20)
  })

  it('polls an engine again whose first poll failed in an unexpected way, and the other engines too', async () => {
    const { virtual, knownTargets, pollCount } = setUp('g0', ['g0'], { failingPolls: 3 })
    await virtual.advance(12_000)
    chai.expect([...knownTargets.all()].filter((state) => state.cache.tokensOf('p') === 1_000)).to.have.length(20)
    chai.expect(pollCount()).to.be.greaterThan(23)
    chai.expect([...knownTargets.all()].some((state) => state.load(virtual.now()) > 0), 'load reported in responses to polls').to.equal(true)
  })

  // An engine that spoiled each of its responses was polled each second; decoding them cost the gateway its time and memory.
  it('polls an engine ever more rarely while its responses are malformed, and as before once one is sound', async () => {
    const engines = 20
    const { virtual, knownTargets, pollCount, feed } = setUp('g0', ['g0'], { malformedPolls: 6 * engines })
    await virtual.advance(60_000)
    const whileMalformed = pollCount()
    chai.expect(whileMalformed).to.be.within(5 * engines, 6 * engines)
    await virtual.advance(60_000)
    chai.expect([...knownTargets.all()].filter((state) => state.cache.tokensOf('p') === 1_000)).to.have.length(engines)
    chai.expect(pollCount() - whileMalformed).to.be.greaterThan(15 * engines)
    feed[Symbol.dispose]()
  })

  it('polls every engine when there are only four gateways, and tells the others nothing', async () => {
    const { virtual, knownTargets, feed } = setUp('g0', ['g0', 'g1', 'g2', 'g3'])
    await virtual.advance(8_000)
    chai.expect([...knownTargets.all()].filter((state) => state.followed)).to.have.length(20)
    chai.expect(rowsSince(knownTargets.cacheUpdates, 0)).to.deep.equal([])
    feed[Symbol.dispose]()
  })

  it('makes at most three first polls at once, so that their large responses leave room for calls', async () => {
    const { virtual, feed, pollCount } = setUp('g0', ['g0'])
    await virtual.advance(600)
    chai.expect(pollCount()).to.equal(3)
    await virtual.advance(1_000)
    chai.expect(pollCount()).to.equal(6)
    feed[Symbol.dispose]()
  })

  it('does not tell the response to a first poll, which other gateways know and which would fill their links', async () => {
    const { virtual, knownTargets, feed } = setUp('g0', ['g0', 'g1', 'g2', 'g3', 'g4'])
    await virtual.advance(1_700)
    chai.expect([...knownTargets.all()].filter((state) => state.followed)).not.to.have.length(0)
    chai.expect(rowsSince(knownTargets.cacheUpdates, 0)).to.have.length(0)
    feed[Symbol.dispose]()
  })

  it('stops polling an engine that is assigned to other gateways after gateways join', async () => {
    const names = ['g0']
    const { virtual, knownTargets, feed } = setUp('g0', names)
    await virtual.advance(8_000)
    names.push(...GATEWAYS.slice(1))
    await virtual.advance(3_000)
    const followed = [...knownTargets.all()].filter((state) => state.followed).length
    chai.expect(followed).to.be.below(20)
    feed[Symbol.dispose]()
  })
})

describe('CacheUpdates', () => {
  const setUpUpdates = () => {
    const applied: fleet.CacheRow[] = []
    return { applied, updates: new fleet.CacheUpdates((rows) => applied.push(...rows)) }
  }

  it('tells the changes from a position on in bounded messages, and retains a bounded number of them', () => {
    const { updates } = setUpUpdates()
    for (let index = 0; index < 20_000; index++) updates.add('e1', [{ id: `p${index}`, tokens: 1 }])
    chai.expect(rowsSince(updates, 0)[0]!.changes).to.have.length(400)
    chai.expect(updates.changesSince(FELLOW, 0)!.next).to.be.above(400)
    chai.expect(updates.changesSince(FELLOW, 20_000)).to.equal(undefined)
    chai.expect(updates.changesSince(FELLOW, undefined)).to.deep.equal({ next: 20_000, payload: [] })
    chai.expect(rowsSince(updates, 19_999)[0]!.changes).to.deep.equal([['p19999', 1]])
  })

  it('tells members what fellow relays have told, but neither the fellow relays nor the one that told it', () => {
    const { updates, applied } = setUpUpdates()
    const row: fleet.CacheRow = { target: 'e1', restarted: false, changes: [['p', 500]] }
    updates.apply(FELLOW, [row])
    chai.expect(applied).to.deep.equal([row])
    chai.expect(updates.changesSince({ ...FELLOW, gateway: 'third' }, 0)!.payload).to.deep.equal([])
    chai.expect(updates.changesSince({ gateway: 'm', incarnation: '1', kind: 'member' }, 0)!.payload).to.deep.equal([row])
    updates.apply({ gateway: 'm', incarnation: '1', kind: 'member' }, [{ ...row, target: 'e2' }])
    chai.expect(updates.changesSince({ gateway: 'm', incarnation: '1', kind: 'member' }, 1)!.payload).to.deep.equal([])
    chai.expect(updates.changesSince(FELLOW, 1)!.payload).to.deep.equal([{ ...row, target: 'e2' }])
  })
})
