import * as chai from 'chai'
import * as errors from '../../src/errors/index.js'
import type * as calls from '../../src/call/index.js'
import * as build from '../support/gateway-builders.js'
import * as fixtures from '../support/forwarder-fixture.js'

/** Two calls of this gateway may be in flight at each of the two targets. */
const SERVICE = build.aService({ maxConnections: 3 })
const COUNTER = 'service="s"'

describe('a call that waits for a target', () => {
  const setUpFull = async (overrides: Partial<calls.Call> = {}, waits = true): Promise<fixtures.ForwarderFixture> => {
    const fixture = fixtures.setUp({ waits })
    const route = build.aRoute({ idempotency: 'non_idempotent' })
    for (let count = 0; count < 4; count++) fixture.start(build.aCall({ route, service: SERVICE }), new build.RecordedReply())
    fixture.start(build.aCall({ route, service: SERVICE, ...overrides }))
    await fixture.virtual.advance(100)
    chai.expect(fixture.upstream.sends).to.have.length(4)
    return fixture
  }

  it('is sent as soon as a target of a plain service can take it, where it was refused before', async () => {
    const before = await setUpFull({}, false)
    chai.expect((before.outcome() as errors.Refusal).reason).to.equal('no_target')
    const fixture = await setUpFull()
    fixtures.respond(fixture.upstream.sends[0]!, 200, 'done')
    await fixture.virtual.advance(25)
    chai.expect(fixture.upstream.sends).to.have.length(5)
    fixtures.respond(fixture.upstream.sends[4]!, 200, 'good')
    await fixture.virtual.advance(1)
    chai.expect([fixture.reply.status, fixture.reply.text]).to.deep.equal([200, 'good'])
    chai.expect(fixture.counters.counter('godwitpoint_sent_after_waiting_total', `${COUNTER},cause="room"`)).to.equal(1)
    chai.expect(fixture.counters.percentileMs('godwitpoint_wait', 50, COUNTER)).to.be.within(100, 126)
  })

  it('is refused as not executed at its latest start when no target of a plain service can take it', async () => {
    const fixture = await setUpFull({ deadlineAt: 1_000 })
    chai.expect(fixture.outcome()).to.equal('open')
    await fixture.virtual.advance(800)
    const { status, detail } = fixture.outcome() as errors.Refusal
    chai.expect([status, detail.ran, fixture.upstream.sends.length]).to.deep.equal([503, 'no', 4])
  })

  it('is one with a prompt of known size that no engine can start soon; without a known size it is sent as before', async () => {
    for (const [prompt, sends] of [[undefined, 1], [{ promptTokens: 5_000, outputTokens: 1, segments: [{ id: 'own', tokens: 5_000 }] }, 0]] as const) {
      const fixture = fixtures.setUp({ placer: 'engine', waits: true })
      for (const state of fixture.fleet.all()) state.pendingPrefillTokens = 20_000
      const service = build.aService({ engine: { slots: 4, kvCapacityTokens: 100_000 } })
      fixture.start(build.aCall({ service, prompt, route: fixtures.STREAM }))
      await fixture.virtual.advance(50)
      // The first late call shows what the service serves; only then it is known how much backlog leaves room.
      fixture.start(build.aCall({ service, prompt, route: fixtures.STREAM }), new build.RecordedReply())
      await fixture.virtual.advance(50)
      chai.expect(fixture.upstream.sends.length - 1).to.equal(sends)
    }
  })

  it('leaves the queue at once when its caller disconnects', async () => {
    const fixture = await setUpFull()
    fixture.callerLeft.abort()
    await fixture.virtual.advance(1)
    chai.expect((fixture.outcome() as errors.Refusal).reason).to.equal('caller_disconnected')
    fixtures.respond(fixture.upstream.sends[0]!, 200, 'done')
    await fixture.virtual.advance(50)
    chai.expect(fixture.counters.counter('godwitpoint_sent_after_waiting_total', `${COUNTER},cause="room"`)).to.equal(0)
    chai.expect(fixture.counters.counter('godwitpoint_left_while_waiting_total', COUNTER)).to.equal(1)
  })

  it('is not sent when its key is withdrawn while it waits', async () => {
    let withdrawn = false
    const refusal = new errors.Refusal('key_withdrawn', { step: 'authenticate', ran: 'no' })
    const fixture = await setUpFull({ checkAuthorization: () => withdrawn ? refusal : undefined })
    withdrawn = true
    fixtures.respond(fixture.upstream.sends[0]!, 200, 'done')
    await fixture.virtual.advance(25)
    chai.expect([fixture.outcome(), fixture.upstream.sends.length]).to.deep.equal([refusal, 4])
  })
})
