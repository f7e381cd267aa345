import * as chai from 'chai'
import type * as calls from '../../src/call/index.js'
import * as errors from '../../src/errors/index.js'
import * as build from '../support/gateway-builders.js'
import * as fixtures from '../support/forwarder-fixture.js'

const { STREAM, respond, setUp } = fixtures

/** Sends the head of a stream and one event. */
function begin (send: build.RecordedSend): void {
  send.handler.onHead(200, { 'request-id': 'c1' })
  send.handler.onData(Buffer.from('id: 1\ndata: a\n\n'))
}

/** Resets a stream after its first event, and completes it with a second one if it is resumed. */
async function breakAndResume (fixture: fixtures.ForwarderFixture): Promise<void> {
  fixture.upstream.sends[0]!.handler.onError({ written: true, message: 'reset' })
  await fixture.virtual.advance(1)
  if (fixture.upstream.sends.length > 1) respond(fixture.upstream.sends[1]!, 200, 'id: 2\ndata: b\n\n')
  await fixture.virtual.advance(1)
}

/** Resets a stream after its first event, and answers the attempt that resumes it. */
async function breakOffAndAnswer (fixture: fixtures.ForwarderFixture, route: calls.Call['route'], status: number, body: string, headers: Record<string, string> = {}): Promise<void> {
  fixture.start(build.aCall({ route }))
  begin(fixture.upstream.sends[0]!)
  fixture.upstream.sends[0]!.handler.onError({ written: true, message: 'reset' })
  await fixture.virtual.advance(1)
  respond(fixture.upstream.sends[1]!, status, body, headers)
  await fixture.virtual.advance(1)
}

/** Quarantines a segment: three targets end under calls with it. */
async function quarantineSegment ({ segments, virtual }: ReturnType<typeof setUp>, id: string): Promise<void> {
  for (const target of ['x', 'y', 'z']) {
    segments.noteLost({ prompt: aPrompt(id), target: build.aTarget(target), sentAt: virtual.now(), firstEventAt: undefined })
    await virtual.advance(1)
  }
}

function aPrompt (segment: string): calls.Prompt {
  return { promptTokens: 9, outputTokens: 1, segments: [{ id: segment, tokens: 5 }, { id: 'own', tokens: 4 }] }
}

