import * as chai from 'chai'
import * as build from '../support/gateway-builders.js'
import * as fixtures from '../support/forwarder-fixture.js'

const { beginStream, eventText, respond, setUp } = fixtures

const STREAM = build.aRoute({ streaming: true, idempotency: 'resumable', callerIdleTimeoutMs: 4_000 })

// Guards against an end by silence: the silent attempt is aborted before it is known whether the next target accepts the call.
describe('A stream that only one target may work on, whose target is silent for 1.6 s', () => {
  it('is not broken off when the target that is to resume it refuses', async () => {
    const fixture = setUp()
    fixture.start(build.aCall({ route: STREAM }))
    beginStream(fixture.upstream.sends[0]!, 1)
    await fixture.virtual.advance(1_600)
    respond(fixture.upstream.sends[1]!, 503, '', { 'not-executed': '1' })
    await fixture.virtual.advance(100)
    const last = fixture.upstream.sends.at(-1)!
    beginStream(last, 2, 3)
    last.handler.onEnd()
    await fixture.virtual.advance(1)
    chai.expect([fixture.reply.text, fixture.reply.state]).to.deep.equal([eventText(1) + eventText(2) + eventText(3), 'ended'])
  })

  it('does not fail when the caller resumed it and the next target refuses', async () => {
    const fixture = setUp()
    fixture.start(build.aCall({ route: STREAM, resumeAfter: '1' }))
    await fixture.virtual.advance(1_600)
    respond(fixture.upstream.sends[1]!, 503, '', { 'not-executed': '1' })
    await fixture.virtual.advance(100)
    chai.expect([fixture.outcome(), fixture.reply.state]).to.deep.equal(['open', 'open'])
  })
})

describe('A stream that has begun and whose events have no ids', () => {
  // Guards against pieces of two runs that are joined: without an id the second run starts from the beginning.
  it('is not continued with a second run', async () => {
    const fixture = setUp()
    fixture.start(build.aCall({ route: STREAM }))
    const [first] = fixture.upstream.sends
    first!.handler.onHead(200, { 'request-id': 'c1' })
    first!.handler.onData(Buffer.from('data: a\n\n'))
    await fixture.virtual.advance(1_600)
    const second = fixture.upstream.sends[1]
    second?.handler.onHead(200, { 'request-id': 'c1' })
    second?.handler.onData(Buffer.from('data: a\n\ndata: b\n\n'))
    chai.expect(fixture.reply.text).to.equal('data: a\n\n')
  })
})
