import * as chai from 'chai'
import * as external from '../../src/external/index.js'
import * as regions from '../support/gateway-region.js'

describe('Directory', () => {
  it('recommends a restarted gateway within a second although stale lists still show its previous incarnation', async () => {
    const region = new regions.Region()
    const a = region.start('a')
    region.start('b')
    await region.virtual.advance(5_000)
    chai.expect(a.directory.addresses()).to.have.members(['a:1', 'b:1'])
    region.kill('b')
    await region.virtual.advance(1_500)
    chai.expect(a.directory.addresses()).to.deep.equal(['a:1'])
    region.store.setStaleOkReadsStale(true)
    region.start('b', 'b-2')
    await region.virtual.advance(800)
    chai.expect(a.directory.addresses()).to.have.members(['a:1', 'b:1'])
  })

  it('does not send all callers to the first gateways that return after all have failed', async () => {
    const region = new regions.Region()
    const names = ['a', 'b', 'c', 'd', 'e']
    for (const name of names) region.start(name)
    await region.virtual.advance(5_000)
    for (const name of names) region.kill(name)
    await region.virtual.advance(2_000)
    const a = region.start('a', 'a-2')
    await region.virtual.advance(20)
    chai.expect(a.directory.addresses()).to.have.members(names.map((name) => `${name}:1`))
    region.start('b', 'b-2')
    region.start('c', 'c-2')
    await region.virtual.advance(1_000)
    chai.expect(a.directory.addresses()).to.have.members(['a:1', 'b:1', 'c:1'])
    region.kill('b')
    region.kill('c')
    await region.virtual.advance(3_000)
    chai.expect(a.directory.addresses()).to.deep.equal(['a:1'])
  })

  it('spreads callers over all gateways when there are more than it may recommend', async () => {
    const region = new regions.Region()
    const [first] = region.startMany(100)
    await region.virtual.advance(3_000)
    const advised = Array.from({ length: 20 }, () => first!.directory.addresses())
    for (const addresses of advised) chai.expect(new Set(addresses).size).to.equal(64)
    chai.expect(new Set(advised.flat()).size).to.equal(100)
  })

  it('does not drop a gateway that is up and that a stale list lacks, and drops one that is neither listed nor up', async () => {
    const region = new regions.Region()
    const a = region.start('a')
    await region.virtual.advance(500)
    region.store.setStaleOkReadsStale(true)
    const b = region.start('b')
    await region.virtual.advance(5_000)
    chai.expect(a.directory.addresses()).to.have.members(['a:1', 'b:1'])
    region.store.setStaleOkReadsStale(false)
    await Promise.all([b.directory[Symbol.asyncDispose](), region.virtual.advance(10)])
    region.kill('b')
    await region.virtual.advance(4_500)
    chai.expect(a.directory.gatewayCount).to.equal(1)
  })

  it('ignores an object that is no record of a gateway', async () => {
    const region = new regions.Region()
    await region.write('godwitpoint-gateways/x', '"what"')
    await region.write('godwitpoint-gateways/y', 'no json')
    const a = region.start('a')
    const b = region.start('b')
    await region.virtual.advance(3_000)
    for (const gateway of [a, b]) chai.expect(gateway.directory.addresses()).to.have.members(['a:1', 'b:1'])
  })

  it('logs a malformed record once for each change of it, in a line of bounded length', async () => {
    const lines: string[] = []
    const note = (fields: object, event: string): void => { lines.push(`${event} ${JSON.stringify(fields)}`) }
    const region = new regions.Region()
    region.log = { debug: note, info: note, warn: note, error: note }
    await region.write(`godwitpoint-gateways/${'x'.repeat(10_000)}`, 'no json')
    await region.write('godwitpoint-gateways/y', JSON.stringify({ name: 'y'.repeat(10_000), incarnation: '', front: '', peer: '', domain: '' }))
    region.start('a')
    await region.virtual.advance(10_000)
    const malformed = lines.filter((line) => line.startsWith('gateway_record_malformed'))
    chai.expect(malformed).to.have.length(2)
    for (const line of lines) chai.expect(line.length).to.be.lessThan(300)
    await region.write('godwitpoint-gateways/y', 'other')
    await region.virtual.advance(4_000)
    chai.expect(lines.filter((line) => line.startsWith('gateway_record_malformed'))).to.have.length(3)
  })
})

