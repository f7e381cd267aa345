import * as chai from 'chai'
import * as duties from '../../src/duties/index.js'
import * as errors from '../../src/errors/index.js'
import * as external from '../../src/external/index.js'
import * as log from '../../src/log/index.js'
import * as serving from '../../src/serving/index.js'
import * as standin from '../../src/standin/index.js'
import * as time from '../../src/time/index.js'

const WINDOW_MS = 5_000

function createLease (virtual: time.VirtualTime, store: standin.MemoryStore, holder: string): duties.Lease {
  const eras = new external.StoreEras()
  return new duties.Lease({ env: virtual.env(1), elapsed: new serving.ElapsedClock(virtual), store: store.client(eras), eras, holder, incarnation: `${holder}-1`, takeoverDelayMs: 3_000, contends: () => true, log: log.SILENT_LOGGER })
}

describe('Lease', () => {
  it('does not have two holders at once, and gives each new holder a higher token', async () => {
    const virtual = new time.VirtualTime()
    const store = new standin.MemoryStore(virtual)
    const leases = ['a', 'b', 'c'].map((holder) => createLease(virtual, store, holder))
    for (const lease of leases) lease.start()
    // A store without a lease may have been restored from a copy without it, so the first holder waits too.
    await virtual.advance(3_900)
    chai.expect(leases.filter((lease) => lease.stamp() !== undefined)).to.have.length(0)
    await virtual.advance(600)
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

  it('does not let a new holder act within the takeover delay after a release', async () => {
    const virtual = new time.VirtualTime()
    const store = new standin.MemoryStore(virtual)
    const a = createLease(virtual, store, 'a')
    a.start()
    await virtual.advance(1_500)
    const b = createLease(virtual, store, 'b')
    b.start()
    await Promise.all([a[Symbol.asyncDispose](), virtual.advance(10)])
    await virtual.advance(2_900)
    chai.expect(b.stamp()).to.equal(undefined)
    await virtual.advance(2_000)
    chai.expect(b.stamp()).not.to.equal(undefined)
  })

  it('does not keep acting without a renewal until another gateway may take over', async () => {
    const virtual = new time.VirtualTime()
    const store = new standin.MemoryStore(virtual)
    const a = createLease(virtual, store, 'a')
    a.start()
    await virtual.advance(1_500)
    store.faults.down = true
    await virtual.advance(1_900)
    chai.expect(a.stamp()).to.equal(undefined)
  })

  it('neither resumes nor takes over the lease on the strength of a stale read', async () => {
    const virtual = new time.VirtualTime()
    const store = new standin.MemoryStore(virtual)
    const a = createLease(virtual, store, 'a')
    a.start()
    await virtual.advance(1_500)
    store.setStaleOkReadsStale(true)
    const b = createLease(virtual, store, 'b')
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

  it('does not lose a lease that a write with a lost reply acquired', async () => {
    const virtual = new time.VirtualTime()
    const store = new standin.MemoryStore(virtual)
    const a = createLease(virtual, store, 'a')
    store.faults.loseReplies = 1
    a.start()
    await virtual.advance(6_000)
    chai.expect(a.stamp()?.token).to.equal(1)
  })
})

/** Records the usage reports that the platform receives. */
class RecordedReports implements duties.DutyApi {
  readonly reports = new Map<number, string[]>()
  loseReplies = false

  async reportUsage (_stamp: duties.LeaseStamp, window: number, counts: duties.AccountCounts): Promise<errors.Result<void, duties.DutyError>> {
    this.reports.set(window, [...this.reports.get(window) ?? [], JSON.stringify(counts)])
    return this.loseReplies ? errors.Err({ kind: 'unknown', message: 'lost' }) : errors.Ok(undefined)
  }

  async orderTargets (): Promise<errors.Result<void, duties.DutyError>> {
    return errors.Ok(undefined)
  }
}

function startGateway (virtual: time.VirtualTime, store: standin.MemoryStore, peers: standin.MemoryPeers, name: string, otherAddresses: string[], dutyApi: duties.DutyApi) {
  const env = virtual.env(1)
  const lease = createLease(virtual, store, name)
  const ledger = new duties.UsageLedger({ env, store, eras: store.eras, name, windowMs: WINDOW_MS, isRelay: () => true, log: log.SILENT_LOGGER })
  const peer = peers.join({ address: name, gate: new standin.ProcessGate() } as never)
  const collector = new duties.UsageCollector({ peers: peer, ledger, eras: store.eras, relayAddresses: () => otherAddresses, log: log.SILENT_LOGGER })
  const closer = new duties.UsageCloser({ env, store, eras: store.eras, lease, dutyApi, collector, windowMs: WINDOW_MS, log: log.SILENT_LOGGER })
  lease.start()
  ledger.start()
  closer.start()
  return { lease, ledger, closer }
}

describe('usage', () => {
  it('does not report different or partial counts of a window when replies are lost and the lease holder changes', async () => {
    const virtual = new time.VirtualTime()
    const store = new standin.MemoryStore(virtual)
    const peers = new standin.MemoryPeers(virtual)
    const dutyApi = new RecordedReports()
    const a = startGateway(virtual, store, peers, 'a', ['b'], dutyApi)
    const b = startGateway(virtual, store, peers, 'b', ['a'], dutyApi)
    await virtual.advance(2_000)
    const window = a.ledger.currentWindow()
    for (let index = 0; index < 10; index++) a.ledger.countRequest('x')
    for (let index = 0; index < 5; index++) b.ledger.countRequest('x')
    dutyApi.loseReplies = true
    await virtual.advance(10_000)
    dutyApi.loseReplies = false
    a.closer[Symbol.dispose]()
    await Promise.all([a.lease[Symbol.asyncDispose](), virtual.advance(10)])
    await virtual.advance(10_000)
    const reported = dutyApi.reports.get(window)!
    chai.expect(reported.length).to.be.greaterThan(1)
    chai.expect([...new Set(reported)]).to.deep.equal(['{"x":15}'])
  })

  it('is stored in full at the end of a process also when a write is in progress then', async () => {
    const virtual = new time.VirtualTime()
    const store = new standin.MemoryStore(virtual)
    const ledger = new duties.UsageLedger({ env: virtual.env(1), store, eras: store.eras, name: 'a', windowMs: WINDOW_MS, isRelay: () => true, log: log.SILENT_LOGGER })
    ledger.start()
    store.faults.delayMs = 200
    ledger.countRequest('x')
    await virtual.advance(1_300)
    ledger.countRequest('x')
    await Promise.all([ledger[Symbol.asyncDispose](), virtual.advance(1_000)])
    chai.expect(store.peek('godwitpoint-usage/a')?.value).to.contain('"x":2')
  })
})

const LIMITS: serving.OrderLimits = { min: 1, max: 4, deliveryMs: 4_000, preemptiblePrice: 0.22, domainPrices: new Map([['w', 1], ['c', 0.8], ['e', 1.25]]) }

function planCounts (counts: Array<[string, number, number]>, limits = LIMITS): Record<string, number> {
  const domains = counts.map(([domain, standard, preemptible]) => ({ domain, standard, preemptible }))
  const desired = duties.planOrders({ service: 's', limits, size: 6, domains })
  return Object.fromEntries(desired.map((targets) => [`${targets.domain}${targets.preemptible ? '-p' : ''}`, targets.count]))
}

describe('planOrders', () => {
  it('orders preemptible targets beside the standard ones in each domain without exceeding the limit', () => {
    chai.expect(planCounts([['w', 2, 0], ['c', 2, 0], ['e', 2, 0]])).to.deep.equal({ w: 2, 'w-p': 2, c: 2, 'c-p': 2, e: 2, 'e-p': 2 })
  })

  it('orders nothing when no preemptible targets are offered', () => {
    chai.expect(planCounts([['w', 2, 0], ['c', 2, 0], ['e', 2, 0]], { ...LIMITS, preemptiblePrice: undefined })).to.deep.equal({})
  })

  it('orders missing standard targets in the cheapest domains when the size is not met without those of one domain', () => {
    const planned = planCounts([['w', 0, 0], ['c', 2, 0], ['e', 2, 1]])
    chai.expect([planned.w, planned.c, planned.e]).to.deep.equal([1, 3, 2])
  })

  it('does not exceed the limit when the preemptible targets of a domain are reclaimed', () => {
    const planned = planCounts([['w', 2, 0], ['c', 2, 2], ['e', 2, 2]])
    chai.expect([planned.w, planned['w-p']]).to.deep.equal([2, 2])
  })

  it('releases standard targets while preemptible ones provide half more than the size without those of any one domain', () => {
    const limits = { ...LIMITS, max: 8 }
    chai.expect(planCounts([['w', 2, 2], ['c', 2, 2], ['e', 2, 2]], limits)).to.deep.include({ w: 2, c: 2, e: 1 })
    chai.expect(planCounts([['w', 1, 4], ['c', 1, 4], ['e', 1, 5]], limits)).to.deep.include({ w: 0, c: 1, e: 0 })
    chai.expect(planCounts([['w', 0, 5], ['c', 0, 5], ['e', 0, 5]], limits)).to.deep.equal({ w: 0, 'w-p': 5, c: 0, 'c-p': 5, e: 0, 'e-p': 5 })
  })

  it('neither orders nor releases standard targets between the size and half more', () => {
    chai.expect(planCounts([['w', 2, 1], ['c', 2, 1], ['e', 2, 1]])).to.deep.include({ w: 2, c: 2, e: 2 })
    chai.expect(planCounts([['w', 1, 2], ['c', 1, 2], ['e', 1, 2]])).to.deep.include({ w: 1, c: 1, e: 1 })
  })

  it('orders standard targets as soon as a reclaim leaves the size to the preemptible targets of one other domain', () => {
    const planned = planCounts([['w', 0, 0], ['c', 0, 4], ['e', 0, 4]], { ...LIMITS, max: 8 })
    chai.expect(planned.w! + planned.c! + planned.e!).to.equal(2)
  })

  it('releases no target that a domain needs for its minimum', () => {
    chai.expect(planCounts([['w', 1, 0], ['c', 0, 4], ['e', 0, 12]], { ...LIMITS, max: 16 }).w).to.equal(1)
  })
})
