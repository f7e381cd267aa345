import * as chai from 'chai'
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
})
