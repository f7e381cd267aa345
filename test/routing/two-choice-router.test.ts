import * as chai from 'chai'
import { REPORT_LIFE_MS, TwoChoiceRouter, type AttemptOutcome, type RouteReq } from '../../src/routing/index.js'
import { VirtualTime } from '../../src/time/index.js'
import { needOf, RATE, reportOf, targetList } from './fleet-sim.js'

const CHAIN = ['p0', 'p1', 'p2', 'p3']
const PREFIXED = needOf({ chain: CHAIN, promptTokens: 8_000 })

class Fixture {
  readonly time = new VirtualTime()
  readonly router: TwoChoiceRouter
  private sequence = 0

  constructor (targets = targetList(4), distance?: (domain: string) => number) {
    this.router = new TwoChoiceRouter(this.time.env(1), distance)
    this.router.setTargets(targets)
    for (const target of targets) this.report(target.name, 0)
  }

  report (target: string, leftMs: number, change = {}): void {
    this.router.applyLoad(target, reportOf(this.time, leftMs, change))
  }

  send (target: string, need: RouteReq = needOf()): string {
    const id = `a${this.sequence++}`
    this.router.noteSent(id, target, need)
    return id
  }

  end (target: string, outcome: AttemptOutcome, times = 1): void {
    for (let index = 0; index < times; index++) this.router.noteFinished(this.send(target), outcome)
  }

  /** How often each target is chosen. */
  counts (need = needOf(), times = 400): Map<string, number> {
    const counts = new Map<string, number>()
    for (let index = 0; index < times; index++) {
      const name = this.router.choose(need)?.target.name ?? 'none'
      counts.set(name, (counts.get(name) ?? 0) + 1)
    }
    return counts
  }

  chosen (need = needOf()): string[] {
    return [...this.counts(need).keys()].sort()
  }
}

describe('Load estimates', () => {
  it('count what this entry sent since the report', () => {
    const fixture = new Fixture(targetList(2))
    const id = fixture.send('t0', needOf({ promptTokens: 5 * RATE }))
    chai.expect(fixture.chosen()).to.deep.equal(['t1'])
    fixture.router.noteFinished(id, 'ok')
    chai.expect(fixture.chosen()).to.deep.equal(['t0', 't1'])
  })

  it('do not count twice what a newer report includes', async () => {
    const fixture = new Fixture(targetList(2))
    fixture.send('t0', needOf({ promptTokens: 5 * RATE }))
    await fixture.time.advance(1_000)
    fixture.report('t0', 0)
    fixture.report('t1', 10)
    chai.expect(fixture.counts().get('t0')).to.be.above(0)
  })

  it('ignore a report older than the one held', async () => {
    const fixture = new Fixture(targetList(2))
    await fixture.time.advance(500)
    fixture.report('t0', 5_000)
    fixture.report('t0', 0, { at: fixture.time.wallTimeMs() - 400 })
    chai.expect(fixture.chosen()).to.deep.equal(['t1'])
  })

  it('decay to the mean when reports stop', async () => {
    const fixture = new Fixture(targetList(2))
    fixture.report('t0', 3_000)
    chai.expect(fixture.chosen()).to.deep.equal(['t1'])
    await fixture.time.advance(REPORT_LIFE_MS + 1)
    chai.expect(fixture.chosen()).to.deep.equal(['t0', 't1'])
  })

  it('decay gradually: an old low report is trusted less than a recent one', async () => {
    const fixture = new Fixture(targetList(3))
    await fixture.time.advance(REPORT_LIFE_MS * 0.92)
    fixture.report('t1', 1_000)
    fixture.report('t2', 300)
    const counts = fixture.counts()
    chai.expect(counts.get('t2')).to.be.above(counts.get('t0')!)
  })

  it('prefer the near failure domain when waits are equal', () => {
    const far = targetList(1, { name: 'far', domain: 'b' })
    const fixture = new Fixture([...targetList(1), ...far], (domain) => domain === 'a' ? 0 : 3)
    chai.expect(fixture.chosen()).to.deep.equal(['t0'])
  })

  it('make urgent requests mind a queue less than the prompt to be processed', () => {
    const fixture = new Fixture(targetList(2))
    fixture.router.notePrefilled('t0', PREFIXED)
    fixture.report('t0', 10_000)
    fixture.report('t1', 0)
    chai.expect(fixture.chosen({ ...PREFIXED, priority: 5 })).to.deep.equal(['t1'])
    chai.expect(fixture.chosen({ ...PREFIXED, priority: 9 })).to.deep.equal(['t0'])
  })
})

