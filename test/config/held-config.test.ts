import * as chai from 'chai'
import * as fc from 'fast-check'
import { relayedConfirmation, FRESH_MS, keysAreCurrent, laterConfirmation } from '../../src/config/freshness.js'
import { HeldConfig } from '../../src/config/held-config.js'
import { makeHead, splitConfig } from '../../src/config/index.js'
import { applySplice, spliceOf } from '../../src/config/splice.js'
import { Withdrawals } from '../../src/config/withdrawals.js'
import type { ConfigHead, ConfigSet } from '../../src/schema/index.js'
import { exampleSet } from './fleet.js'

describe('HeldConfig', () => {
  it('never goes back to a lower generation', () => {
    const held = new HeldConfig()
    chai.expect([apply(held, 5), apply(held, 4), apply(held, 5), apply(held, 6)]).to.deep.equal([true, false, false, true])
    chai.expect(held.index?.generation).to.equal(6)
  })

  it('refuses a chunk whose text does not have the digest', () => {
    const held = new HeldConfig()
    chai.expect(() => apply(held, 1, (text) => text.replace('key0', 'keyX'))).to.throw('does not have the digest')
    chai.expect(held.index).to.equal(undefined)
  })

  it('describes to a peer only what differs, and the peer arrives at the same head', () => {
    const ahead = new HeldConfig()
    const behind = new HeldConfig()
    apply(ahead, 1)
    apply(behind, 1)
    const set = exampleSet()
    const next = { ...set, routes: [], accounts: set.accounts.map((account, index) => index === 0 ? { ...account, weight: 9 } : account) }
    const { head } = apply2(ahead, 2, next)
    const delta = ahead.deltaFrom(1)!
    chai.expect([delta.whole, delta.changed.length, delta.removed]).to.deep.equal([false, 1, ['routes/0']])
    chai.expect(behind.headFrom(delta)?.chunks).to.have.deep.members(head.chunks)
    chai.expect(behind.headFrom({ ...delta, changed: [] })).to.equal(undefined)
    chai.expect(new HeldConfig().headFrom(ahead.deltaFrom(0)!)?.chunks).to.have.deep.members(head.chunks)
  })
})

describe('splice', () => {
  it('rebuilds any text from any other one', () => {
    const texts = fc.string({ unit: fc.constantFrom('a', 'b'), maxLength: 8 })
    fc.assert(fc.property(texts, texts, (before, after) => applySplice(before, spliceOf(before, after)) === after), { seed: 7, numRuns: 2_000 })
  })

  it('of one changed key is small', () => {
    const before = JSON.stringify(Array.from({ length: 100 }, (_, index) => ({ id: `k${index}`, withdrawn: false })))
    const after = before.replace('"k50","withdrawn":false', '"k50","withdrawn":true')
    chai.expect(spliceOf(before, after).text.length).to.be.below(10)
  })
})

describe('proofs', () => {
  it('count the age that a peer states from a time before which it was not stated', () => {
    chai.expect(relayedConfirmation(3, 1_000, 500)).to.deep.equal({ generation: 3, at: 500 - 1_010 })
  })

  it('of a lower generation do not replace one of a higher generation', () => {
    chai.expect(laterConfirmation({ generation: 2, at: 10 }, { generation: 1, at: 99 })).to.deep.equal({ generation: 2, at: 10 })
    chai.expect(laterConfirmation({ generation: 2, at: 10 }, { generation: 2, at: 9 }).at).to.equal(10)
  })

  it('do not hold for a process that is behind', () => {
    const inputs = { generation: 1, confirmation: { generation: 2, at: 0 }, storeAnsweredAt: -Infinity, others: [], now: 1 }
    chai.expect(keysAreCurrent(inputs)).to.equal(false)
    chai.expect(keysAreCurrent({ ...inputs, generation: 2 })).to.equal(true)
  })

  it('goes on for the time of the last proof while a newer generation is being fetched, and no longer', () => {
    const inputs = { generation: 1, confirmation: { generation: 2, at: 9_900 }, storeAnsweredAt: 9_900, others: [], now: 10_000 }
    chai.expect(keysAreCurrent({ ...inputs, heldConfirmation: { generation: 1, at: 10_000 - FRESH_MS + 1 } })).to.equal(true)
    chai.expect(keysAreCurrent({ ...inputs, heldConfirmation: { generation: 1, at: 10_000 - FRESH_MS } })).to.equal(false)
    chai.expect(keysAreCurrent({ ...inputs, heldConfirmation: { generation: 0, at: 9_900 } })).to.equal(true)
    chai.expect(keysAreCurrent({ ...inputs, heldConfirmation: { generation: 2, at: 9_900 } })).to.equal(false)
    chai.expect(keysAreCurrent(inputs)).to.equal(false)
  })

  it('of unknown age do not take the place of one that is known to be fresh', () => {
    const inputs = { generation: 2, confirmation: { generation: 2, at: -Infinity }, storeAnsweredAt: 9_900, others: [], now: 10_000 }
    chai.expect(keysAreCurrent({ ...inputs, heldConfirmation: { generation: 1, at: 9_000 } })).to.equal(true)
    chai.expect(keysAreCurrent(inputs)).to.equal(false)
  })

  it('that are too old are replaced by contact with all others only when the store answers nobody', () => {
    const other = { name: 'b', incarnation: 'b-1', region: 'r', address: 'b', alive: true, gone: false, lastContact: 9_000 }
    const inputs = { generation: 1, confirmation: { generation: 1, at: 0 }, storeAnsweredAt: -Infinity, others: [other], now: 10_000 }
    const silent = { ...other, lastContact: 10_000 - FRESH_MS }
    chai.expect(keysAreCurrent(inputs)).to.equal(true)
    chai.expect(keysAreCurrent({ ...inputs, storeAnsweredAt: 9_000 })).to.equal(false)
    chai.expect(keysAreCurrent({ ...inputs, others: [other, silent] })).to.equal(false)
    chai.expect(keysAreCurrent({ ...inputs, others: [other, { ...silent, gone: true }] })).to.equal(true)
  })
})

describe('Withdrawals', () => {
  it('keep a key that the configuration lacks until a later configuration is proved', () => {
    const withdrawals = new Withdrawals()
    const held = new HeldConfig()
    apply(held, 1)
    withdrawals.add('later', 100)
    withdrawals.add('key0', 100)
    withdrawals.settle(held.index!, 99)
    chai.expect(withdrawals.ids()).to.deep.equal(['later', 'key0'])
    withdrawals.settle(held.index!, 101)
    chai.expect(withdrawals.ids()).to.deep.equal(['key0'])
  })
})

function apply (held: HeldConfig, generation: number, alter = (text: string): string => text): boolean {
  return apply2(held, generation, exampleSet(), alter).applied
}

function apply2 (held: HeldConfig, generation: number, set: ConfigSet, alter = (text: string): string => text): { head: ConfigHead, applied: boolean } {
  const chunks = splitConfig(set)
  const head = makeHead(generation, chunks)
  return { head, applied: held.apply(head, new Map(chunks.map((chunk) => [chunk.digest, alter(chunk.text)]))) }
}
