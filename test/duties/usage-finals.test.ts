import * as chai from 'chai'
import * as duties from '../../src/duties/index.js'
import * as errors from '../../src/errors/index.js'
import * as external from '../../src/external/index.js'
import * as log from '../../src/log/index.js'
import * as serving from '../../src/serving/index.js'
import * as standin from '../../src/standin/index.js'
import * as time from '../../src/time/index.js'

const WINDOW_MS = 5_000

/** By then a window that just ended has been closed and reported, in ms. */
const REPORT_MS = 4_500

/** By then another gateway holds the lease, in ms. */
const TAKEOVER_MS = 9_000

/** Gateways with a store, of which each process can end at any moment. */
class Fixture {
  readonly virtual = new time.VirtualTime()
  readonly store = new standin.MemoryStore(this.virtual)
  readonly peers = new standin.MemoryPeers(this.virtual)
  /** Counts of the usage reports that the platform received, by window. */
  readonly reports = new Map<number, string[]>()
  readonly events: Array<Record<string, unknown>> = []

  /** Starts a gateway that knows of `others`. */
  start (name: string, others: string[]) {
    const { virtual } = this
    const gate = new standin.ProcessGate()
    const process = { running: true }
    const env: time.Env = {
      ...virtual.env(1),
      timers: {
        after: (ms, fn) => virtual.after(ms, () => { if (process.running) fn() }),
        every: (ms, fn) => virtual.every(ms, () => { if (process.running) fn() })
      }
    }
    const eras = new external.StoreEras()
    const store = this.store.client(eras)
    const events = this.events
    const logger = { ...log.SILENT_LOGGER, warn: (fields: object, event: string) => { events.push({ event, ...fields }) } } as log.Logger
    const lease = new duties.Lease({ env, elapsed: new serving.ElapsedClock(virtual), store, eras, holder: name, incarnation: `${name}-1`, takeoverDelayMs: 3_000, contends: () => true, log: log.SILENT_LOGGER })
    const ledger = new duties.UsageLedger({ env, store, eras, name, windowMs: WINDOW_MS, isRelay: () => true, log: log.SILENT_LOGGER })
    const peer = this.peers.join({ address: name, gate } as never)
    const collector = new duties.UsageCollector({ peers: peer, ledger, eras, relayAddresses: () => others, log: logger })
    const dutyApi: duties.DutyApi = {
      reportUsage: async (_stamp, window, counts) => {
        this.reports.set(window, [...this.reports.get(window) ?? [], JSON.stringify(counts)])
        return errors.Ok(undefined)
      },
      orderTargets: async () => errors.Ok(undefined)
    }
    const closer = new duties.UsageCloser({ env, store, eras, lease, dutyApi, collector, windowMs: WINDOW_MS, log: logger })
    for (const task of [lease, ledger, closer]) task.start()
    const kill = (): void => {
      process.running = false
      gate.kill()
    }
    return { lease, ledger, closer, collector, gate, eras, kill }
  }

  /** Counts in the present window, then waits until it has ended. */
  async endWindow (counts: ReadonlyArray<readonly [duties.UsageLedger, number]>): Promise<number> {
    const window = counts[0]![0].currentWindow()
    for (const [ledger, count] of counts) for (let index = 0; index < count; index++) ledger.countRequest('x')
    await this.virtual.advance((window + 1) * WINDOW_MS - this.virtual.wallTimeMs())
    return window
  }
}

