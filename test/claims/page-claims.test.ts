import * as chai from 'chai'
import { ClaimSweeper, MAX_AHEAD_MS, RETENTION_MS, SHARDS_PER_MINUTE, type ClaimReq } from '../../src/claims/index.js'
import { hash32 } from '../../src/hash/index.js'
import { textResponse, ClaimFleet, summarize } from './claim-fleet.js'

const MINUTE_MS = 60_000

function shardOf (req: ClaimReq): number {
  return hash32(`${req.service}/${req.account}/${req.key}`) % SHARDS_PER_MINUTE
}

describe('PageClaims', () => {
  it('gives a retry at another entry the stored response, bytes unchanged', async () => {
    const fleet = new ClaimFleet(2)
    const req = fleet.req('a')
    const body = new Uint8Array([0, 255, 128, 10])
    await fleet.advanceUntilSettled((await fleet.claimGranted(0, req)).complete({ ...textResponse(''), body }))
    fleet.dead.add(0)
    const outcome = (await fleet.claim(1, req)).unwrap()
    chai.expect(outcome.kind === 'answered' && [...outcome.response.body]).to.deep.equal([0, 255, 128, 10])
  })

  it('never grants a call again when its entry terminated after the claim, since the call may have been sent', async () => {
    const fleet = new ClaimFleet(2)
    const req = fleet.req('a')
    await fleet.claimGranted(0, req)
    fleet.dead.add(0)
    chai.expect(summarize(await fleet.claim(1, req))).to.equal('outcome_unknown/maybe')
  })

  it('refuses a retry when the sending entry does not know the outcome', async () => {
    const fleet = new ClaimFleet(2)
    const req = fleet.req('a');
    (await fleet.claimGranted(0, req)).markUnknown()
    chai.expect(summarize(await fleet.claim(0, req))).to.equal('outcome_unknown/maybe')
    chai.expect(summarize(await fleet.claim(1, req))).to.equal('outcome_unknown/maybe')
  })

  it('recognizes its own claim after the reply to its write was lost', async () => {
    const fleet = new ClaimFleet(2)
    fleet.store.faults.loseReplies = 1
    const req = fleet.req('a')
    chai.expect(summarize(await fleet.claim(0, req))).to.equal('granted')
    chai.expect(fleet.retries).to.include('store_reply_lost')
    fleet.dead.add(0)
    chai.expect(summarize(await fleet.claim(1, req))).to.equal('outcome_unknown/maybe')
  })

  for (const entry of [0, 1]) {
    it(`lets entry ${entry} replace a claim that was not confirmed in time and therefore never sent`, async () => {
      const fleet = new ClaimFleet(2)
      fleet.store.faults.loseReplies = 1
      fleet.time.after(3.5, () => { fleet.store.faults.down = true })
      const req = fleet.req('a', { remainingMs: 500 })
      chai.expect(summarize(await fleet.claim(0, req))).to.equal('claim_store_unavailable/no')
      chai.expect(fleet.store.keys('claims/')).to.have.length(1)
      fleet.store.faults.down = false
      const retry = { ...req, deadlineAt: fleet.time.now() + 5_000 }
      const outcomes = await fleet.advanceUntilSettled(Promise.all([fleet.entries[entry]!.claim(retry), fleet.entries[1 - entry]!.claim({ ...retry, deadlineAt: retry.deadlineAt - 3_000 })]))
      chai.expect(outcomes.filter((outcome) => summarize(outcome) === 'granted')).to.have.length(1)
    })
  }

  it('refuses with ran `no` within a second when the store is down', async () => {
    const fleet = new ClaimFleet(1)
    fleet.store.faults.down = true
    chai.expect(summarize(await fleet.claim(0, fleet.req('a')))).to.equal('claim_store_unavailable/no')
    chai.expect(fleet.time.now()).to.be.below(1_000)
  })

  it('serves retries from memory while the store is down, and stores the response later', async () => {
    const fleet = new ClaimFleet(2)
    const req = fleet.req('a')
    const claim = await fleet.claimGranted(0, req)
    fleet.store.faults.down = true
    const storing = claim.complete(textResponse('done'))
    await fleet.time.advance(5_000)
    chai.expect(summarize(await fleet.claim(0, req))).to.equal('done')
    fleet.store.faults.down = false
    chai.expect(summarize(await fleet.claim(1, { ...req, deadlineAt: fleet.time.now() + 5_000 }))).to.equal('done')
    await fleet.advanceUntilSettled(storing)
    fleet.dead.add(0)
    chai.expect(summarize(await fleet.claim(1, { ...req, deadlineAt: fleet.time.now() + 5_000 }))).to.equal('done')
  })

  it('grants a key that is used at two entries at the same time to one of them; the other waits for the response', async () => {
    const fleet = new ClaimFleet(2)
    const req = fleet.req('a')
    const outcomes = [0, 1].map(async (entry) => {
      const outcome = await fleet.entries[entry]!.claim(req)
      if (outcome.err || outcome.val.kind === 'answered') return summarize(outcome)
      await new Promise<void>((resolve) => { fleet.time.after(1_000, resolve) })
      await outcome.val.claim.complete(textResponse('done'))
      return 'granted'
    })
    chai.expect((await fleet.advanceUntilSettled(Promise.all(outcomes))).sort()).to.deep.equal(['done', 'granted'])
  })

  it('grants a call again after it was abandoned unsent', async () => {
    const fleet = new ClaimFleet(2)
    const req = fleet.req('a')
    const abandoned = (await fleet.claimGranted(0, req)).abandon()
    chai.expect(summarize(await fleet.claim(1, req))).to.equal('granted')
    await fleet.advanceUntilSettled(abandoned)
    chai.expect(summarize(await fleet.claim(0, { ...req, deadlineAt: fleet.time.now() + 500 }))).to.equal('claim_in_progress/maybe')
  })

  it('refuses another request with the same key, while the first is running and afterwards', async () => {
    const fleet = new ClaimFleet(2)
    const req = fleet.req('a')
    const claim = await fleet.claimGranted(0, req)
    for (const entry of [0, 1]) chai.expect(summarize(await fleet.claim(entry, { ...req, request: 'other' }))).to.equal('idempotency_key_reused/no')
    await fleet.advanceUntilSettled(claim.complete(textResponse('done')))
    for (const entry of [0, 1]) chai.expect(summarize(await fleet.claim(entry, { ...req, request: 'other' }))).to.equal('idempotency_key_reused/no')
  })

  it('does not grant a call twice because of a stale read of its page', async () => {
    const fleet = new ClaimFleet(2)
    const req = fleet.req('a')
    fleet.store.setReadsStale(true)
    await fleet.claimGranted(0, req)
    fleet.dead.add(0)
    chai.expect(summarize(await fleet.claim(1, req))).to.equal('outcome_unknown/maybe')
  })

  it('stores a response although its page was evicted from memory and reads are stale', async () => {
    const fleet = new ClaimFleet(2)
    fleet.store.setReadsStale(true)
    const req = fleet.req('a')
    const claim = await fleet.claimGranted(0, req)
    const others = Array.from({ length: 200 }, (_, index) => fleet.req(`other-${index}`)).filter((other) => shardOf(other) !== shardOf(req))
    for (const other of others) await fleet.claimGranted(0, other).then((otherClaim) => otherClaim.markUnknown())
    await fleet.advanceUntilSettled(claim.complete(textResponse('done')))
    fleet.store.setReadsStale(false)
    fleet.dead.add(0)
    chai.expect(summarize(await fleet.claim(1, { ...req, deadlineAt: fleet.time.now() + 1_000 }))).to.equal('done')
  })

  it('refuses keys that are malformed, expired or ahead of the wall clock', async () => {
    const fleet = new ClaimFleet(1)
    const wallTimeMs = Math.floor(fleet.time.wallTimeMs())
    const summaryOfKey = async (key: string): Promise<string> => summarize(await fleet.claim(0, { ...fleet.req('a'), key }))
    chai.expect(await summaryOfKey('x')).to.equal('idempotency_key_invalid/no')
    chai.expect(await summaryOfKey(`${wallTimeMs - RETENTION_MS - 1_000}-x`)).to.equal('idempotency_key_expired/no')
    chai.expect(await summaryOfKey(`${wallTimeMs + MAX_AHEAD_MS + 1_000}-x`)).to.equal('idempotency_key_invalid/no')
    const hex = wallTimeMs.toString(16).padStart(12, '0')
    chai.expect(await summaryOfKey(`${hex.slice(0, 8)}-${hex.slice(8)}-7abc-8abc-0123456789ab`)).to.equal('granted')
    chai.expect(await summaryOfKey(`${hex.slice(0, 8)}-${hex.slice(8)}-4abc-8abc-0123456789ab`)).to.equal('idempotency_key_invalid/no')
  })

  it('stores responses of up to 16 KiB in the row, up to 1 MB in an object, and only the digest of longer ones', async () => {
    const fleet = new ClaimFleet(2)
    const retryOfSize = async (size: number): Promise<string> => {
      const req = fleet.req(`size-${size}`)
      await fleet.advanceUntilSettled((await fleet.claimGranted(0, req)).complete(textResponse('x'.repeat(size))))
      return summarize(await fleet.claim(1, req))
    }
    chai.expect(await retryOfSize(16_000)).to.have.length(16_000)
    chai.expect(fleet.store.keys('claim-answers/')).to.have.length(0)
    chai.expect(await retryOfSize(900_000)).to.have.length(900_000)
    chai.expect(fleet.store.keys('claim-answers/')).to.have.length(1)
    chai.expect(await retryOfSize(1_200_000)).to.equal('outcome_unknown/yes')
  })

  it('stores a long response once the store is available again', async () => {
    const fleet = new ClaimFleet(2)
    const req = fleet.req('a')
    const claim = await fleet.claimGranted(0, req)
    fleet.store.faults.down = true
    const storing = claim.complete(textResponse('x'.repeat(20_000)))
    await fleet.time.advance(3_000)
    fleet.store.faults.down = false
    await fleet.advanceUntilSettled(storing)
    chai.expect(summarize(await fleet.claim(1, req))).to.have.length(20_000)
  })

  it('keeps a busy page below the size limit of the store', async () => {
    const fleet = new ClaimFleet(1)
    const onePage = Array.from({ length: 8_000 }, (_, index) => fleet.req(`k${index}`))
      .filter((req) => shardOf(req) === 0)
    const completed = onePage.slice(0, 100).map(async (req) => {
      const outcome = (await fleet.entries[0]!.claim(req)).unwrap()
      if (outcome.kind === 'granted') await outcome.claim.complete(textResponse('x'.repeat(16_000)))
    })
    await fleet.advanceUntilSettled(Promise.all(completed))
    chai.expect(fleet.store.keys('claims/')).to.have.length(1)
    for (const page of fleet.store.keys('claims/')) chai.expect(fleet.store.peek(page)!.value.length).to.be.below(500_000)
  })

  it('commits the claims that arrive while a write is in flight in one write', async () => {
    const fleet = new ClaimFleet(1)
    fleet.store.faults.delayMs = 10
    const page = Array.from({ length: 4_000 }, (_, index) => fleet.req(`k${index}`))
    const calls = page.map(async (req) => {
      const outcome = (await fleet.entries[0]!.claim(req)).unwrap()
      if (outcome.kind === 'granted') await outcome.claim.complete(textResponse('done'))
    })
    await fleet.advanceUntilSettled(Promise.all(calls))
    chai.expect(fleet.store.calls.writes / calls.length).to.be.below(0.25)
  })
})

