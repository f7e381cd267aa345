import * as chai from 'chai'
import * as directory from '../../src/directory/index.js'
import * as errors from '../../src/errors/index.js'
import * as fleet from '../../src/fleet/index.js'
import * as log from '../../src/log/index.js'
import type * as peer from '../../src/peer/index.js'
import * as standin from '../../src/standin/index.js'
import * as time from '../../src/time/index.js'
import * as build from '../support/gateway-builders.js'

/** Gateways that share a store and call each other with a delay of 2 ms. */
class Region {
  readonly virtual = new time.VirtualTime()
  readonly store = new standin.MemoryStore(this.virtual)
  private readonly handlers = new Map<string, Map<string, peer.PeerHandler>>()

  start (name: string, incarnation: string) {
    const handlers = new Map<string, peer.PeerHandler>()
    const call = async <T>(address: string, method: string, params: unknown): Promise<errors.Result<T, peer.PeerError>> => {
      await time.delay(this.virtual, 2)
      const handler = this.handlers.get(address)?.get(method)
      return handler === undefined ? errors.Err({ kind: 'timeout', message: 'no reply' }) : errors.Ok(await handler(params) as T)
    }
    this.handlers.set(`${name}:2`, handlers)
    const targets = build.aFleet(this.virtual, [build.aTarget('e1')])
    const deps: directory.DirectoryDeps = {
      env: this.virtual.env(1),
      store: this.store,
      peers: { handle: (method, handler) => { handlers.set(method, handler) }, call },
      self: { name, incarnation, front: `${name}:1`, peer: `${name}:2`, domain: 'd' },
      fleet: targets,
      ready: () => true,
      log: log.SILENT_LOGGER
    }
    const gatewayDirectory = new directory.Directory(deps)
    gatewayDirectory.start()
    return { directory: gatewayDirectory, targets }
  }

  stop (name: string): void {
    this.handlers.delete(`${name}:2`)
  }
}

const cachedPromptTokens = (targets: fleet.Fleet): number => targets.ofService('s')[0]!.cache.cachedTokens({ promptTokens: 100, outputTokens: 1, segments: [{ id: 'p', tokens: 100 }] })

describe('Directory', () => {
  it('recommends a restarted gateway within a second although stale lists still show its previous incarnation', async () => {
    const region = new Region()
    const a = region.start('a', 'a1')
    region.start('b', 'b1')
    await region.virtual.advance(5_000)
    chai.expect(a.directory.addresses()).to.have.members(['a:1', 'b:1'])
    region.stop('b')
    await region.virtual.advance(1_500)
    chai.expect(a.directory.addresses()).to.deep.equal(['a:1'])
    region.start('b', 'b2')
    await region.virtual.advance(50)
    region.store.setStaleOkReadsStale(true)
    await region.virtual.advance(700)
    chai.expect(a.directory.addresses()).to.have.members(['a:1', 'b:1'])
  })

  it('does not send all callers to the first gateways that return after all have failed', async () => {
    const region = new Region()
    const names = ['a', 'b', 'c', 'd', 'e']
    for (const name of names) region.start(name, `${name}1`)
    await region.virtual.advance(5_000)
    for (const name of names) region.stop(name)
    await region.virtual.advance(2_000)
    const a = region.start('a', 'a2')
    await region.virtual.advance(20)
    chai.expect(a.directory.addresses()).to.have.members(names.map((name) => `${name}:1`))
    region.start('b', 'b2')
    region.start('c', 'c2')
    await region.virtual.advance(200)
    chai.expect(a.directory.addresses()).to.have.members(['a:1', 'b:1', 'c:1'])
    region.stop('b')
    region.stop('c')
    await region.virtual.advance(3_000)
    chai.expect(a.directory.addresses()).to.deep.equal(['a:1'])
  })

  it('spreads callers over all gateways when there are more than it may recommend', async () => {
    const region = new Region()
    const count = 100
    for (let index = 1; index < count; index++) region.start(`g${index}`, `g${index}-1`)
    const first = region.start('g0', 'g0-1')
    await region.virtual.advance(3_000)
    const advised = Array.from({ length: 20 }, () => first.directory.addresses())
    for (const addresses of advised) chai.expect(new Set(addresses).size).to.equal(64)
    chai.expect(new Set(advised.flat()).size).to.equal(count)
  })

  it('does not drop a responsive gateway that a stale list lacks, and drops one that is neither listed nor responsive', async () => {
    const region = new Region()
    const a = region.start('a', 'a1')
    await region.virtual.advance(500)
    region.store.setStaleOkReadsStale(true)
    const b = region.start('b', 'b1')
    await region.virtual.advance(5_000)
    chai.expect(a.directory.addresses()).to.have.members(['a:1', 'b:1'])
    region.store.setStaleOkReadsStale(false)
    region.stop('b')
    await Promise.all([b.directory[Symbol.asyncDispose](), region.virtual.advance(4_500)])
    chai.expect(a.directory.gatewayCount).to.equal(1)
  })

  it('passes on the cache changes of an engine once and in order', async () => {
    const region = new Region()
    const a = region.start('a', 'a1')
    const b = region.start('b', 'b1')
    await region.virtual.advance(500)
    a.targets.cacheUpdates.add('e1', [{ id: 'p', tokens: 100 }])
    await region.virtual.advance(300)
    chai.expect(cachedPromptTokens(b.targets)).to.equal(100)
    a.targets.cacheUpdates.add('e1', [{ id: 'p', tokens: 0 }])
    await region.virtual.advance(300)
    chai.expect(cachedPromptTokens(b.targets)).to.equal(0)
    a.targets.cacheUpdates.add('e1', [{ id: 'p', tokens: 100 }])
    a.targets.cacheUpdates.addRestart('e1')
    await region.virtual.advance(300)
    chai.expect(cachedPromptTokens(b.targets)).to.equal(0)
  })

  it('does not fetch the cache changes from before its start, so that replies stay small after a restart', async () => {
    const region = new Region()
    const a = region.start('a', 'a1')
    await region.virtual.advance(500)
    a.targets.cacheUpdates.add('e1', [{ id: 'p', tokens: 100 }])
    const b = region.start('b', 'b1')
    await region.virtual.advance(1_000)
    chai.expect(cachedPromptTokens(b.targets)).to.equal(0)
    a.targets.cacheUpdates.add('e1', [{ id: 'p', tokens: 100 }])
    await region.virtual.advance(300)
    chai.expect(cachedPromptTokens(b.targets)).to.equal(100)
  })

  it('does not let other gateways override the cache changes of an engine that it follows itself', async () => {
    const region = new Region()
    const a = region.start('a', 'a1')
    const b = region.start('b', 'b1')
    await region.virtual.advance(500)
    b.targets.ofService('s')[0]!.followed = true
    a.targets.cacheUpdates.add('e1', [{ id: 'p', tokens: 100 }])
    await region.virtual.advance(300)
    chai.expect(cachedPromptTokens(b.targets)).to.equal(0)
  })
})