describe('a stream that has begun and whose target broke off', () => {
  for (const reason of ['key_withdrawn', 'key_state_unknown'] as const) {
    it(`resumes a stream that had begun before a change of the configuration (${reason})`, async () => {
      const fixture = setUp()
      const refusal = new errors.Refusal(reason, { step: 'authenticate', ran: 'no' })
      let changed = false
      fixture.start(build.aCall({ route: STREAM, checkAuthorization: () => changed ? refusal : undefined }))
      begin(fixture.upstream.sends[0]!)
      changed = true
      await breakAndResume(fixture)
      chai.expect([fixture.reply.state, fixture.reply.text]).to.deep.equal(['ended', 'id: 1\ndata: a\n\nid: 2\ndata: b\n\n'])
    })

    it(`sends a stream that has not begun to no further target after such a change (${reason})`, async () => {
      const fixture = setUp()
      const refusal = new errors.Refusal(reason, { step: 'authenticate', ran: 'no' })
      let changed = false
      fixture.start(build.aCall({ route: STREAM, resumeAfter: '0', checkAuthorization: () => changed ? refusal : undefined }))
      fixture.upstream.sends[0]!.handler.onHead(200, { 'request-id': 'c1' })
      changed = true
      await breakAndResume(fixture)
      const outcome = fixture.outcome() as errors.Refusal
      chai.expect([fixture.upstream.sends.length, outcome.reason, outcome.detail.ran]).to.deep.equal([1, reason, 'maybe'])
    })
  }

  it('resumes a stream that had begun before one of its segments was quarantined', async () => {
    const fixture = setUp()
    fixture.start(build.aCall({ route: STREAM, prompt: aPrompt('bad') }))
    begin(fixture.upstream.sends[0]!)
    await quarantineSegment(fixture, 'bad')
    await breakAndResume(fixture)
    chai.expect([fixture.reply.state, fixture.reply.text]).to.deep.equal(['ended', 'id: 1\ndata: a\n\nid: 2\ndata: b\n\n'])
  })

  it('sends a stream that has not begun to no further target after one of its segments was quarantined', async () => {
    const fixture = setUp()
    fixture.start(build.aCall({ route: STREAM, prompt: aPrompt('bad') }))
    await quarantineSegment(fixture, 'bad')
    await breakAndResume(fixture)
    const outcome = fixture.outcome() as errors.Refusal
    chai.expect([fixture.upstream.sends.length, outcome.reason, outcome.detail.ran]).to.deep.equal([1, 'segment_quarantined', 'maybe'])
  })

  it('does not use up the trial of a quarantined segment for a stream that had begun', async () => {
    const fixture = setUp()
    fixture.start(build.aCall({ route: STREAM, prompt: aPrompt('bad'), deadlineAt: 60_000 }))
    begin(fixture.upstream.sends[0]!)
    await quarantineSegment(fixture, 'bad')
    for (let id = 2; id < 70; id++) {
      await fixture.virtual.advance(500)
      fixture.upstream.sends[0]!.handler.onData(Buffer.from(`id: ${id}\ndata: a\n\n`))
    }
    fixture.upstream.sends[0]!.handler.onError({ written: true, message: 'reset' })
    await fixture.virtual.advance(1)
    chai.expect(fixture.upstream.sends).to.have.length(2)
    const trials = new Set<string>()
    chai.expect([fixture.segments.admit(aPrompt('bad'), trials), ...trials]).to.deep.equal([undefined, 'bad'])
  })

  it('resumes a stream that had begun as the trial of its segment, and clears the segment when it is complete', async () => {
    const fixture = setUp()
    await quarantineSegment(fixture, 'bad')
    await fixture.virtual.advance(31_000)
    fixture.start(build.aCall({ route: STREAM, prompt: aPrompt('bad'), arrivedAt: 31_003, deadlineAt: 36_000 }))
    begin(fixture.upstream.sends[0]!)
    await fixture.virtual.advance(200)
    await breakAndResume(fixture)
    chai.expect(fixture.reply.state).to.equal('ended')
    chai.expect(fixture.segments.admit(aPrompt('bad'), new Set())).to.equal(undefined)
  })

  for (const [status, body] of [[404, 'boom'], [500, 'boom'], [503, ''], [204, ''], [206, 'id: 2\ndata: x\n\n']] as const) {
    it(`resumes a stream at a third target when the second one answered with status ${status}`, async () => {
      const fixture = setUp()
      await breakOffAndAnswer(fixture, { ...STREAM, maxTargets: 3 }, status, body)
      chai.expect(fixture.upstream.sends[2]!.req.headers.join(' ')).to.contain('last-event-id 1')
      respond(fixture.upstream.sends[2]!, 200, 'id: 2\ndata: b\n\n')
      await fixture.virtual.advance(1)
      chai.expect([fixture.reply.status, fixture.reply.state, fixture.reply.text]).to.deep.equal([200, 'ended', 'id: 1\ndata: a\n\nid: 2\ndata: b\n\n'])
      chai.expect(fixture.counters.counter('godwitpoint_attempt_failures_total', 'kind="answered",phase="run"')).to.equal(1)
    })

    it(`breaks off a stream when the last target that may be tried answered with status ${status}`, async () => {
      const fixture = setUp()
      await breakOffAndAnswer(fixture, STREAM, status, body)
      chai.expect([fixture.upstream.sends.length, fixture.reply.status, fixture.reply.state, fixture.reply.text]).to.deep.equal([2, 200, 'aborted', 'id: 1\ndata: a\n\n'])
      chai.expect(fixture.lines.find((line) => line.event === 'stream_broken_off')?.fields).to.include({ reason: 'target_failed', detail: `status ${status}` })
    })
  }

  it('breaks off a stream after an error response when no retry is left in the budget', async () => {
    const fixture = setUp({ slack: 5 })
    await breakOffAndAnswer(fixture, { ...STREAM, maxTargets: 9 }, 500, 'boom')
    chai.expect([fixture.upstream.sends.length, fixture.reply.state, fixture.reply.text]).to.deep.equal([2, 'aborted', 'id: 1\ndata: a\n\n'])
  })

  it('does not deliver the error response of the first target into the stream of the second', async () => {
    const fixture = setUp()
    fixture.start(build.aCall({ route: STREAM }))
    respond(fixture.upstream.sends[0]!, 500, 'boom')
    await fixture.virtual.advance(1)
    begin(fixture.upstream.sends[1]!)
    fixture.upstream.sends[1]!.handler.onError({ written: true, message: 'reset' })
    await fixture.virtual.advance(1)
    chai.expect([fixture.upstream.sends.length, fixture.reply.state, fixture.reply.text]).to.deep.equal([2, 'aborted', 'id: 1\ndata: a\n\n'])
  })

  for (const [name, headers] of [['another id', { 'request-id': 'c2' }], ['no id', { 'request-id': undefined }], ['an encoded body', { 'content-encoding': 'gzip' }]] as const) {
    it(`does not join a response with ${name} to a stream`, async () => {
      const fixture = setUp()
      await breakOffAndAnswer(fixture, { ...STREAM, maxTargets: 3 }, 200, 'id: 2\ndata: x\n\n', headers as Record<string, string>)
      chai.expect([fixture.upstream.sends[1]!.aborted, fixture.reply.state, fixture.reply.text]).to.deep.equal([true, 'open', 'id: 1\ndata: a\n\n'])
      respond(fixture.upstream.sends[2]!, 200, 'id: 2\ndata: b\n\n')
      await fixture.virtual.advance(1)
      chai.expect([fixture.reply.state, fixture.reply.text]).to.deep.equal(['ended', 'id: 1\ndata: a\n\nid: 2\ndata: b\n\n'])
    })
  }
})

