import * as chai from 'chai'
import { Err } from '../../src/errors/index.js'
import { LeastOutstandingRouter, type Router } from '../../src/routing/index.js'
import { expectedWords } from '../../src/standin/index.js'
import { EntryFixture } from './entry-fixture.js'

const CALL = { prompt: 'count the rungs', max_tokens: 20, stream: true }
const WORDS = expectedWords(CALL.prompt, 7, CALL.max_tokens)

/** Completes a call while engine i breaks its stream after `breaks[i]` chunks. */
async function completeWithBreaks (breaks: readonly number[], engines = 2): Promise<EntryFixture & { words: string[] }> {
  const fixture = new EntryFixture({ engines })
  breaks.forEach((after, index) => { fixture.engines[index]!.faults.breakAfterChunks = after })
  const res = await fixture.untilEnded(fixture.sendCompletion(CALL))
  return Object.assign(fixture, { words: res.words })
}

describe('A model call whose attempt fails', () => {
  it('resumes on the same engine from the next chunk with the original prompt', async () => {
    const fixture = await completeWithBreaks([5])
    chai.expect(fixture.words).to.deep.equal(WORDS)
    chai.expect(fixture.sent.map(({ engine, from, prompt }) => ({ engine, from, prompt }))).to.deep.equal([
      { engine: 'engine-0', from: 0, prompt: CALL.prompt }, { engine: 'engine-0', from: 5, prompt: CALL.prompt }
    ])
  })

  it('continues on another engine with the same seed and the text so far when its engine crashes', async () => {
    const fixture = new EntryFixture()
    const res = fixture.sendCompletion(CALL)
    await fixture.time.advanceUntil(() => res.words.length === 8, 10_000)
    fixture.engines[0]!.faults.crashed = true
    await fixture.untilEnded(res)
    chai.expect(res.words).to.deep.equal(WORDS)
    const last = fixture.sent.at(-1)!
    chai.expect([last.engine, last.seed, last.from, last.maxTokens]).to.deep.equal(['engine-1', 7, 0, 12])
    chai.expect(last.prompt).to.equal(CALL.prompt + WORDS.slice(0, 8).join(''))
  })

  it('gets a complete response when the stream of the second engine breaks too', async () => {
    const fixture = new EntryFixture()
    const res = fixture.sendCompletion(CALL)
    await fixture.time.advanceUntil(() => res.words.length === 8, 10_000)
    fixture.engines[0]!.faults.crashed = true
    fixture.engines[1]!.faults.breakAfterChunks = 4
    await fixture.untilEnded(res)
    chai.expect(res.words).to.deep.equal(WORDS)
    chai.expect(fixture.sent.at(-1)).to.include({ engine: 'engine-1', from: 4, maxTokens: 12 })
  })

  it('is retried within 3 s after its connection stalled, and the stalled attempt is cancelled', async () => {
    const fixture = new EntryFixture()
    const res = fixture.sendCompletion(CALL)
    await fixture.time.advanceUntil(() => res.words.length === 3, 10_000)
    const stalledAt = fixture.time.now()
    fixture.engines[0]!.faults.stalled = true
    await fixture.time.advanceUntil(() => fixture.sent.length === 2, 10_000)
    chai.expect(fixture.time.now() - stalledAt).to.be.at.most(3_000)
    chai.expect(fixture.cancelled).to.include(fixture.sent[0]!.id)
    fixture.engines[0]!.faults.stalled = false
    await fixture.untilEnded(res)
    chai.expect(res.words).to.deep.equal(WORDS)
  })

  it('ignores chunks that arrive late from an abandoned attempt', async () => {
    const fixture = new EntryFixture({ engines: 2 })
    fixture.engines[0]!.faults.breakAfterChunks = 5
    const res = fixture.sendCompletion(CALL)
    await fixture.time.advanceUntil(() => fixture.sent.length === 2, 10_000)
    await fixture.sinks.get(fixture.sent[0]!.id)!({ index: 5, text: ' late' })
    await fixture.untilEnded(res)
    chai.expect(res.words).to.deep.equal(WORDS)
  })

  it('is not treated as complete when a chunk is missing', async () => {
    const fixture = new EntryFixture({ engines: 1 })
    const engine = fixture.engines[0]!
    const generate = engine.generate.bind(engine)
    engine.generate = async (req, sink, signal) => await generate(req, (piece) => req.from === 0 && piece.index === 1 ? undefined : sink(piece), signal)
    const res = await fixture.untilEnded(fixture.sendCompletion({ ...CALL, max_tokens: 3 }))
    chai.expect(res.words).to.deep.equal(WORDS.slice(0, 3))
    chai.expect(fixture.sent).to.have.length(2)
  })

  it('is charged for its prompt only once over several attempts', async () => {
    const prompt = 'p'.repeat(4_000)
    const fixture = new EntryFixture()
    for (const engine of fixture.engines) engine.faults.breakAfterChunks = 1
    await fixture.untilEnded(fixture.sendCompletion({ ...CALL, prompt, max_tokens: 10 }))
    chai.expect(fixture.deps.admission.rows()[0]!.work).to.equal(1_000 + 10 * 4)
  })

  it('is charged for its prompt when it gets no response', async () => {
    const fixture = new EntryFixture({ engines: 1 })
    const abort = new AbortController()
    fixture.sendCompletion({ ...CALL, prompt: 'p'.repeat(400_000 / 4) }, abort.signal)
    await fixture.time.advance(100)
    abort.abort()
    await fixture.time.advance(10)
    chai.expect(fixture.deps.admission.rows()[0]!.work).to.equal(25_000)
  })

  it('is refused with a reason when the retry budget is exhausted', async () => {
    const fixture = new EntryFixture({ engines: 1 })
    fixture.engines[0]!.faults.crashed = true
    const results = Array.from({ length: 4 }, () => fixture.sendCompletion(CALL))
    for (const res of results) await fixture.untilEnded(res)
    chai.expect(results.map((res) => res.refusal)).to.include('retry_budget_exhausted/no')
    chai.expect(fixture.sent.length).to.be.at.most(4 + 3)
  })

  it('is resumed although all streams of its engine break at once in a crash', async () => {
    const fixture = new EntryFixture()
    const results = Array.from({ length: 16 }, () => fixture.sendCompletion(CALL))
    await fixture.time.advance(200)
    fixture.engines[0]!.faults.crashed = true
    for (const res of results) chai.expect((await fixture.untilEnded(res)).words).to.deep.equal(WORDS)
  })
})