describe('UsageCloser after the store has returned from an older copy', () => {
  it('does not compute counts anew that it stored and reported before, although a process that counted has ended since', async () => {
    const fixture = new Fixture()
    const { virtual, store, reports } = fixture
    const a = fixture.start('a', ['b'])
    await virtual.advance(1_500)
    const b = fixture.start('b', ['a'])
    const copy = store.copy()
    const window = await fixture.endWindow([[a.ledger, 10], [b.ledger, 5]])
    await virtual.advance(REPORT_MS)
    chai.expect(reports.get(window)).to.deep.equal(['{"x":15}'])
    b.kill()
    store.restore(copy)
    const next = await fixture.endWindow([[a.ledger, 1]])
    await virtual.advance(TAKEOVER_MS)
    chai.expect([...new Set(reports.get(window))]).to.deep.equal(['{"x":15}'])
    chai.expect(reports.get(next)).to.deep.equal(['{"x":1}'])
    chai.expect(store.peek(duties.FINAL_COUNTS_KEY)?.value).to.contain(`"${window}":{"counts":{"x":15}`)
  })
  it('does not report other counts after a takeover than the previous holder, which told the other relays before it reported', async () => {
    const fixture = new Fixture()
    const { virtual, store, reports } = fixture
    const a = fixture.start('a', ['b', 'c'])
    await virtual.advance(1_500)
    const b = fixture.start('b', ['a', 'c'])
    const c = fixture.start('c', ['a', 'b'])
    const copy = store.copy()
    const window = await fixture.endWindow([[a.ledger, 10], [b.ledger, 5], [c.ledger, 3]])
    await virtual.advance(REPORT_MS)
    chai.expect(reports.get(window)).to.deep.equal(['{"x":18}'])
    store.restore(copy)
    a.kill()
    c.kill()
    await virtual.advance(TAKEOVER_MS)
    const next = await fixture.endWindow([[b.ledger, 1]])
    await virtual.advance(REPORT_MS)
    chai.expect([...new Set(reports.get(window))]).to.deep.equal(['{"x":18}'])
    chai.expect(reports.get(next)).to.deep.equal(['{"x":1}'])
  })

  it('does not report other counts when the new holder has started after the restore and another relay knows those that were reported', async () => {
    const fixture = new Fixture()
    const { virtual, store, reports } = fixture
    const a = fixture.start('a', ['b', 'd'])
    await virtual.advance(1_500)
    const b = fixture.start('b', ['a', 'd'])
    const copy = store.copy()
    const window = await fixture.endWindow([[a.ledger, 10], [b.ledger, 5]])
    await virtual.advance(REPORT_MS)
    chai.expect(reports.get(window)).to.deep.equal(['{"x":15}'])
    store.restore(copy)
    a.kill()
    b.lease.stamp = () => undefined
    await b.lease[Symbol.asyncDispose]()
    const d = fixture.start('d', ['a', 'b'])
    await virtual.advance(TAKEOVER_MS)
    chai.expect(d.lease.stamp()).not.to.equal(undefined)
    chai.expect([...new Set(reports.get(window))]).to.deep.equal(['{"x":15}'])
    chai.expect(store.peek(duties.FINAL_COUNTS_KEY)?.value).to.contain(`"${window}":{"counts":{"x":15}`)
  })

  it('does not report counts of a window of which another relay knows others', async () => {
    const fixture = new Fixture()
    const { virtual, reports } = fixture
    const a = fixture.start('a', ['b'])
    await virtual.advance(1_500)
    const b = fixture.start('b', ['a'])
    const window = await fixture.endWindow([[a.ledger, 10]])
    b.collector.finals.after = () => ({})
    b.collector.finals.add({ [window]: { counts: { x: 12 }, reported: false } })
    const next = await fixture.endWindow([[a.ledger, 2]])
    await virtual.advance(REPORT_MS)
    chai.expect([reports.get(window), reports.get(next)]).to.deep.equal([undefined, ['{"x":2}']])
  })
  // The first gateway is cut off from the others, so that only the store and its own memory have what it reported.
  async function reportCutOff () {
    const fixture = new Fixture()
    const { virtual, store, reports } = fixture
    const a = fixture.start('a', [])
    await virtual.advance(1_500)
    const first = await fixture.endWindow([[a.ledger, 4]])
    await virtual.advance(REPORT_MS)
    await fixture.endWindow([[a.ledger, 1]])
    const window = a.ledger.currentWindow()
    for (let index = 0; index < 10; index++) a.ledger.countRequest('x')
    await virtual.advance(4_000)
    const copy = store.copy()
    await fixture.endWindow([[a.ledger, 3]])
    return { ...fixture, fixture, virtual, store, reports, a, copy, first, window }
  }

  it('does not report other counts of a window that may have been reported when nobody knows its final counts', async () => {
    const { fixture, virtual, store, reports, a, copy, window } = await reportCutOff()
    const b = fixture.start('b', ['a'])
    await virtual.advance(REPORT_MS)
    chai.expect(reports.get(window)).to.deep.equal(['{"x":13}'])
    store.restore(copy)
    a.kill()
    await virtual.advance(TAKEOVER_MS)
    const next = await fixture.endWindow([[b.ledger, 1]])
    await virtual.advance(REPORT_MS)
    chai.expect(b.lease.stamp()).not.to.equal(undefined)
    chai.expect(reports.get(window)).to.deep.equal(['{"x":13}'])
    chai.expect(reports.get(next)).to.deep.equal(['{"x":1}'])
    chai.expect(fixture.events).to.deep.include({ event: 'usage_windows_withheld', windows: [window], era: 1 })
  })

  it('does not report them when the new holder has started after the restore', async () => {
    const { fixture, virtual, store, reports, a, copy, first, window } = await reportCutOff()
    await virtual.advance(REPORT_MS)
    chai.expect(reports.get(window)).to.deep.equal(['{"x":13}'])
    store.restore(copy)
    a.kill()
    const c = fixture.start('c', ['a'])
    await virtual.advance(TAKEOVER_MS)
    const next = await fixture.endWindow([[c.ledger, 1]])
    await virtual.advance(REPORT_MS)
    chai.expect([...new Set(reports.get(first))]).to.deep.equal(['{"x":4}'])
    chai.expect(reports.get(window)).to.deep.equal(['{"x":13}'])
    chai.expect(reports.get(next)).to.deep.equal(['{"x":1}'])
  })

  it('does not withhold a window that became due after the restore was noticed, although the lease is taken later', async () => {
    const { fixture, virtual, store, reports, a, copy, window } = await reportCutOff()
    const b = fixture.start('b', ['a'])
    b.ledger.countRequest('x')
    await virtual.advance(1_500)
    store.restore(copy)
    a.kill()
    await virtual.advance(TAKEOVER_MS)
    chai.expect(reports.get(window)).to.deep.equal(['{"x":10}'])
  })
  it('does not report counts that a write stored only because the store was restored after it was sent', async () => {
    const fixture = new Fixture()
    const { virtual, store, reports } = fixture
    const a = fixture.start('a', [])
    await virtual.advance(1_500)
    const copy = store.copy()
    const { put } = store
    // The write expects that there is no object yet; it takes effect in the restored store, in which that holds too.
    store.put = async (key, value, expected) => {
      if (key === duties.FINAL_COUNTS_KEY && store.era === 0) store.restore(copy)
      return await put.call(store, key, value, expected)
    }
    const window = await fixture.endWindow([[a.ledger, 10]])
    await virtual.advance(REPORT_MS)
    chai.expect(store.era).to.equal(1)
    await virtual.advance(TAKEOVER_MS)
    const next = await fixture.endWindow([[a.ledger, 1]])
    await virtual.advance(REPORT_MS)
    chai.expect([reports.get(window), reports.get(next)]).to.deep.equal([undefined, ['{"x":1}']])
  })
})

