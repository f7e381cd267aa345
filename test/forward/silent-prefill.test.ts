import * as chai from 'chai'
import * as build from '../support/gateway-builders.js'
import * as fixtures from '../support/forwarder-fixture.js'

const { setUp } = fixtures

describe('A silent prefill', () => {
  // Guards against a call that waits for a dead prefill engine to its deadline, as the idle mixed engine counts as busy with it.
  it('is replaced by one at another engine that hands over to the same mixed engine', async () => {
    const targets = [build.aTarget('p', { stage: 'prefill' }), build.aTarget('q', { stage: 'prefill' }), build.aTarget('m', { stage: 'decode' })]
    const fixture = setUp({ targets, placer: 'engine' })
    const prompt = { promptTokens: 20_000, outputTokens: 1, segments: [{ id: 'own', tokens: 20_000 }] }
    const route = build.aRoute({ streaming: true, idempotency: 'resumable', callerIdleTimeoutMs: 60_000, maxTargets: 9 })
    fixture.start(build.aCall({ prompt, deadlineAt: 60_000, route }))
    chai.expect(fixture.upstream.sends[0]!.req.headers).to.include('prefill')
    await fixture.virtual.advanceUntil(() => fixture.upstream.sends.length === 2, 50_000)
    chai.expect(fixture.upstream.sends.map((send) => send.aborted)).to.deep.equal([true, false])
  })
})
