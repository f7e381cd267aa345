import * as chai from 'chai'
import { ClaimSweeper, MAX_AHEAD_MS, RETENTION_MS, SHARDS, type ClaimReq } from '../../src/claims/index.js'
import { hash32 } from '../../src/hash/index.js'
import { answer, ClaimFleet, summary } from './claim-fleet.js'

const MINUTE_MS = 60_000

function shardOf (req: ClaimReq): number {
  return hash32(`${req.service}/${req.account}/${req.key}`) % SHARDS
}

describe('PageClaims', () => {
  it('gives a retry at another entry the stored answer, bytes unchanged', async () => {
    const fleet = new ClaimFleet(2)
    const req = fleet.req('a')
    const body = new Uint8Array([0, 255, 128, 10])
    await fleet.settle((await fleet.granted(0, req)).complete({ ...answer(''), body }))
    fleet.dead.add(0)
    const outcome = (await fleet.claim(1, req)).unwrap()
    chai.expect(outcome.kind === 'answered' && [...outcome.answer.body]).to.deep.equal([0, 255, 128, 10])
  })

  it('never grants a call again when its entry died after the claim, before or after it sent', async () => {
    const fleet = new ClaimFleet(2)
    const req = fleet.req('a')
    await fleet.granted(0, req)
    fleet.dead.add(0)
    chai.expect(summary(await fleet.claim(1, req))).to.equal('outcome_unknown/maybe')
  })

  it('refuses a retry when the sending entry lost the outcome', async () => {
    const fleet = new ClaimFleet(2)
    const req = fleet.req('a');
    (await fleet.granted(0, req)).markUnknown()
    chai.expect(summary(await fleet.claim(0, req))).to.equal('outcome_unknown/maybe')
    chai.expect(summary(await fleet.claim(1, req))).to.equal('outcome_unknown/maybe')
  })

  it('finds its own nonce after the reply to its write was lost', async () => {
    const fleet = new ClaimFleet(2)
    fleet.store.faults.loseReplies = 1
    const req = fleet.req('a')
    chai.expect(summary(await fleet.claim(0, req))).to.equal('granted')
    chai.expect(fleet.retries).to.include('store_reply_lost')
    fleet.dead.add(0)
    chai.expect(summary(await fleet.claim(1, req))).to.equal('outcome_unknown/maybe')
  })

  for (const entry of [0, 1]) {
    it(`lets entry ${entry} take over a claim whose outcome was not learnt in time and that was never sent`, async () => {
      const fleet = new ClaimFleet(2)
      fleet.store.faults.loseReplies = 1
      fleet.time.after(3.5, () => { fleet.store.faults.down = true })
      const req = fleet.req('a', { leftMs: 500 })
      chai.expect(summary(await fleet.claim(0, req))).to.equal('claim_store_unavailable/no')
      chai.expect(fleet.store.keys('claims/')).to.have.length(1)
      fleet.store.faults.down = false
      const again = { ...req, deadlineAt: fleet.time.now() + 5_000 }
      const outcomes = await fleet.settle(Promise.all([fleet.entries[entry]!.claim(again), fleet.entries[1 - entry]!.claim({ ...again, deadlineAt: again.deadlineAt - 3_000 })]))
      chai.expect(outcomes.filter((outcome) => summary(outcome) === 'granted')).to.have.length(1)
    })
  }

  it('refuses with ran no when the store is down, and soon', async () => {
    const fleet = new ClaimFleet(1)
    fleet.store.faults.down = true
    chai.expect(summary(await fleet.claim(0, fleet.req('a')))).to.equal('claim_store_unavailable/no')
    chai.expect(fleet.time.now()).to.be.below(1_000)
  })

  it('answers retries from memory while the store is down after the answer, and stores it later', async () => {
    const fleet = new ClaimFleet(2)
    const req = fleet.req('a')
    const claim = await fleet.granted(0, req)
    fleet.store.faults.down = true
    const stored = claim.complete(answer('done'))
    await fleet.time.advance(5_000)
    chai.expect(summary(await fleet.claim(0, req))).to.equal('done')
    fleet.store.faults.down = false
    chai.expect(summary(await fleet.claim(1, { ...req, deadlineAt: fleet.time.now() + 5_000 }))).to.equal('done')
    await fleet.settle(stored)
    fleet.dead.add(0)
    chai.expect(summary(await fleet.claim(1, { ...req, deadlineAt: fleet.time.now() + 5_000 }))).to.equal('done')
  })

  it('grants a key used at two entries at once to one; the other waits for the answer', async () => {
    const fleet = new ClaimFleet(2)
    const req = fleet.req('a')
    const both = [0, 1].map(async (entry) => {
      const outcome = await fleet.entries[entry]!.claim(req)
      if (outcome.err || outcome.val.kind === 'answered') return summary(outcome)
      await new Promise<void>((resolve) => { fleet.time.after(1_000, resolve) })
      await outcome.val.claim.complete(answer('done'))
      return 'granted'
    })
    chai.expect((await fleet.settle(Promise.all(both))).sort()).to.deep.equal(['done', 'granted'])
  })

  it('grants again after a call was abandoned unsent', async () => {
    const fleet = new ClaimFleet(2)
    const req = fleet.req('a')
    const abandoned = (await fleet.granted(0, req)).abandon()
    chai.expect(summary(await fleet.claim(1, req))).to.equal('granted')
    await fleet.settle(abandoned)
    chai.expect(summary(await fleet.claim(0, { ...req, deadlineAt: fleet.time.now() + 500 }))).to.equal('claim_in_progress/maybe')
  })

  it('refuses another request with the same key, while the first runs and after', async () => {
    const fleet = new ClaimFleet(2)
    const req = fleet.req('a')
    const claim = await fleet.granted(0, req)
    for (const entry of [0, 1]) chai.expect(summary(await fleet.claim(entry, { ...req, request: 'other' }))).to.equal('idempotency_key_reused/no')
    await fleet.settle(claim.complete(answer('done')))
    for (const entry of [0, 1]) chai.expect(summary(await fleet.claim(entry, { ...req, request: 'other' }))).to.equal('idempotency_key_reused/no')
  })

  it('does not grant from an old copy of a page', async () => {
    const fleet = new ClaimFleet(2)
    const req = fleet.req('a')
    fleet.store.setReadsStale(true)
    await fleet.granted(0, req)
    fleet.dead.add(0)
    chai.expect(summary(await fleet.claim(1, req))).to.equal('outcome_unknown/maybe')
  })

  it('stores an answer although its page was dropped from memory and reads come from an old copy', async () => {
    const fleet = new ClaimFleet(2)
    fleet.store.setReadsStale(true)
    const req = fleet.req('a')
    const claim = await fleet.granted(0, req)
    const others = Array.from({ length: 200 }, (_, index) => fleet.req(`other-${index}`)).filter((other) => shardOf(other) !== shardOf(req))
    for (const other of others) await fleet.granted(0, other).then((held) => held.markUnknown())
    await fleet.settle(claim.complete(answer('done')))
    fleet.store.setReadsStale(false)
    fleet.dead.add(0)
    chai.expect(summary(await fleet.claim(1, { ...req, deadlineAt: fleet.time.now() + 1_000 }))).to.equal('done')
  })

  it('refuses keys that are malformed, expired or ahead of the clock', async () => {
    const fleet = new ClaimFleet(1)
    const wall = Math.floor(fleet.time.wallTimeMs())
    const outcome = async (key: string): Promise<string> => summary(await fleet.claim(0, { ...fleet.req('a'), key }))
    chai.expect(await outcome('x')).to.equal('idempotency_key_invalid/no')
    chai.expect(await outcome(`${wall - RETENTION_MS - 1_000}-x`)).to.equal('idempotency_key_expired/no')
    chai.expect(await outcome(`${wall + MAX_AHEAD_MS + 1_000}-x`)).to.equal('idempotency_key_invalid/no')
    const hex = wall.toString(16).padStart(12, '0')
    chai.expect(await outcome(`${hex.slice(0, 8)}-${hex.slice(8)}-7abc-8abc-0123456789ab`)).to.equal('granted')
    chai.expect(await outcome(`${hex.slice(0, 8)}-${hex.slice(8)}-4abc-8abc-0123456789ab`)).to.equal('idempotency_key_invalid/no')
  })

  it('keeps answers of up to 16 KiB in the row, up to 1 MB in an object, and of longer ones the digest', async () => {
    const fleet = new ClaimFleet(2)
    const kept = async (size: number): Promise<string> => {
      const req = fleet.req(`size-${size}`)
      await fleet.settle((await fleet.granted(0, req)).complete(answer('x'.repeat(size))))
      return summary(await fleet.claim(1, req))
    }
    chai.expect(await kept(16_000)).to.have.length(16_000)
    chai.expect(fleet.store.keys('claim-answers/')).to.have.length(0)
    chai.expect(await kept(900_000)).to.have.length(900_000)
    chai.expect(fleet.store.keys('claim-answers/')).to.have.length(1)
    chai.expect(await kept(1_200_000)).to.equal('outcome_unknown/yes')
  })

  it('stores a long answer once the store is back', async () => {
    const fleet = new ClaimFleet(2)
    const req = fleet.req('a')
    const claim = await fleet.granted(0, req)
    fleet.store.faults.down = true
    const stored = claim.complete(answer('x'.repeat(20_000)))
    await fleet.time.advance(3_000)
    fleet.store.faults.down = false
    await fleet.settle(stored)
    chai.expect(summary(await fleet.claim(1, req))).to.have.length(20_000)
  })

  it('keeps a busy page below the size limit of the store', async () => {
    const fleet = new ClaimFleet(1)
    const onePage = Array.from({ length: 8_000 }, (_, index) => fleet.req(`k${index}`))
      .filter((req) => shardOf(req) === 0)
    const done = onePage.slice(0, 100).map(async (req) => {
      const claim = (await fleet.entries[0]!.claim(req)).unwrap()
      if (claim.kind === 'granted') await claim.claim.complete(answer('x'.repeat(16_000)))
    })
    await fleet.settle(Promise.all(done))
    chai.expect(fleet.store.keys('claims/')).to.have.length(1)
    for (const page of fleet.store.keys('claims/')) chai.expect(fleet.store.peek(page)!.value.length).to.be.below(500_000)
  })

  it('writes once for the claims that arrive while a write is in flight', async () => {
    const fleet = new ClaimFleet(1)
    fleet.store.faults.delayMs = 10
    const page = Array.from({ length: 4_000 }, (_, index) => fleet.req(`k${index}`))
    const calls = page.map(async (req) => {
      const outcome = (await fleet.entries[0]!.claim(req)).unwrap()
      if (outcome.kind === 'granted') await outcome.claim.complete(answer('done'))
    })
    await fleet.settle(Promise.all(calls))
    chai.expect(fleet.store.calls.writes / calls.length).to.be.below(0.25)
  })
})