describe('a stream that the caller resumes after its last event', () => {
  // Guards against a complete stream that ends as a failure: there is no event left that could begin the response.
  it('ends as complete when the target has no further event', async () => {
    const fixture = setUp()
    fixture.start(build.aCall({ route: STREAM, resumeAfter: '3' }))
    for (let sent = 0; sent < fixture.upstream.sends.length; sent++) {
      respond(fixture.upstream.sends[sent]!, 200, '')
      await fixture.virtual.advance(1)
    }
    chai.expect([fixture.outcome(), fixture.reply.status, fixture.reply.state]).to.deep.equal([undefined, 200, 'ended'])
    chai.expect([fixture.upstream.sends.length, fixture.executed]).to.deep.equal([1, ['c1']])
  })

  // Guards against an incomplete response that looks complete.
  for (const [name, resumeAfter, body] of [['is empty and the call does not resume one', undefined, ''], ['ends within an event', '3', 'id: 4\ndata']] as const) {
    it(`fails when the stream of the target ${name}`, async () => {
      const fixture = setUp()
      fixture.start(build.aCall({ route: STREAM, ...(resumeAfter === undefined ? {} : { resumeAfter }) }))
      for (let sent = 0; sent < fixture.upstream.sends.length; sent++) {
        respond(fixture.upstream.sends[sent]!, 200, body)
        await fixture.virtual.advance(1)
      }
      chai.expect([fixture.upstream.sends.length, (fixture.outcome() as errors.Refusal).reason, fixture.reply.started]).to.deep.equal([2, 'target_failed', false])
    })
  }
})
