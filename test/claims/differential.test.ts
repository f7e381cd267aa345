import * as chai from 'chai'
import * as fc from 'fast-check'
import { ObjectClaims, type Claim } from '../../src/claims/index.js'
import { MemoryStore } from '../../src/standin/index.js'
import { answer, ClaimFleet, summary } from './claim-fleet.js'

const KEYS = 3

describe('PageClaims against one object for each call', () => {
  it('agrees on every sequence of claims, answers and unsent calls without faults', async () => {
    const step = fc.record({ key: fc.nat(KEYS - 1), entry: fc.nat(2), request: fc.constantFrom('a', 'b'), end: fc.constantFrom('complete', 'abandon', 'markUnknown') })
    await fc.assert(fc.asyncProperty(fc.array(step, { maxLength: 12 }), async (steps) => {
      const fleet = new ClaimFleet(3)
      const naive = new ObjectClaims(new MemoryStore(fleet.time), 'naive')
      const end = async (claim: Claim, how: 'complete' | 'abandon' | 'markUnknown'): Promise<void> => how === 'complete' ? await claim.complete(answer('done')) : await claim[how]()
      const keys = Array.from({ length: KEYS }, (_, key) => fleet.req(`k${key}`).key)
      for (const { key, entry, request, end: how } of steps) {
        const req = { ...fleet.req(''), key: keys[key]!, request }
        const real = await fleet.claim(entry, req)
        const expected = await fleet.settle(naive.claim(req))
        chai.expect(summary(real)).to.equal(summary(expected))
        for (const outcome of [real, expected]) if (outcome.ok && outcome.val.kind === 'granted') await fleet.settle(end(outcome.val.claim, how))
      }
    }), { seed: 11, numRuns: 60 })
  })

  it('sends no call twice whatever the store does and whichever entries die', async () => {
    const fault = fc.record({ at: fc.nat(3_000), kind: fc.constantFrom('down', 'up', 'lose', 'die', 'stale') })
    const call = fc.record({ at: fc.nat(3_000), key: fc.nat(1), entry: fc.nat(2), sendMs: fc.nat(500) })
    await fc.assert(fc.asyncProperty(fc.array(fault, { maxLength: 6 }), fc.array(call, { minLength: 2, maxLength: 12 }), async (faults, calls) => {
      const fleet = new ClaimFleet(3)
      const sends = [0, 0]
      const keys = [0, 1].map((key) => fleet.req(`k${key}`).key)
      for (const { at, kind } of faults) {
        fleet.time.after(at, () => {
          if (kind === 'lose') fleet.store.faults.loseReplies = 3
          else if (kind === 'die') fleet.dead.add(0)
          else if (kind === 'stale') fleet.store.setReadsStale(true)
          else fleet.store.faults.down = kind === 'down'
        })
      }
      for (const { at, key, entry, sendMs } of calls) {
        fleet.time.after(at, () => {
          const req = { ...fleet.req('', { leftMs: 800 }), key: keys[key]! }
          fleet.entries[entry]!.claim(req).then((outcome) => {
            if (outcome.err || outcome.val.kind === 'answered' || (entry === 0 && fleet.dead.has(0))) return
            sends[key]!++
            const { claim } = outcome.val
            fleet.time.after(sendMs, () => { claim.complete(answer('done')).catch(() => {}) })
          }, () => {})
        })
      }
      await fleet.time.advance(8_000)
      chai.expect(Math.max(...sends)).to.be.at.most(1)
    }), { seed: 12, numRuns: 150 })
  })
})