describe('ClaimSweeper', () => {
  it('deletes pages and their long answers after the retention, and no page before', async () => {
    const fleet = new ClaimFleet(1)
    const sweeper = new ClaimSweeper(fleet.time.env(1), fleet.store)
    await fleet.settle(sweeper.step())
    await fleet.settle((await fleet.granted(0, fleet.req('a'))).complete(answer('x'.repeat(20_000))))
    const start = fleet.time.now()
    while (fleet.store.keys('claim').filter((key) => key !== 'claims-swept').length > 0) {
      await fleet.time.advance(MINUTE_MS)
      await fleet.settle(sweeper.step())
      if (fleet.time.now() - start > 3 * RETENTION_MS) throw new Error('not deleted')
    }
    chai.expect(fleet.time.now() - start).to.be.above(RETENTION_MS)
  })

  it('goes on after a time in which nobody swept', async () => {
    const fleet = new ClaimFleet(1)
    await fleet.settle(new ClaimSweeper(fleet.time.env(1), fleet.store).step())
    await fleet.granted(0, fleet.req('a'))
    await fleet.time.advance(4 * RETENTION_MS)
    const sweeper = new ClaimSweeper(fleet.time.env(2), fleet.store)
    for (let step = 0; step < 150; step++) await fleet.settle(sweeper.step())
    chai.expect(fleet.store.keys('claims/')).to.deep.equal([])
  })
})
