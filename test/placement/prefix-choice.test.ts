import * as chai from 'chai'
import type * as calls from '../../src/call/index.js'
import * as placement from '../../src/placement/index.js'
import * as time from '../../src/time/index.js'
import * as build from '../support/gateway-builders.js'

const ROUTE = build.aRoute({ streaming: true, sloMs: 800, callerIdleTimeoutMs: 4_000 })

/** Mixed engines with a KV cache of 100,000 tokens, and links that carry 1,000 tokens in a ms. */
function setUp (engines = 3, gateways = 4) {
  const virtual = new time.VirtualTime()
  const fleet = build.aFleet(virtual, Array.from({ length: engines }, (_, index) => build.aTarget(`e${index}`, { stage: 'decode', slots: 64 })))
  const service = build.aService({ engine: { slots: 64, kvCapacityTokens: 100_000, kvTokenBytes: 1_000, kvLinkBytesPerMs: 1_000_000 } })
  const placer = new placement.EnginePlacer(fleet, virtual.env(1), 'd1', () => gateways)
  const aCall = (own = 2_000): calls.Call => build.aCall({ route: ROUTE, service, account: undefined, prompt: { promptTokens: 10_000 + own, outputTokens: 20, segments: [{ id: 's', tokens: 10_000 }, { id: 'own', tokens: own }] } })
  const [first, ...others] = fleet.ofService('s')
  return { virtual, fleet, placer, aCall, first: first!, others, states: fleet.ofService('s') }
}

describe('choice between cached prefixes and waiting', () => {
  it('uses the holder while it is idle, fetches from it while it is busy, and prefills where no engine has the segment', () => {
    const { placer, aCall, first } = setUp()
    chai.expect(placer.place(aCall(), new Set())!.prefix!.way).to.equal('prefilled')
    first.cache.applyReport('s', 10_000)
    const held = placer.place(aCall(), new Set())!
    chai.expect([held.target, held.prefix!.way, held.prefix!.prefillTokens]).to.deep.equal([first, 'held', 2_000])
    first.pendingPrefillTokens += 20_000
    const fetched = placer.place(aCall(), new Set())!
    chai.expect(fetched.target).not.to.equal(first)
    chai.expect([fetched.fetchFrom, fetched.prefix!.way, fetched.prefix!.fetchedTokens]).to.deep.equal([first, 'fetched', 10_000])
  })

  it('counts on a cached segment less the faster the engine evicts, and the longer the call waits', () => {
    const { placer, aCall, first } = setUp(1)
    first.cache.applyReport('s', 10_000)
    const expectedMs = (): number => placer.place(aCall(), new Set())!.prefix!.prefillMs
    const stayingMs = expectedMs()
    for (let index = 0; index < 40; index++) first.cache.applyReport(`other${index}`, 10_000)
    for (let index = 0; index < 32; index++) first.cache.applyReport(`other${index}`, 0, 0)
    const evictingMs = expectedMs()
    chai.expect(evictingMs).to.be.above(stayingMs * 1.2)
    first.pendingPrefillTokens += 60_000
    chai.expect(expectedMs()).to.be.above(evictingMs * 1.2)
  })

  it('does not displace what a full cache holds for a call that need not wait long at the holder', () => {
    const { placer, aCall, first, others } = setUp()
    first.cache.applyReport('s', 10_000)
    first.pendingPrefillTokens += 1_200
    chai.expect(placer.place(aCall(), new Set())!.prefix!.way).to.equal('fetched')
    for (const state of others) state.cache.applyReport('full', 95_000)
    chai.expect(placer.place(aCall(), new Set())!.prefix!.way).to.equal('held')
  })

  it('copies a segment that many calls use while its holders are busy, up to a number of copies', async () => {
    const { virtual, placer, aCall, first, states } = setUp(12)
    first.cache.applyReport('s', 10_000)
    for (const state of states) state.cache.applyReport('full', 95_000)
    first.pendingPrefillTokens += 1_200
    chai.expect(placer.place(aCall(), new Set())!.prefix!.copiesAhead, 'a single use').to.equal(false)
    for (let use = 0; use < 40; use++) placer.place(aCall(), new Set())
    const chosen = placer.place(aCall(), new Set())!
    chai.expect([chosen.target === first, chosen.prefix!.copiesAhead]).to.deep.equal([false, true])
    for (const state of states.slice(0, 6)) {
      state.cache.applyReport('s', 10_000)
      state.pendingPrefillTokens += 1_200
    }
    chai.expect(placer.place(aCall(), new Set())!.prefix!.copiesAhead, 'enough copies').to.equal(false)
    await virtual.advance(60_000)
    for (const state of states.slice(1)) state.cache.applyReport('s', 0)
    chai.expect(placer.place(aCall(), new Set())!.prefix!.copiesAhead, 'not used any more').to.equal(false)
  })
})
