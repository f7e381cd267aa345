import * as chai from 'chai'
import { REPORT_LIFE_MS, TwoChoiceRouter, type AttemptOutcome, type RouteReq } from '../../src/routing/index.js'
import { VirtualTime } from '../../src/time/index.js'
import { createRouteReq, TOKENS_PER_S, createReport, createTargets } from './fleet-sim.js'

const CHAIN = ['p0', 'p1', 'p2', 'p3']
const PREFIXED_REQ = createRouteReq({ chain: CHAIN, promptTokens: 8_000 })

class Fixture {
  readonly time = new VirtualTime()
  readonly router: TwoChoiceRouter
  private sequence = 0

  constructor (targets = createTargets(4), domainLatencyMs?: (domain: string) => number) {
    this.router = new TwoChoiceRouter(this.time.env(1), domainLatencyMs)
    this.router.setTargets(targets)
    for (const target of targets) this.report(target.name, 0)
  }

  report (target: string, remainingMs: number, overrides = {}): void {
    this.router.applyLoad(target, createReport(this.time, remainingMs, overrides))
  }

  send (target: string, req: RouteReq = createRouteReq()): string {
    const id = `a${this.sequence++}`
    this.router.noteSent(id, target, req)
    return id
  }

  sendAndFinish (target: string, outcome: AttemptOutcome, times = 1): void {
    for (let index = 0; index < times; index++) this.router.noteFinished(this.send(target), outcome)
  }

  /** Number of times that each target is chosen. */
  choiceCounts (req = createRouteReq(), times = 400): Map<string, number> {
    const counts = new Map<string, number>()
    for (let index = 0; index < times; index++) {
      const name = this.router.choose(req)?.target.name ?? 'none'
      counts.set(name, (counts.get(name) ?? 0) + 1)
    }
    return counts
  }

  chosenTargets (req = createRouteReq()): string[] {
    return [...this.choiceCounts(req).keys()].sort()
  }
}

describe('Load estimates', () => {
  it('include the requests that this entry sent since the report', () => {
    const fixture = new Fixture(createTargets(2))
    const id = fixture.send('t0', createRouteReq({ promptTokens: 5 * TOKENS_PER_S }))
    chai.expect(fixture.chosenTargets()).to.deep.equal(['t1'])
    fixture.router.noteFinished(id, 'ok')
    chai.expect(fixture.chosenTargets()).to.deep.equal(['t0', 't1'])
  })

  it('do not count requests twice that a newer report includes', async () => {
    const fixture = new Fixture(createTargets(2))
    fixture.send('t0', createRouteReq({ promptTokens: 5 * TOKENS_PER_S }))
    await fixture.time.advance(1_000)
    fixture.report('t0', 0)
    fixture.report('t1', 10)
    chai.expect(fixture.choiceCounts().get('t0')).to.be.above(0)
  })

  it('ignore a report older than the current one', async () => {
    const fixture = new Fixture(createTargets(2))
    await fixture.time.advance(500)
    fixture.report('t0', 5_000)
    fixture.report('t0', 0, { at: fixture.time.wallTimeMs() - 400 })
    chai.expect(fixture.chosenTargets()).to.deep.equal(['t1'])
  })

  it('decay to the mean when reports stop', async () => {
    const fixture = new Fixture(createTargets(2))
    fixture.report('t0', 3_000)
    chai.expect(fixture.chosenTargets()).to.deep.equal(['t1'])
    await fixture.time.advance(REPORT_LIFE_MS + 1)
    chai.expect(fixture.chosenTargets()).to.deep.equal(['t0', 't1'])
  })

  it('decay gradually: an old report of a low load has less weight than a recent one', async () => {
    const fixture = new Fixture(createTargets(3))
    await fixture.time.advance(REPORT_LIFE_MS * 0.92)
    fixture.report('t1', 1_000)
    fixture.report('t2', 300)
    const counts = fixture.choiceCounts()
    chai.expect(counts.get('t2')).to.be.above(counts.get('t0')!)
  })

  it('prefer the nearest failure domain when waits are equal', () => {
    const far = createTargets(1, { name: 'far', domain: 'b' })
    const fixture = new Fixture([...createTargets(1), ...far], (domain) => domain === 'a' ? 0 : 3)
    chai.expect(fixture.chosenTargets()).to.deep.equal(['t0'])
  })

  it('weight the queue less than the uncached prompt for urgent requests', () => {
    const fixture = new Fixture(createTargets(2))
    fixture.router.notePrefilled('t0', PREFIXED_REQ)
    fixture.report('t0', 10_000)
    fixture.report('t1', 0)
    chai.expect(fixture.chosenTargets({ ...PREFIXED_REQ, priority: 5 })).to.deep.equal(['t1'])
    chai.expect(fixture.chosenTargets({ ...PREFIXED_REQ, priority: 9 })).to.deep.equal(['t0'])
  })
})

