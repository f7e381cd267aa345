import * as chai from 'chai'
import * as errors from '../../src/errors/index.js'
import * as build from '../support/gateway-builders.js'
import * as fixtures from '../support/forwarder-fixture.js'

const { STREAM, respond, setUp } = fixtures
const NON_IDEMPOTENT = build.aRoute({ idempotency: 'non_idempotent', maxTargets: 2 })

describe('Forwarder', () => {
  it('retries after a 500 and delivers the response of the second target unchanged', async () => {
    const fixture = setUp()
    fixture.start(build.aCall())
    respond(fixture.upstream.sends[0]!, 500, 'boom')
    await fixture.virtual.advance(1)
    respond(fixture.upstream.sends[1]!, 200, 'good')
    await fixture.virtual.advance(1)
    chai.expect([fixture.reply.status, fixture.reply.text, fixture.reply.state]).to.deep.equal([200, 'good', 'ended'])
  })

  it('does not resend a non-idempotent call after its connection broke, and does not report it as not executed', async () => {
    const fixture = setUp()
    fixture.start(build.aCall({ route: NON_IDEMPOTENT }))
    fixture.upstream.sends[0]!.handler.onError({ written: true, message: 'reset' })
    await fixture.virtual.advance(1)
    chai.expect(fixture.upstream.sends).to.have.length(1)
    chai.expect((fixture.outcome() as errors.Refusal).detail.ran).to.equal('maybe')
  })

  it('sends a non-idempotent call to another target when the first one reports that it was not executed', async () => {
    const fixture = setUp()
    fixture.start(build.aCall({ route: NON_IDEMPOTENT }))
    respond(fixture.upstream.sends[0]!, 503, '', { 'not-executed': '1' })
    await fixture.virtual.advance(1)
    chai.expect(fixture.upstream.sends).to.have.length(2)
    respond(fixture.upstream.sends[1]!, 200, 'done')
    await fixture.virtual.advance(1)
    chai.expect(fixture.reply.status).to.equal(200)
  })

  it('sends a call elsewhere whose target has left while the call waited for a connection', async () => {
    const fixture = setUp()
    fixture.start(build.aCall({ route: NON_IDEMPOTENT }))
    const [first] = fixture.upstream.sends
    const records = [build.aTarget('a'), build.aTarget('b')]
    const remaining = records.filter((record) => record.address !== first!.req.address)
    chai.expect(first!.handler.mayWrite!()).to.equal(true)
    fixture.fleet.apply([...remaining, ...records.filter((record) => !remaining.includes(record)).map((record) => ({ ...record, leaving: true }))])
    chai.expect(first!.handler.mayWrite!()).to.equal(false)
    first!.handler.onError({ written: false, message: 'withdrawn' })
    await fixture.virtual.advance(1)
    chai.expect(fixture.upstream.sends.map((send) => send.req.address).slice(1)).to.deep.equal(remaining.map((record) => record.address))
  })

  it('sends a call with a segment that ends engines to no further one, and refuses the next such call at once as not executed', async () => {
    const fixture = setUp()
    const prompt = { promptTokens: 9, outputTokens: 1, segments: [{ id: 'bad', tokens: 5 }, { id: 'own', tokens: 4 }] }
    const call = build.aCall({ prompt, route: { ...STREAM, maxTargets: 9 } })
    fixture.start(call)
    for (let sent = 0; sent < 2; sent++) {
      fixture.upstream.sends[sent]!.handler.onError({ written: true, message: 'other side closed' })
      await fixture.virtual.advance(10)
    }
    // Both targets have ended once and started again.
    fixture.fleet.apply([build.aTarget('a', { startedAt: 2 }), build.aTarget('b', { startedAt: 2 })])
    chai.expect(fixture.upstream.sends).to.have.length(3)
    fixture.upstream.sends[2]!.handler.onError({ written: true, message: 'other side closed' })
    await fixture.virtual.advance(10)
    fixture.fleet.apply([build.aTarget('a', { startedAt: 3 }), build.aTarget('b', { startedAt: 3 })])
    fixture.upstream.sends[3]?.handler.onError({ written: true, message: 'other side closed' })
    await fixture.virtual.advance(10)
    const refusal = fixture.outcome() as errors.Refusal
    chai.expect([refusal.reason, refusal.detail.ran]).to.deep.equal(['segment_quarantined', 'maybe'])
    const sends = fixture.upstream.sends.length
    fixture.start(build.aCall({ id: 'c2', prompt, route: STREAM }))
    await fixture.virtual.advance(1)
    const next = fixture.outcome() as errors.Refusal
    chai.expect([next.reason, next.detail.ran, fixture.upstream.sends.length - sends]).to.deep.equal(['segment_quarantined', 'no', 0])
    chai.expect(next.detail.retryAfterMs).to.be.greaterThan(20_000)
  })

  it('does not relay a 503 unless the target reports that the call was not executed', async () => {
    const fixture = setUp()
    fixture.start(build.aCall({ route: NON_IDEMPOTENT }))
    respond(fixture.upstream.sends[0]!, 503, 'busy')
    await fixture.virtual.advance(1)
    chai.expect(fixture.reply.status).to.equal(502)
  })

  it('treats a response with the id of another request as a failure', async () => {
    const fixture = setUp()
    fixture.start(build.aCall({ route: NON_IDEMPOTENT }))
    fixture.upstream.sends[0]!.handler.onHead(200, { 'request-id': 'other' })
    await fixture.virtual.advance(1)
    chai.expect(fixture.upstream.sends[0]!.aborted).to.equal(true)
    chai.expect(fixture.reply.started).to.equal(false)
  })

  it('resumes a broken stream after the last complete event, and relays no event twice', async () => {
    const fixture = setUp()
    fixture.start(build.aCall({ route: STREAM }))
    const first = fixture.upstream.sends[0]!
    first.handler.onHead(200, { 'request-id': 'c1' })
    first.handler.onData(Buffer.from('id: 1\ndata: a\n\nid: 2\nda'))
    first.handler.onError({ written: true, message: 'reset' })
    await fixture.virtual.advance(1)
    const second = fixture.upstream.sends[1]!
    chai.expect(second.req.headers.join(' ')).to.contain('last-event-id 1')
    second.handler.onHead(200, { 'request-id': 'c1' })
    second.handler.onData(Buffer.from('id: 1\ndata: a\n\nid: 2\ndata: b\n\n'))
    second.handler.onEnd()
    await fixture.virtual.advance(1)
    chai.expect(fixture.reply.text).to.equal('id: 1\ndata: a\n\nid: 2\ndata: b\n\n')
    chai.expect(fixture.reply.state).to.equal('ended')
    chai.expect(fixture.executed).to.have.length(2)
  })

  it('aborts a stream that ends inside an event and cannot be resumed', async () => {
    const fixture = setUp()
    fixture.start(build.aCall({ route: { ...STREAM, idempotency: 'non_idempotent', maxTargets: 1 } }))
    const send = fixture.upstream.sends[0]!
    send.handler.onHead(200, { 'request-id': 'c1' })
    send.handler.onData(Buffer.from('id: 1\ndata: a\n\nid: 2'))
    send.handler.onEnd()
    await fixture.virtual.advance(1)
    chai.expect(fixture.reply.state).to.equal('aborted')
  })

  it('sends no further attempt after a stream was aborted at its deadline', async () => {
    const fixture = setUp()
    fixture.start(build.aCall({ route: STREAM, deadlineAt: 1_000 }))
    const send = fixture.upstream.sends[0]!
    send.handler.onHead(200, { 'request-id': 'c1' })
    for (let index = 0; index < 10; index++) {
      send.handler.onData(Buffer.from(`id: ${index}\ndata: a\n\n`))
      await fixture.virtual.advance(120)
    }
    chai.expect(fixture.reply.state).to.equal('aborted')
    chai.expect(fixture.upstream.sends).to.have.length(1)
    chai.expect(fixture.outcome()).to.equal(undefined)
  })

  it('resumes a stream that has lasted longer than the idle timeout of the caller', async () => {
    const fixture = setUp()
    fixture.start(build.aCall({ route: STREAM }))
    const send = fixture.upstream.sends[0]!
    send.handler.onHead(200, { 'request-id': 'c1' })
    for (let index = 0; index < 25; index++) {
      send.handler.onData(Buffer.from(`id: ${index}\ndata: a\n\n`))
      await fixture.virtual.advance(100)
    }
    send.handler.onError({ written: true, message: 'reset' })
    await fixture.virtual.advance(1)
    chai.expect(fixture.upstream.sends).to.have.length(2)
  })

  it('aborts the attempt at once when the caller disconnects', async () => {
    const fixture = setUp()
    fixture.start(build.aCall({ route: NON_IDEMPOTENT }))
    fixture.callerLeft.abort()
    await fixture.virtual.advance(1)
    chai.expect(fixture.upstream.sends[0]!.aborted).to.equal(true)
    chai.expect((fixture.outcome() as errors.Refusal).reason).to.equal('caller_disconnected')
  })

  it('ends a call at its deadline, and does not report it as not executed once it was sent', async () => {
    const fixture = setUp()
    fixture.start(build.aCall({ route: NON_IDEMPOTENT, deadlineAt: 1_200 }))
    await fixture.virtual.advance(1_250)
    const refusal = fixture.outcome() as errors.Refusal
    chai.expect([refusal.reason, refusal.detail.ran]).to.deep.equal(['deadline_exceeded', 'maybe'])
  })

  it('sends no more retries than the budget allows', async () => {
    const fixture = setUp({ slack: 0 })
    fixture.start(build.aCall())
    fixture.upstream.sends[0]!.handler.onError({ written: true, message: 'reset' })
    await fixture.virtual.advance(1)
    chai.expect(fixture.upstream.sends).to.have.length(1)
  })

  it('sends an idempotent call to another target beside a stalled attempt, which may still win, and aborts the other one then', async () => {
    for (const [winner, loser] of [[0, 1], [1, 0]] as const) {
      const fixture = setUp()
      fixture.start(build.aCall())
      await fixture.virtual.advance(400)
      chai.expect(fixture.upstream.sends.map((send) => send.aborted)).to.deep.equal([false, false])
      respond(fixture.upstream.sends[winner]!, 200, 'good')
      await fixture.virtual.advance(1)
      chai.expect([fixture.upstream.sends[loser]!.aborted, fixture.reply.text, fixture.reply.state]).to.deep.equal([true, 'good', 'ended'])
    }
  })

  it('rechecks before each send that the key was not withdrawn', async () => {
    const fixture = setUp()
    let withdrawn = false
    const refusal = new errors.Refusal('key_withdrawn', { step: 'authenticate', ran: 'no' })
    fixture.start(build.aCall({ route: NON_IDEMPOTENT, checkAuthorization: () => withdrawn ? refusal : undefined }))
    withdrawn = true
    respond(fixture.upstream.sends[0]!, 503, '', { 'not-executed': '1' })
    await fixture.virtual.advance(1)
    chai.expect(fixture.upstream.sends).to.have.length(1)
    chai.expect(fixture.outcome()).to.equal(refusal)
  })

  it('records by service the time to the first event, the time between events, and the time not spent at targets', async () => {
    const fixture = setUp()
    await fixture.virtual.advance(20)
    fixture.start(build.aCall({ route: STREAM, arrivedAt: 0 }))
    const [first] = fixture.upstream.sends
    await fixture.virtual.advance(100)
    first!.handler.onHead(200, { 'request-id': 'c1' })
    for (const id of [1, 2, 3]) {
      first!.handler.onData(Buffer.from(`id: ${id}\ndata: x\n\n`))
      await fixture.virtual.advance(50)
    }
    first!.handler.onEnd()
    await fixture.virtual.advance(1)
    const median = (name: string): number => Math.round(fixture.counters.percentileMs(`godwitpoint_${name}`, 50, 'service="s"')!)
    chai.expect([median('first_token'), median('between_tokens'), median('queue_wait'), median('added')]).to.deep.equal([120, 50, 20, 20])
    chai.expect(median('request')).to.be.within(268, 272)
    chai.expect(fixture.counters.counter('godwitpoint_placements_total', 'phase="run",in_time="true"')).to.equal(1)
  })
})
