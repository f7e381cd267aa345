import * as chai from 'chai'
import * as time from '../../src/time/index.js'
import * as restLimits from '../../src/upstream/rest-limits.js'

describe('RestLimits', () => {
  it('keeps a limit for each target, the lowest of all for calls that may run once, and forgets it after a while', async () => {
    const virtual = new time.VirtualTime()
    const limits = new restLimits.RestLimits(virtual)
    chai.expect(limits.of('a', true)).to.equal(Infinity)
    limits.lost('a', 500)
    limits.lost('b', 100)
    limits.lost('b', 400)
    chai.expect([limits.of('a', false), limits.of('b', false), limits.of('c', false), limits.of('c', true)]).to.deep.equal([300, 60, Infinity, 60])
    await virtual.advance(20_000)
    chai.expect(limits.of('a', true)).to.equal(Infinity)
  })
})