describe('Candidates', () => {
  it('exclude targets that are leaving, already failed or belong to another service', () => {
    const fixture = new Fixture([...createTargets(3), ...createTargets(1, { name: 'gone', leaving: true }), ...createTargets(1, { name: 'other', service: 'o' })])
    fixture.router.notePrefilled('gone', PREFIXED_REQ)
    chai.expect(fixture.chosenTargets({ ...PREFIXED_REQ, exclude: new Set(['t1']) })).to.deep.equal(['t0', 't2'])
    chai.expect(fixture.router.choose(createRouteReq({ exclude: new Set(['t0', 't1', 't2']) }))).to.equal(undefined)
  })

  it('lose their cached prefixes when a target is replaced by another one at a new address', () => {
    const fixture = new Fixture(createTargets(2))
    fixture.router.notePrefilled('t0', PREFIXED_REQ)
    chai.expect(fixture.chosenTargets(PREFIXED_REQ)).to.deep.equal(['t0'])
    fixture.router.setTargets([...createTargets(1, { url: 'http://new' }), createTargets(2)[1]!])
    chai.expect(fixture.chosenTargets(PREFIXED_REQ)).to.deep.equal(['t0', 't1'])
  })
})

describe('Ejection', () => {
  it('ejects a target after three consecutive failures or one stalled connection', () => {
    const fixture = new Fixture()
    fixture.sendAndFinish('t0', 'failed', 2)
    fixture.sendAndFinish('t0', 'ok')
    fixture.sendAndFinish('t0', 'failed', 2)
    chai.expect(fixture.chosenTargets()).to.include('t0')
    fixture.sendAndFinish('t0', 'failed')
    chai.expect(fixture.chosenTargets()).to.not.include('t0')
    fixture.sendAndFinish('t1', 'silent')
    chai.expect(fixture.chosenTargets()).to.deep.equal(['t2', 't3'])
  })

  it('never ejects more than half of the targets, nor the only one', () => {
    const fixture = new Fixture()
    for (const name of ['t0', 't1', 't2', 't3']) fixture.sendAndFinish(name, 'failed', 5)
    chai.expect(fixture.chosenTargets()).to.deep.equal(['t2', 't3'])
    const single = new Fixture(createTargets(1))
    single.sendAndFinish('t0', 'failed', 5)
    chai.expect(single.chosenTargets()).to.deep.equal(['t0'])
  })

  it('allows one trial after the ejection, whose duration doubles with each failed trial until one succeeds', async () => {
    const fixture = new Fixture(createTargets(2))
    fixture.sendAndFinish('t0', 'silent')
    for (const ejectionMs of [1_000, 2_000, 4_000, 8_000, 16_000, 30_000, 30_000]) {
      await fixture.time.advance(ejectionMs - 1)
      chai.expect(fixture.chosenTargets()).to.deep.equal(['t1'])
      await fixture.time.advance(1)
      chai.expect(fixture.chosenTargets()).to.include('t0')
      const trial = fixture.send('t0')
      fixture.report('t1', 5_000)
      chai.expect(fixture.chosenTargets()).to.deep.equal(['t1'])
      fixture.router.noteFinished(trial, 'failed')
      fixture.report('t1', 0)
    }
    await fixture.time.advance(30_000)
    fixture.sendAndFinish('t0', 'ok')
    fixture.sendAndFinish('t0', 'silent')
    await fixture.time.advance(1_000)
    chai.expect(fixture.chosenTargets()).to.include('t0')
  })

  it('counts one crash that breaks many streams as one failure', async () => {
    const fixture = new Fixture()
    const streams = Array.from({ length: 20 }, () => fixture.send('t0'))
    await fixture.time.advance(10)
    for (const id of streams) fixture.router.noteFinished(id, 'failed')
    await fixture.time.advance(1_000)
    chai.expect(fixture.chosenTargets()).to.include('t0')
  })

  it('briefly ejects a target that reports a request as not executed', async () => {
    const fixture = new Fixture()
    fixture.sendAndFinish('t0', 'not_run')
    chai.expect(fixture.chosenTargets()).to.not.include('t0')
    await fixture.time.advance(500)
    chai.expect(fixture.chosenTargets()).to.include('t0')
  })
})

