import * as chai from 'chai'
import * as time from '../../src/time/index.js'
import * as idleLimits from '../../src/upstream/idle-limits.js'

describe('IdleLimits', () => {
  it('has a limit for each target, applies the lowest of all to non-idempotent requests, and expires limits', async () => {
    const virtual = new time.VirtualTime()
    const limits = new idleLimits.IdleLimits(virtual)
    chai.expect(limits.maxIdleMs('a', true)).to.equal(Infinity)
    limits.noteLoss('a', 500)
    limits.noteLoss('b', 100)
    limits.noteLoss('b', 400)
    chai.expect([limits.maxIdleMs('a', false), limits.maxIdleMs('b', false), limits.maxIdleMs('c', false), limits.maxIdleMs('c', true)]).to.deep.equal([300, 60, Infinity, 60])
    await virtual.advance(20_000)
    chai.expect(limits.maxIdleMs('a', true)).to.equal(Infinity)
  })
})
