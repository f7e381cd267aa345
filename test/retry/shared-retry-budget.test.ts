import * as chai from 'chai'
import * as fc from 'fast-check'
import * as retry from '../../src/retry/index.js'
import * as time from '../../src/time/index.js'

const LIMITS = { ratio: 0.2, slack: 54, windowMs: 10_000 }

describe('SharedBudget', () => {
  it('keeps all gateways together within the bound in every window, however load and repeats fall', async () => {
    const step = fc.record({ gapMs: fc.integer({ min: 1, max: 700 }), gateway: fc.integer({ min: 0, max: 3 }), requests: fc.integer({ min: 0, max: 10 }), repeats: fc.integer({ min: 0, max: 20 }) })
    await fc.assert(fc.asyncProperty(fc.array(step, { minLength: 20, maxLength: 120 }), async (steps) => {
      const virtual = new time.VirtualTime()
      const budgets = [0, 1, 2, 3].map(() => new retry.SharedRetryBudget(virtual, LIMITS, () => 4))
      const requests: number[] = []
      const repeats: number[] = []
      for (const { gapMs, gateway, requests: asked, repeats: wanted } of steps) {
        await virtual.advance(gapMs)
        for (let turn = 0; turn < asked; turn++) { budgets[gateway]!.countRequest(); requests.push(virtual.now()) }
        for (let turn = 0; turn < wanted; turn++) if (budgets[gateway]!.tryRetry()) repeats.push(virtual.now())
      }
      for (const end of repeats) {
        const inWindow = (at: number): boolean => at > end - LIMITS.windowMs && at <= end
        const before = (at: number): boolean => at > end - 2 * LIMITS.windowMs && at <= end - LIMITS.windowMs
        const served = Math.max(requests.filter(inWindow).length, requests.filter(before).length)
        chai.expect(repeats.filter(inWindow).length).to.be.at.most(LIMITS.ratio * served + LIMITS.slack)
      }
    }), { seed: 7, numRuns: 60 })
  })

  it('gives a process that has just started part of its share only: the one before it may have used the window', async () => {
    const virtual = new time.VirtualTime()
    const budget = new retry.SharedRetryBudget(virtual, LIMITS, () => 4)
    const first = budget.left
    await virtual.advance(10_000)
    chai.expect(budget.left).to.be.greaterThan(first * 2)
  })
})