// A store that returns from an older copy has lost the registrations of the last seconds, and lists those that were removed in them.
describe('Directory after the store has returned from an older copy', () => {
  const KEY = 'godwitpoint-gateways/b'
  const incarnationIn = (region: regions.Region): unknown => {
    const stored = region.store.peek(KEY)
    return stored === undefined ? undefined : (JSON.parse(stored.value) as { incarnation: unknown }).incarnation
  }

  it('registers again a gateway whose registration was lost', async () => {
    const region = new regions.Region()
    region.start('a')
    await region.virtual.advance(3_000)
    const copy = region.store.copy()
    region.start('b')
    await region.virtual.advance(3_000)
    region.store.restore(copy)
    await region.virtual.advance(3_000)
    chai.expect(incarnationIn(region)).to.equal('b-1')
  })

  it('registers again over the registration of an earlier incarnation', async () => {
    const region = new regions.Region()
    region.start('a')
    region.start('b')
    await region.virtual.advance(3_000)
    const copy = region.store.copy()
    region.kill('b')
    region.start('b', 'b-2')
    await region.virtual.advance(3_000)
    region.store.restore(copy)
    await region.virtual.advance(3_000)
    chai.expect(incarnationIn(region)).to.equal('b-2')
  })

  it('registers again within a second of a member that learns of the restore from its relay alone, and after a second restore', async () => {
    const region = new regions.Region()
    const gateways = region.startMany(30)
    await region.virtual.advance(3_000)
    const copy = region.store.copy()
    const late = Array.from({ length: 6 }, (_, index) => region.start(`h${index}`))
    await region.virtual.advance(6_000)
    const member = late.find((gateway) => !gateway.exchange.isRelay)!
    const key = `godwitpoint-gateways/${member.name}`
    for (let restores = 0; restores < 2; restores++) {
      region.store.restore(copy)
      chai.expect(region.store.peek(key)).to.equal(undefined)
      // Relays read the configuration every 1.8 s.
      await region.virtual.advance(3_000)
      chai.expect(region.store.peek(key), `restore ${restores}`).not.to.equal(undefined)
    }
    chai.expect(gateways.length).to.equal(30)
  })

  it('registers again once it reaches the store, when it was cut off during the restore', async () => {
    const region = new regions.Region()
    region.start('a')
    await region.virtual.advance(3_000)
    const copy = region.store.copy()
    const b = region.start('b')
    await region.virtual.advance(3_000)
    b.storeReachable = false
    region.store.restore(copy)
    await region.virtual.advance(10_000)
    chai.expect(incarnationIn(region)).to.equal(undefined)
    b.storeReachable = true
    await region.virtual.advance(2_000)
    chai.expect(incarnationIn(region)).to.equal('b-1')
  })

  it('writes nothing when the copy has the registration', async () => {
    const region = new regions.Region()
    const a = region.start('a')
    await region.virtual.advance(3_000)
    const copy = region.store.copy()
    await region.virtual.advance(3_000)
    const version = region.store.peek('godwitpoint-gateways/a')!.version
    region.store.restore(copy)
    await region.virtual.advance(6_000)
    chai.expect(external.revisionOf(region.store.peek('godwitpoint-gateways/a')!.version)).to.equal(external.revisionOf(version))
    await Promise.all([a.directory[Symbol.asyncDispose](), region.virtual.advance(10)])
    chai.expect(region.store.peek('godwitpoint-gateways/a')).to.equal(undefined)
  })

  it('removes its own registration when it stops right after a restore', async () => {
    const region = new regions.Region()
    region.start('a')
    const b = region.start('b')
    await region.virtual.advance(3_000)
    region.store.restore(region.store.copy())
    await Promise.all([b.directory[Symbol.asyncDispose](), region.virtual.advance(20)])
    chai.expect(region.store.peek(KEY)).to.equal(undefined)
    chai.expect(region.store.peek('godwitpoint-gateways/a')).not.to.equal(undefined)
  })

  it('leaves the registration of another incarnation when it stops right after a restore', async () => {
    const region = new regions.Region()
    const b = region.start('b')
    await region.virtual.advance(3_000)
    const other = JSON.stringify({ name: 'b', incarnation: 'b-0', front: 'b:1', peer: 'b:2', domain: 'd' })
    await region.write(KEY, other)
    region.store.restore(region.store.copy())
    await Promise.all([b.directory[Symbol.asyncDispose](), region.virtual.advance(20)])
    chai.expect(region.store.peek(KEY)?.value).to.equal(other)
  })

  it('counts a gateway that ended in the lost seconds as up for the grace of a listed one at most, and does not recommend it', async () => {
    const region = new regions.Region()
    const a = region.start('a')
    region.start('c')
    const b = region.start('b')
    await region.virtual.advance(3_000)
    const copy = region.store.copy()
    await Promise.all([b.directory[Symbol.asyncDispose](), region.virtual.advance(20)])
    region.kill('b')
    await region.virtual.advance(5_000)
    chai.expect(a.roster.all().map((record) => record.name)).to.deep.equal(['c'])
    region.store.restore(copy)
    for (let ms = 0; ms < 12_000; ms += 100) {
      await region.virtual.advance(100)
      chai.expect(a.directory.addresses(), `after ${ms} ms`).to.have.members(['a:1', 'c:1'])
      // A list is read every 2 s; listed gateways count as up for 3 s.
      if (ms >= 5_500) chai.expect(a.directory.gatewayNames(), `after ${ms} ms`).to.have.members(['a', 'c'])
    }
  })

  it('recommends a gateway again that was cut off while the copy listed an earlier incarnation of it', async () => {
    const region = new regions.Region()
    region.start('a')
    region.start('b')
    await region.virtual.advance(3_000)
    const copy = region.store.copy()
    region.kill('b')
    const b = region.start('b', 'b-2')
    await region.virtual.advance(3_000)
    const c = region.start('c')
    await region.virtual.advance(3_000)
    for (const name of ['a', 'c']) for (const cut of [`${name}>b`, `b>${name}`]) region.cuts.add(cut)
    b.storeReachable = false
    region.store.restore(copy)
    await region.virtual.advance(6_000)
    region.cuts.clear()
    b.storeReachable = true
    await region.virtual.advance(6_000)
    chai.expect(c.directory.addresses()).to.have.members(['a:1', 'b:1', 'c:1'])
  })
})
