import * as chai from 'chai'
import type * as exchange from '../../src/exchange/index.js'
import * as fleet from '../../src/fleet/index.js'
import * as time from '../../src/time/index.js'
import * as build from '../support/gateway-builders.js'

const ENGINE = build.aTarget('e', { stage: 'prefill' })

/** A model of one engine's prefill: ms for the last `tokens` of a prompt, slower by `slowness`, plus a wait. */
function sample (tokens: number, promptTokens: number, options: { readonly slowness?: number, readonly waitMs?: number } = {}) {
  const context = (promptTokens - tokens / 2) / 1_000
  return { tokens, context, ms: tokens / 1_000 * (12 + 0.4 * context) * (options.slowness ?? 1) + (options.waitMs ?? 0) }
}

function linkTo (gateway: string, kind: exchange.LinkKind): exchange.Link {
  return { gateway, incarnation: '1', kind }
}

describe('EngineSpeeds', () => {
  const setUp = () => {
    const virtual = new time.VirtualTime()
    const speeds = new fleet.EngineSpeeds(virtual)
    const tokensPerMs = (record = ENGINE): number => 1_000 / speeds.of(record).constantMs
    const note = (count: number, ms: number, record = ENGINE, tokens = 5_000): void => { for (let index = 0; index < count; index++) speeds.note(record, { tokens, context: tokens / 2_000, ms }) }
    return { virtual, speeds, tokensPerMs, note }
  }

  it('starts from the prior and approaches what attempts show', () => {
    const { tokensPerMs, note } = setUp()
    chai.expect(tokensPerMs()).to.equal(100)
    note(40, 100)
    chai.expect(tokensPerMs()).to.be.within(48, 55)
  })

  it('is not misled by one attempt that took long for another reason', () => {
    const { tokensPerMs, note } = setUp()
    note(40, 100)
    note(1, 60_000)
    chai.expect(tokensPerMs()).to.be.above(45)
  })

  it('tells a slow engine from the others of its stage, and trusts it again after a while or when it has restarted', async () => {
    const { virtual, tokensPerMs, note } = setUp()
    const slow = { ...ENGINE, id: 'slow' }
    for (let index = 0; index < 20; index++) { note(4, 100, ENGINE, 6_000); note(1, 400, slow, 6_000) }
    chai.expect(tokensPerMs(slow)).to.be.below(20)
    chai.expect(tokensPerMs()).to.be.above(45)
    chai.expect(tokensPerMs({ ...slow, startedAt: 2 })).to.be.above(30)
    await virtual.advance(120_000)
    chai.expect(tokensPerMs(slow)).to.be.above(30)
  })

  it('does not underestimate a prompt of 50,000 tokens after shorter ones, of which some waited', () => {
    const { speeds } = setUp()
    const random = new time.SeededRandom(3)
    const engines = Array.from({ length: 8 }, (_, index) => ({ record: { ...ENGINE, id: `e${index}` }, slowness: index % 2 === 0 ? 0.7 : 1.6 }))
    for (let index = 0; index < 160; index++) {
      const { record, slowness } = engines[index % engines.length]!
      const promptTokens = 1_000 + 22_000 * random.next()
      const tokens = random.next() < 0.6 ? promptTokens * 0.25 : promptTokens
      const waitMs = random.next() < 0.1 ? 300 * random.next() : 0
      if (tokens >= 1_000) speeds.note(record, sample(tokens, promptTokens, { slowness, waitMs }))
    }
    for (const { record, slowness } of engines) {
      const expected = speeds.of(record)
      const expectedMs = 50 * (expected.constantMs + expected.slopeMs * 25)
      const actualMs = sample(50_000, 50_000, { slowness }).ms
      chai.expect(expectedMs / actualMs, record.id).to.be.within(0.85, 1.25)
    }
  })
})

