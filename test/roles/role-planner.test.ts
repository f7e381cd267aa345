import * as chai from 'chai'
import * as fc from 'fast-check'
import {
  DWELL_MS, forecast, MIN_SPLIT_FLEET, observe, planRoles, resumeRole, INITIAL_ROLE_STATE, initialEstimate,
  type EngineModel, type Mix, type RoleEngine, type RolePlanInput
} from '../../src/roles/index.js'
import type { Role } from '../../src/schema/index.js'
import { SeededRandom } from '../../src/time/index.js'

const MODEL: EngineModel = { prefillRate: 20_000, decodeRate: 400, tokenMs: 20, interference: 4, prefillSlowdown: 1.3, itlMs: 48, ttftMs: 390 }
const AWAY_MS = 8_000

const mix = (prefill: number, decode: number, size = 2_000): Mix => ({ prefill, decode, promptSquares: prefill * size })
const LONG = mix(50_000, 600)
const SHORT = mix(12_000, 1_500)

function fleet (roles: readonly Role[], more: Partial<RoleEngine> = {}): RoleEngine[] {
  return roles.map((role, index) => ({ target: `e${index}`, role, available: true, changing: false, running: index, ...more }))
}

function input (engines: readonly RoleEngine[], work: Mix, now = 0, more: Partial<RolePlanInput> = {}): RolePlanInput {
  return { now, engines, mix: work, slowMix: work, model: MODEL, downtimeMs: AWAY_MS, minFleet: MIN_SPLIT_FLEET, ...more }
}

interface Change { readonly at: number, readonly target: string, readonly from: Role, readonly to: Role }

/** Runs the planner once per simulated second; a change takes effect after its downtime. */
function simulate (seconds: number, workAt: (second: number) => Mix, roles: Role[], model = MODEL): Change[] {
  const changes: Change[] = []
  const engines = fleet(roles)
  let busyUntil = 0
  let state = INITIAL_ROLE_STATE
  let estimate = initialEstimate(-1_000)
  for (let now = 0; now < seconds * 1_000; now += 1_000) {
    const work = workAt(now / 1_000)
    estimate = observe(estimate, { now, prefillTokens: work.prefill, decodeTokens: work.decode, promptSquares: work.promptSquares })
    const current = engines.map((engine, index) => ({ ...engine, changing: now < busyUntil && engine.target === changes.at(-1)?.target && index >= 0 }))
    const plan = planRoles(state, input(current, forecast(estimate, AWAY_MS), now, { slowMix: estimate.slow, model }))
    state = plan.state
    if (plan.order === undefined) continue
    const index = engines.findIndex(({ target }) => target === plan.order?.target)
    changes.push({ at: now, target: plan.order.target, from: engines[index]!.role, to: plan.order.role })
    engines[index] = { ...engines[index]!, role: plan.order.role }
    busyUntil = now + AWAY_MS
  }
  return changes
}

const SIX_MIXED: Role[] = ['mixed', 'mixed', 'mixed', 'mixed', 'mixed', 'mixed']

