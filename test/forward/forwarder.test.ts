import * as chai from 'chai'
import type * as calls from '../../src/call/index.js'
import * as errors from '../../src/errors/index.js'
import * as forward from '../../src/forward/index.js'
import * as log from '../../src/log/index.js'
import * as metrics from '../../src/metrics/index.js'
import * as placement from '../../src/placement/index.js'
import * as retry from '../../src/retry/index.js'
import * as time from '../../src/time/index.js'
import * as platformTarget from '../../platform/target-protocol.js'
import * as build from '../support/gateway-builders.js'

const STREAM = build.aRoute({ streaming: true, idempotency: 'resumable', callerIdleTimeoutMs: 2_000 })
const ONCE = build.aRoute({ idempotency: 'non_idempotent', maxTargets: 2 })

function setUp (slack = 100) {
  const virtual = new time.VirtualTime()
  const env = virtual.env(1)
  const upstream = new build.ScriptedUpstream()
  const fleet = build.aFleet(virtual, [build.aTarget('a'), build.aTarget('b')])
  const began: string[] = []
  const budget = new retry.SharedRetryBudget(virtual, { ratio: 0.2, slack, windowMs: 10_000 }, () => 1)
  const counters = new metrics.Metrics()
  const placer = new placement.PlainPlacer(fleet, env, 'd1', () => 1)
  const forwarder = new forward.Forwarder({
    env,
    upstream,
    protocol: new platformTarget.HttpTargetProtocol(),
    onExecution: (call) => began.push(call.id),
    placerFor: () => placer,
    budgetFor: () => budget,
    fleet,
    log: log.SILENT_LOGGER,
    metrics: counters,
    dropConnections: () => {}
  })
  const reply = new build.RecordedReply()
  const left = new AbortController()
  let outcome: errors.Refusal | undefined | 'open' = 'open'
  const start = (call: calls.Call): void => { forwarder.forward(call, reply, left.signal).then((refusal) => { outcome = refusal }, (err: unknown) => { throw err }) }
  return { virtual, upstream, fleet, counters, reply, left, began, start, outcome: () => outcome }
}

function answer (seen: build.SeenSend, status: number, body: string, headers: Record<string, string> = {}): void {
  seen.receiver.onHead(status, { 'request-id': 'c1', ...headers })
  if (body !== '') seen.receiver.onData(Buffer.from(body))
  seen.receiver.onEnd()
}

