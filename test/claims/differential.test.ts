import * as chai from 'chai'
import * as fc from 'fast-check'
import { ObjectClaims, type Claim } from '../../src/claims/index.js'
import { MemoryStore } from '../../src/standin/index.js'
import { textResponse, ClaimFleet, summarize } from './claim-fleet.js'

const KEYS = 3

describe('PageClaims compared with ObjectClaims', () => {
  it('has the same outcomes for any sequence of claims, responses and abandoned calls without faults', async () => {
    const step = fc.record({ key: fc.nat(KEYS - 1), entry: fc.nat(2), request: fc.constantFrom('a', 'b'), ending: fc.constantFrom('complete', 'abandon', 'markUnknown') })
    await fc.assert(fc.asyncProperty(fc.array(step, { maxLength: 12 }), async (steps) => {
      const fleet = new ClaimFleet(3)
      const baseline = new ObjectClaims(new MemoryStore(fleet.time), 'naive')
      const finish = async (claim: Claim, ending: 'complete' | 'abandon' | 'markUnknown'): Promise<void> => ending === 'complete' ? await claim.complete(textResponse('done')) : await claim[ending]()
      const keys = Array.from({ length: KEYS }, (_, key) => fleet.req(`k${key}`).key)
      for (const { key, entry, request, ending } of steps) {
        const req = { ...fleet.req(''), key: keys[key]!, request }
        const actual = await fleet.claim(entry, req)
        const expected = await fleet.advanceUntilSettled(baseline.claim(req))
        chai.expect(summarize(actual)).to.equal(summarize(expected))
        for (const outcome of [actual, expected]) if (outcome.ok && outcome.val.kind === 'granted') await fleet.advanceUntilSettled(finish(outcome.val.claim, ending))
      }
    }), { seed: 11, numRuns: 60 })
  })

  it('sends no call twice whichever store faults occur and whether an entry is killed', async () => {
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
          const req = { ...fleet.req('', { remainingMs: 800 }), key: keys[key]! }
          fleet.entries[entry]!.claim(req).then((outcome) => {
            if (outcome.err || outcome.val.kind === 'answered' || (entry === 0 && fleet.dead.has(0))) return
            sends[key]!++
            const { claim } = outcome.val
            fleet.time.after(sendMs, () => { claim.complete(textResponse('done')).catch(() => {}) })
          }, () => {})
        })
      }
      await fleet.time.advance(8_000)
      chai.expect(Math.max(...sends)).to.be.at.most(1)
    }), { seed: 12, numRuns: 150 })
  })
})
