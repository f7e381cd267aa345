import * as chai from 'chai'
import * as waiting from '../../src/waiting/index.js'

const NOBODY: waiting.OthersWaiting = { workAbove: () => 0, workAt: () => 0 }
const BOUNDS: waiting.QueueBounds = { calls: 6, bytes: 100, waitMs: 10_000, accountShare: 0.5 }
const FULL: waiting.Room = { free: false, backlogMs: 500, backlogWork: 50_000, excessWork: 30_000, workPerMs: 100 }
const FREE: waiting.Room = { ...FULL, free: true, backlogMs: 50, excessWork: 0 }

interface Setup {
  readonly queue: waiting.WaitingCalls<waiting.WaitingCall>
  readonly offer: (call: Partial<waiting.WaitingCall>, estimate?: Partial<waiting.Estimate>, room?: waiting.Room, now?: number) => waiting.Decision
  readonly next: (now: number, room?: waiting.Room, others?: waiting.OthersWaiting, random?: number) => string | undefined
}

function setUp (excess: Readonly<Record<string, number>> = {}, bounds = BOUNDS): Setup {
  const queue = new waiting.WaitingCalls<waiting.WaitingCall>({ bounds, excessOf: (account) => excess[account] ?? 0 })
  let nextId = 0
  return {
    queue,
    offer: (call, estimate, room = FULL, now = 0) => queue.offer({ id: `c${nextId++}`, account: 'a', priority: 2, bytes: 1, objectiveAt: 400, limitAt: 4_000, ...call }, { work: 1_000, ownMs: 100, ...estimate }, { room, others: NOBODY, random: 0 }, now),
    next: (now, room = FREE, others = NOBODY, random = 0) => queue.next(now, { room, others, random })?.entry.call.id
  }
}