describe('SharedSums', () => {
  const create = (clock: time.VirtualTime) => new fleet.SharedSums({ name: 't', clock, halfLifeMs: 10_000, size: 2 })
  /** Passes all changes of one gateway to another. */
  const pass = (from: fleet.SharedSums, to: fleet.SharedSums, names: readonly [string, string], kinds: readonly [exchange.LinkKind, exchange.LinkKind]): number => {
    const changes = from.changesSince(linkTo(names[1], kinds[0]), undefined)!
    to.apply(linkTo(names[0], kinds[1]), changes.payload)
    return changes.next
  }

  it('gives each gateway the sums of all, counted once, through two relays', () => {
    const virtual = new time.VirtualTime()
    const [a, b, relayA, relayB] = [create(virtual), create(virtual), create(virtual), create(virtual)]
    a.add('k', [100, 1])
    b.add('k', [1_000, 10])
    for (let round = 0; round < 3; round++) {
      pass(a, relayA, ['a', 'ra'], ['relay', 'member'])
      pass(b, relayB, ['b', 'rb'], ['relay', 'member'])
      pass(relayA, relayB, ['ra', 'rb'], ['fellow', 'fellow'])
      pass(relayB, relayA, ['rb', 'ra'], ['fellow', 'fellow'])
      pass(relayA, a, ['ra', 'a'], ['member', 'relay'])
      pass(relayB, b, ['rb', 'b'], ['member', 'relay'])
    }
    for (const sums of [a, b, relayA, relayB]) chai.expect(sums.total('k')).to.deep.equal([1_100, 11])
    relayB.linkEnded(linkTo('b', 'member'))
    chai.expect(relayB.total('k')).to.deep.equal([100, 1])
  })

  it('tells only what has changed, at intervals, and is not harmed by late or repeated messages', async () => {
    const virtual = new time.VirtualTime()
    const [a, b] = [create(virtual), create(virtual)]
    a.add('k', [100, 1])
    const late = a.changesSince(linkTo('b', 'fellow'), undefined)!
    await virtual.advance(1_000)
    a.add('k', [100, 1])
    a.add('other', [1, 1])
    const later = a.changesSince(linkTo('b', 'fellow'), late.next)!
    for (const { payload } of [late, later, later, late]) b.apply(linkTo('a', 'fellow'), payload)
    chai.expect(b.total('k').map(Math.round)).to.deep.equal([193, 2])
    chai.expect(b.changesSince(linkTo('c', 'fellow'), 0), 'relays do not pass on what other relays tell').to.equal(undefined)
    chai.expect(a.changesSince(linkTo('b', 'fellow'), later.next)).to.equal(undefined)
    a.add('k', [1, 1])
    chai.expect(a.changesSince(linkTo('b', 'fellow'), later.next), 'before the interval has passed').to.equal(undefined)
    await virtual.advance(1_000)
    chai.expect((a.changesSince(linkTo('b', 'fellow'), later.next)!.payload as { rows: unknown[] }).rows).to.have.length(1)
    chai.expect(() => b.apply(linkTo('a', 'fellow'), { position: 9, complete: false, rows: [['k', -1, 2]] })).to.throw()
  })
})

describe('Slowdowns', () => {
  const setUp = () => {
    const virtual = new time.VirtualTime()
    const applied: string[] = []
    const create = (name: string) => new fleet.Slowdowns({ clock: virtual, apply: (target, factor, at) => { applied.push(`${name} ${target} ${factor} ${at}`) } })
    return { virtual, applied, create }
  }

  it('tells only deviations from what is assumed, and the return to normal', async () => {
    const { virtual, create } = setUp()
    const slowdowns = create('a')
    const rows = (): unknown => slowdowns.changesSince(linkTo('b', 'fellow'), 0)?.payload
    slowdowns.note('t', 1.05, 0)
    chai.expect(rows()).to.equal(undefined)
    slowdowns.note('t', 2.5, 0)
    await virtual.advance(100)
    chai.expect(rows()).to.deep.equal([['t', 250, 100]])
    slowdowns.note('t', 1, 100)
    chai.expect(rows()).to.deep.equal([['t', 100, 0]])
  })

  it('uses the newest report, whatever the order of messages, and passes on what members tell', async () => {
    const { virtual, applied, create } = setUp()
    const relay = create('r')
    await virtual.advance(500)
    relay.apply(linkTo('m', 'member'), [['t', 100, 50]])
    for (let repeat = 0; repeat < 2; repeat++) relay.apply(linkTo('f', 'fellow'), [['t', 250, 200], ['u', 250, 20], ['old', 250, 5_000]])
    chai.expect(applied).to.deep.equal(['r t 1 450', 'r u 2.5 480'])
    const told = (name: string, kind: exchange.LinkKind) => (relay.changesSince(linkTo(name, kind), undefined)!.payload as string[][]).map(([target]) => target)
    chai.expect([told('m', 'member'), told('n', 'member'), told('f', 'fellow'), told('g', 'fellow')]).to.deep.equal([['u'], ['t', 'u'], ['t'], ['t']])
  })
})