describe('A model call', () => {
  it('that is not streamed gets a complete response or a refusal', async () => {
    const fixture = new EntryFixture({ engines: 1 })
    const complete = await fixture.untilEnded(fixture.sendCompletion({ ...CALL, stream: false }))
    chai.expect(JSON.parse(complete.text)).to.include({ text: WORDS.join('') })
    const res = fixture.sendCompletion({ ...CALL, stream: false })
    await fixture.time.advance(100)
    fixture.engines[0]!.faults.crashed = true
    await fixture.untilEnded(res)
    chai.expect(res.status).to.be.at.least(500)
    chai.expect(res.refusal).to.match(/\/maybe$/)
    chai.expect(fixture.usage).to.deep.equal({ requests: 1, prompt_tokens: 4, output_tokens: 20 })
  })

  it('keeps its deadline across attempts, and the running attempt is cancelled at the deadline', async () => {
    const fixture = new EntryFixture({ engines: 1 })
    fixture.engines[0]!.faults.breakAfterChunks = 5
    const res = await fixture.untilEnded(fixture.sendCompletion({ ...CALL, deadline_ms: 300, max_tokens: 1_000 }))
    chai.expect(fixture.time.now()).to.be.closeTo(300, 1)
    chai.expect(res.refusal).to.equal('deadline_exceeded/maybe')
    chai.expect(fixture.cancelled).to.include(fixture.sent.at(-1)!.id)
  })

  it('is cancelled when its caller disconnects, and the usage up to then is counted', async () => {
    const fixture = new EntryFixture({ engines: 1 })
    const abort = new AbortController()
    const res = fixture.sendCompletion({ ...CALL, max_tokens: 1_000 }, abort.signal)
    await fixture.time.advanceUntil(() => res.words.length === 9, 10_000)
    abort.abort()
    await fixture.time.advance(50)
    chai.expect(fixture.cancelled).to.deep.equal([fixture.sent[0]!.id])
    chai.expect(fixture.usage).to.deep.equal({ requests: 1, prompt_tokens: 4, output_tokens: 9 })
    chai.expect(fixture.deps.admission.running).to.equal(0)
  })

  it('ends soon after its key is withdrawn', async () => {
    const fixture = new EntryFixture({ engines: 1 })
    const res = fixture.sendCompletion({ ...CALL, max_tokens: 1_000 })
    await fixture.time.advance(200)
    fixture.withdrawKey()
    await fixture.untilEnded(res)
    chai.expect(res.refusal).to.equal('key_withdrawn/maybe')
    chai.expect(fixture.time.now()).to.be.below(2_000)
  })

  it('stops reading from the engine while its caller does not read, and ends at its deadline', async () => {
    const fixture = new EntryFixture({ engines: 1 })
    const res = fixture.sendCompletion({ ...CALL, deadline_ms: 5_000, max_tokens: 1_000 })
    await fixture.time.advance(100)
    res.pendingDrain = new Promise(() => {})
    const before = res.words.length
    let released = false
    const drained = fixture.sinks.get(fixture.sent[0]!.id)!({ index: before, text: WORDS[before]! });
    (drained ?? Promise.reject(new Error('no backpressure'))).then(() => { released = true }, () => {})
    await fixture.untilEnded(res)
    chai.expect(released).to.equal(true)
    chai.expect(res.words.length).to.be.at.most(before + 2)
    chai.expect(fixture.deps.admission.running).to.equal(0)
  })

  for (const fault of ['none', 'prefill', 'import'] as const) {
    it(`is served by a decode engine after another engine prefilled the prompt, fault: ${fault}`, async () => {
      const router: Router = new LeastOutstandingRouter()
      const split = Object.assign(Object.create(router) as Router, {
        choose: (need: Parameters<Router['choose']>[0]) => {
          const targets = ['engine-0', 'engine-1', 'engine-2'].map((name) => ({ name, service: 'm', domain: 'a', url: name, leaving: false, role: 'mixed' as const }))
          return need.split === false ? { target: targets[2]! } : { target: targets[1]!, prefillTarget: targets[0]! }
        }
      })
      const fixture = new EntryFixture({ engines: 3, router: () => split })
      if (fault === 'prefill') fixture.engines[0]!.faults.crashed = true
      if (fault === 'import') fixture.engines[1]!.importKv = async () => Err({ kind: 'broken', ran: 'maybe', message: 'broken' })
      const last = fault === 'none' ? 1 : 2
      fixture.engines[last]!.faults.breakAfterChunks = 5
      const res = await fixture.untilEnded(fixture.sendCompletion(CALL))
      chai.expect(res.words).to.deep.equal(WORDS)
      chai.expect(fixture.sent.map((sent) => sent.from)).to.deep.equal([0, 5])
      chai.expect(fixture.sent.map((sent) => sent.engine)).to.deep.equal([`engine-${last}`, `engine-${last}`])
      chai.expect(fixture.sent[0]!.kv === undefined).to.equal(fault !== 'none')
    })
  }
})
