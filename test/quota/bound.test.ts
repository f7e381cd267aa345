// Guards against executing more than a quota allows in some window, whatever fails, and against refusing calls within the quota.
import * as chai from 'chai'
import * as fc from 'fast-check'
import * as quota from '../../src/quota/index.js'
import * as region from '../support/quota-region.js'

const SEED = 20_261_206
const RUNS = 80
const DURATION_MS = 24_000
const STEP_MS = 50
const CONFIG_APPLY_MS = 3_000
const ROUNDING = 1e-6

/** Share of the calls of an account within its quota that is refused at most. */
const MAX_REFUSED_SHARE = 0.02

/** Rate at which calls of the largest size cost more than a gateway's share of the bucket. */
const RATE_PER_S = 120_000

const gatewayIndex = fc.integer({ min: 0, max: 5 })
const time = fc.integer({ min: 0, max: DURATION_MS })
const forMs = fc.integer({ min: 200, max: 9_000 })

const fault = fc.record({
  atMs: time,
  forMs,
  kind: fc.constantFrom('kill', 'suspend', 'split', 'cut', 'killAll', 'lose', 'slow', 'join', 'lower', 'raise'),
  gateway: gatewayIndex
})
type Fault = typeof fault extends fc.Arbitrary<infer T> ? T : never

/** Calls at one gateway or all; `rates` is a multiple of the rate, `part` the cost of a call as a part of the rate per second. */
const load = fc.record({
  atMs: time,
  forMs,
  gateway: fc.option(gatewayIndex),
  rates: fc.constantFrom(0.5, 4, 8),
  part: fc.constantFrom(0.01, 0.1, 0.3),
  course: fc.record({ waitMs: fc.constantFrom(0, 400, 3_000), rejections: fc.constantFrom(0, 0, 1), leaves: fc.boolean() })
})
type Load = typeof load extends fc.Arbitrary<infer T> ? T : never

const scenario = fc.record({
  burstS: fc.constantFrom(0, 0.5, 1),
  slackTokens: fc.constantFrom(0, 0, 20_000),
  /** After this time the account sends many times its quota. */
  quietMs: fc.integer({ min: 0, max: 12_000 }),
  hotGateway: fc.option(gatewayIndex),
  faults: fc.array(fault, { maxLength: 6 }),
  loads: fc.array(load, { maxLength: 6 })
})

class Scenario {
  readonly site: region.QuotaRegion
  private readonly changes: Array<{ readonly limit: number, readonly atMs: number }> = []
  ratePerS = 0

  constructor (private readonly bounds: quota.QuotaBounds) {
    this.site = new region.QuotaRegion(bounds)
  }

  change (ratePerS: number, burst = ratePerS): void {
    this.ratePerS = ratePerS
    const accountQuota = region.aQuota(ratePerS, burst)
    this.changes.push({ limit: quota.windowLimit(accountQuota, this.bounds), atMs: this.site.virtual.now() })
    this.site.setQuota(accountQuota, this.changes.length === 1 ? 0 : CONFIG_APPLY_MS)
  }

  apply ({ kind, gateway: index, forMs }: Fault): void {
    const { site } = this
    const name = `g${index}`
    const gateway = site.gateways.get(name)
    const later = (fn: () => void): void => { site.virtual.after(forMs, fn) }
    const part = (names: readonly string[]): void => {
      for (const each of names) site.sides.set(each, 1)
      later(() => { for (const each of names) site.sides.delete(each) })
    }
    switch (kind) {
      case 'kill': return this.kill(name, forMs)
      case 'killAll': return [...site.gateways.keys()].forEach((each) => this.kill(each, forMs / 4))
      case 'split': return part([...site.gateways.keys()].filter((_, position) => position % 2 === 0))
      case 'cut': return part([name])
      case 'suspend': gateway?.suspend(); return later(() => gateway?.resume())
      case 'lose': site.lossRate = 0.4; return later(() => { site.lossRate = 0 })
      case 'slow': site.maxDelayMs = 400; return later(() => { site.maxDelayMs = 20 })
      case 'join': if (gateway === undefined) site.start(name); return
      case 'lower': return this.change(this.ratePerS / 4)
      case 'raise': return this.change(this.ratePerS * 2)
    }
  }