describe('planRoles', () => {
  it('stops changing roles on a mix whose work varies by half from second to second', () => {
    for (const seed of [1, 2, 3, 4, 5]) {
      const random = new SeededRandom(seed)
      const noisy = (): Mix => mix(24_000 * (0.5 + random.next()), 1_000 * (0.5 + random.next()))
      const late = simulate(1_800, noisy, [...SIX_MIXED]).filter((change) => change.at > 180_000)
      chai.expect(late, `seed ${seed}`).to.deep.equal([])
    }
  })

  it('undoes no change within the dwell time while the mix jumps every 5 s', () => {
    for (const seed of [1, 2, 3, 4, 5]) {
      const random = new SeededRandom(seed)
      let work = SHORT
      const changes = simulate(1_800, (second) => {
        if (second % 5 === 0) work = random.next() < 0.5 ? SHORT : LONG
        return work
      }, [...SIX_MIXED])
      const undoneChanges = changes.filter((change, index) => {
        const before = changes[index - 1]
        return before !== undefined && change.at - before.at < DWELL_MS && before.to === change.from && before.from === change.to
      })
      chai.expect(undoneChanges, `seed ${seed}`).to.deep.equal([])
      chai.expect(changes.length, `seed ${seed}`).to.be.at.most(1_800_000 / DWELL_MS)
    }
  })

  it('follows a lasting change of the mix, and not before the gain has lasted', () => {
    const changes = simulate(300, (second) => second < 120 ? SHORT : LONG, [...SIX_MIXED])
    chai.expect(changes[0]!.at).to.be.at.least(5_000)
    chai.expect(changes.some((change) => change.at > 120_000 && change.at < 160_000 && change.to === 'prefill')).to.equal(true)
  })

  it('changes nothing when prefill does not push the time between tokens over its objective', () => {
    const lowInterference = { ...MODEL, interference: 2, prefillSlowdown: 1 }
    chai.expect(simulate(600, (second) => Math.floor(second / 120) % 2 === 0 ? SHORT : mix(30_000, 800), [...SIX_MIXED], lowInterference)).to.deep.equal([])
  })

  it('makes one change at a time and keeps enough engines capable of each phase', () => {
    const role = fc.constantFrom<Role>('mixed', 'prefill', 'decode')
    const states = fc.record({ roles: fc.array(role, { minLength: 2, maxLength: 9 }), prefill: fc.integer({ min: 0, max: 200_000 }), decode: fc.integer({ min: 0, max: 4_000 }) })
    fc.assert(fc.property(states, ({ roles, prefill, decode }) => {
      const engines = fleet(roles)
      const initial = { ...INITIAL_ROLE_STATE }
      let state = planRoles(initial, input(engines, mix(prefill, decode))).state
      const { order } = planRoles(state, input(engines, mix(prefill, decode), 6_000))
      chai.expect(planRoles(state, input([...engines.slice(1), { ...engines[0]!, changing: true }], mix(prefill, decode), 6_000)).order).to.equal(undefined)
      state = initial
      if (order === undefined || order.reason === 'role_missing' || order.reason === 'small_fleet') return
      const others = engines.filter(({ target }) => target !== order.target)
      const countCapable = (members: readonly RoleEngine[], phase: Role): number => members.filter((engine) => engine.role === phase || engine.role === 'mixed').length
      for (const phase of ['prefill', 'decode'] as const) {
        chai.expect(countCapable(others, phase)).to.be.at.least(1)
        chai.expect(countCapable([...others, { ...engines[0]!, role: order.role }], phase)).to.be.at.least(Math.min(2, roles.length - 1))
      }
    }), { seed: 7, numRuns: 400 })
  })

  it('does not change the role of the only engine that is capable of a phase', () => {
    const first = simulate(120, () => mix(500, 1_500, 100), ['prefill', 'decode', 'decode', 'decode'])[0]
    chai.expect(first?.from).to.equal('decode')
  })

  it('restores a missing phase at once and makes all engines of a small fleet mixed', () => {
    chai.expect(planRoles(INITIAL_ROLE_STATE, input(fleet(['decode', 'decode', 'decode']), SHORT)).order).to.include({ role: 'mixed', reason: 'role_missing' })
    chai.expect(planRoles(INITIAL_ROLE_STATE, input(fleet(['mixed', 'prefill']), SHORT)).order).to.include({ target: 'e1', role: 'mixed', reason: 'small_fleet' })
  })

  it('gives a drained engine a role after a change of the lease holder', () => {
    const engines = fleet(['decode', 'decode', 'mixed', 'mixed'])
    chai.expect(resumeRole(engines[0]!, input(engines, LONG))).to.include({ target: 'e0', reason: 'resume' })
    chai.expect(resumeRole(engines[0]!, input(engines, LONG)).role).to.not.equal('decode')
  })
})

describe('mix estimate', () => {
  it('extrapolates a ramp to the end of a role change', () => {
    let estimate = initialEstimate(0)
    for (let s = 1; s <= 1_200; s++) estimate = observe(estimate, { now: s * 1_000, prefillTokens: 10_000 + 10 * s, decodeTokens: 500, promptSquares: 1 })
    chai.expect(forecast(estimate, 20_000).prefill).to.be.closeTo(10_000 + 10 * 1_220, 100)
    chai.expect(forecast(estimate, 20_000).decode).to.be.closeTo(500, 1)
  })

  it('drops an observation that is not later than the previous one', () => {
    const estimate = observe(initialEstimate(0), { now: 1_000, prefillTokens: 1, decodeTokens: 1, promptSquares: 1 })
    chai.expect(observe(estimate, { now: 1_000, prefillTokens: 99, decodeTokens: 99, promptSquares: 99 })).to.equal(estimate)
  })
})
