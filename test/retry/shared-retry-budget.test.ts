import * as chai from 'chai'
import * as fc from 'fast-check'
import * as retry from '../../src/retry/index.js'
import * as time from '../../src/time/index.js'

const LIMITS = { ratio: 0.2, slack: 54, windowMs: 10_000 }

describe('SharedRetryBudget', () => {
  it('keeps all gateways together within the limit in every window, for any distribution of requests and retries', async () => {
    const step = fc.record({ gapMs: fc.integer({ min: 1, max: 700 }), gateway: fc.integer({ min: 0, max: 3 }), requests: fc.integer({ min: 0, max: 10 }), repeats: fc.integer({ min: 0, max: 20 }) })
    await fc.assert(fc.asyncProperty(fc.array(step, { minLength: 20, maxLength: 120 }), async (steps) => {
      const virtual = new time.VirtualTime()
      const budgets = [0, 1, 2, 3].map(() => new retry.SharedRetryBudget(virtual, LIMITS, () => 4))
      const requests: number[] = []
      const retries: number[] = []
      for (const { gapMs, gateway, requests: requestCount, repeats: retryCount } of steps) {
        await virtual.advance(gapMs)
        for (let index = 0; index < requestCount; index++) { budgets[gateway]!.countRequest(); requests.push(virtual.now()) }
        for (let index = 0; index < retryCount; index++) if (budgets[gateway]!.tryRetry()) retries.push(virtual.now())
      }
      for (const windowEnd of retries) {
        const inWindow = (at: number): boolean => at > windowEnd - LIMITS.windowMs && at <= windowEnd
        const inPreviousWindow = (at: number): boolean => at > windowEnd - 2 * LIMITS.windowMs && at <= windowEnd - LIMITS.windowMs
        const largestRequestCount = Math.max(requests.filter(inWindow).length, requests.filter(inPreviousWindow).length)
        chai.expect(retries.filter(inWindow).length).to.be.at.most(LIMITS.ratio * largestRequestCount + LIMITS.slack)
      }
    }), { seed: 7, numRuns: 60 })
  })

  it('gives a newly started process only part of its share, because its predecessor may have used the window', async () => {
    const virtual = new time.VirtualTime()
    const budget = new retry.SharedRetryBudget(virtual, LIMITS, () => 4)
    const first = budget.remaining
    await virtual.advance(10_000)
    chai.expect(budget.remaining).to.be.greaterThan(first * 2)
  })
})
