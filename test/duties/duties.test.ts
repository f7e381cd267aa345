import * as chai from 'chai'
import * as duties from '../../src/duties/index.js'
import * as errors from '../../src/errors/index.js'
import * as log from '../../src/log/index.js'
import * as serving from '../../src/serving/index.js'
import * as standin from '../../src/standin/index.js'
import * as time from '../../src/time/index.js'

const WINDOW_MS = 5_000

function aLease (virtual: time.VirtualTime, store: standin.MemoryStore, holder: string): duties.Lease {
  return new duties.Lease({ env: virtual.env(1), elapsed: new serving.ElapsedClock(virtual), store, holder, incarnation: `${holder}-1`, takeoverDelayMs: 3_000, log: log.SILENT_LOGGER })
}

describe('Lease', () => {
  it('has one holder at a time, and a higher token after each change', async () => {
    const virtual = new time.VirtualTime()
    const store = new standin.MemoryStore(virtual)
    const leases = ['a', 'b', 'c'].map((holder) => aLease(virtual, store, holder))
    for (const lease of leases) lease.start()
    await virtual.advance(2_000)
    const first = leases.filter((lease) => lease.stamp() !== undefined)
    chai.expect(first).to.have.length(1)
    const token = first[0]!.stamp()!.token
    await Promise.all([first[0]![Symbol.asyncDispose](), virtual.advance(100)])
    chai.expect(first[0]!.stamp()).to.equal(undefined)
    await virtual.advance(6_000)
    const second = leases.filter((lease) => lease.stamp() !== undefined)
    chai.expect(second).to.have.length(1)
    chai.expect(second[0]!.stamp()!.token).to.be.greaterThan(token)
  })

  it('lets a new holder act only when the last one has stopped for longer than two may take turns', async () => {
    const virtual = new time.VirtualTime()
    const store = new standin.MemoryStore(virtual)
    const a = aLease(virtual, store, 'a')
    a.start()
    await virtual.advance(1_500)
    const b = aLease(virtual, store, 'b')
    b.start()
    await Promise.all([a[Symbol.asyncDispose](), virtual.advance(10)])
    await virtual.advance(2_900)
    chai.expect(b.stamp()).to.equal(undefined)
    await virtual.advance(2_000)
    chai.expect(b.stamp()).not.to.equal(undefined)
  })

  it('stops to act when it cannot renew, before another gateway may take over', async () => {
    const virtual = new time.VirtualTime()
    const store = new standin.MemoryStore(virtual)
    const a = aLease(virtual, store, 'a')
    a.start()
    await virtual.advance(1_500)
    store.faults.down = true
    await virtual.advance(1_900)
    chai.expect(a.stamp()).to.equal(undefined)
  })

  it('takes the lease neither back nor over because cheap reads show an old state', async () => {
    const virtual = new time.VirtualTime()
    const store = new standin.MemoryStore(virtual)
    const a = aLease(virtual, store, 'a')
    a.start()
    await virtual.advance(1_500)
    store.setCheapStale(true)
    const b = aLease(virtual, store, 'b')
    b.start()
    await virtual.advance(10_000)
    chai.expect(a.stamp()?.token).to.equal(1)
    chai.expect(b.stamp()).to.equal(undefined)
    store.faults.down = true
    await virtual.advance(2_500)
    store.faults.down = false
    await Promise.all([store.put(duties.LEASE_KEY, JSON.stringify({ holder: 'c', incarnation: 'c-1', token: 2, renewal: 0, released: false }), store.peek(duties.LEASE_KEY)!.version), virtual.advance(10)])
    await virtual.advance(2_000)
    chai.expect([a.stamp(), b.stamp()]).to.deep.equal([undefined, undefined])
  })

  it('finds out that a write whose answer was lost took effect', async () => {
    const virtual = new time.VirtualTime()
    const store = new standin.MemoryStore(virtual)
    const a = aLease(virtual, store, 'a')
    store.faults.loseReplies = 1
    a.start()
    await virtual.advance(6_000)
    chai.expect(a.stamp()?.token).to.equal(1)
  })
})

/** Usage reports as the platform would see them. */
class RecordedReports implements duties.DutyApi {
  readonly reports = new Map<number, string[]>()
  lose = false

