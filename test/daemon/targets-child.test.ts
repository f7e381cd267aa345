import * as chai from 'chai'
import { checkConfig, ConfigIndex } from '../../src/config/index.js'
import { TargetsChild } from '../../src/daemon/targets-child.js'
import { SILENT_LOGGER } from '../../src/log/index.js'
import { TwoChoiceRouter, type RouteReq } from '../../src/routing/index.js'
import { DEFAULT_ENGINE, StandinEngine } from '../../src/standin/index.js'
import { prefixChain } from '../../src/target-clients/index.js'
import { VirtualTime } from '../../src/time/index.js'

/** Bound within which a leaving target gets no new work, in ms. */
const LEAVE_BOUND_MS = 5_000

const PROMPT = 'x'.repeat(16_000)
const ROUTE_REQ: RouteReq = { service: 'm', chain: prefixChain('m', PROMPT), promptTokens: 4_000, outputTokens: 8, exclude: new Set() }

function setUp () {
  const time = new VirtualTime()
  const env = time.env(1)
  const engines = ['e0', 'e1', 'e2'].map((name) => new StandinEngine({ ...DEFAULT_ENGINE, name, models: ['m'], changeMs: 20_000 }, time, time))
  const router = new TwoChoiceRouter(env)
  const clients = {
    engine: (url: string) => engines.find((engine) => url === `http://${engine.spec.name}`)!,
    plain: () => { throw new Error('no plain service') }
  }
  const child = new TargetsChild({ env, log: SILENT_LOGGER, clients, router })
  const configOf = (names: readonly string[], leaving: readonly string[] = []) => new ConfigIndex(1, checkConfig({
    failure_domains: [{ name: 'a', region: 'r' }],
    profiles: [{ name: 'std' }],
    services: [{ name: 'm', kind: 'model', profile: 'std' }],
    targets: names.map((name) => ({ name, service: 'm', domain: 'a', url: `http://${name}`, leaving: leaving.includes(name) }))
  }).unwrap())
  child.applyConfig(configOf(['e0', 'e1']))
  child.start()
  const chosenTargets = () => [...new Set(Array.from({ length: 100 }, () => router.choose(ROUTE_REQ)?.target.name))].sort()
  return { time, engines, router, child, configOf, chosenTargets }
}

describe('TargetsChild', () => {
  it('passes load reports and cache events to routing', async () => {
    const { time, engines, router, chosenTargets } = setUp()
    await time.advance(1_000)
    const done = engines[1]!.generate({ id: 'x', model: 'm', prompt: PROMPT, maxTokens: 1, priority: 5, seed: 1, from: 0 }, () => {}, new AbortController().signal)
    await time.advance(2_000)
    await done
    chai.expect(chosenTargets()).to.deep.equal(['e1'])
    chai.expect(router.choose(ROUTE_REQ)).to.include({ cachedTokens: 4_000 })
    for (let index = 0; index < 16; index++) engines[1]!.generate({ id: `y${index}`, model: 'm', prompt: `${index}`, maxTokens: 500, priority: 5, seed: 1, from: 0 }, () => {}, new AbortController().signal).catch(() => {})
    await time.advance(1_500)
    chai.expect(chosenTargets()).to.deep.equal(['e0'])
  })

  it('routes no calls to an engine during its role change, and routes by the new role afterwards', async () => {
    const { time, engines, router, chosenTargets } = setUp()
    await engines[0]!.order('o1', 1, { kind: 'role', role: 'decode' })
    await time.advance(LEAVE_BOUND_MS)
    chai.expect(chosenTargets()).to.deep.equal(['e1'])
    await time.advance(25_000)
    await engines[1]!.order('o2', 1, { kind: 'role', role: 'prefill' })
    await time.advance(30_000)
    chai.expect(router.choose(ROUTE_REQ)).to.deep.include({ prefillTarget: { name: 'e1', service: 'm', domain: 'a', url: 'http://e1', leaving: false, role: 'prefill' } })
  })

  it('routes no calls to leaving or removed targets, and polls new ones', async () => {
    const { time, engines, child, configOf, chosenTargets } = setUp()
    child.applyConfig(configOf(['e0', 'e1', 'e2']))
    for (let index = 0; index < 16; index++) engines[2]!.generate({ id: `y${index}`, model: 'm', prompt: `${index}`, maxTokens: 2_000, priority: 5, seed: 1, from: 0 }, () => {}, new AbortController().signal).catch(() => {})
    chai.expect(chosenTargets()).to.deep.equal(['e0', 'e1', 'e2'])
    await time.advance(LEAVE_BOUND_MS)
    chai.expect(chosenTargets()).to.deep.equal(['e0', 'e1'])
    child.applyConfig(configOf(['e0', 'e1', 'e2'], ['e0']))
    chai.expect(chosenTargets()).to.deep.equal(['e1'])
    child.applyConfig(configOf(['e0']))
    chai.expect(chosenTargets()).to.deep.equal(['e0'])
  })
})
