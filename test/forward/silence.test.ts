import * as chai from 'chai'
import * as errors from '../../src/errors/index.js'
import * as build from '../support/gateway-builders.js'
import * as fixtures from '../support/forwarder-fixture.js'

const { beginStream, eventText, respond, sendEvents, setUp } = fixtures

const STREAM = build.aRoute({ streaming: true, idempotency: 'resumable', callerIdleTimeoutMs: 4_000 })
const ONE_TARGET = [build.aTarget('a')]
const EVENTS_1_TO_3 = eventText(1) + eventText(2) + eventText(3)

/** Engines, of which the prefill-only ones are preferred for a long prompt. */
const ENGINES = [build.aTarget('p', { stage: 'prefill' }), build.aTarget('q', { stage: 'prefill' }), build.aTarget('m', { stage: 'decode' }), build.aTarget('n', { stage: 'decode' })]

function aPrompt (tokens = 20_000) {
  return { promptTokens: tokens, outputTokens: 1, segments: [{ id: 'own', tokens }] }
}

/** Ways in which no other attempt can answer a call. */
const WITHOUT_ALTERNATIVE = [
  { name: 'the retry budget is used up', options: { slack: 0 }, maxTargets: 2 },
  { name: 'there is only one target', options: { targets: ONE_TARGET }, maxTargets: 2 },
  { name: 'maxTargets is reached', options: {}, maxTargets: 1 },
  { name: 'the second target is silent too', options: {}, maxTargets: 2 },
  { name: 'the second target refuses', options: {}, maxTargets: 2, second: (send: build.RecordedSend) => respond(send, 503, '', { 'not-executed': '1' }) },
  { name: 'the second target fails', options: {}, maxTargets: 2, second: (send: build.RecordedSend) => respond(send, 500, 'boom') },
  { name: 'the second target breaks off', options: {}, maxTargets: 2, second: (send: build.RecordedSend) => send.handler.onError({ written: true, message: 'reset' }) }
]

/** Advances by the silence of a sound target; `second` is what the second attempt gets, if there is one. */
async function passSilence ({ virtual, upstream }: fixtures.ForwarderFixture, second?: (send: build.RecordedSend) => void): Promise<void> {
  await virtual.advance(1_000)
  const [, other] = upstream.sends
  if (other !== undefined) second?.(other)
  await virtual.advance(100)
}

describe('Silence of a sound target', () => {
  for (const { name, options, maxTargets, second } of WITHOUT_ALTERNATIVE) {
    it(`does not end a plain call when ${name}`, async () => {
      const fixture = setUp(options)
      fixture.start(build.aCall({ route: build.aRoute({ maxTargets }) }))
      await passSilence(fixture, second)
      respond(fixture.upstream.sends[0]!, 200, 'good')
      await fixture.virtual.advance(1)
      chai.expect([fixture.reply.status, fixture.reply.text, fixture.reply.state]).to.deep.equal([200, 'good', 'ended'])
    })

    it(`does not end a stream before its first event when ${name}`, async () => {
      const fixture = setUp(options)
      fixture.start(build.aCall({ route: { ...STREAM, maxTargets } }))
      await passSilence(fixture, second)
      beginStream(fixture.upstream.sends[0]!, 1, 3)
      fixture.upstream.sends[0]!.handler.onEnd()
      await fixture.virtual.advance(1)
      chai.expect([fixture.reply.text, fixture.reply.state]).to.deep.equal([EVENTS_1_TO_3, 'ended'])
    })

    it(`does not break off a stream that has begun when ${name}`, async () => {
      const fixture = setUp(options)
      fixture.start(build.aCall({ route: { ...STREAM, maxTargets } }))
      beginStream(fixture.upstream.sends[0]!, 1)
      await passSilence(fixture, second)
      sendEvents(fixture.upstream.sends[0]!, 2, 3)
      fixture.upstream.sends[0]!.handler.onEnd()
      await fixture.virtual.advance(1)
      chai.expect([fixture.reply.text, fixture.reply.state]).to.deep.equal([EVENTS_1_TO_3, 'ended'])
    })
  }

  it('of any length does not break off a stream that has begun when no other attempt is possible', async () => {
    const fixture = setUp({ slack: 0 })
    fixture.start(build.aCall({ route: STREAM }))
    beginStream(fixture.upstream.sends[0]!, 1)
    await fixture.virtual.advance(3_000)
    sendEvents(fixture.upstream.sends[0]!, 2, 3)
    fixture.upstream.sends[0]!.handler.onEnd()
    await fixture.virtual.advance(1)
    chai.expect([fixture.reply.text, fixture.reply.state]).to.deep.equal([EVENTS_1_TO_3, 'ended'])
  })

  it('does not end a prefill for a KV transfer when no other attempt is possible', async () => {
    const targets = ENGINES.filter((target) => target.id === 'p' || target.id === 'm')
    for (const idempotency of ['resumable', 'non_idempotent'] as const) {
      const fixture = setUp({ targets, placer: 'engine', slack: 0 })
      fixture.start(build.aCall({ prompt: aPrompt(), deadlineAt: 20_000, route: { ...STREAM, idempotency, callerIdleTimeoutMs: 20_000 } }))
      chai.expect(fixture.upstream.sends[0]!.req.headers.join(' ')).to.match(/prefill/)
      await fixture.virtual.advance(15_000)
      chai.expect([fixture.upstream.sends[0]!.aborted, fixture.outcome()]).to.deep.equal([false, 'open'])
      respond(fixture.upstream.sends[0]!, 200, '{"kvHandle":"1"}')
      await fixture.virtual.advance(1)
      beginStream(fixture.upstream.sends[1]!, 1, 3)
      fixture.upstream.sends[1]!.handler.onEnd()
      await fixture.virtual.advance(1)
      chai.expect(fixture.reply.text).to.equal(EVENTS_1_TO_3)
    }
  })

  it('ends a call at its deadline, when both attempts are aborted', async () => {
    const fixture = setUp()
    fixture.start(build.aCall({ deadlineAt: 2_000 }))
    await fixture.virtual.advance(2_001)
    chai.expect(fixture.upstream.sends.map((send) => send.aborted)).to.deep.equal([true, true])
    const refusal = fixture.outcome() as errors.Refusal
    chai.expect([refusal.reason, refusal.detail.ran]).to.deep.equal(['deadline_exceeded', 'maybe'])
  })
})

