import * as chai from 'chai'
import { Err } from '../../src/errors/index.js'
import { delay } from '../../src/time/index.js'
import { EntryFixture } from './entry-fixture.js'

function idempotencyKeyFor (fixture: EntryFixture, text = 'checkout'): string {
  return `${fixture.time.wallTimeMs()}-${text}`
}

describe('A non-idempotent plain call', () => {
  it('gets its response before that is stored, however slow the store is', async () => {
    const fixture = new EntryFixture()
    const res = fixture.sendPlain('/once', { body: 'x', idempotencyKey: idempotencyKeyFor(fixture) })
    await fixture.time.advanceUntil(() => fixture.records.length === 1, 1_000)
    fixture.store.faults.down = true
    const executedAt = fixture.time.now()
    await fixture.untilEnded(res)
    chai.expect(res.status).to.equal(200)
    chai.expect(fixture.time.now() - executedAt).to.be.below(10)
  })

  it('is executed only once, and each retry gets the same response', async () => {
    const fixture = new EntryFixture()
    const idempotencyKey = idempotencyKeyFor(fixture)
    const responses = [1, 2, 3].map(() => fixture.sendPlain('/once', { body: 'x', idempotencyKey }))
    for (const res of responses) await fixture.untilEnded(res)
    const later = await fixture.untilEnded(fixture.sendPlain('/once', { body: 'x', idempotencyKey }))
    chai.expect(new Set([...responses, later].map((res) => res.text)).size).to.equal(1)
    chai.expect(fixture.records).to.have.length(1)
  })

  it('is billed only once however often its response is replayed', async () => {
    const fixture = new EntryFixture()
    const idempotencyKey = idempotencyKeyFor(fixture)
    for (let attempt = 0; attempt < 3; attempt++) await fixture.untilEnded(fixture.sendPlain('/once', { body: 'x', idempotencyKey }))
    chai.expect(fixture.deps.usage.rows().map((row) => row.requests)).to.deep.equal([1])
  })

  it('is not sent again when its response is lost, and a retry learns that it may have been executed', async () => {
    const fixture = new EntryFixture()
    fixture.plain.faults.loseResponses = 1
    const idempotencyKey = idempotencyKeyFor(fixture)
    chai.expect((await fixture.untilEnded(fixture.sendPlain('/once', { idempotencyKey }))).refusal).to.equal('target_failed/maybe')
    chai.expect((await fixture.untilEnded(fixture.sendPlain('/once', { idempotencyKey }))).refusal).to.equal('outcome_unknown/maybe')
    chai.expect(fixture.records).to.have.length(1)
  })

  it('is sent by a retry when its target was not reached before', async () => {
    const fixture = new EntryFixture()
    fixture.plain.faults.crashed = true
    const idempotencyKey = idempotencyKeyFor(fixture)
    chai.expect((await fixture.untilEnded(fixture.sendPlain('/once', { idempotencyKey }))).refusal).to.equal('target_unavailable/no')
    fixture.plain.faults.crashed = false
    chai.expect((await fixture.untilEnded(fixture.sendPlain('/once', { idempotencyKey }))).status).to.equal(200)
    chai.expect(fixture.records).to.have.length(1)
  })

  it('is refused as not executed while the store is down, and is not sent', async () => {
    const fixture = new EntryFixture()
    fixture.store.faults.down = true
    chai.expect((await fixture.untilEnded(fixture.sendPlain('/once', { idempotencyKey: idempotencyKeyFor(fixture) }))).refusal).to.equal('claim_store_unavailable/no')
    chai.expect(fixture.records).to.have.length(0)
  })

  it('never uses a kept-alive connection and is never sent twice to a slow service', async () => {
    const fixture = new EntryFixture()
    fixture.plain.faults.delayMs = 5_000
    const call = fixture.plain.call.bind(fixture.plain)
    const keepAlive: boolean[] = []
    fixture.plain.call = async (req, signal) => { keepAlive.push(req.keepAlive === true); return await call(req, signal) }
    chai.expect((await fixture.untilEnded(fixture.sendPlain('/once', { idempotencyKey: idempotencyKeyFor(fixture) }))).status).to.equal(200)
    chai.expect(keepAlive).to.deep.equal([false])
  })

  it('continues when its caller disconnects, so that a retry finds the response', async () => {
    const fixture = new EntryFixture()
    fixture.plain.faults.delayMs = 500
    const idempotencyKey = idempotencyKeyFor(fixture)
    const abort = new AbortController()
    fixture.sendPlain('/once', { idempotencyKey }, abort.signal)
    await fixture.time.advance(100)
    abort.abort()
    chai.expect((await fixture.untilEnded(fixture.sendPlain('/once', { idempotencyKey }))).status).to.equal(200)
    chai.expect(fixture.records).to.have.length(1)
  })
})

describe('An idempotent plain call', () => {
  it('is sent again when its response is lost', async () => {
    const fixture = new EntryFixture()
    fixture.plain.faults.loseResponses = 1
    chai.expect((await fixture.untilEnded(fixture.sendPlain('/again'))).status).to.equal(200)
    chai.expect(fixture.records).to.have.length(2)
  })

  it('is sent again over a new connection within 3 s when a kept-alive one stalls, and the kept-alive ones are dropped', async () => {
    const fixture = new EntryFixture()
    const call = fixture.plain.call.bind(fixture.plain)
    let dropped = 0
    Object.assign(fixture.plain, { dropIdleConnections: () => { dropped++ } })
    fixture.plain.call = async (req, signal) => req.keepAlive === true ? await new Promise(() => {}) : await call(req, signal)
    chai.expect((await fixture.untilEnded(fixture.sendPlain('/again'))).status).to.equal(200)
    chai.expect(fixture.time.now()).to.be.below(3_000)
    chai.expect(dropped).to.equal(1)
  })

  it('is not refused as not executed when a stalled connection breaks and a new one is refused', async () => {
    const fixture = new EntryFixture()
    fixture.plain.call = async (req) => {
      await delay(fixture.time, req.keepAlive === true ? 2_500 : 1_000)
      const ran = req.keepAlive === true ? 'maybe' : 'no'
      return Err({ kind: ran === 'no' ? 'connect_failed' : 'broken', ran, message: 'unreachable' })
    }
    chai.expect((await fixture.untilEnded(fixture.sendPlain('/again'))).refusal).to.match(/\/maybe$/)
  })

  it('waits for a slow service when the retry budget for a hedge is exhausted', async () => {
    const fixture = new EntryFixture()
    fixture.plain.faults.delayMs = 5_000
    const call = fixture.plain.call.bind(fixture.plain)
    let calls = 0
    fixture.plain.call = async (req, signal) => { calls++; return await call(req, signal) }
    const results = Array.from({ length: 10 }, () => fixture.sendPlain('/again'))
    for (const res of results) chai.expect((await fixture.untilEnded(res)).status).to.equal(200)
    chai.expect(calls).to.be.within(11, 10 + 4)
  })

  it('is cancelled when its caller disconnects', async () => {
    const fixture = new EntryFixture()
    fixture.plain.faults.delayMs = 500
    const abort = new AbortController()
    const res = fixture.sendPlain('/again', {}, abort.signal)
    await fixture.time.advance(100)
    abort.abort()
    await fixture.time.advance(1_000)
    chai.expect(res.refusal).to.equal('caller_disconnected/maybe')
    chai.expect(fixture.records).to.have.length(0)
  })
})