describe('Candidates', () => {
  it('leave out targets that are leaving, excluded or of another service', () => {
    const fixture = new Fixture([...targetList(3), ...targetList(1, { name: 'gone', leaving: true }), ...targetList(1, { name: 'other', service: 'o' })])
    fixture.router.notePrefilled('gone', PREFIXED)
    chai.expect(fixture.chosen({ ...PREFIXED, exclude: new Set(['t1']) })).to.deep.equal(['t0', 't2'])
    chai.expect(fixture.router.choose(needOf({ exclude: new Set(['t0', 't1', 't2']) }))).to.equal(undefined)
  })

  it('forget what was known of a target that was replaced', () => {
    const fixture = new Fixture(targetList(2))
    fixture.router.notePrefilled('t0', PREFIXED)
    chai.expect(fixture.chosen(PREFIXED)).to.deep.equal(['t0'])
    fixture.router.setTargets([...targetList(1, { url: 'http://new' }), targetList(2)[1]!])
    chai.expect(fixture.chosen(PREFIXED)).to.deep.equal(['t0', 't1'])
  })
})

describe('Ejection', () => {
  it('takes a target out after three failures in a row, or one silent connection', () => {
    const fixture = new Fixture()
    fixture.end('t0', 'failed', 2)
    fixture.end('t0', 'ok')
    fixture.end('t0', 'failed', 2)
    chai.expect(fixture.chosen()).to.include('t0')
    fixture.end('t0', 'failed')
    chai.expect(fixture.chosen()).to.not.include('t0')
    fixture.end('t1', 'silent')
    chai.expect(fixture.chosen()).to.deep.equal(['t2', 't3'])
  })

  it('never takes out more than half of the targets, nor the last', () => {
    const fixture = new Fixture()
    for (const name of ['t0', 't1', 't2', 't3']) fixture.end(name, 'failed', 5)
    chai.expect(fixture.chosen()).to.deep.equal(['t2', 't3'])
    const single = new Fixture(targetList(1))
    single.end('t0', 'failed', 5)
    chai.expect(single.chosen()).to.deep.equal(['t0'])
  })

  it('tries once after the time out, which doubles with each failed trial and ends with a good one', async () => {
    const fixture = new Fixture(targetList(2))
    fixture.end('t0', 'silent')
    for (const outMs of [1_000, 2_000, 4_000, 8_000, 16_000, 30_000, 30_000]) {
      await fixture.time.advance(outMs - 1)
      chai.expect(fixture.chosen()).to.deep.equal(['t1'])
      await fixture.time.advance(1)
      chai.expect(fixture.chosen()).to.include('t0')
      const trial = fixture.send('t0')
      fixture.report('t1', 5_000)
      chai.expect(fixture.chosen()).to.deep.equal(['t1'])
      fixture.router.noteFinished(trial, 'failed')
      fixture.report('t1', 0)
    }
    await fixture.time.advance(30_000)
    fixture.end('t0', 'ok')
    fixture.end('t0', 'silent')
    await fixture.time.advance(1_000)
    chai.expect(fixture.chosen()).to.include('t0')
  })

  it('counts one crash that breaks many streams as one', async () => {
    const fixture = new Fixture()
    const streams = Array.from({ length: 20 }, () => fixture.send('t0'))
    await fixture.time.advance(10)
    for (const id of streams) fixture.router.noteFinished(id, 'failed')
    await fixture.time.advance(1_000)
    chai.expect(fixture.chosen()).to.include('t0')
  })

  it('leaves a target that states it did not run a request alone for a moment', async () => {
    const fixture = new Fixture()
    fixture.end('t0', 'not_run')
    chai.expect(fixture.chosen()).to.not.include('t0')
    await fixture.time.advance(500)
    chai.expect(fixture.chosen()).to.include('t0')
  })
})