describe('An attempt beside a silent one', () => {
  it('is sent at the first threshold with the time that is left, and its response wins; the silent attempt is aborted', async () => {
    const fixture = setUp()
    fixture.start(build.aCall())
    await fixture.virtual.advance(350)
    chai.expect(fixture.upstream.sends).to.have.length(1)
    await fixture.virtual.advance(1)
    const [first, second] = fixture.upstream.sends
    chai.expect([first!.aborted, second!.req.address === first!.req.address]).to.deep.equal([false, false])
    chai.expect(second!.req.headers.join(' ')).to.match(/deadline-ms 46\d\d/i)
    respond(second!, 200, 'good')
    await fixture.virtual.advance(1)
    chai.expect([first!.aborted, fixture.reply.text, fixture.reply.state]).to.deep.equal([true, 'good', 'ended'])
    respond(first!, 200, 'late')
    await fixture.virtual.advance(5_000)
    chai.expect([fixture.reply.text, fixture.upstream.sends.length]).to.deep.equal(['good', 2])
  })

  it('is aborted at once when the silent attempt responds first, and does not count as a failure of its target', async () => {
    const fixture = setUp()
    fixture.start(build.aCall())
    await fixture.virtual.advance(1_100)
    const [first, second] = fixture.upstream.sends
    respond(first!, 200, 'good')
    await fixture.virtual.advance(1)
    chai.expect([second!.aborted, fixture.reply.text]).to.deep.equal([true, 'good'])
    const rateOf = (address: string): number => fixture.fleet.ofService('s').find((state) => state.record.address === address)!.failures.failureRate(fixture.virtual.now())
    chai.expect(fixture.lines.filter((line) => line.event === 'attempt_failed')).to.deep.equal([])
    chai.expect([rateOf(first!.req.address), rateOf(second!.req.address)].map((rate) => rate < 0.01)).to.deep.equal([true, false])
  })

  it('counts as a retry, and is logged and counted with the attempt that won', async () => {
    const fixture = setUp()
    fixture.start(build.aCall())
    await fixture.virtual.advance(400)
    respond(fixture.upstream.sends[1]!, 200, 'good')
    await fixture.virtual.advance(1)
    chai.expect(fixture.counters.counter('godwitpoint_repeats_total', 'service="s"')).to.equal(1)
    chai.expect(fixture.counters.counter('godwitpoint_hedged_attempts_total', 'service="s"')).to.equal(1)
    chai.expect(fixture.counters.counter('godwitpoint_hedges_ended_total', 'winner="beside"')).to.equal(1)
    const ended = fixture.lines.filter((line) => line.event === 'attempt_ended').map(({ fields }) => [fields.kind, fields.beside, fields.stopped_by])
    chai.expect(ended).to.have.deep.members([['answered', true, undefined], ['stopped', undefined, 'other_won']])
  })

  it('is one at a time, within maxTargets, also when the one before it failed', async () => {
    const fixture = setUp({ targets: ['a', 'b', 'c', 'd'].map((id) => build.aTarget(id)) })
    fixture.start(build.aCall({ route: build.aRoute({ maxTargets: 3 }) }))
    await fixture.virtual.advance(3_000)
    chai.expect(fixture.upstream.sends.map((send) => send.aborted)).to.deep.equal([false, false])
    fixture.upstream.sends[1]!.handler.onError({ written: true, message: 'reset' })
    await fixture.virtual.advance(1)
    chai.expect(fixture.upstream.sends).to.have.length(3)
    fixture.upstream.sends[2]!.handler.onError({ written: true, message: 'reset' })
    await fixture.virtual.advance(1_500)
    chai.expect([fixture.upstream.sends.length, fixture.upstream.sends[0]!.aborted]).to.deep.equal([3, false])
    chai.expect(new Set(fixture.upstream.sends.map((send) => send.req.address)).size).to.equal(3)
  })

  it('of a stream: the first event wins, and no byte of the other attempt reaches the caller', async () => {
    const fixture = setUp()
    fixture.start(build.aCall({ route: STREAM }))
    await fixture.virtual.advance(1_000)
    const [first, second] = fixture.upstream.sends
    beginStream(second!, 1)
    chai.expect(first!.aborted).to.equal(true)
    beginStream(first!, 1, 3)
    first!.handler.onEnd()
    sendEvents(second!, 2, 3)
    second!.handler.onEnd()
    await fixture.virtual.advance(1)
    chai.expect([fixture.reply.text, fixture.reply.state, fixture.executed.length]).to.deep.equal([EVENTS_1_TO_3, 'ended', 1])
  })

  it('delivers one response when both arrive at the same moment', async () => {
    const fixture = setUp()
    fixture.start(build.aCall())
    await fixture.virtual.advance(400)
    respond(fixture.upstream.sends[0]!, 200, 'first')
    respond(fixture.upstream.sends[1]!, 200, 'second')
    await fixture.virtual.advance(1)
    chai.expect([fixture.reply.text, fixture.reply.state]).to.deep.equal(['first', 'ended'])
  })

  it('is aborted together with the silent one when the caller disconnects', async () => {
    const fixture = setUp()
    fixture.start(build.aCall())
    await fixture.virtual.advance(400)
    fixture.callerLeft.abort()
    await fixture.virtual.advance(1)
    chai.expect(fixture.upstream.sends.map((send) => send.aborted)).to.deep.equal([true, true])
    chai.expect((fixture.outcome() as errors.Refusal).reason).to.equal('caller_disconnected')
  })

  it('is not sent for a call that may be executed only once', async () => {
    const fixture = setUp()
    fixture.start(build.aCall({ route: build.aRoute({ idempotency: 'non_idempotent' }) }))
    await fixture.virtual.advance(4_000)
    chai.expect(fixture.upstream.sends.map((send) => send.aborted)).to.deep.equal([false])
  })

  it('of a stream counts against maxTargets also when the stream breaks off after it has won', async () => {
    const fixture = setUp({ targets: ['a', 'b', 'c'].map((id) => build.aTarget(id)) })
    fixture.start(build.aCall({ route: STREAM }))
    await fixture.virtual.advance(1_000)
    beginStream(fixture.upstream.sends[1]!, 1)
    await fixture.virtual.advance(1)
    fixture.upstream.sends[1]!.handler.onError({ written: true, message: 'reset' })
    await fixture.virtual.advance(1)
    chai.expect([fixture.upstream.sends.length, fixture.reply.state]).to.deep.equal([2, 'aborted'])
  })

  it('is sent to another target, also while the silent one sends bytes of other calls', async () => {
    const fixture = setUp({ targets: ONE_TARGET })
    fixture.start(build.aCall())
    for (let ms = 0; ms < 2_000; ms += 100) {
      await fixture.virtual.advance(100)
      fixture.fleet.ofService('s')[0]!.noteByte(fixture.virtual.now())
    }
    chai.expect(fixture.upstream.sends).to.have.length(1)
  })

  it('adds no time at targets twice', async () => {
    const fixture = setUp()
    fixture.start(build.aCall())
    await fixture.virtual.advance(1_000)
    fixture.upstream.sends[1]!.handler.onError({ written: true, message: 'reset' })
    await fixture.virtual.advance(1_000)
    respond(fixture.upstream.sends[0]!, 200, 'good')
    await fixture.virtual.advance(1)
    chai.expect(fixture.counters.percentileMs('godwitpoint_added', 50, 'service="s"')).to.be.within(0, 1)
    chai.expect(fixture.counters.percentileMs('godwitpoint_queue_wait', 50, 'service="s"')).to.be.within(0, 1)
    chai.expect(fixture.counters.percentileMs('godwitpoint_request', 50, 'service="s"')).to.be.within(1_980, 2_020)
  })

  it('is not sent while a call goes on at a second target after its prefill: the silent one is replaced', async () => {
    for (const idempotency of ['resumable', 'non_idempotent'] as const) {
      const fixture = setUp({ targets: ENGINES.filter((target) => target.id !== 'q'), placer: 'engine' })
      fixture.start(build.aCall({ prompt: aPrompt(), deadlineAt: 30_000, route: { ...STREAM, idempotency, callerIdleTimeoutMs: 30_000, maxTargets: 9 } }))
      await fixture.virtual.advanceUntil(() => fixture.upstream.sends.length === 2, 20_000)
      chai.expect(fixture.upstream.sends.map((send) => send.aborted)).to.deep.equal([true, false])
      chai.expect(fixture.virtual.now()).to.be.greaterThan(1_500)
    }
  })

  it('is not sent as a prefill for a second target: the silent attempt is replaced after a longer silence', async () => {
    const fixture = setUp({ targets: ENGINES.filter((target) => target.id === 'm'), placer: 'engine' })
    fixture.start(build.aCall({ prompt: aPrompt(3_000), deadlineAt: 60_000, route: { ...STREAM, callerIdleTimeoutMs: 60_000 } }))
    chai.expect(fixture.upstream.sends[0]!.req.headers).to.not.include('prefill')
    fixture.fleet.apply(ENGINES)
    await fixture.virtual.advanceUntil(() => fixture.upstream.sends.length === 2, 30_000)
    chai.expect(fixture.virtual.now()).to.be.within(1_501, 1_751)
    chai.expect(fixture.upstream.sends[1]!.req.headers).to.include('prefill')
    chai.expect(fixture.upstream.sends.map((send) => send.aborted)).to.deep.equal([true, false])
  })

  it('is not sent for the trial of a quarantined segment', async () => {
    const fixture = setUp()
    const prompt = { promptTokens: 9, outputTokens: 1, segments: [{ id: 'bad', tokens: 5 }, { id: 'own', tokens: 4 }] }
    const restart = (startedAt: number): void => fixture.fleet.apply([build.aTarget('a', { startedAt }), build.aTarget('b', { startedAt })])
    fixture.start(build.aCall({ prompt, route: { ...STREAM, maxTargets: 9 } }))
    for (let sent = 0; sent < 4; sent++) {
      fixture.upstream.sends[sent]!.handler.onError({ written: true, message: 'other side closed' })
      await fixture.virtual.advance(10)
      if (sent > 0) restart(sent + 1)
    }
    chai.expect((fixture.outcome() as errors.Refusal).reason).to.equal('segment_quarantined')
    const before = fixture.upstream.sends.length
    await fixture.virtual.advance(31_000)
    const now = fixture.virtual.now()
    fixture.start(build.aCall({ prompt, route: STREAM, arrivedAt: now, deadlineAt: now + 5_000 }))
    await fixture.virtual.advance(3_000)
    chai.expect(fixture.upstream.sends.slice(before).map((send) => send.aborted)).to.deep.equal([false])
  })

  // Guards against a segment that stays quarantined for longer because its trial was taken and not sent.
  it('does not use up the trial of a quarantined segment when there is no target for it', async () => {
    const fixture = setUp({ targets: ONE_TARGET })
    const prompt = { promptTokens: 9, outputTokens: 1, segments: [{ id: 'bad', tokens: 5 }, { id: 'own', tokens: 4 }] }
    fixture.start(build.aCall({ prompt, deadlineAt: 60_000, route: build.aRoute({ callerIdleTimeoutMs: 60_000 }) }))
    for (const target of ['x', 'y', 'z']) {
      fixture.segments.noteLost({ prompt, target: build.aTarget(target), sentAt: fixture.virtual.now(), firstEventAt: undefined })
      await fixture.virtual.advance(1)
    }
    await fixture.virtual.advance(31_000)
    chai.expect([fixture.upstream.sends.length, fixture.segments.admit(prompt, new Set())]).to.deep.equal([1, undefined])
  })

  it('is not sent for a stream that the caller resumes, which only one target may work on', async () => {
    const fixture = setUp()
    fixture.start(build.aCall({ route: STREAM, resumeAfter: '1' }))
    await fixture.virtual.advance(1_400)
    chai.expect(fixture.upstream.sends.map((send) => send.aborted)).to.deep.equal([false])
  })
})

