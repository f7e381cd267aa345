import * as chai from 'chai'
import type * as exchange from '../../src/exchange/index.js'
import * as external from '../../src/external/index.js'
import * as log from '../../src/log/index.js'
import * as metrics from '../../src/metrics/index.js'
import * as serving from '../../src/serving/index.js'
import * as standin from '../../src/standin/index.js'
import * as time from '../../src/time/index.js'
import * as build from '../support/gateway-builders.js'
import * as regions from '../support/gateway-region.js'

const KEY = 'config/main'
const PROPAGATION_MS = 2_000

/** More than a relay passes on. */
const LARGE = ' '.repeat(60 * 1024)

async function regionWith (count: number): Promise<{ region: regions.Region, gateways: regions.RegionGateway[] }> {
  const region = new regions.Region()
  await region.write(regions.CONFIG_KEY, '1')
  const gateways = region.startMany(count)
  await region.virtual.advance(5_000)
  return { region, gateways }
}

function versionOf (gateway: regions.RegionGateway): number | undefined {
  return gateway.feed.current()?.config.version
}

/** Advances time, and expects that no gateway goes back to a version below `lowest`. */
async function advanceAtLeast (region: regions.Region, gateways: readonly regions.RegionGateway[], ms: number, lowest: number): Promise<void> {
  for (let step = 0; step < ms; step += 50) {
    await region.virtual.advance(50)
    for (const gateway of gateways) chai.expect(versionOf(gateway), gateway.name).to.be.at.least(lowest)
  }
}

/** A feed of its own, its link to another gateway, and what it reads. */
function setUpFeed () {
  const virtual = new time.VirtualTime()
  const store = new standin.MemoryStore(virtual)
  const start = (isReader: boolean, eras = store.eras): serving.ConfigFeed => {
    const feed = new serving.ConfigFeed({ env: virtual.env(1), elapsed: new serving.ElapsedClock(virtual), store: eras === store.eras ? store : store.client(eras), eras, key: KEY, isReader: () => isReader, propagationMs: PROPAGATION_MS, decode: (text) => build.aConfig({ version: Number(text) }), log: log.SILENT_LOGGER, metrics: new metrics.Metrics() })
    feed.start()
    return feed
  }
  const write = async (text: string): Promise<void> => { await Promise.all([store.put(KEY, text, store.peek(KEY)?.version ?? 'absent'), virtual.advance(10)]) }
  return { virtual, store, start, write }
}

function link (kind: exchange.LinkKind): exchange.Link {
  return { gateway: 'other', incarnation: 'other-1', kind }
}

