import * as chai from 'chai'
import type * as calls from '../../src/call/index.js'
import type * as errors from '../../src/errors/index.js'
import * as build from '../support/gateway-builders.js'
import * as fixtures from '../support/forwarder-fixture.js'

const { setUp } = fixtures

const PROMPT: calls.Prompt = { promptTokens: 9, outputTokens: 1, segments: [{ id: 'bad', tokens: 5 }, { id: 'own', tokens: 4 }] }
const ROUTE = build.aRoute({ callerIdleTimeoutMs: 60_000 })

/** Quarantines the shared segment; its first trial is due 30 s later. */
async function quarantineSegment ({ segments, virtual }: fixtures.ForwarderFixture): Promise<void> {
  for (const target of ['x', 'y', 'z']) {
    segments.noteLost({ prompt: PROMPT, target: build.aTarget(target), sentAt: virtual.now(), firstEventAt: undefined })
    await virtual.advance(1)
  }
}

describe('The trial of a quarantined segment', () => {
  // Guards against a trial beside a first attempt: it may end two targets.
  it('is not sent beside an attempt from before the quarantine', async () => {
    const fixture = setUp({ targets: [build.aTarget('a')] })
    fixture.start(build.aCall({ prompt: PROMPT, deadlineAt: 60_000, route: ROUTE }))
    await quarantineSegment(fixture)
    await fixture.virtual.advance(31_000)
    fixture.fleet.apply([build.aTarget('a'), build.aTarget('b')])
    await fixture.virtual.advance(1_000)
    chai.expect([fixture.upstream.sends.length, fixture.segments.admit(PROMPT, new Set())]).to.deep.equal([1, undefined])
  })

  // Guards against a segment that stays quarantined for longer because its trial was taken and not sent.
  it('is not used up by a call for which there is no target', async () => {
    const fixture = setUp({ targets: [] })
    await quarantineSegment(fixture)
    await fixture.virtual.advance(31_000)
    fixture.start(build.aCall({ prompt: PROMPT, arrivedAt: 31_003, deadlineAt: 60_000 }))
    await fixture.virtual.advance(1)
    chai.expect([(fixture.outcome() as errors.Refusal).reason, fixture.segments.admit(PROMPT, new Set())]).to.deep.equal(['no_target', undefined])
  })

  it('is not used up by a call whose only target cannot be reached, and is by one that was sent', async () => {
    for (const written of [false, true]) {
      const fixture = setUp({ targets: [build.aTarget('a')] })
      await quarantineSegment(fixture)
      await fixture.virtual.advance(31_000)
      fixture.start(build.aCall({ prompt: PROMPT, arrivedAt: 31_003, deadlineAt: 60_000 }))
      fixture.upstream.sends[0]!.handler.onError({ written, message: 'connection refused' })
      await fixture.virtual.advance(1)
      chai.expect([fixture.upstream.sends.length, typeof fixture.outcome()]).to.deep.equal([1, 'object'])
      chai.expect(fixture.segments.admit(PROMPT, new Set()) === undefined).to.equal(!written)
    }
  })
})