  async reportUsage (_stamp: duties.LeaseStamp, window: number, counts: duties.AccountCounts): Promise<errors.Result<void, duties.DutyError>> {
    this.reports.set(window, [...this.reports.get(window) ?? [], JSON.stringify(counts)])
    return this.lose ? errors.Err({ kind: 'unknown', message: 'lost' }) : errors.Ok(undefined)
  }

  async orderTargets (): Promise<errors.Result<void, duties.DutyError>> {
    return errors.Ok(undefined)
  }
}

function aGateway (virtual: time.VirtualTime, store: standin.MemoryStore, peers: standin.MemoryPeers, name: string, others: string[], calls: duties.DutyApi) {
  const env = virtual.env(1)
  const lease = aLease(virtual, store, name)
  const ledger = new duties.UsageLedger({ env, store, name, windowMs: WINDOW_MS, log: log.SILENT_LOGGER })
  const peer = peers.join({ address: name, gate: new standin.Gate() } as never)
  const collector = new duties.UsageCollector({ peers: peer, ledger, others: () => others })
  const closer = new duties.UsageCloser({ env, store, lease, calls, collector, windowMs: WINDOW_MS, log: log.SILENT_LOGGER })
  lease.start()
  ledger.start()
  closer.start()
  return { lease, ledger, closer }
}

describe('usage', () => {
  it('reports each window once with the counts of all gateways, also when answers are lost and the holder changes', async () => {
    const virtual = new time.VirtualTime()
    const store = new standin.MemoryStore(virtual)
    const peers = new standin.MemoryPeers(virtual)
    const calls = new RecordedReports()
    const a = aGateway(virtual, store, peers, 'a', ['b'], calls)
    const b = aGateway(virtual, store, peers, 'b', ['a'], calls)
    await virtual.advance(2_000)
    const window = a.ledger.windowNow()
    for (let turn = 0; turn < 10; turn++) a.ledger.count('x')
    for (let turn = 0; turn < 5; turn++) b.ledger.count('x')
    calls.lose = true
    await virtual.advance(10_000)
    calls.lose = false
    a.closer[Symbol.dispose]()
    await Promise.all([a.lease[Symbol.asyncDispose](), virtual.advance(10)])
    await virtual.advance(10_000)
    const reported = calls.reports.get(window)!
    chai.expect(reported.length).to.be.greaterThan(1)
    chai.expect([...new Set(reported)]).to.deep.equal(['{"x":15}'])
  })
})

const LIMITS: serving.OrderLimits = { min: 1, max: 4, deliveryMs: 4_000, preemptiblePrice: 0.22, domainPrices: new Map([['w', 1], ['c', 0.8], ['e', 1.25]]) }

function plan (counts: Array<[string, number, number]>, limits = LIMITS): Record<string, number> {
  const domains = counts.map(([domain, standard, preemptible]) => ({ domain, standard, preemptible }))
  const wishes = duties.planOrders({ service: 's', limits, size: 6, domains })
  return Object.fromEntries(wishes.map((wish) => [`${wish.domain}${wish.preemptible ? '-p' : ''}`, wish.count]))
}

describe('planOrders', () => {
  it('adds preemptible targets to the standard ones in each domain, within the limit', () => {
    chai.expect(plan([['w', 2, 0], ['c', 2, 0], ['e', 2, 0]])).to.deep.equal({ w: 2, 'w-p': 2, c: 2, 'c-p': 2, e: 2, 'e-p': 2 })
  })

  it('orders nothing where preemptible targets are no cheaper', () => {
    chai.expect(plan([['w', 2, 0], ['c', 2, 0], ['e', 2, 0]], { ...LIMITS, preemptiblePrice: undefined })).to.deep.equal({})
  })

  it('orders standard targets, where they cost least, when the size is not met', () => {
    const wanted = plan([['w', 0, 0], ['c', 2, 0], ['e', 2, 1]])
    chai.expect([wanted.w, wanted.c, wanted.e]).to.deep.equal([0, 3, 2])
  })

  it('orders beyond no limit when the targets of a domain are reclaimed', () => {
    const wanted = plan([['w', 2, 0], ['c', 2, 2], ['e', 2, 2]])
    chai.expect([wanted.w, wanted['w-p']]).to.deep.equal([2, 2])
  })
})
