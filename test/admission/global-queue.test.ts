import * as chai from 'chai'
import * as fc from 'fast-check'
import { SHARE_INTERVAL_MS } from '../../src/admission/index.js'
import { REQUEST_MS, ShareSim, REQUEST_WORK } from './share-sim.js'

const SLOTS = 16
const WORK_PER_MS = SLOTS * REQUEST_WORK / REQUEST_MS
/** Bound of the difference in work ÷ weight between two busy accounts, from section 8 of docs/design.md. */
const MAX_DRIFT = 2 * (REQUEST_WORK + WORK_PER_MS * (SHARE_INTERVAL_MS + REQUEST_MS))

interface AccountLoad {
  readonly weight: number
  /** Concurrent requests at each entry. */
  readonly concurrency: readonly number[]
}

const loadArbitrary = fc.record({ weight: fc.integer({ min: 1, max: 3 }), concurrency: fc.array(fc.constantFrom(0, 0, 4, 12, 40), { minLength: 4, maxLength: 4 }) })

describe('fair share against one global queue with perfect knowledge', () => {
  it('gives no account less than the global queue does, within the bound of the drift', async function () {
    this.timeout(60_000)
    await fc.assert(fc.asyncProperty(fc.array(loadArbitrary, { minLength: 2, maxLength: 5 }), async (loads) => {
      const shared = await servedWork(loads, 4)
      const global = await servedWork(loads, 1)
      for (const [index, { weight }] of loads.entries()) {
        chai.expect(shared[index]! / weight, JSON.stringify(loads)).to.be.at.least(global[index]! / weight - MAX_DRIFT)
      }
    }), { seed: 21, numRuns: 10 })
  })
})

/** Work of each account over 120 s, after a warm-up of 10 s. */
async function servedWork (loads: readonly AccountLoad[], entries: number): Promise<number[]> {
  const sim = new ShareSim({ entries, slots: SLOTS, limits: { account: 512, service: 4_096, entry: 4_096 } })
  for (const [index, { weight, concurrency }] of loads.entries()) {
    for (const [entry, requests] of concurrency.entries()) sim.load(`a${index}`, entry % entries, requests, Infinity, { weight })
  }
  await sim.time.advance(10_000)
  const before = sim.snapshot()
  await sim.time.advance(120_000)
  return loads.map((_, index) => sim.gain(`a${index}`, before))
}
