import * as chai from 'chai'
import * as fc from 'fast-check'
import { relayedConfirmation, MAX_CONFIRMATION_AGE_MS, keysAreFresh, laterConfirmation } from '../../src/config/freshness.js'
import { HeldConfig } from '../../src/config/held-config.js'
import { makeHead, splitConfig } from '../../src/config/index.js'
import { applySplice, makeSplice } from '../../src/config/splice.js'
import { PendingWithdrawals } from '../../src/config/pending-withdrawals.js'
import type { ConfigHead, ConfigSet } from '../../src/schema/index.js'
import { exampleSet } from './fleet.js'

describe('HeldConfig', () => {
  it('does not go back to a lower generation', () => {
    const held = new HeldConfig()
    chai.expect([apply(held, 5), apply(held, 4), apply(held, 5), apply(held, 6)]).to.deep.equal([true, false, false, true])
    chai.expect(held.index?.generation).to.equal(6)
  })

  it('refuses a chunk whose text does not have the digest', () => {
    const held = new HeldConfig()
    chai.expect(() => apply(held, 1, (text) => text.replace('key0', 'keyX'))).to.throw('does not have the digest')
    chai.expect(held.index).to.equal(undefined)
  })

  it('sends a peer only the difference, from which the peer builds the same head', () => {
    const ahead = new HeldConfig()
    const behind = new HeldConfig()
    apply(ahead, 1)
    apply(behind, 1)
    const set = exampleSet()
    const next = { ...set, routes: [], accounts: set.accounts.map((account, index) => index === 0 ? { ...account, weight: 9 } : account) }
    const { head } = applySet(ahead, 2, next)
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
    fc.assert(fc.property(texts, texts, (before, after) => applySplice(before, makeSplice(before, after)) === after), { seed: 7, numRuns: 2_000 })
  })

  it('is small when one key changed', () => {
    const before = JSON.stringify(Array.from({ length: 100 }, (_, index) => ({ id: `k${index}`, withdrawn: false })))
    const after = before.replace('"k50","withdrawn":false', '"k50","withdrawn":true')
    chai.expect(makeSplice(before, after).text.length).to.be.below(10)
  })
})

describe('confirmations', () => {
  it('count the age that a peer reported from the earliest time at which it may have reported it', () => {
    chai.expect(relayedConfirmation(3, 1_000, 500)).to.deep.equal({ generation: 3, at: 500 - 1_010 })
  })

  it('of a lower generation do not replace one of a higher generation', () => {
    chai.expect(laterConfirmation({ generation: 2, at: 10 }, { generation: 1, at: 99 })).to.deep.equal({ generation: 2, at: 10 })
    chai.expect(laterConfirmation({ generation: 2, at: 10 }, { generation: 2, at: 9 }).at).to.equal(10)
  })

  it('of a generation that is not yet fetched do not count', () => {
    const inputs = { generation: 1, confirmation: { generation: 2, at: 0 }, storeRespondedAt: -Infinity, others: [], now: 1 }
    chai.expect(keysAreFresh(inputs)).to.equal(false)
    chai.expect(keysAreFresh({ ...inputs, generation: 2 })).to.equal(true)
  })

  it('of the generation in force count up to their maximum age while a newer generation is being fetched, and no longer', () => {
    const inputs = { generation: 1, confirmation: { generation: 2, at: 9_900 }, storeRespondedAt: 9_900, others: [], now: 10_000 }
    chai.expect(keysAreFresh({ ...inputs, heldConfirmation: { generation: 1, at: 10_000 - MAX_CONFIRMATION_AGE_MS + 1 } })).to.equal(true)
    chai.expect(keysAreFresh({ ...inputs, heldConfirmation: { generation: 1, at: 10_000 - MAX_CONFIRMATION_AGE_MS } })).to.equal(false)
    chai.expect(keysAreFresh({ ...inputs, heldConfirmation: { generation: 0, at: 9_900 } })).to.equal(true)
    chai.expect(keysAreFresh({ ...inputs, heldConfirmation: { generation: 2, at: 9_900 } })).to.equal(false)
    chai.expect(keysAreFresh(inputs)).to.equal(false)
  })

  it('of unknown age do not replace one that is known to be fresh', () => {
    const inputs = { generation: 2, confirmation: { generation: 2, at: -Infinity }, storeRespondedAt: 9_900, others: [], now: 10_000 }
    chai.expect(keysAreFresh({ ...inputs, heldConfirmation: { generation: 1, at: 9_000 } })).to.equal(true)
    chai.expect(keysAreFresh(inputs)).to.equal(false)
  })

  it('that are too old may be replaced by recent contact with all others only when the store responds to nobody', () => {
    const other = { name: 'b', incarnation: 'b-1', region: 'r', address: 'b', alive: true, terminated: false, lastContact: 9_000 }
    const inputs = { generation: 1, confirmation: { generation: 1, at: 0 }, storeRespondedAt: -Infinity, others: [other], now: 10_000 }
    const lateContact = { ...other, lastContact: 10_000 - MAX_CONFIRMATION_AGE_MS }
    chai.expect(keysAreFresh(inputs)).to.equal(true)
    chai.expect(keysAreFresh({ ...inputs, storeRespondedAt: 9_000 })).to.equal(false)
    chai.expect(keysAreFresh({ ...inputs, others: [other, lateContact] })).to.equal(false)
    chai.expect(keysAreFresh({ ...inputs, others: [other, { ...lateContact, terminated: true }] })).to.equal(true)
  })
})

describe('PendingWithdrawals', () => {
  it('keep a key that the configuration lacks until the configuration is confirmed after the withdrawal', () => {
    const withdrawals = new PendingWithdrawals()
    const held = new HeldConfig()
    apply(held, 1)
    withdrawals.add('later', 100)
    withdrawals.add('key0', 100)
    withdrawals.removeApplied(held.index!, 99)
    chai.expect(withdrawals.ids()).to.deep.equal(['later', 'key0'])
    withdrawals.removeApplied(held.index!, 101)
    chai.expect(withdrawals.ids()).to.deep.equal(['key0'])
  })
})

function apply (held: HeldConfig, generation: number, alter = (text: string): string => text): boolean {
  return applySet(held, generation, exampleSet(), alter).applied
}

function applySet (held: HeldConfig, generation: number, set: ConfigSet, alter = (text: string): string => text): { head: ConfigHead, applied: boolean } {
  const chunks = splitConfig(set)
  const head = makeHead(generation, chunks)
  return { head, applied: held.apply(head, new Map(chunks.map((chunk) => [chunk.digest, alter(chunk.text)]))) }
}
