import * as fs from 'node:fs'
import * as chai from 'chai'
import { checkConfig } from '../../src/config/index.js'
import { withTargets, type TargetUpdate } from '../../src/daemon/target-publisher.js'
import type { OrderedTarget } from '../../src/external/index.js'
import type { ConfigSet } from '../../src/schema/index.js'

const declared = checkConfig(JSON.parse(fs.readFileSync('examples/consortium.json', 'utf8'))).unwrap()

describe('withTargets', () => {
  it('adds an ordered target once it runs, marks it as leaving when it is reclaimed, and removes it once it is released', () => {
    const pending = withTargets(declared, update(ordered({ state: 'pending' })))
    chai.expect(names(pending)).to.deep.equal([])
    const running = withTargets(pending, update(ordered({ state: 'running' })))
    chai.expect(running.targets).to.have.length(1)
    chai.expect(running.targets[0]?.leaving).to.equal(false)
    const reclaiming = withTargets(running, update(ordered({ state: 'reclaiming' })))
    chai.expect(reclaiming.targets[0]?.leaving).to.equal(true)
    chai.expect(names(withTargets(reclaiming, update(ordered({ state: 'released' }))))).to.deep.equal([])
  })

  it('does not change declared targets or targets of other services', () => {
    const withOrdered = withTargets(declared, update(ordered({ state: 'running' })))
    const declaredOnly = { ...withOrdered, targets: withOrdered.targets.map((target) => ({ ...target, ordered: false })) }
    chai.expect(withTargets(declaredOnly, update())).to.deep.equal(declaredOnly)
    chai.expect(withTargets(withOrdered, { ...update(), service: 'tag-ledger' })).to.deep.equal(withOrdered)
  })
})

function update (...targets: readonly OrderedTarget[]): TargetUpdate {
  return { service: 'inspect-llm', ordered: targets, leaving: new Set() }
}

function ordered (change: Partial<OrderedTarget>): OrderedTarget {
  return {
    token: 't',
    name: 'inspect-llm-p1',
    service: 'inspect-llm',
    domain: 'gl-west',
    priceClass: 'standard',
    state: 'running',
    url: 'http://127.0.0.1:1',
    price: 4,
    checksFence: true,
    ...change
  }
}

function names (set: ConfigSet): string[] {
  return set.targets.map((target) => target.name)
}