describe('UsageCloser with a malformed object of final counts', () => {
  for (const text of ['[1]', '{"7', '{"era":0,"withheldTo":"x","windows":{}}']) {
    it(`closes later windows, and reports no other counts of earlier ones, when the object is ${text}`, async () => {
      const fixture = new Fixture()
      const { virtual, store, reports } = fixture
      const gateways = [fixture.start('a', []), fixture.start('b', [])]
      await virtual.advance(1_500)
      store.restore(store.copy())
      await virtual.advance(TAKEOVER_MS)
      const holder = gateways.find(({ lease }) => lease.stamp() !== undefined)!
      const b = gateways.find((gateway) => gateway !== holder)!
      const window = await fixture.endWindow([[holder.ledger, 10], [b.ledger, 1]])
      await virtual.advance(REPORT_MS)
      holder.kill()
      const write = async (key: string, value: string): Promise<void> => { await Promise.all([store.put(key, value, store.peek(key)!.version), virtual.advance(10)]) }
      await write(duties.FINAL_COUNTS_KEY, text)
      await write(`godwitpoint-usage/${holder.ledger.processName}`, text)
      await virtual.advance(TAKEOVER_MS)
      const next = await fixture.endWindow([[b.ledger, 1]])
      await virtual.advance(REPORT_MS)
      chai.expect(reports.get(window)).to.deep.equal(['{"x":11}'])
      chai.expect(reports.get(next)).to.deep.equal(['{"x":1}'])
      chai.expect(fixture.events.filter(({ event }) => event === 'usage_finals_malformed')).to.have.length(1)
    })
  }
})
