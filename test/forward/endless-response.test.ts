import * as chai from 'chai'
import * as build from '../support/gateway-builders.js'
import * as fixtures from '../support/forwarder-fixture.js'
import * as memory from '../support/memory.js'

/** Bytes of a body in short chunks. */
const BODY_BYTES = 1024 * 1024

const NON_IDEMPOTENT = build.aRoute({ idempotency: 'non_idempotent', maxTargets: 1 })

// A target that sent a failure in short chunks without end ended the process at its heap limit, and all calls with it.
describe('responses without end that are not streamed', () => {
  it('need memory for their bytes, however short their chunks are', async () => {
    const fixture = fixtures.setUp()
    fixture.start(build.aCall())
    const { handler } = fixture.upstream.sends[0]!
    handler.onHead(404, { 'request-id': 'c1' })
    const before = memory.usedHeapBytes()
    for (let sent = 0; sent < BODY_BYTES; sent += 2) handler.onData(Buffer.from('x\n'))
    const used = memory.usedHeapBytes() - before
    handler.onEnd()
    await fixture.virtual.advance(1)
    chai.expect(fixture.reply.text).to.have.length(BODY_BYTES)
    chai.expect(used).to.be.lessThan(3 * BODY_BYTES)
  })

  it('fail beyond 64 MiB of all calls together, while small responses are still delivered', async () => {
    const fixture = fixtures.setUp()
    const piece = Buffer.alloc(1024 * 1024)
    for (let index = 0; index < 6; index++) fixture.start(build.aCall({ id: `c${index}`, route: NON_IDEMPOTENT }))
    for (const [index, { handler }] of fixture.upstream.sends.slice().entries()) {
      handler.onHead(500, { 'request-id': `c${index}` })
      for (let count = 0; count < 15; count++) handler.onData(piece)
    }
    chai.expect(fixture.upstream.sends.filter((send) => send.aborted)).to.have.length(2)
    fixture.start(build.aCall())
    fixtures.respond(fixture.upstream.sends.at(-1)!, 200, 'whole')
    await fixture.virtual.advance(1)
    chai.expect([fixture.reply.status, fixture.reply.text]).to.deep.equal([200, 'whole'])
  })
})
