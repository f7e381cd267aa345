import * as chai from 'chai'
import * as fc from 'fast-check'
import { divideSlots, FairAdmission, type AdmissionReq, type QueueLimits } from '../../src/admission/index.js'
import { VirtualTime } from '../../src/time/index.js'

const NO_DEADLINE_MS = 1e9

describe('FairAdmission', () => {
  it('serves requests in the same order as a scan over all accounts', async () => {
    const step = fc.record({ account: fc.nat(5), work: fc.integer({ min: 1, max: 50 }) })
    await fc.assert(fc.asyncProperty(fc.array(step, { minLength: 1, maxLength: 60 }), async (steps) => {
      const { time, enter } = createHarness()
      const slotHolder = enter('holder', { work: 1 })
      const waiting = steps.map(({ account, work }) => ({ account: `a${account}`, work }))
      const order: string[] = []
      for (const { account, work } of waiting) {
        enter(account, { work }).then((outcome) => {
          order.push(account)
          outcome.unwrap().charge(work)
          outcome.unwrap().release()
        }, () => {})
      }
      await time.advance(0)
      const expected = expectedOrder(waiting)
      ;(await slotHolder).unwrap().release()
      for (const _served of waiting) await time.advance(1)
      chai.expect(order).to.deep.equal(expected)
    }), { seed: 3, numRuns: 40 })
  })

  it('rejects requests at once that cannot start before their deadline, with the wait as a hint', async () => {
    const { time, enter } = createHarness()
    for (let index = 0; index < 60; index++) enterAndRun('a', 200, time, enter)
    await time.advance(5_000)
    const rejected = await enter('a', { deadlineAt: time.now() + 2_000 })
    chai.expect(rejected.err && rejected.val.reason).to.equal('deadline_unreachable')
    chai.expect(rejected.err && rejected.val.detail.retryAfterMs).to.be.within(6_000, 8_000)
    let started = false
    enter('other', { deadlineAt: time.now() + 2_000 }).then((outcome) => { started = outcome.ok }, () => {})
    await time.advance(2_000)
    chai.expect(started).to.equal(true)
  })

  it('bounds the queue of each account, and evicts from the longest one when the service queue is full', async () => {
    const { time, enter } = createHarness({ account: 4, service: 6, entry: 100 })
    const reasons: string[] = []
    const enqueue = (account: string): void => {
      enter(account, {}).then((outcome) => { if (outcome.err) reasons.push(`${account} ${outcome.val.reason}`) }, () => {})
    }
    enqueue('holder')
    for (const account of ['a', 'a', 'a', 'a', 'a', 'b', 'b', 'c']) enqueue(account)
    await time.advance(0)
    chai.expect(reasons).to.deep.equal(['a account_queue_full', 'a service_queue_full'])
  })

  it('reports a retry hint and that nothing was executed when a queue is full', async () => {
    const { enter } = createHarness({ account: 0, service: 6, entry: 100 })
    const outcome = await enter('a', {})
    chai.expect(outcome.err && outcome.val.toBody().error).to.include({ reason: 'account_queue_full', ran: 'no', retry_after_ms: 1_000 })
  })

  it('removes requests from the queue when the caller disconnects or the deadline passes', async () => {
    const { admission, time, enter } = createHarness()
    await enter('a', {})
    const abort = new AbortController()
    const disconnected = enter('a', {}, abort.signal)
    const expired = enter('a', { deadlineAt: 50 })
    abort.abort()
    await time.advance(60)
    chai.expect((await disconnected).val).to.include({ reason: 'caller_disconnected' })
    chai.expect((await expired).val).to.include({ reason: 'deadline_exceeded' })
    chai.expect(admission.waiting).to.equal(0)
  })
})

describe('divideSlots', () => {
  const createClaim = (entry: string, weight: number, demand: number): { entry: string, weight: number, demand: number } => ({ entry, weight, demand })

  it('divides by weight, and gives slots that one entry does not demand to the others', () => {
    const { slots } = divideSlots([createClaim('a', 1, 2), createClaim('b', 1, 50), createClaim('c', 2, 50)], 20)
    chai.expect([...slots.values()]).to.deep.equal([2, 6, 12])
  })

  it('gives each entry with demand at least one slot', () => {
    const { slots } = divideSlots([createClaim('a', 1, 1), createClaim('b', 100, 500)], 10)
    chai.expect(slots.get('a')).to.equal(1)
  })

  it('divides all slots, and exceeds the total by at most one slot per entry', () => {
    const claims = fc.array(fc.record({ weight: fc.double({ min: 0.01, max: 9, noNaN: true }), demand: fc.nat(40) }), { minLength: 1, maxLength: 12 })
    fc.assert(fc.property(claims, fc.integer({ min: 1, max: 100 }), (items, total) => {
      const named = items.map((item, index) => ({ entry: `e${index}`, ...item }))
      const divided = [...divideSlots(named, total).slots.values()].reduce((sum, slots) => sum + slots, 0)
      return divided >= total && divided <= total + items.length
    }), { seed: 5 })
  })
})

interface Harness {
  readonly admission: FairAdmission
  readonly time: VirtualTime
  enter (account: string, overrides: Partial<AdmissionReq>, signal?: AbortSignal): ReturnType<FairAdmission['enter']>
}

function createHarness (limits?: QueueLimits): Harness {
  const time = new VirtualTime()
  const admission = new FairAdmission(time.env(1), limits)
  return {
    admission,
    time,
    enter: async (account, overrides, signal = new AbortController().signal) => (
      await admission.enter({ id: 'r', service: 's', account, weight: 1, work: 10, deadlineAt: NO_DEADLINE_MS, ...overrides }, signal)
    )
  }
}

function enterAndRun (account: string, runMs: number, time: VirtualTime, enter: Harness['enter']): void {
  enter(account, {}).then((outcome) => {
    if (outcome.ok) time.after(runMs, () => { outcome.val.charge(10); outcome.val.release() })
  }, () => {})
}

// Reference implementation: the lowest counter is served next, and among equal ones the account served longest ago.
function expectedOrder (waiting: ReadonlyArray<{ account: string, work: number }>): string[] {
  const names = [...new Set(waiting.map(({ account }) => account))]
  const queues = new Map(names.map((name) => [name, waiting.filter(({ account }) => account === name).map(({ work }) => work)]))
  const counters = new Map(names.map((name) => [name, 0]))
  const order: string[] = []
  while (order.length < waiting.length) {
    const candidates = names.filter((name) => queues.get(name)!.length > 0)
    const next = candidates.reduce((lowest, name) => counters.get(name)! < counters.get(lowest)! ? name : lowest)
    counters.set(next, counters.get(next)! + queues.get(next)!.shift()!)
    names.push(...names.splice(names.indexOf(next), 1))
    order.push(next)
  }
  return order
}
