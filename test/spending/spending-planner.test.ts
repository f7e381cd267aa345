import * as chai from 'chai'
import * as fc from 'fast-check'
import type { PriceClass } from '../../src/schema/index.js'
import {
  noteOutOfStock, observeDemand, planSpending, INITIAL_SPENDING_STATE, initialDemand,
  type Demand, type SpendingInput, type SpendingLimits, type SpendingPlan, type SpendingState, type SpendingTarget
} from '../../src/spending/index.js'
import { SeededRandom } from '../../src/time/index.js'

const LIMITS: SpendingLimits = {
  minTargets: 3, maxTargets: 14, minSurvivingShare: 0.8, budgetPerHour: 60, domains: ['a', 'b', 'c'], prices: { standard: 4, preemptible: 1.2 }, deliveryMs: 120_000
}

/** Demand that has been steady for an hour. */
function steadyDemand (busyTargets: number): Demand {
  let demand = initialDemand(0)
  for (let s = 1; s <= 3_600; s += 10) demand = observeDemand(demand, { now: s * 1_000, busyTargets })
  return demand
}

function targets (...spec: ReadonlyArray<readonly [domain: string, priceClass: PriceClass]>): SpendingTarget[] {
  return spec.map(([domain, priceClass], index) => (
    { name: `t${index}`, domain, priceClass, state: 'running', price: LIMITS.prices[priceClass], owned: true, running: 0 }
  ))
}

function plan (demand: Demand, list: readonly SpendingTarget[], state: SpendingState = INITIAL_SPENDING_STATE, more: Partial<SpendingInput> = {}): SpendingPlan {
  return planSpending(state, { now: 4_000_000, demand, targets: list, limits: LIMITS, ...more })
}

/** Targets after a plan's orders were delivered and its release was carried out. */
function applyPlan (list: readonly SpendingTarget[], outcome: SpendingPlan, serial: number): SpendingTarget[] {
  const added = outcome.orders.map(({ domain, priceClass }, index): SpendingTarget => (
    { name: `n${serial}-${index}`, domain, priceClass, state: 'running', price: LIMITS.prices[priceClass], owned: true, running: 0 }
  ))
  return [...list.filter(({ name }) => name !== outcome.release?.name), ...added]
}

const STANDARD = targets(['a', 'standard'], ['b', 'standard'], ['c', 'standard'], ['a', 'standard'], ['b', 'standard'], ['c', 'standard'])