describe('Forwarder', () => {
  it('delivers an answer as the target gave it', async () => {
    const run = setUp()
    run.start(build.aCall())
    answer(run.upstream.sends[0]!, 500, 'boom')
    await run.virtual.advance(1)
    answer(run.upstream.sends[1]!, 200, 'good')
    await run.virtual.advance(1)
    chai.expect([run.reply.status, run.reply.text, run.reply.state]).to.deep.equal([200, 'good', 'ended'])
  })

  it('does not send a call that may run once again after its connection broke, and does not say that it has not run', async () => {
    const run = setUp()
    run.start(build.aCall({ route: ONCE }))
    run.upstream.sends[0]!.receiver.onError({ written: true, message: 'reset' })
    await run.virtual.advance(1)
    chai.expect(run.upstream.sends).to.have.length(1)
    chai.expect((run.outcome() as errors.Refusal).detail.ran).to.equal('maybe')
  })

  it('sends a call that may run once to another target when the first one states that it did not run it', async () => {
    const run = setUp()
    run.start(build.aCall({ route: ONCE }))
    answer(run.upstream.sends[0]!, 503, '', { 'not-executed': '1' })
    await run.virtual.advance(1)
    chai.expect(run.upstream.sends).to.have.length(2)
    answer(run.upstream.sends[1]!, 200, 'done')
    await run.virtual.advance(1)
    chai.expect(run.reply.status).to.equal(200)
  })

  it('does not pass on a 503 of a target that does not state that the call has not run', async () => {
    const run = setUp()
    run.start(build.aCall({ route: ONCE }))
    answer(run.upstream.sends[0]!, 503, 'busy')
    await run.virtual.advance(1)
    chai.expect(run.reply.status).to.equal(502)
  })

  it('takes an answer with the id of another request as a failure', async () => {
    const run = setUp()
    run.start(build.aCall({ route: ONCE }))
    run.upstream.sends[0]!.receiver.onHead(200, { 'request-id': 'other' })
    await run.virtual.advance(1)
    chai.expect(run.upstream.sends[0]!.aborted).to.equal(true)
    chai.expect(run.reply.started).to.equal(false)
  })

  it('goes on with a broken stream after the last whole event, and passes no event twice', async () => {
    const run = setUp()
    run.start(build.aCall({ route: STREAM }))
    const first = run.upstream.sends[0]!
    first.receiver.onHead(200, { 'request-id': 'c1' })
    first.receiver.onData(Buffer.from('id: 1\ndata: a\n\nid: 2\nda'))
    first.receiver.onError({ written: true, message: 'reset' })
    await run.virtual.advance(1)
    const second = run.upstream.sends[1]!
    chai.expect(second.req.headers.join(' ')).to.contain('last-event-id 1')
    second.receiver.onHead(200, { 'request-id': 'c1' })
    second.receiver.onData(Buffer.from('id: 1\ndata: a\n\nid: 2\ndata: b\n\n'))
    second.receiver.onEnd()
    await run.virtual.advance(1)
    chai.expect(run.reply.text).to.equal('id: 1\ndata: a\n\nid: 2\ndata: b\n\n')
    chai.expect(run.reply.state).to.equal('ended')
    chai.expect(run.began).to.have.length(2)
  })

  it('cuts a stream that ends inside an event and cannot be resumed', async () => {
    const run = setUp()
    run.start(build.aCall({ route: { ...STREAM, idempotency: 'non_idempotent', maxTargets: 1 } }))
    const seen = run.upstream.sends[0]!
    seen.receiver.onHead(200, { 'request-id': 'c1' })
    seen.receiver.onData(Buffer.from('id: 1\ndata: a\n\nid: 2'))
    seen.receiver.onEnd()
    await run.virtual.advance(1)
    chai.expect(run.reply.state).to.equal('cut')
  })

  it('sends nothing more after a stream was cut at its deadline', async () => {
    const run = setUp()
    run.start(build.aCall({ route: STREAM, deadlineAt: 1_000 }))
    const seen = run.upstream.sends[0]!
    seen.receiver.onHead(200, { 'request-id': 'c1' })
    for (let turn = 0; turn < 10; turn++) {
      seen.receiver.onData(Buffer.from(`id: ${turn}\ndata: a\n\n`))
      await run.virtual.advance(120)
    }
    chai.expect(run.reply.state).to.equal('cut')
    chai.expect(run.upstream.sends).to.have.length(1)
    chai.expect(run.outcome()).to.equal(undefined)
  })

  it('goes on with a stream that has run for longer than callers wait between events', async () => {
    const run = setUp()
    run.start(build.aCall({ route: STREAM }))
    const seen = run.upstream.sends[0]!
    seen.receiver.onHead(200, { 'request-id': 'c1' })
    for (let turn = 0; turn < 25; turn++) {
      seen.receiver.onData(Buffer.from(`id: ${turn}\ndata: a\n\n`))
      await run.virtual.advance(100)
    }
    seen.receiver.onError({ written: true, message: 'reset' })
    await run.virtual.advance(1)
    chai.expect(run.upstream.sends).to.have.length(2)
  })

  it('stops the target at once when the caller leaves', async () => {
    const run = setUp()
    run.start(build.aCall({ route: ONCE }))
    run.left.abort()
    await run.virtual.advance(1)
    chai.expect(run.upstream.sends[0]!.aborted).to.equal(true)
    chai.expect((run.outcome() as errors.Refusal).reason).to.equal('caller_disconnected')
  })

  it('ends a call at its deadline, with a status that promises nothing once it was sent', async () => {
    const run = setUp()
    run.start(build.aCall({ route: ONCE, deadlineAt: 1_200 }))
    await run.virtual.advance(1_250)
    const refusal = run.outcome() as errors.Refusal
    chai.expect([refusal.reason, refusal.detail.ran]).to.deep.equal(['deadline_exceeded', 'maybe'])
  })

  it('sends no more repeats than the budget has', async () => {
    const run = setUp(0)
    run.start(build.aCall())
    run.upstream.sends[0]!.receiver.onError({ written: true, message: 'reset' })
    await run.virtual.advance(1)
    chai.expect(run.upstream.sends).to.have.length(1)
  })

  it('leaves a target that is silent while the call may be repeated', async () => {
    const run = setUp()
    run.start(build.aCall())
    await run.virtual.advance(400)
    chai.expect(run.upstream.sends[0]!.aborted).to.equal(true)
    chai.expect(run.upstream.sends).to.have.length(2)
  })

  it('checks again before each send whether the key still holds', async () => {
    const run = setUp()
    let withdrawn = false
    const refusal = new errors.Refusal('key_withdrawn', { step: 'authenticate', ran: 'no' })
    run.start(build.aCall({ route: ONCE, checkAuthorization: () => withdrawn ? refusal : undefined }))
    withdrawn = true
    answer(run.upstream.sends[0]!, 503, '', { 'not-executed': '1' })
    await run.virtual.advance(1)
    chai.expect(run.upstream.sends).to.have.length(1)
    chai.expect(run.outcome()).to.equal(refusal)
  })

  it('measures by service the waits for the first and for further events, and the time that no target took', async () => {
    const run = setUp()
    await run.virtual.advance(20)
    run.start(build.aCall({ route: STREAM, arrivedAt: 0 }))
    const [first] = run.upstream.sends
    await run.virtual.advance(100)
    first!.receiver.onHead(200, { 'request-id': 'c1' })
    for (const id of [1, 2, 3]) {
      first!.receiver.onData(Buffer.from(`id: ${id}\ndata: x\n\n`))
      await run.virtual.advance(50)
    }
    first!.receiver.onEnd()
    await run.virtual.advance(1)
    const median = (name: string): number => Math.round(run.counters.percentileMs(`godwitpoint_${name}`, 50, 'service="s"')!)
    chai.expect([median('first_token'), median('between_tokens'), median('queue_wait'), median('added')]).to.deep.equal([120, 50, 20, 20])
    chai.expect(median('request')).to.be.within(268, 272)
    chai.expect(run.counters.counter('godwitpoint_placements_total', 'phase="run",in_time="true"')).to.equal(1)
  })
})

describe('EventSplitter', () => {
  it('gives whole events only, however the bytes are cut', () => {
    const text = 'id: 1\r\ndata: a\r\n\r\nid: 2\ndata: b\n\nid: 3\ndata: c\n\n'
    for (let size = 1; size < text.length; size++) {
      const splitter = new forward.EventSplitter()
      let got = ''
      for (let at = 0; at < text.length; at += size) {
        const batch = splitter.push(Buffer.from(text.slice(at, at + size)), undefined)
        if (batch !== undefined) got += Buffer.from(batch.bytes).toString()
      }
      chai.expect(got).to.equal(text)
      chai.expect(splitter.unfinished).to.equal(0)
    }
  })
})
