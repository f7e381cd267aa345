// Guards against executing more than a quota allows in some window, whatever fails, and against refusing calls within the quota.
import * as chai from 'chai'
import * as fc from 'fast-check'
import * as quota from '../../src/quota/index.js'
import type * as serving from '../../src/serving/index.js'
import * as region from '../support/quota-region.js'

const SEED = 20_261_206
const RUNS = 60
const DURATION_MS = 24_000
const STEP_MS = 50
const CONFIG_APPLY_MS = 3_000
const ROUNDING = 1e-6

const BOUNDS: quota.QuotaBounds = { windowMs: 8_000, overage: 0.1, slackTokens: 20_000 }

/** Share of the calls of an account within its quota that is refused at most. */
const MAX_REFUSED_SHARE = 0.02

function aQuota (ratePerS: number, burst = ratePerS): serving.AccountQuota {
  return { unit: 'tokens', ratePerMs: ratePerS / 1_000, burst, plainTokens: 200 }
}

const gatewayIndex = fc.integer({ min: 0, max: 5 })

const fault = fc.record({
  atMs: fc.integer({ min: 0, max: DURATION_MS }),
  kind: fc.constantFrom('kill', 'suspend', 'split', 'cut', 'killAll', 'lose', 'slow', 'join', 'lower', 'raise'),
  gateway: gatewayIndex,
  forMs: fc.integer({ min: 200, max: 9_000 })
})
type Fault = typeof fault extends fc.Arbitrary<infer T> ? T : never

const burst = fc.record({
  atMs: fc.integer({ min: 0, max: DURATION_MS }),
  gateway: fc.option(gatewayIndex),
  calls: fc.integer({ min: 1, max: 40 }),
  tokens: fc.integer({ min: 100, max: 18_000 }),
  waitMs: fc.integer({ min: 0, max: 4_000 }),
  rejections: fc.integer({ min: 0, max: 2 }),
  leaves: fc.boolean()
})

const scenario = fc.record({
  ratePerS: fc.constantFrom(20_000, 120_000),
  burstS: fc.constantFrom(0, 0.5, 1),
  overload: fc.constantFrom(0.5, 2, 8),
  slackTokens: fc.constantFrom(0, BOUNDS.slackTokens),
  faults: fc.array(fault, { maxLength: 8 }),
  bursts: fc.array(burst, { maxLength: 12 })
})

class Scenario {
  readonly site: region.QuotaRegion
  readonly outcomes: region.Outcomes = { admitted: 0, refused: 0, retryAfterMs: [] }
  /** Changes of the quota, newest last. */
  readonly quotas: Array<{ readonly quota: serving.AccountQuota, readonly atMs: number }> = []

  constructor (readonly bounds: quota.QuotaBounds) {
    this.site = new region.QuotaRegion(bounds)
  }

  change (accountQuota: serving.AccountQuota): void {
    this.quotas.push({ quota: accountQuota, atMs: this.site.virtual.now() })
    this.site.setQuota(accountQuota, this.quotas.length === 1 ? 0 : CONFIG_APPLY_MS)
  }

  apply ({ kind, gateway: index, forMs }: Fault): void {
    const { site } = this
    const name = `g${index}`
    const later = (fn: () => void): void => { site.virtual.after(forMs, fn) }
    const gateway = site.gateways.get(name)
    const current = this.quotas.at(-1)!.quota
    if (kind === 'kill') this.kill(name, forMs)
    else if (kind === 'killAll') for (const each of [...site.gateways.keys()]) this.kill(each, forMs / 4)
    else if (kind === 'suspend') { gateway?.suspend(); later(() => gateway?.resume()) } else if (kind === 'split') this.part([...site.gateways.keys()].filter((_, position) => position % 2 === 0), forMs)
    else if (kind === 'cut') this.part([name], forMs)
    else if (kind === 'lose') { site.lossRate = 0.4; later(() => { site.lossRate = 0 }) } else if (kind === 'slow') { site.maxDelayMs = 400; later(() => { site.maxDelayMs = 20 }) } else if (kind === 'join' && gateway === undefined) site.start(name)
    else if (kind === 'lower') this.change(aQuota(current.ratePerMs * 250))
    else if (kind === 'raise') this.change(aQuota(current.ratePerMs * 2_000))
  }

  burst ({ gateway, calls, tokens, ...course }: typeof burst extends fc.Arbitrary<infer T> ? T : never): void {
    for (const each of this.site.gateways.values()) {
      if (!each.alive || (gateway !== null && each.index !== gateway)) continue
      for (let call = 0; call < calls; call++) each.do(() => { this.run(each, tokens, course) })
    }
  }

  run (gateway: region.QuotaGateway, tokens: number, course: region.CallCourse = {}): void {
    gateway.run(tokens, course, this.outcomes).catch((err: unknown) => { throw err })
  }

  /** Fails when a window has executed more than the highest bound of the quotas that gateways may have used in it. */
  check (): void {
    const { windowMs } = this.bounds
    const { executions } = this.site
    const uses = this.quotas.map(({ quota: used, atMs }, index) => ({ limit: quota.windowLimit(used, this.bounds), atMs, untilMs: (this.quotas[index + 1]?.atMs ?? Infinity) + CONFIG_APPLY_MS }))
    let sum = 0
    let first = 0
    for (const last of executions) {
      sum += last.cost
      while (executions[first]!.at <= last.at - windowMs) sum -= executions[first++]!.cost
      const limit = Math.max(...uses.filter(({ atMs, untilMs }) => atMs <= last.at && untilMs >= last.at - windowMs).map((use) => use.limit))
      chai.expect(sum, `at ${last.at}`).to.be.at.most(limit * (1 + ROUNDING))
    }
  }

  private kill (name: string, forMs: number): void {
    const gateway = this.site.gateways.get(name)
    if (gateway?.alive !== true) return
    gateway.alive = false
    this.site.virtual.after(forMs, () => { if (this.site.gateways.get(name) === gateway) this.site.start(name) })
  }

  private part (names: readonly string[], forMs: number): void {
    for (const name of names) this.site.sides.set(name, 1)
    this.site.virtual.after(forMs, () => { for (const name of names) this.site.sides.delete(name) })
  }
}

describe('Quotas', () => {
  it('execute no more than the bound in any window, under delay, loss, partitions, kills, starts, suspensions and changes', async function () {
    this.timeout(240_000)
    await fc.assert(fc.asyncProperty(scenario, async ({ ratePerS, burstS, overload, slackTokens, faults, bursts }) => {
      const trial = new Scenario({ ...BOUNDS, slackTokens, overage: slackTokens === 0 ? 0 : BOUNDS.overage })
      const { virtual, random, gateways } = trial.site
      trial.site.startMany(5)
      trial.change(aQuota(ratePerS, ratePerS * burstS))
      for (const each of faults) virtual.after(each.atMs, () => trial.apply(each))
      for (const each of bursts) virtual.after(each.atMs, () => trial.burst(each))
      for (let atMs = 0; atMs < DURATION_MS; atMs += STEP_MS) {
        const tokens = overload * ratePerS * STEP_MS / 1_000
        const running = [...gateways.values()]
        const gateway = running[Math.floor(random.next() * running.length)]!
        gateway.do(() => { for (let call = 0; call < 3; call++) trial.run(gateway, tokens / 3) })
        await virtual.advance(STEP_MS)
      }
      trial.check()
    }), { seed: SEED, numRuns: RUNS })
  })
})