// After a restore the others know a configuration that the store lost: it must not be replaced, and must reach those that lack it.
describe('configuration among gateways after a restore of the store', () => {
  for (const [part, count] of [['fellow', 4], ['member or relay', 30]] as const) {
    it(`gives a ${part} that starts right after the restore the newer configuration of the others, and all a new one within the bound`, async () => {
      const { region, gateways } = await regionWith(count)
      const copy = region.store.copy()
      await region.write(regions.CONFIG_KEY, '2')
      await region.virtual.advance(4_000)
      for (const [index, gateway] of [...gateways].entries()) {
        if (count > 4 && index % 10 !== 0 && !gateway.exchange.isRelay) continue
        region.kill(gateway.name)
        region.store.restore(copy)
        const started = region.start(gateway.name, `${gateway.name}-${index + 2}`, gateway.domain)
        gateways[index] = started
        await region.virtual.advance(1_500)
        for (const each of gateways) chai.expect(versionOf(each), `${each.name} after ${started.name}`).to.equal(2)
      }
      await region.write(regions.CONFIG_KEY, '2')
      await advanceAtLeast(region, gateways, 3_000, 2)
      await region.write(regions.CONFIG_KEY, '3')
      await region.virtual.advance(regions.CONFIG_BOUND_MS)
      for (const gateway of gateways) chai.expect([versionOf(gateway), gateway.feed.freshness.ageMs < regions.CONFIG_BOUND_MS], gateway.name).to.deep.equal([3, true])
    })
  }

  it('goes by the latest configuration through two restores in a row, of which some gateways are cut off from the store', async () => {
    const { region, gateways } = await regionWith(30)
    const copy = region.store.copy()
    for (const text of ['2', '3']) {
      await region.write(regions.CONFIG_KEY, text)
      await region.virtual.advance(4_000)
    }
    for (const gateway of gateways.slice(0, 10)) gateway.storeReachable = false
    for (let restores = 0; restores < 2; restores++) {
      region.store.restore(copy)
      await advanceAtLeast(region, gateways, 3_000, 3)
      // The older configuration of the copy confirms nothing.
      for (const gateway of gateways) chai.expect(gateway.feed.freshness.ageMs, gateway.name).to.be.at.least(2_900)
    }
    for (const gateway of gateways) gateway.storeReachable = true
    await region.write(regions.CONFIG_KEY, '3')
    await advanceAtLeast(region, gateways, regions.CONFIG_BOUND_MS, 3)
    for (const gateway of gateways) chai.expect(gateway.feed.freshness.ageMs, gateway.name).to.be.at.most(regions.CONFIG_BOUND_MS)
    await region.write(regions.CONFIG_KEY, '4')
    await region.virtual.advance(regions.CONFIG_BOUND_MS)
    for (const gateway of gateways) chai.expect(versionOf(gateway), gateway.name).to.equal(4)
  })

  it('does not count the older configuration that it read as the confirmation of a newer one that it is told', async () => {
    const { virtual, store, start, write } = setUpFeed()
    await write('1')
    const copy = store.copy()
    const running = start(true, new external.StoreEras())
    await write('3')
    await virtual.advance(2_000)
    store.restore(copy)
    await virtual.advance(3_000)
    const started = start(true, new external.StoreEras())
    await virtual.advance(50)
    chai.expect(started.current()!.config.version).to.equal(1)
    started.apply(link('fellow'), running.changesSince(link('fellow'), undefined)!.payload, virtual.now())
    chai.expect(started.current()!.config.version).to.equal(3)
    chai.expect(started.freshness.ageMs).to.be.at.least(3_000)
  })

  it('takes a new version from the store while its relay is still in the earlier era', async () => {
    const { virtual, store, start, write } = setUpFeed()
    await write('1')
    const relay = start(true, new external.StoreEras())
    await virtual.advance(100)
    const member = start(false, new external.StoreEras())
    const tell = (): void => { member.apply(link('relay'), relay.changesSince(link('member'), undefined)!.payload, virtual.now()) }
    tell()
    relay[Symbol.dispose]()
    store.restore(store.copy())
    await write('2')
    for (let ms = 0; ms < PROPAGATION_MS; ms += 100) {
      await virtual.advance(100)
      tell()
    }
    chai.expect(member.current()!.config.version).to.equal(2)
  })

  it('does not read the store without pause while a relay uses a configuration that is too large to pass on and was lost', async () => {
    const { virtual, store, start, write } = setUpFeed()
    await write(`1${LARGE}`)
    const copy = store.copy()
    const relay = start(true, new external.StoreEras())
    await write(`2${LARGE}`)
    await virtual.advance(2_000)
    store.restore(copy)
    await virtual.advance(1_000)
    const feeds = [start(false, new external.StoreEras()), start(true, new external.StoreEras())]
    await virtual.advance(50)
    const { reads } = store.calls
    for (let ms = 0; ms < 9_000; ms += 100) {
      await virtual.advance(100)
      for (const feed of feeds) {
        feed.apply(link(feed === feeds[0] ? 'relay' : 'fellow'), relay.changesSince(link('fellow'), undefined)!.payload, virtual.now())
        relay.apply(link('member'), feed.changesSince(link('fellow'), undefined)!.payload, undefined)
      }
    }
    // 10 reads of each of three feeds in 9 s at the interval, and as many that the messages cause at the two that lack it.
    chai.expect(store.calls.reads - reads).to.be.at.most(55)
    await write(`2${LARGE}`)
    await virtual.advance(PROPAGATION_MS)
    for (const feed of feeds) chai.expect(feed.current()!.config.version).to.equal(2)
  })
})
