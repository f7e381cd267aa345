import * as chai from 'chai'
import * as build from '../support/gateway-builders.js'
import * as fixtures from '../support/forwarder-fixture.js'

describe('An exception in the choice of a target', () => {
  // Guards against the end of the process, and with it of all calls: an exception that leaves a timer is an uncaught one.
  it('for an attempt beside a silent one does not leave the timer', async () => {
    const fixture = fixtures.setUp()
    fixture.start(build.aCall())
    fixture.fleet.ofService = () => { throw new Error('placement failed') }
    const uncaught = await fixture.virtual.advance(400).then(() => undefined, (err: unknown) => err)
    chai.expect(uncaught).to.equal(undefined)
  })

  // Guards against a call that is lost with the exception, and against a log line every 250 ms.
  it('is logged once, and the silent attempt goes on', async () => {
    const fixture = fixtures.setUp()
    fixture.start(build.aCall())
    fixture.fleet.ofService = () => { throw new Error('placement failed') }
    await fixture.virtual.advance(3_000)
    chai.expect(fixture.lines.filter((line) => line.event === 'placement_failed').map((line) => line.fields['id'])).to.deep.equal(['c1'])
    fixtures.respond(fixture.upstream.sends[0]!, 200, 'good')
    await fixture.virtual.advance(1)
    chai.expect([fixture.reply.text, fixture.reply.state]).to.deep.equal(['good', 'ended'])
  })
})
