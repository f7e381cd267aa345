import * as chai from 'chai'
import { TwoChoiceRouter, type Router } from '../../src/routing/index.js'
import { VirtualTime } from '../../src/time/index.js'
import { LowestWaitRouter, simulate, createTargets, type SimOptions, type SimResult } from './fleet-sim.js'

async function run (routers: number, options: SimOptions, createRouter: (time: VirtualTime, index: number) => Router): Promise<SimResult> {
  const time = new VirtualTime()
  const instances = Array.from({ length: routers }, (_, index) => createRouter(time, index))
  for (const router of instances) router.setTargets(createTargets(options.targets))
  return await simulate(time, instances, options)
}

const createTwoChoiceRouter = (time: VirtualTime, index: number): Router => new TwoChoiceRouter(time.env(index + 1))

describe('Several routers with the same delayed reports', () => {
  for (const routers of [4, 50]) {
    it(`do not herd: ${routers} routers have lower waits than routers that choose the lowest reported wait`, async () => {
      const options = { targets: 20, utilization: 0.7, reportIntervalMs: 1_000, durationS: 60 }
      const twoChoices = await run(routers, options, createTwoChoiceRouter)
      const lowestWait = await run(routers, options, () => new LowestWaitRouter(createTargets(options.targets)))
      chai.expect(twoChoices.p95Ms).to.be.below(lowestWait.p95Ms)
    })
  }

  it('find cached prefixes more than twice as often as random choice', async () => {
    const options = { targets: 12, utilization: 0.5, reportIntervalMs: 500, durationS: 2_000, prompts: 60, cacheBlocks: 40 }
    const twoChoices = await run(4, options, createTwoChoiceRouter)
    const random = await run(4, options, (time) => {
      const source = time.env(3).random
      const targets = createTargets(options.targets)
      return Object.assign(new LowestWaitRouter(targets), { choose: () => ({ target: targets[Math.floor(source.next() * targets.length)]! }) })
    })
    chai.expect(twoChoices.hitRate).to.be.above(2 * random.hitRate)
    chai.expect(twoChoices.p95Ms).to.be.below(random.p95Ms)
  })
})
