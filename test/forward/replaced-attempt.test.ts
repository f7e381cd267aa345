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

  // The attempt that replaced the silent one used the last retry of the budget, and was refused.
  it('is not moved when the budget has no retry left for the return to its target', async () => {
    const fixture = setUp({ slack: 5 })
    fixture.start(build.aCall({ route: STREAM }))
    const [first] = fixture.upstream.sends
    beginStream(first!, 1)
    await fixture.virtual.advance(1_600)
    if (fixture.upstream.sends.length > 1) respond(fixture.upstream.sends[1]!, 503, '', { 'not-executed': '1' })
    await fixture.virtual.advance(100)
    fixtures.sendEvents(first!, 2, 3)
    first!.handler.onEnd()
    await fixture.virtual.advance(1)
    chai.expect([fixture.reply.text, fixture.reply.state]).to.deep.equal([eventText(1) + eventText(2) + eventText(3), 'ended'])
  })

  it('returns to its target with the retry that was kept for it', async () => {
    const fixture = setUp({ slack: 7 })
    fixture.start(build.aCall({ route: STREAM }))
    beginStream(fixture.upstream.sends[0]!, 1)
    await fixture.virtual.advance(1_600)
    respond(fixture.upstream.sends[1]!, 503, '', { 'not-executed': '1' })
    while (fixture.budget.tryRetry()) { /* other calls use up the budget */ }
    await fixture.virtual.advance(100)
    const last = fixture.upstream.sends[2]!
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

  // Guards against a call that is sent to more servers than maxTargets.
  it('goes on at the silent target when two of three targets may be tried', async () => {
    const fixture = setUp({ targets: ['a', 'b', 'c'].map((id) => build.aTarget(id)) })
    fixture.start(build.aCall({ route: STREAM, resumeAfter: '1' }))
    await fixture.virtual.advance(1_600)
    respond(fixture.upstream.sends[1]!, 503, '', { 'not-executed': '1' })
    await fixture.virtual.advance(1)
    const addresses = fixture.upstream.sends.map((send) => send.req.address)
    chai.expect([addresses.length, addresses[2] === addresses[0], addresses[1] === addresses[0]]).to.deep.equal([3, true, false])
  })

  // Guards against sends without a bound when all targets refuse.
  it('is sent three times at most when two targets may be tried', async () => {
    const fixture = setUp()
    fixture.start(build.aCall({ route: STREAM, resumeAfter: '1' }))
    await fixture.virtual.advance(1_600)
    for (let sent = 1; sent < fixture.upstream.sends.length && sent < 9; sent++) {
      respond(fixture.upstream.sends[sent]!, 503, '', { 'not-executed': '1' })
      await fixture.virtual.advance(100)
    }
    chai.expect([fixture.upstream.sends.length, typeof fixture.outcome()]).to.deep.equal([3, 'object'])
  })

  // Guards against a further target that is not counted because the silent one was sent to twice.
  it('goes on at a third target when the second one and then the silent one refuse', async () => {
    const fixture = setUp({ targets: [build.aTarget('a'), build.aTarget('b')] })
    fixture.start(build.aCall({ route: { ...STREAM, maxTargets: 3 }, resumeAfter: '1' }))
    await fixture.virtual.advance(1_600)
    respond(fixture.upstream.sends[1]!, 503, '', { 'not-executed': '1' })
    await fixture.virtual.advance(1)
    fixture.fleet.apply(['a', 'b', 'c'].map((id) => build.aTarget(id)))
    respond(fixture.upstream.sends[2]!, 503, '', { 'not-executed': '1' })
    await fixture.virtual.advance(1)
    chai.expect(new Set(fixture.upstream.sends.map((send) => send.req.address)).size).to.equal(3)
  })

  for (const [name, end] of [['refuses', (send: build.RecordedSend) => respond(send, 503, '', { 'not-executed': '1' })], ['breaks off', (send: build.RecordedSend) => send.handler.onError({ written: true, message: 'reset' })], ['cannot be reached', (send: build.RecordedSend) => send.handler.onError({ written: false, message: 'refused' })], ['answers 500', (send: build.RecordedSend) => respond(send, 500, 'boom')]] as const) {
    it(`goes on at the silent target, also while that is paused, when the next one ${name}`, async () => {
      const fixture = setUp()
      fixture.start(build.aCall({ route: STREAM, resumeAfter: '1' }))
      await fixture.virtual.advance(1_600)
      const now = fixture.virtual.now()
      const silent = fixture.fleet.ofService('s').find((state) => state.record.address === fixture.upstream.sends[0]!.req.address)!
      silent.failures.record('unreachable', now, now)
      end(fixture.upstream.sends[1]!)
      await fixture.virtual.advance(1)
      chai.expect(fixture.upstream.sends.map((send) => send.req.address)[2]).to.equal(silent.record.address)
      chai.expect(silent.acceptsCalls(now)).to.equal(false)
    })
  }
})

