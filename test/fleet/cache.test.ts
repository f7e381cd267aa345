import * as chai from 'chai'
import * as fleet from '../../src/fleet/index.js'
import * as log from '../../src/log/index.js'
import type * as calls from '../../src/call/index.js'
import * as time from '../../src/time/index.js'
import type * as upstream from '../../src/upstream/index.js'
import * as build from '../support/gateway-builders.js'

const GATEWAYS = Array.from({ length: 30 }, (_, index) => `g${index}`)

const CHANGES: calls.CacheChanges = { epoch: 1, next: 5, changes: [{ id: 'p', tokens: 10 }] }

/** A feed over 20 engines; each engine responds to a poll after 1 s. */
function setUp (selfName: string, gateways: readonly string[]) {
  const virtual = new time.VirtualTime()
  const knownTargets = build.aFleet(virtual, Array.from({ length: 20 }, (_, index) => build.aTarget(`e${index}`, { stage: 'decode' })))
  const protocol: calls.CacheProtocol = {
    encodeCacheQuery: () => ({ method: 'GET', path: '/', headers: [] }) as unknown as calls.CacheQuery,
    decodeCacheChanges: () => CHANGES
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
  it('polls each engine from four gateways only, since engines reject more polls, and relays its changes from one of them', async () => {
    const followers = new Map<string, number>()
    let relayedTargets = 0
    for (const selfName of GATEWAYS) {
      const { virtual, knownTargets, feed } = setUp(selfName, GATEWAYS)
      await virtual.advance(8_000)
      for (const state of knownTargets.all()) if (state.followed) followers.set(state.record.id, (followers.get(state.record.id) ?? 0) + 1)
      relayedTargets += knownTargets.cacheUpdates.changesSince(0).rows.length
      feed[Symbol.dispose]()
    }
    chai.expect([...followers.values()]).to.deep.equal(Array(20).fill(4))
    chai.expect(relayedTargets).to.equal(20)
  })

  it('polls every engine when there are only four gateways, and relays nothing to the others', async () => {
    const { virtual, knownTargets, feed } = setUp('g0', ['g0', 'g1', 'g2', 'g3'])
    await virtual.advance(8_000)
    chai.expect([...knownTargets.all()].filter((state) => state.followed)).to.have.length(20)
    chai.expect(knownTargets.cacheUpdates.changesSince(0)).to.deep.equal({ next: 0, rows: [] })
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

  it('does not relay the response to a first poll, which other gateways know and which would fill their links', async () => {
    const { virtual, knownTargets, feed } = setUp('g0', ['g0', 'g1', 'g2', 'g3', 'g4'])
    await virtual.advance(1_700)
    chai.expect([...knownTargets.all()].filter((state) => state.followed)).not.to.have.length(0)
    chai.expect(knownTargets.cacheUpdates.changesSince(0).rows).to.have.length(0)
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
  it('lists the changes from a position on in bounded replies, and retains a bounded number of them', () => {
    const updates = new fleet.CacheUpdates()
    for (let index = 0; index < 20_000; index++) updates.add('e1', [{ id: `p${index}`, tokens: 1 }])
    const batch = updates.changesSince(0)
    chai.expect(batch.rows[0]!.changes).to.have.length(200)
    chai.expect(batch.next).to.be.above(200)
    chai.expect(updates.changesSince(20_000).rows).to.have.length(0)
    chai.expect(updates.changesSince(undefined)).to.deep.equal({ next: 20_000, rows: [] })
    chai.expect(updates.changesSince(19_999).rows[0]!.changes).to.deep.equal([{ id: 'p19999', tokens: 1 }])
  })
})
