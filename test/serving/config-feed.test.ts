import * as chai from 'chai'
import * as external from '../../src/external/index.js'
import * as log from '../../src/log/index.js'
import * as metrics from '../../src/metrics/index.js'
import * as serving from '../../src/serving/index.js'
import * as standin from '../../src/standin/index.js'
import * as time from '../../src/time/index.js'
import * as build from '../support/gateway-builders.js'

const KEY = 'config/main'

/** A clock whose wall clock can be stepped independently of the monotonic clock. */
class SteppedWallClock implements time.Clock {
  wallOffsetMs = 0
  constructor (private readonly inner: time.Clock) {}
  now (): number { return this.inner.now() }
  wallTimeMs (): number { return this.inner.wallTimeMs() + this.wallOffsetMs }
}

function setUp () {
  const virtual = new time.VirtualTime()
  const clock = new SteppedWallClock(virtual)
  const store = new standin.MemoryStore(virtual)
  const env = { ...virtual.env(1), clock }
  const decode = (text: string): serving.ServingConfig => build.aConfig({ version: Number(text) })
  const events: string[] = []
  const record = (_: object, event: string): void => { events.push(event) }
  const logger: log.Logger = { debug: record, info: record, warn: record, error: record }
  const feed = new serving.ConfigFeed({ env, elapsed: new serving.ElapsedClock(clock), store, eras: store.eras, key: KEY, isReader: () => true, propagationMs: 2_000, decode, log: logger, metrics: new metrics.Metrics() })
  return { virtual, clock, store, feed, events }
}

describe('ConfigFeed', () => {
  it('puts a change in force within the propagation bound of 2 s although one read hangs', async () => {
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

  it('does not report the store as lost when a read fails that was started before the last good one', async () => {
    const { virtual, store, feed, events } = setUp()
    await Promise.all([store.put(KEY, '1', 'absent'), virtual.advance(10)])
    feed.start()
    await virtual.advance(895)
    store.faults.delayMs = 1_500
    await virtual.advance(10)
    store.faults.delayMs = 4
    // The read that began at 910 ends at 2,410, after the one that began at 1,810.
    await virtual.advance(2_400 - virtual.now())
    store.faults.down = true
    await virtual.advance(20)
    store.faults.down = false
    await virtual.advance(1_000)
    chai.expect(events).not.to.include('dependency_lost')
  })

  // A stale read of the store is cheap, but must not make an old copy look fresh: keys may have been withdrawn since.
  it('applies a newer version that it finds for a request without counting the read as a confirmation', async () => {
    const { virtual, store, feed } = setUp()
    await Promise.all([store.put(KEY, '1', 'absent'), virtual.advance(10)])
    feed.start()
    await virtual.advance(700)
    await Promise.all([store.put(KEY, '2', store.peek(KEY)!.version), virtual.advance(10)])
    const ageMs = feed.freshness.ageMs
    await Promise.all([feed.refresh(1_600), virtual.advance(10)])
    chai.expect(feed.current()!.config.version).to.equal(2)
    chai.expect(feed.freshness.ageMs).to.equal(ageMs + 10)
  })

  it('does not replace a version by an older one', async () => {
    const { virtual, store, feed } = setUp()
    await Promise.all([store.put(KEY, '7', 'absent'), virtual.advance(10)])
    feed.start()
    await virtual.advance(100)
    await Promise.all([store.put(KEY, '6', store.peek(KEY)!.version), virtual.advance(10)])
    await virtual.advance(5_000)
    chai.expect(feed.current()!.config.version).to.equal(7)
  })

  it('measures the age of its copy from the start of the read, and lets it grow while the store is down', async () => {
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

  it('counts a forward jump of the wall clock as elapsed time, since the VM may have been suspended', async () => {
    const { virtual, clock, store, feed } = setUp()
    await Promise.all([store.put(KEY, '1', 'absent'), virtual.advance(10)])
    feed.start()
    await virtual.advance(100)
    clock.wallOffsetMs += 6_000
    chai.expect(feed.freshness.ageMs).to.be.at.least(6_000)
    await virtual.advance(1_000)
    chai.expect(feed.freshness.ageMs).to.be.below(1_000)
    clock.wallOffsetMs -= 6_000
    chai.expect(feed.freshness.ageMs).to.be.within(0, 1_000)
  })
})

describe('RouteTable', () => {
  it('does not choose a shorter prefix or another host for a path', () => {
    const table = new serving.RouteTable(build.aConfig({ routes: [build.aRoute({ name: 'short', path: '/a/' }), build.aRoute({ name: 'long', path: '/a/b/' }), build.aRoute({ name: 'other', host: 'x', path: '/' })] }))
    chai.expect(table.findRoute('h', '/a/b/c')?.name).to.equal('long')
    chai.expect(table.findRoute('h', '/a/bc')?.name).to.equal('short')
    chai.expect(table.findRoute('h', '/b/')).to.equal(undefined)
  })

  it('splits the calls of a route between services by weight', () => {
    const route = build.aRoute({ shares: [{ service: 'a', weight: 90 }, { service: 'b', weight: 10 }] })
    chai.expect([0, 0.89, 0.91, 0.999].map((draw) => serving.pickService(route, draw))).to.deep.equal(['a', 'a', 'b', 'b'])
  })
})

// The store of a drill comes back from an older copy: revisions go back, and the operators write their configuration again.
describe('ConfigFeed after the store has returned from an older copy', () => {
  async function setUpRestored () {
    const fixture = setUp()
    const { virtual, store, feed } = fixture
    const write = async (text: string): Promise<void> => { await Promise.all([store.put(KEY, text, store.peek(KEY)?.version ?? 'absent'), virtual.advance(10)]) }
    await write('1')
    const copy = store.copy()
    feed.start()
    for (const version of ['2', '3']) {
      await write(version)
      await virtual.advance(1_000)
    }
    store.restore(copy)
    await virtual.advance(1_000)
    return { ...fixture, write }
  }

  it('keeps the newer configuration, and does not count the older one as its confirmation', async () => {
    const { virtual, feed, events } = await setUpRestored()
    const ageMs = feed.freshness.ageMs
    await virtual.advance(2_000)
    chai.expect(feed.current()!.config.version).to.equal(3)
    chai.expect(feed.freshness.ageMs).to.equal(ageMs + 2_000)
    chai.expect(events.filter((event) => event === 'config_older_ignored')).to.have.length(1)
  })

  it('counts the configuration in use as confirmed once it was written again', async () => {
    const { virtual, feed, events, write } = await setUpRestored()
    events.length = 0
    await write('3')
    await virtual.advance(1_000)
    chai.expect(feed.freshness.ageMs).to.be.lessThan(1_000)
    chai.expect(events).not.to.include('config_applied')
  })

  it('applies a new version within the propagation bound although its revision is lower than that of the one in use', async () => {
    const { virtual, store, feed, write } = await setUpRestored()
    await write('3')
    await virtual.advance(1_000)
    await write('4')
    chai.expect(external.revisionOf(store.peek(KEY)!.version)).to.be.at.most(3)
    await virtual.advance(1_990)
    chai.expect(feed.current()!.config.version).to.equal(4)
  })
})
