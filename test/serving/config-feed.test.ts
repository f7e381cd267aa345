import * as chai from 'chai'
import * as log from '../../src/log/index.js'
import * as metrics from '../../src/metrics/index.js'
import * as serving from '../../src/serving/index.js'
import * as standin from '../../src/standin/index.js'
import * as time from '../../src/time/index.js'
import * as build from '../support/gateway-builders.js'

const KEY = 'config/main'

/** A clock whose time of day can be moved on its own. */
class MovedClock implements time.Clock {
  wallOffset = 0
  constructor (private readonly inner: time.Clock) {}
  now (): number { return this.inner.now() }
  wallTimeMs (): number { return this.inner.wallTimeMs() + this.wallOffset }
}

function setUp () {
  const virtual = new time.VirtualTime()
  const clock = new MovedClock(virtual)
  const store = new standin.MemoryStore(virtual)
  const env = { ...virtual.env(1), clock }
  const decode = (text: string): serving.ServingConfig => build.aConfig({ version: Number(text) })
  const feed = new serving.ConfigFeed({ env, elapsed: new serving.ElapsedClock(clock), store, key: KEY, propagationMs: 2_000, decode, log: log.SILENT_LOGGER, metrics: new metrics.Metrics() })
  return { virtual, clock, store, feed }
}

describe('ConfigFeed', () => {
  it('has a change in force within 2 s of its acknowledgement, also when one read hangs', async () => {
    const { virtual, store, feed } = setUp()
    await Promise.all([store.put(KEY, '1', 'absent'), virtual.advance(10)])
    feed.start()
    await virtual.advance(905)
    store.faults.delayMs = 900
    await virtual.advance(5)
    store.faults.delayMs = 4
    await Promise.all([store.put(KEY, '2', store.peek(KEY)!.version), virtual.advance(10)])
    await virtual.advance(1_990)
    chai.expect(feed.current()!.config.version).to.equal(2)
  })

  it('never goes back to an older version', async () => {
    const { virtual, store, feed } = setUp()
    await Promise.all([store.put(KEY, '7', 'absent'), virtual.advance(10)])
    feed.start()
    await virtual.advance(100)
    await Promise.all([store.put(KEY, '6', store.peek(KEY)!.version), virtual.advance(10)])
    await virtual.advance(5_000)
    chai.expect(feed.current()!.config.version).to.equal(7)
  })

  it('counts the age of its knowledge from before the question, and without end while the store is away', async () => {
    const { virtual, store, feed } = setUp()
    chai.expect(feed.freshness.ageMs).to.equal(Infinity)
    await Promise.all([store.put(KEY, '1', 'absent'), virtual.advance(10)])
    store.faults.delayMs = 300
    feed.start()
    await virtual.advance(310)
    chai.expect(feed.freshness.ageMs).to.be.at.least(300)
    store.faults.down = true
    await virtual.advance(4_000)
    chai.expect(feed.freshness.ageMs).to.be.at.least(4_000)
  })

  it('counts a forward jump of the time of day as time that passed: the VM may have been suspended', async () => {
    const { virtual, clock, store, feed } = setUp()
    await Promise.all([store.put(KEY, '1', 'absent'), virtual.advance(10)])
    feed.start()
    await virtual.advance(100)
    clock.wallOffset += 6_000
    chai.expect(feed.freshness.ageMs).to.be.at.least(6_000)
    await virtual.advance(1_000)
    chai.expect(feed.freshness.ageMs).to.be.below(1_000)
    clock.wallOffset -= 6_000
    chai.expect(feed.freshness.ageMs).to.be.within(0, 1_000)
  })
})

describe('RouteTable', () => {
  it('finds the route with the longest prefix of its host', () => {
    const table = new serving.RouteTable(build.aConfig({ routes: [build.aRoute({ name: 'short', path: '/a/' }), build.aRoute({ name: 'long', path: '/a/b/' }), build.aRoute({ name: 'other', host: 'x', path: '/' })] }))
    chai.expect(table.route('h', '/a/b/c')?.name).to.equal('long')
    chai.expect(table.route('h', '/a/bc')?.name).to.equal('short')
    chai.expect(table.route('h', '/b/')).to.equal(undefined)
  })

  it('divides a split route by weight', () => {
    const route = build.aRoute({ shares: [{ service: 'a', weight: 90 }, { service: 'b', weight: 10 }] })
    chai.expect([0, 0.89, 0.91, 0.999].map((draw) => serving.pickService(route, draw))).to.deep.equal(['a', 'a', 'b', 'b'])
  })
})