  /** Sends the calls of one step. */
  send ({ gateway, rates, part, course }: Omit<Load, 'atMs' | 'forMs'>): void {
    const tokens = part * this.ratePerS
    const receivers = [...this.site.gateways.values()].filter((each) => gateway === null || each.index === gateway)
    for (let calls = rates / part * STEP_MS / 1_000; calls > this.site.random.next(); calls--) {
      const receiver = receivers[Math.floor(this.site.random.next() * receivers.length)]
      receiver?.do(() => receiver.run(tokens, course))
    }
  }

  /** Fails when a window has executed more than the highest bound of the quotas that gateways may have used in it. */
  check (): void {
    const { windowMs } = this.bounds
    const { executions } = this.site
    let sum = 0
    let first = 0
    for (const last of executions) {
      sum += last.cost
      while (executions[first]!.at <= last.at - windowMs) sum -= executions[first++]!.cost
      const isUsed = (index: number): boolean => this.changes[index]!.atMs <= last.at && (this.changes[index + 1]?.atMs ?? Infinity) + CONFIG_APPLY_MS >= last.at - windowMs
      const limit = Math.max(...this.changes.filter((_, index) => isUsed(index)).map((change) => change.limit))
      chai.expect(sum, `at ${last.at}`).to.be.at.most(limit * (1 + ROUNDING))
    }
  }

  private kill (name: string, forMs: number): void {
    const gateway = this.site.gateways.get(name)
    if (gateway?.alive !== true) return
    gateway.alive = false
    this.site.virtual.after(forMs, () => { if (this.site.gateways.get(name) === gateway) this.site.start(name) })
  }
}

describe('Quotas', () => {
  it('execute no more than the bound in any window, under delay, loss, partitions, kills, starts, suspensions and changes', async function () {
    this.timeout(240_000)
    await fc.assert(fc.asyncProperty(scenario, async ({ burstS, slackTokens, quietMs, hotGateway, faults, loads }) => {
      const trial = new Scenario({ windowMs: 8_000, slackTokens, overage: slackTokens === 0 ? 0 : 0.1 })
      const { virtual } = trial.site
      trial.site.startMany(5)
      trial.change(20_000, 20_000 * burstS)
      for (const each of faults) virtual.after(each.atMs, () => trial.apply(each))
      for (let atMs = 0; atMs < DURATION_MS; atMs += STEP_MS) {
        for (const each of loads) if (each.atMs <= atMs && atMs < each.atMs + each.forMs) trial.send(each)
        if (atMs >= quietMs) trial.send({ gateway: hotGateway, rates: 4, part: 0.01, course: {} as Load['course'] })
        await virtual.advance(STEP_MS)
      }
      trial.check()
    }), { seed: SEED, numRuns: RUNS })
  })

  for (const receivers of [1, 2, 31]) {
    it(`refuse at most 2% of the calls of an account within its quota at ${receivers} of 31 gateways, while one restarts`, async () => {
      const site = new region.QuotaRegion({ windowMs: 8_000, overage: 0.1, slackTokens: 190_000 })
      site.startMany(31)
      site.setQuota(region.aQuota(RATE_PER_S))
      await site.virtual.advance(7_000)
      let calls = 0
      let level = RATE_PER_S
      for (let atMs = 0; atMs < DURATION_MS; atMs += 10) {
        if (atMs === 8_000) site.gateways.get('g30')!.alive = false
        if (atMs === 9_000) site.start('g30')
        level = Math.min(RATE_PER_S, level + RATE_PER_S / 100)
        for (const tokens of [17_020, 9_190, 1_460]) {
          // A third of the work is in calls of each size; nine tenths of the rate in all.
          if (site.random.next() > 0.3 * RATE_PER_S / 100 / tokens || level < tokens) continue
          level -= tokens
          calls++
          site.gateways.get(`g${Math.floor(site.random.next() * receivers)}`)!.run(tokens)
        }
        await site.virtual.advance(10)
      }
      chai.expect(calls).to.be.above(400)
      chai.expect(site.refusals.length).to.be.at.most(MAX_REFUSED_SHARE * calls)
    })
  }
})
