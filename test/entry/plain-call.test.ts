import * as chai from 'chai'
import { Err } from '../../src/errors/index.js'
import { delay } from '../../src/time/index.js'
import { EntryFixture } from './entry-fixture.js'

function key (fixture: EntryFixture, text = 'checkout'): string {
  return `${fixture.time.wallTimeMs()}-${text}`
}

describe('A plain call that may not be repeated', () => {
  it('is answered before its answer is stored, however slow the store is', async () => {
    const fixture = new EntryFixture()
    const res = fixture.call('/once', { body: 'x', idempotencyKey: key(fixture) })
    await fixture.time.advanceUntil(() => fixture.records.length === 1, 1_000)
    fixture.store.faults.down = true
    const ranAt = fixture.time.now()
    await fixture.whole(res)
    chai.expect(res.status).to.equal(200)
    chai.expect(fixture.time.now() - ranAt).to.be.below(10)
  })

  it('runs once and gives each retry the same answer', async () => {
    const fixture = new EntryFixture()
    const idempotencyKey = key(fixture)
    const answers = [1, 2, 3].map(() => fixture.call('/once', { body: 'x', idempotencyKey }))
    for (const res of answers) await fixture.whole(res)
    const later = await fixture.whole(fixture.call('/once', { body: 'x', idempotencyKey }))
    chai.expect(new Set([...answers, later].map((res) => res.text)).size).to.equal(1)
    chai.expect(fixture.records).to.have.length(1)
  })

  it('is billed once however often its answer is replayed', async () => {
    const fixture = new EntryFixture()
    const idempotencyKey = key(fixture)
    for (let attempt = 0; attempt < 3; attempt++) await fixture.whole(fixture.call('/once', { body: 'x', idempotencyKey }))
    chai.expect(fixture.deps.usage.rows().map((row) => row.requests)).to.deep.equal([1])
  })

  it('is not sent again when its answer is lost, and a retry is told that it may have run', async () => {
    const fixture = new EntryFixture()
    fixture.plain.faults.loseResponses = 1
    const idempotencyKey = key(fixture)
    chai.expect((await fixture.whole(fixture.call('/once', { idempotencyKey }))).refusal).to.equal('target_failed/maybe')
    chai.expect((await fixture.whole(fixture.call('/once', { idempotencyKey }))).refusal).to.equal('outcome_unknown/maybe')
    chai.expect(fixture.records).to.have.length(1)
  })

  it('may be sent by a retry when its target was not reached', async () => {
    const fixture = new EntryFixture()
    fixture.plain.faults.crashed = true
    const idempotencyKey = key(fixture)
    chai.expect((await fixture.whole(fixture.call('/once', { idempotencyKey }))).refusal).to.equal('target_unavailable/no')
    fixture.plain.faults.crashed = false
    chai.expect((await fixture.whole(fixture.call('/once', { idempotencyKey }))).status).to.equal(200)
    chai.expect(fixture.records).to.have.length(1)
  })

  it('is refused as not run while the store is down, and is not sent', async () => {
    const fixture = new EntryFixture()
    fixture.store.faults.down = true
    chai.expect((await fixture.whole(fixture.call('/once', { idempotencyKey: key(fixture) }))).refusal).to.equal('claim_store_unavailable/no')
    chai.expect(fixture.records).to.have.length(0)
  })

  it('never shares a kept connection and is never sent twice to a slow service', async () => {
    const fixture = new EntryFixture()
    fixture.plain.faults.delayMs = 5_000
    const call = fixture.plain.call.bind(fixture.plain)
    const kept: boolean[] = []
    fixture.plain.call = async (req, signal) => { kept.push(req.keepAlive === true); return await call(req, signal) }
    chai.expect((await fixture.whole(fixture.call('/once', { idempotencyKey: key(fixture) }))).status).to.equal(200)
    chai.expect(kept).to.deep.equal([false])
  })

  it('goes on when its caller disconnects, so that a retry finds the answer', async () => {
    const fixture = new EntryFixture()
    fixture.plain.faults.delayMs = 500
    const idempotencyKey = key(fixture)
    const abort = new AbortController()
    fixture.call('/once', { idempotencyKey }, abort.signal)
    await fixture.time.advance(100)
    abort.abort()
    chai.expect((await fixture.whole(fixture.call('/once', { idempotencyKey }))).status).to.equal(200)
    chai.expect(fixture.records).to.have.length(1)
  })
})

describe('A plain call that may be repeated', () => {
  it('is sent again when its answer is lost', async () => {
    const fixture = new EntryFixture()
    fixture.plain.faults.loseResponses = 1
    chai.expect((await fixture.whole(fixture.call('/again'))).status).to.equal(200)
    chai.expect(fixture.records).to.have.length(2)
  })

  it('is sent again over a new connection within 3 s when a kept one is silent, and kept ones are dropped', async () => {
    const fixture = new EntryFixture()
    const call = fixture.plain.call.bind(fixture.plain)
    let dropped = 0
    Object.assign(fixture.plain, { dropIdleConnections: () => { dropped++ } })
    fixture.plain.call = async (req, signal) => req.keepAlive === true ? await new Promise(() => {}) : await call(req, signal)
    chai.expect((await fixture.whole(fixture.call('/again'))).status).to.equal(200)
    chai.expect(fixture.time.now()).to.be.below(3_000)
    chai.expect(dropped).to.equal(1)
  })

  it('is not refused as not run when a silent connection breaks before a new one is refused', async () => {
    const fixture = new EntryFixture()
    fixture.plain.call = async (req) => {
      await delay(fixture.time, req.keepAlive === true ? 2_500 : 1_000)
      const ran = req.keepAlive === true ? 'maybe' : 'no'
      return Err({ kind: ran === 'no' ? 'connect_failed' : 'broken', ran, message: 'unreachable' })
    }
    chai.expect((await fixture.whole(fixture.call('/again'))).refusal).to.match(/\/maybe$/)
  })

  it('waits for a slow service when the budget for a second try is used up', async () => {
    const fixture = new EntryFixture()
    fixture.plain.faults.delayMs = 5_000
    const call = fixture.plain.call.bind(fixture.plain)
    let calls = 0
    fixture.plain.call = async (req, signal) => { calls++; return await call(req, signal) }
    const results = Array.from({ length: 10 }, () => fixture.call('/again'))
    for (const res of results) chai.expect((await fixture.whole(res)).status).to.equal(200)
    chai.expect(calls).to.be.within(11, 10 + 4)
  })

  it('is cancelled when its caller disconnects', async () => {
    const fixture = new EntryFixture()
    fixture.plain.faults.delayMs = 500
    const abort = new AbortController()
    const res = fixture.call('/again', {}, abort.signal)
    await fixture.time.advance(100)
    abort.abort()
    await fixture.time.advance(1_000)
    chai.expect(res.refusal).to.equal('caller_disconnected/maybe')
    chai.expect(fixture.records).to.have.length(0)
  })
})