describe('Prefix affinity', () => {
  it('goes to the target that has the prompt cached, unless it is too busy', () => {
    const fixture = new Fixture(targetList(8))
    fixture.router.notePrefilled('t5', PREFIXED)
    chai.expect(fixture.chosen(PREFIXED)).to.deep.equal(['t5'])
    fixture.report('t5', 20_000)
    chai.expect(fixture.chosen(PREFIXED)).to.not.include('t5')
  })

  it('learns from cache events, and drops what was evicted or cleared', () => {
    const fixture = new Fixture(targetList(8))
    const stored = CHAIN.map((prefix, seq) => ({ seq, kind: 'stored' as const, prefix }))
    fixture.router.applyCache('t5', { events: stored, next: 4 })
    chai.expect(fixture.router.choose(PREFIXED)).to.include({ cachedTokens: 8_000 })
    fixture.router.applyCache('t5', { events: [{ seq: 4, kind: 'evicted', prefix: 'p3' }], next: 5 })
    chai.expect(fixture.router.choose(PREFIXED)).to.include({ cachedTokens: 6_000 })
    fixture.router.applyCache('t5', { events: [{ seq: 5, kind: 'cleared', prefix: '' }], next: 6 })
    chai.expect(fixture.chosen(PREFIXED).length).to.be.above(1)
  })

  it('counts on announced prefixes by half after a gap, and drops them when the engine starts anew', () => {
    const fixture = new Fixture(targetList(8))
    const stored = CHAIN.map((prefix, seq) => ({ seq, kind: 'stored' as const, prefix }))
    fixture.router.applyCache('t5', { events: stored, next: 4 })
    fixture.router.applyCache('t5', { events: [{ seq: 9, kind: 'stored', prefix: 'x' }], next: 10 })
    chai.expect(fixture.router.nextCacheEvent('t5')).to.equal(10)
    chai.expect(fixture.router.choose(PREFIXED)).to.include({ cachedTokens: 4_000 })
    fixture.router.applyCache('t5', { events: [], next: 2 })
    chai.expect(fixture.chosen(PREFIXED).length).to.be.above(1)
  })

  it('ignores events it has seen', () => {
    const fixture = new Fixture(targetList(8))
    fixture.router.applyCache('t5', { events: [{ seq: 0, kind: 'stored', prefix: 'p0' }, { seq: 1, kind: 'evicted', prefix: 'p0' }], next: 2 })
    fixture.router.applyCache('t5', { events: [{ seq: 0, kind: 'stored', prefix: 'p0' }], next: 2 })
    chai.expect(fixture.chosen(PREFIXED).length).to.be.above(1)
  })
})

describe('Split serving', () => {
  const engines = [...targetList(2), ...targetList(1, { name: 'prefill', role: 'prefill' }), ...targetList(1, { name: 'decode', role: 'decode' })]
  const long = needOf({ promptTokens: 8_000, outputTokens: 10, chain: CHAIN })

  function fixture (running: number): Fixture {
    const made = new Fixture(engines)
    for (const name of ['t0', 't1']) made.report(name, 100, { running })
    return made
  }

  it('hands a long prompt over when it would slow running streams', () => {
    const choice = fixture(4).router.choose(long)
    chai.expect([choice?.prefillTarget?.name, choice?.target.name]).to.deep.equal(['prefill', 'decode'])
  })

  it('keeps a request on one engine when nothing runs there, when it is short, or when asked to', () => {
    chai.expect(fixture(0).router.choose(long)?.prefillTarget).to.equal(undefined)
    chai.expect(fixture(4).router.choose({ ...long, promptTokens: 1_000 })?.prefillTarget).to.equal(undefined)
    chai.expect(fixture(4).chosen({ ...long, split: false })).to.deep.equal(['t0', 't1'])
  })

  it('uses mixed engines when the prefill engine is busy or out', () => {
    const busy = fixture(4)
    busy.report('prefill', 60_000)
    chai.expect(busy.router.choose(long)?.prefillTarget).to.equal(undefined)
    const out = fixture(4)
    out.end('prefill', 'silent')
    chai.expect(out.router.choose(long)?.prefillTarget).to.equal(undefined)
  })
})