describe('planSpending', () => {
  it('keeps the surviving share, the budget and the limits whatever the demand, stock and reclaims', () => {
    const step = fc.record({ busy: fc.double({ min: 0, max: 9, noNaN: true }), empty: fc.constantFrom('a', 'b', 'c', undefined), reclaim: fc.constantFrom('a', 'b', undefined, undefined) })
    fc.assert(fc.property(fc.array(step, { minLength: 1, maxLength: 12 }), fc.constantFrom(0.5, 0.7, 0.8, 0.95), (steps, minSurvivingShare) => {
      const limits = { ...LIMITS, minSurvivingShare, budgetPerHour: 30 }
      let list: SpendingTarget[] = [...STANDARD]
      let state = INITIAL_SPENDING_STATE
      let now = 0
      for (const { busy, empty, reclaim } of steps) {
        if (reclaim !== undefined) list = list.filter((target) => target.priceClass === 'standard' || target.domain !== reclaim)
        if (empty !== undefined) state = noteOutOfStock(state, empty, 'preemptible', now)
        const demand = { ...steadyDemand(busy), at: now }
        for (let round = 0; round < 40; round++) {
          const outcome = plan(demand, list, state, { now: now += 61_000, limits })
          state = outcome.state
          list = applyPlan(list, outcome, now)
          const cost = list.reduce((sum, target) => sum + target.price, 0)
          if (outcome.orders.length > 0) chai.expect(cost).to.be.at.most(limits.budgetPerHour + 1e-9)
          chai.expect(list.length).to.be.within(limits.minTargets, limits.maxTargets)
          if (outcome.orders.length > 0 || outcome.shortage !== undefined) continue
          const needed = Math.min(limits.maxTargets, Math.max(limits.minTargets, Math.ceil(demand.average / 0.75)))
          for (const domain of limits.domains) {
            const left = list.filter((target) => target.domain !== domain || target.priceClass === 'standard').length
            chai.expect(left).to.be.at.least(Math.ceil(needed * minSurvivingShare))
          }
        }
      }
    }), { seed: 5, numRuns: 60 })
  })

  it('orders and releases nothing while utilization varies between the bounds', () => {
    const random = new SeededRandom(1)
    let demand = initialDemand(0)
    let state = INITIAL_SPENDING_STATE
    for (let now = 1_000; now < 7_200_000; now += 1_000) {
      demand = observeDemand(demand, { now, busyTargets: 3.6 + 1.2 * (random.next() - 0.5) })
      const outcome = planSpending(state, { now, demand, targets: STANDARD.map((target) => ({ ...target, owned: false })), limits: LIMITS })
      state = outcome.state
      chai.expect([outcome.orders, outcome.release]).to.deep.equal([[], undefined])
    }
  })

  it('releases one target at a time, and none before utilization was low for 10 min', () => {
    const low = steadyDemand(1)
    const first = plan(low, STANDARD)
    chai.expect(first.release).to.equal(undefined)
    chai.expect(plan(low, STANDARD, first.state, { now: 4_599_000 }).release).to.equal(undefined)
    const duePlan = plan(low, STANDARD, first.state, { now: 4_600_000 })
    chai.expect(duePlan.release?.reason).to.equal('low_use')
    chai.expect(plan(low, STANDARD.slice(1), duePlan.state, { now: 4_899_000 }).release).to.equal(undefined)
    chai.expect(plan(low, STANDARD.slice(1), duePlan.state, { now: 4_900_000 }).release?.reason).to.equal('low_use')
    const leaving = STANDARD.map((target, index): SpendingTarget => index === 0 ? { ...target, state: 'leaving' } : target)
    chai.expect(plan(low, leaving, first.state, { now: 4_600_000 }).release).to.equal(undefined)
  })

  it('releases no target that the recorded peak needs', () => {
    const afterPeak = { ...steadyDemand(1), peak: 5 }
    const state = { ...INITIAL_SPENDING_STATE, lowSince: 0 }
    chai.expect(plan(afterPeak, STANDARD, state).release).to.equal(undefined)
  })

  it('orders for a rising trend before utilization is high, and spreads orders evenly over failure domains', () => {
    let rising = initialDemand(0)
    for (let s = 1; s <= 900; s++) rising = observeDemand(rising, { now: s * 1_000, busyTargets: 2 + 2.3 * s / 900 })
    chai.expect(rising.average).to.be.below(0.75 * 6)
    chai.expect(plan(rising, STANDARD).orders).to.not.deep.equal([])
    const { orders } = plan(steadyDemand(7.4), STANDARD)
    const perDomain = ['a', 'b', 'c'].map((domain) => orders.filter((order) => order.domain === domain).length)
    chai.expect(Math.max(...perDomain) - Math.min(...perDomain)).to.be.at.most(1)
    chai.expect(orders.length).to.equal(4)
  })

  it('counts pending targets as capacity until they are overdue', () => {
    const pending = STANDARD.map((target): SpendingTarget => ({ ...target, state: 'pending', orderedAt: 4_000_000 }))
    const demand = steadyDemand(4)
    chai.expect(plan(demand, pending).orders).to.deep.equal([])
    const late = plan(demand, pending, INITIAL_SPENDING_STATE, { now: 4_600_000 })
    chai.expect(late.orders.length).to.be.at.least(1)
    chai.expect(late.release?.reason).to.equal('overdue')
  })

  it('does not order again in a failure domain that was out of stock or reclaimed targets', () => {
    const state = noteOutOfStock(INITIAL_SPENDING_STATE, 'a', 'preemptible', 4_000_000)
    const ordered = plan(steadyDemand(8), STANDARD, state).orders.filter(({ domain, priceClass }) => domain === 'a' && priceClass === 'preemptible')
    chai.expect(ordered).to.deep.equal([])
    chai.expect(plan(steadyDemand(8), STANDARD, state, { now: 4_300_000 }).orders.some(({ domain, priceClass }) => domain === 'a' && priceClass === 'preemptible')).to.equal(true)
    const reclaimed: SpendingTarget[] = [...STANDARD, { ...targets(['b', 'preemptible'])[0]!, name: 'r', state: 'reclaiming' }]
    chai.expect(plan(steadyDemand(8), reclaimed).orders.some(({ domain, priceClass }) => domain === 'b' && priceClass === 'preemptible')).to.equal(false)
  })

  it('exchanges standard targets one at a time, and releases none before its cheaper replacement runs', () => {
    const demand = steadyDemand(3.6)
    let list = STANDARD
    let outcome = plan(demand, list)
    outcome = plan(demand, list, outcome.state, { now: 4_600_000 })
    chai.expect([outcome.orders.map(({ reason }) => reason), outcome.release]).to.deep.equal([['price'], undefined])
    list = [...list, { ...targets([outcome.orders[0]!.domain, 'preemptible'])[0]!, name: 'new', state: 'pending', orderedAt: 4_600_000 }]
    outcome = plan(demand, list, outcome.state, { now: 4_601_000 })
    chai.expect([outcome.orders, outcome.release]).to.deep.equal([[], undefined])
    outcome = plan(demand, list.map((target) => ({ ...target, state: 'running' })), outcome.state, { now: 4_720_000 })
    chai.expect(outcome.release?.reason).to.equal('price')
  })
})