describe('A stream that has begun, with a silent target', () => {
  it('is resumed elsewhere after a longer silence than sound targets show, once the silent attempt is aborted', async () => {
    const fixture = setUp()
    fixture.start(build.aCall({ route: STREAM }))
    beginStream(fixture.upstream.sends[0]!, 1)
    await fixture.virtual.advance(1_500)
    chai.expect(fixture.upstream.sends.map((send) => send.aborted)).to.deep.equal([false])
    await fixture.virtual.advance(1)
    const [first, second] = fixture.upstream.sends
    chai.expect([first!.aborted, second!.aborted]).to.deep.equal([true, false])
    chai.expect(second!.req.headers.join(' ')).to.contain('last-event-id 1')
    chai.expect(fixture.counters.counter('godwitpoint_repeats_total', 'service="s"')).to.equal(1)
    beginStream(second!, 2, 3)
    second!.handler.onEnd()
    await fixture.virtual.advance(1)
    chai.expect([fixture.reply.text, fixture.reply.state]).to.deep.equal([EVENTS_1_TO_3, 'ended'])
  })

  it('is not resumed for a caller that leaves at the moment at which the silent attempt is aborted', async () => {
    const fixture = setUp()
    const send = fixture.upstream.send.bind(fixture.upstream)
    fixture.upstream.send = (req, handler) => ({ ...send(req, handler), abort: () => fixture.callerLeft.abort() })
    fixture.start(build.aCall({ route: STREAM }))
    beginStream(fixture.upstream.sends[0]!, 1)
    await fixture.virtual.advance(2_000)
    chai.expect([fixture.upstream.sends.length, fixture.reply.state]).to.deep.equal([1, 'aborted'])
  })

  it('takes one retry from the budget and keeps one for the return to its target, and stays there while there are fewer', async () => {
    const fixture = setUp({ slack: 9.6 })
    const left = fixture.budget.remaining
    chai.expect(left).to.be.within(2, 2.1)
    fixture.start(build.aCall({ route: { ...STREAM, maxTargets: 9 } }))
    beginStream(fixture.upstream.sends[0]!, 1)
    await fixture.virtual.advance(3_000)
    chai.expect(fixture.upstream.sends.map((send) => send.aborted)).to.deep.equal([true, false])
  })

  it('stays with its target when too little of the idle timeout of the caller is left for another attempt', async () => {
    const fixture = setUp()
    fixture.start(build.aCall({ route: { ...STREAM, callerIdleTimeoutMs: 1_510 } }))
    beginStream(fixture.upstream.sends[0]!, 1)
    await fixture.virtual.advance(1_600)
    chai.expect([fixture.upstream.sends.map((send) => send.aborted), fixture.reply.state]).to.deep.equal([[false], 'open'])
  })

  it('is not resumed elsewhere because the caller reads slowly', async () => {
    const fixture = setUp()
    let drained = (): void => {}
    Object.assign(fixture.reply, { write: () => false, onDrain: (fn: () => void) => { drained = fn } })
    fixture.start(build.aCall({ route: STREAM }))
    beginStream(fixture.upstream.sends[0]!, 1)
    await fixture.virtual.advance(3_000)
    drained()
    await fixture.virtual.advance(1_400)
    chai.expect(fixture.upstream.sends.map((send) => send.aborted)).to.deep.equal([false])
  })
})

describe('A silent target', () => {
  it('gets no new calls for its pause, which its next byte ends; its idle connections are dropped', async () => {
    const fixture = setUp({ targets: ONE_TARGET })
    const [state] = fixture.fleet.ofService('s')
    const usable = (): boolean => state!.acceptsCalls(fixture.virtual.now())
    fixture.start(build.aCall())
    await fixture.virtual.advance(400)
    chai.expect(usable()).to.equal(false)
    await fixture.virtual.advance(340)
    chai.expect([usable(), fixture.dropped]).to.deep.equal([false, [state!.record.address]])
    fixture.upstream.sends[0]!.handler.onHead(200, { 'request-id': 'c1' })
    chai.expect([usable(), state!.failures.failureRate(fixture.virtual.now())]).to.deep.equal([true, 0])
  })
})
