import * as chai from 'chai'
import type * as calls from '../../src/call/index.js'
import * as build from '../support/gateway-builders.js'
import * as fixtures from '../support/forwarder-fixture.js'

const { respond, setUp } = fixtures

const TARGETS = [build.aTarget('a'), build.aTarget('b')]

/** Ids of the targets to which calls were sent. */
function targetsOf (fixture: fixtures.ForwarderFixture): string[] {
  return fixture.upstream.sends.map((send) => TARGETS.find((target) => target.address === send.req.address)!.id)
}

function aLaterCall ({ virtual }: fixtures.ForwarderFixture): calls.Call {
  return build.aCall({ arrivedAt: virtual.now(), deadlineAt: virtual.now() + 5_000 })
}

/** Whether calls may be sent to a target now. */
function accepts ({ fleet, virtual }: fixtures.ForwarderFixture, id: string): boolean {
  return [...fleet.all()].find((state) => state.record.id === id)!.acceptsCalls(virtual.now())
}

/** Sends calls one after the other; returns the ids of their targets. */
async function sendCalls (fixture: fixtures.ForwarderFixture, count: number): Promise<string[]> {
  const before = fixture.upstream.sends.length
  for (let index = 0; index < count; index++) {
    fixture.start(aLaterCall(fixture), new build.RecordedReply())
    respond(fixture.upstream.sends.at(-1)!, 200, 'ok')
    await fixture.virtual.advance(5)
  }
  return targetsOf(fixture).slice(before)
}

// A target that leaves says so in its responses before the list does.
describe('a target that reports in a response that it is leaving', () => {
  it('gets no further call, although the list still has it as ready', async () => {
    const fixture = setUp({ targets: TARGETS })
    fixture.start(build.aCall())
    const [leaving] = targetsOf(fixture)
    respond(fixture.upstream.sends[0]!, 200, 'ok', { 'server-leaving': '1' })
    await fixture.virtual.advance(1)
    fixture.fleet.apply(TARGETS)
    chai.expect(await sendCalls(fixture, 10)).not.to.include(leaving)
    chai.expect(fixture.reply.text).to.equal('ok')
    chai.expect(fixture.lines.filter((line) => line.event === 'attempt_failed')).to.have.length(0)
  })

  it('gets no further call after an error response either, nor a call that waits for a connection to it', async () => {
    const fixture = setUp({ targets: TARGETS })
    for (let count = 0; count < 4; count++) fixture.start(build.aCall(), new build.RecordedReply())
    const [leaving] = targetsOf(fixture)
    const waiting = fixture.upstream.sends.slice(1).find((send) => send.req.address === fixture.upstream.sends[0]!.req.address)!
    respond(fixture.upstream.sends[0]!, 503, '', { 'server-leaving': '1', 'not-executed': '1' })
    chai.expect(waiting.handler.mayWrite!()).to.equal(false)
    await fixture.virtual.advance(1)
    chai.expect(targetsOf(fixture).slice(4)).not.to.include(leaving)
  })

  it('serves again once it has started anew', async () => {
    const fixture = setUp({ targets: [TARGETS[0]!] })
    fixture.start(build.aCall())
    respond(fixture.upstream.sends[0]!, 200, 'ok', { 'server-leaving': '1' })
    await fixture.virtual.advance(1)
    fixture.fleet.apply([{ ...TARGETS[0]!, startedAt: 2 }])
    chai.expect(await sendCalls(fixture, 1)).to.deep.equal(['a'])
  })

  it('is not taken as leaving because of a response with the id of another request', async () => {
    const fixture = setUp({ targets: TARGETS })
    fixture.start(build.aCall())
    respond(fixture.upstream.sends[0]!, 200, 'ok', { 'request-id': 'other', 'server-leaving': '1' })
    await fixture.virtual.advance(1)
    chai.expect([...fixture.fleet.all()].some((state) => state.record.leaving)).to.equal(false)
  })
})

// A target that is full turns requests away for a while; each one that arrives meanwhile costs it more.
describe('a target that rejects a request and says for how long it wants none', () => {
  /** A call to two targets, whose first one answers with these headers. */
  async function reject (retryAfter: string) {
    const fixture = setUp({ targets: TARGETS })
    fixture.start(build.aCall())
    const [refusing] = targetsOf(fixture)
    respond(fixture.upstream.sends[0]!, 503, '', { 'not-executed': '1', 'retry-after': retryAfter })
    await fixture.virtual.advance(1)
    respond(fixture.upstream.sends[1]!, 200, 'ok')
    await fixture.virtual.advance(1)
    return { fixture, refusing }
  }

  it('gets no call during that time, and calls again after it', async () => {
    const { fixture, refusing } = await reject('2.5')
    const during: string[] = []
    while (fixture.virtual.now() < 2_450) {
      during.push(...await sendCalls(fixture, 1))
      await fixture.virtual.advance(45)
    }
    chai.expect(during).to.have.length.greaterThan(40)
    chai.expect(during).not.to.include(refusing)
    chai.expect(accepts(fixture, refusing!)).to.equal(false)
    await fixture.virtual.advance(100)
    chai.expect(accepts(fixture, refusing!)).to.equal(true)
  })

  it('gets no call during that time either when it is the only one that is left', async () => {
    const { fixture, refusing } = await reject('3')
    fixture.fleet.apply(TARGETS.filter((target) => target.id === refusing))
    const sent = fixture.upstream.sends.length
    const reply = new build.RecordedReply()
    fixture.start(aLaterCall(fixture), reply)
    await fixture.virtual.advance(100)
    chai.expect(fixture.upstream.sends).to.have.length(sent)
    chai.expect(reply.started).to.equal(false)
  })

  it('gets no request that has waited for a connection to it', async () => {
    const fixture = setUp({ targets: TARGETS })
    for (let count = 0; count < 4; count++) fixture.start(build.aCall(), new build.RecordedReply())
    const waiting = fixture.upstream.sends.slice(1).find((send) => send.req.address === fixture.upstream.sends[0]!.req.address)!
    respond(fixture.upstream.sends[0]!, 503, '', { 'not-executed': '1', 'retry-after': '1' })
    chai.expect(waiting.handler.mayWrite!()).to.equal(false)
  })

  for (const malformed of ['', '-1', 'soon', 'Wed, 21 Oct 2026 07:28:00 GMT', '1e9']) {
    it(`gets calls again soon after a malformed time ("${malformed}")`, async () => {
      const { fixture, refusing } = await reject(malformed)
      await fixture.virtual.advance(300)
      chai.expect(accepts(fixture, refusing!)).to.equal(true)
    })
  }
})
