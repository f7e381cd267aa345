import * as chai from 'chai'
import { ConfigIndex } from '../../src/config/index.js'
import { scopesOf } from '../../src/daemon/control-child.js'
import { exampleSet } from '../config/fleet.js'
import { ControlFleet, SHARDS } from './control-fleet.js'

describe('ControlChild', () => {
  it('has one holder for each scope, replaces the holders of a lost failure domain, and stays within its store rate', async () => {
    const fleet = new ControlFleet(['a', 'b', 'c', 'd', 'e', 'f', 'g', 'h', 'i', 'j'])
    await fleet.time.advance(100_000)
    chai.expect(fleet.heldScopes()).to.deep.equal(fleet.scopes)
    const before = { ...fleet.store.calls }
    await fleet.time.advance(60_000)
    const perScope = (kind: 'reads' | 'writes'): number => (fleet.store.calls[kind] - before[kind]) / fleet.scopes.length
    chai.expect(perScope('writes'), 'one renewal every 3 s').to.be.at.most(20)
    chai.expect(perScope('reads'), 'one read every 12 s, 48 s, 192 s and so on').to.be.at.most(60 * (1 / 12 + 1 / 48 + 1 / 192) + 1)
    for (const name of ['a', 'b', 'c', 'd', 'e', 'f', 'g', 'h']) fleet.kill(name)
    await fleet.time.advance(20_000)
    chai.expect(fleet.heldScopes()).to.deep.equal(fleet.scopes)
  })

  it('lets another entry acquire its scopes within 3 s when it stops', async () => {
    const fleet = new ControlFleet(['a', 'b'])
    await fleet.time.advance(15_000)
    const stopDone = fleet.children.get('a')![Symbol.asyncDispose]()
    await fleet.time.advance(3_000)
    await stopDone
    chai.expect(fleet.children.get('b')!.heldScopes.slice().sort()).to.deep.equal(fleet.scopes)
  })

  it('assigns the usage shards alternately to the regions, and each shard to exactly one scope', () => {
    const domains = [{ name: 'd1', region: 'x' }, { name: 'd2', region: 'y' }]
    const cfg = new ConfigIndex(1, { ...exampleSet(), failure_domains: domains })
    const usage = (region: string): string[] => scopesOf(cfg, region, SHARDS).filter((spec) => spec.kind === 'usage').map((spec) => spec.scope)
    chai.expect(usage('x')).to.deep.equal(['x/usage/0', 'y/usage/1', 'x/usage/2', 'y/usage/3'])
    chai.expect(usage('y')).to.deep.equal(usage('x'))
  })
})