describe('WaitingCalls', () => {
  it('sends a late call at once while a target has room and nothing goes before it, and holds it otherwise', () => {
    chai.expect(setUp().offer({}, {}, FREE).kind).to.equal('send')
    const { offer } = setUp()
    chai.expect(offer({}).kind).to.equal('wait')
    chai.expect(offer({}, {}, FREE).kind).to.equal('wait')
  })

  it('orders by reachable objective, share of the account, priority, latest start and work', () => {
    const { offer, next } = setUp({ large: 2 }, { ...BOUNDS, calls: 20 })
    offer({ id: 'lost', objectiveAt: 50, priority: 0 })
    offer({ id: 'large account', account: 'large', priority: 0 })
    offer({ id: 'less urgent', priority: 3, limitAt: 3_000 })
    offer({ id: 'later' })
    offer({ id: 'more work', limitAt: 3_500 }, { work: 2_000 })
    offer({ id: 'first', limitAt: 3_500, account: 'b' })
    const order = Array.from({ length: 6 }, () => next(1))
    chai.expect(order).to.deep.equal(['first', 'more work', 'later', 'less urgent', 'large account', 'lost'])
  })

  it('sends a call without room at its latest start, which comes earlier as the backlog and the work before it grow', () => {
    const { offer, next } = setUp()
    const decision = offer({ id: 'x' })
    chai.expect(decision).to.deep.include({ kind: 'wait', untilMs: 4_000 - 125 - 100 - 500 })
    chai.expect(next(3_270, FULL)).to.equal(undefined)
    chai.expect(next(2_300, { ...FULL, backlogMs: 1_500 })).to.equal('x')
    offer({ id: 'y', account: 'b' }, { work: 50_000 })
    offer({ id: 'z' })
    // The second call can start on time only if the first, which takes 625 ms of the share of all targets that counts, starts that much earlier.
    chai.expect([next(2_640, FULL), next(2_660, FULL), next(2_660, FULL), next(3_276, FULL)]).to.deep.equal([undefined, 'y', undefined, 'z'])
    // With a tenth of the targets left, nothing can help the second call, which moves the first one no further forward.
    offer({ id: 'y', account: 'b' }, { work: 50_000 })
    offer({ id: 'z' })
    chai.expect(next(2_000, { ...FULL, workPerMs: 10 })).to.equal(undefined)
  })

  it('refuses at once what cannot be answered in time: for itself, and behind work that room does not come back for', () => {
    const { offer, next, queue } = setUp()
    chai.expect(offer({ limitAt: 590 })).to.deep.include({ kind: 'refuse', cause: 'late' })
    offer({ id: 'a' }, { work: 60_000 })
    // Until the rate was measured the capacity counts: 100 tokens a ms for 2,675 ms.
    chai.expect(offer({ id: 'b', account: 'b' }).kind).to.equal('wait')
    // No room has come back for two seconds.
    for (let now = 0; now <= 2_000; now += 20) next(now, FULL)
    chai.expect(offer({ id: 'c', account: 'c', limitAt: 4_500 }, {}, FULL, 2_000)).to.deep.include({ kind: 'refuse', cause: 'queue', workAhead: 61_000 })
    chai.expect(offer({ id: 'd', account: 'd', priority: 1, limitAt: 4_500, objectiveAt: 2_500 }, {}, FULL, 2_000).kind).to.equal('wait')
    chai.expect(queue.size).to.equal(3)
  })

  it('admits more behind the same work when room was measured to come back, or to take waiting calls', () => {
    const decisionAfter = (backlogAt: (now: number) => number): string => {
      const { offer, next } = setUp()
      offer({ id: 'x', priority: 0 }, { work: 80_000 })
      offer({ id: 'a' }, { work: 60_000 })
      for (let now = 0; now <= 1_000; now += 20) next(now, { ...FULL, free: now === 500, backlogWork: backlogAt(now) })
      return offer({ account: 'c', limitAt: 4_500 }, {}, { ...FULL, backlogWork: backlogAt(1_000) }, 1_000).kind
    }
    // The first call is sent at 500 ms: it adds to the backlog, or room for it has come back meanwhile.
    chai.expect([decisionAfter((now) => now > 500 ? 130_000 : 50_000), decisionAfter(() => 50_000), decisionAfter((now) => (now > 500 ? 130_000 : 50_000) - now * 80)]).to.deep.equal(['refuse', 'wait', 'wait'])
  })

  it('bounds calls, bytes and time, and half of the calls and bytes for one account', () => {
    const bounded = setUp()
    const causes = Array.from({ length: 4 }, () => bounded.offer({ account: 'flood' })).map((decision) => decision.kind === 'refuse' ? decision.cause : decision.kind)
    chai.expect(causes).to.deep.equal(['wait', 'wait', 'wait', 'account'])
    chai.expect(bounded.offer({ account: 'b', bytes: 98 })).to.deep.include({ cause: 'bytes' })
    for (const account of ['b', 'c', 'd']) bounded.offer({ account })
    chai.expect(bounded.offer({ account: 'e' })).to.deep.include({ cause: 'calls' })
    const brief = setUp({}, { ...BOUNDS, waitMs: 1_000 })
    brief.offer({ id: 'x' })
    chai.expect([brief.next(490, FULL), brief.next(500, FULL)]).to.deep.equal([undefined, 'x'])
  })

  it('leaves room to more urgent calls elsewhere for a bounded time, and none when the exchange is silent', () => {
    const others: waiting.OthersWaiting = { workAbove: (level) => level > 1 ? 9_000 : 0, workAt: () => 0 }
    const { queue, offer, next } = setUp()
    const x = { id: 'x', account: 'x', priority: 2, bytes: 1, objectiveAt: 400, limitAt: 4_000 }
    chai.expect(queue.offer(x, { work: 1_000, ownMs: 100 }, { room: FREE, others, random: 0 }, 0).kind).to.equal('wait')
    offer({ id: 'y' })
    offer({ id: 'urgent', priority: 0 })
    chai.expect([next(0, FREE, others), next(0, FREE, others), next(299, FREE, others), next(300, FREE, others)]).to.deep.equal(['urgent', undefined, undefined, 'x'])
    chai.expect(next(310)).to.equal('y')
  })

  it('spreads equally urgent calls of several gateways over that time, in proportion to what waits elsewhere', () => {
    const sentAt = (random: number, elsewhere: number): number => {
      const { offer, next } = setUp()
      offer({ id: 'x' })
      for (let now = 0; now < 1_000; now += 10) if (next(now, FREE, { workAbove: () => 0, workAt: () => elsewhere }, random) !== undefined) return now
      return Infinity
    }
    chai.expect([sentAt(0, 9_000), sentAt(0.5, 9_000), sentAt(0.9, 9_000), sentAt(0.9, 1_000)]).to.deep.equal([0, 140, 250, 140])
  })
})

describe('RefusedWork', () => {
  it('moves back the return of the caller that repeats at once, and that of others by no more than their own work', () => {
    const refused = new waiting.RefusedWork()
    for (let count = 0; count < 50; count++) refused.add('repeats', 1_000, 0)
    refused.add('patient', 1_000, 0)
    chai.expect(refused.workBefore('patient', 0)).to.equal(2_000)
    chai.expect(refused.workBefore('repeats', 0)).to.equal(51_000)
    chai.expect(refused.workBefore('repeats', 4_000)).to.be.closeTo(51_000 / 4, 1)
  })
})