describe('Prefix affinity', () => {
  it('chooses the target that has the prompt cached, unless its wait is too long', () => {
    const fixture = new Fixture(createTargets(8))
    fixture.router.notePrefilled('t5', PREFIXED_REQ)
    chai.expect(fixture.chosenTargets(PREFIXED_REQ)).to.deep.equal(['t5'])
    fixture.report('t5', 20_000)
    chai.expect(fixture.chosenTargets(PREFIXED_REQ)).to.not.include('t5')
  })

  it('applies cache events, and drops prefixes that were evicted or cleared', () => {
    const fixture = new Fixture(createTargets(8))
    const stored = CHAIN.map((prefix, seq) => ({ seq, kind: 'stored' as const, prefix }))
    fixture.router.applyCache('t5', { events: stored, next: 4 })
    chai.expect(fixture.router.choose(PREFIXED_REQ)).to.include({ cachedTokens: 8_000 })
    fixture.router.applyCache('t5', { events: [{ seq: 4, kind: 'evicted', prefix: 'p3' }], next: 5 })
    chai.expect(fixture.router.choose(PREFIXED_REQ)).to.include({ cachedTokens: 6_000 })
    fixture.router.applyCache('t5', { events: [{ seq: 5, kind: 'cleared', prefix: '' }], next: 6 })
    chai.expect(fixture.chosenTargets(PREFIXED_REQ).length).to.be.above(1)
  })

  it('counts stored prefixes by half after a gap in the events, and drops them when the engine restarts', () => {
    const fixture = new Fixture(createTargets(8))
    const stored = CHAIN.map((prefix, seq) => ({ seq, kind: 'stored' as const, prefix }))
    fixture.router.applyCache('t5', { events: stored, next: 4 })
    fixture.router.applyCache('t5', { events: [{ seq: 9, kind: 'stored', prefix: 'x' }], next: 10 })
    chai.expect(fixture.router.nextCacheEvent('t5')).to.equal(10)
    chai.expect(fixture.router.choose(PREFIXED_REQ)).to.include({ cachedTokens: 4_000 })
    fixture.router.applyCache('t5', { events: [], next: 2 })
    chai.expect(fixture.chosenTargets(PREFIXED_REQ).length).to.be.above(1)
  })

  it('ignores events that were applied before', () => {
    const fixture = new Fixture(createTargets(8))
    fixture.router.applyCache('t5', { events: [{ seq: 0, kind: 'stored', prefix: 'p0' }, { seq: 1, kind: 'evicted', prefix: 'p0' }], next: 2 })
    fixture.router.applyCache('t5', { events: [{ seq: 0, kind: 'stored', prefix: 'p0' }], next: 2 })
    chai.expect(fixture.chosenTargets(PREFIXED_REQ).length).to.be.above(1)
  })
})

describe('Split serving', () => {
  const engines = [...createTargets(2), ...createTargets(1, { name: 'prefill', role: 'prefill' }), ...createTargets(1, { name: 'decode', role: 'decode' })]
  const longReq = createRouteReq({ promptTokens: 8_000, outputTokens: 10, chain: CHAIN })

  function createSplitFixture (running: number): Fixture {
    const fixture = new Fixture(engines)
    for (const name of ['t0', 't1']) fixture.report(name, 100, { running })
    return fixture
  }

  it('splits a request with a long prompt when its prefill would delay running streams', () => {
    const choice = createSplitFixture(4).router.choose(longReq)
    chai.expect([choice?.prefillTarget?.name, choice?.target.name]).to.deep.equal(['prefill', 'decode'])
  })

  it('keeps a request on one engine when nothing runs there, when it is short, or when splitting is disabled', () => {
    chai.expect(createSplitFixture(0).router.choose(longReq)?.prefillTarget).to.equal(undefined)
    chai.expect(createSplitFixture(4).router.choose({ ...longReq, promptTokens: 1_000 })?.prefillTarget).to.equal(undefined)
    chai.expect(createSplitFixture(4).chosenTargets({ ...longReq, split: false })).to.deep.equal(['t0', 't1'])
  })

  it('uses mixed engines when the prefill engine is busy or ejected', () => {
    const busy = createSplitFixture(4)
    busy.report('prefill', 60_000)
    chai.expect(busy.router.choose(longReq)?.prefillTarget).to.equal(undefined)
    const ejected = createSplitFixture(4)
    ejected.sendAndFinish('prefill', 'silent')
    chai.expect(ejected.router.choose(longReq)?.prefillTarget).to.equal(undefined)
  })
})