describe('A stream that has begun with a content type and is resumed at a second target', () => {
  // Guards against a page or a JSON document within a stream.
  for (const type of ['text/html', 'application/json; charset=utf-8', undefined]) {
    it(`is not joined to a response with status 200 and the content type ${type}`, async () => {
      const fixture = setUp()
      fixture.start(build.aCall({ route: { ...STREAM, maxTargets: 3 } }))
      beginStream(fixture.upstream.sends[0]!, 1, 1, { 'content-type': 'text/event-stream' })
      fixture.upstream.sends[0]!.handler.onError({ written: true, message: 'reset' })
      await fixture.virtual.advance(1)
      respond(fixture.upstream.sends[1]!, 200, '<p>sorry</p>\n\n', type === undefined ? {} : { 'content-type': type })
      await fixture.virtual.advance(1)
      chai.expect([fixture.upstream.sends.length, fixture.upstream.sends[1]!.aborted, fixture.reply.state, fixture.reply.text]).to.deep.equal([3, true, 'open', eventText(1)])
    })
  }

  it('goes on when only the parameters or the case of the content type differ', async () => {
    const fixture = setUp()
    fixture.start(build.aCall({ route: STREAM }))
    beginStream(fixture.upstream.sends[0]!, 1, 1, { 'content-type': 'text/event-stream' })
    fixture.upstream.sends[0]!.handler.onError({ written: true, message: 'reset' })
    await fixture.virtual.advance(1)
    beginStream(fixture.upstream.sends[1]!, 2, 2, { 'content-type': 'Text/Event-Stream;charset=utf-8' })
    fixture.upstream.sends[1]!.handler.onEnd()
    await fixture.virtual.advance(1)
    chai.expect([fixture.reply.state, fixture.reply.text]).to.deep.equal(['ended', eventText(1) + eventText(2)])
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

  for (const events of ['data: a\n\n', 'id: 1\ndata: a\n\ndata: b\n\n']) {
    it(`breaks off when its target does (${JSON.stringify(events)})`, async () => {
      const fixture = setUp()
      fixture.start(build.aCall({ route: STREAM }))
      const [first] = fixture.upstream.sends
      first!.handler.onHead(200, { 'request-id': 'c1' })
      first!.handler.onData(Buffer.from(events))
      first!.handler.onError({ written: true, message: 'reset' })
      await fixture.virtual.advance(1)
      chai.expect([fixture.upstream.sends.length, fixture.reply.state, fixture.reply.text]).to.deep.equal([1, 'aborted', events])
    })
  }

  it('is resumed when only comments have no ids', async () => {
    const fixture = setUp()
    fixture.start(build.aCall({ route: STREAM }))
    beginStream(fixture.upstream.sends[0]!, 1)
    fixture.upstream.sends[0]!.handler.onData(Buffer.from(': wait\n\n'))
    fixture.upstream.sends[0]!.handler.onError({ written: true, message: 'reset' })
    await fixture.virtual.advance(1)
    chai.expect(fixture.upstream.sends[1]!.req.headers.join(' ')).to.contain('last-event-id 1')
  })
})