describe('ClaimSweeper', () => {
  it('deletes pages and their long responses after the retention, and not before', async () => {
    const fleet = new ClaimFleet(1)
    const sweeper = new ClaimSweeper(fleet.time.env(1), fleet.store)
    await fleet.advanceUntilSettled(sweeper.step())
    await fleet.advanceUntilSettled((await fleet.claimGranted(0, fleet.req('a'))).complete(textResponse('x'.repeat(20_000))))
    const start = fleet.time.now()
    while (fleet.store.keys('claim').filter((key) => key !== 'claims-swept').length > 0) {
      await fleet.time.advance(MINUTE_MS)
      await fleet.advanceUntilSettled(sweeper.step())
      if (fleet.time.now() - start > 3 * RETENTION_MS) throw new Error('not deleted')
    }
    chai.expect(fleet.time.now() - start).to.be.above(RETENTION_MS)
  })

  it('catches up after a time without sweeps', async () => {
    const fleet = new ClaimFleet(1)
    await fleet.advanceUntilSettled(new ClaimSweeper(fleet.time.env(1), fleet.store).step())
    await fleet.claimGranted(0, fleet.req('a'))
    await fleet.time.advance(4 * RETENTION_MS)
    const sweeper = new ClaimSweeper(fleet.time.env(2), fleet.store)
    for (let step = 0; step < 150; step++) await fleet.advanceUntilSettled(sweeper.step())
    chai.expect(fleet.store.keys('claims/')).to.deep.equal([])
  })
})
