import * as chai from 'chai'
import * as fc from 'fast-check'
import { SHARE_INTERVAL_MS } from '../../src/admission/index.js'
import { REQUEST_MS, ShareSim, REQUEST_WORK } from '../admission/share-sim.js'

const ENTRIES = 4
const SLOTS = 16
const SIMULATED_MS = 30_000

/** Work per ms of all slots together, in work units. */
const WORK_PER_MS = SLOTS * REQUEST_WORK / REQUEST_MS
/** Bound from section 8 of docs/design.md: maximum work of a request, work rate, exchange interval and request time. */
const MAX_DRIFT = 2 * (REQUEST_WORK + WORK_PER_MS * (SHARE_INTERVAL_MS + REQUEST_MS))

describe('fair share against one global queue with perfect knowledge', function () {
  this.timeout(60_000)

  it('gives busy accounts the same work for their weight as the global queue, within the bound', async () => {
    const accountArbitrary = fc.record({ weight: fc.integer({ min: 1, max: 4 }), concurrency: fc.array(fc.integer({ min: 4, max: 24 }), { minLength: ENTRIES, maxLength: ENTRIES }) })
    await fc.assert(fc.asyncProperty(fc.array(accountArbitrary, { minLength: 2, maxLength: 5 }), async (accounts) => {
      const sim = new ShareSim({ entries: ENTRIES, slots: SLOTS })
      for (const [index, { weight, concurrency }] of accounts.entries()) {
        for (const [entry, requests] of concurrency.entries()) sim.load(`a${index}`, entry, requests, Infinity, { weight })
      }
      await sim.time.advance(SIMULATED_MS)
      const expected = globalQueueWork(accounts.map(({ weight }) => weight), [...sim.served.values()].reduce((sum, work) => sum + work, 0))
      for (const [index, { weight }] of accounts.entries()) {
        const difference = ((sim.served.get(`a${index}`) ?? 0) - expected[index]!) / weight
        chai.expect(Math.abs(difference), `account ${index}`).to.be.at.most(MAX_DRIFT)
      }
    }), { seed: 41, numRuns: 15 })
  })
})

/** Divides the same total of work: each request goes to the account with the least work for its weight so far. */
function globalQueueWork (weights: readonly number[], total: number): number[] {
  const work = weights.map(() => 0)
  for (let done = 0; done < total; done += REQUEST_WORK) {
    const next = work.reduce((least, value, index) => value / weights[index]! < work[least]! / weights[least]! ? index : least, 0)
    work[next] = work[next]! + REQUEST_WORK
  }
  return work
}
