import * as chai from 'chai'
import type * as calls from '../../src/call/index.js'
import * as placement from '../../src/placement/index.js'
import * as time from '../../src/time/index.js'
import * as build from '../support/gateway-builders.js'

const ENGINE = build.aService({ engine: { slots: 128, kvCapacityTokens: 1_000_000 } })
const ROUTE = build.aRoute({ streaming: true, sloMs: 300, callerIdleTimeoutMs: 2_000 })

function aModelCall (sharedSegment: string, ownSegment: string, tokens = 3_000, priority = 1): calls.Call {
  const segments = [{ id: sharedSegment, tokens: 10_000 }, { id: ownSegment, tokens }]
  return build.aCall({ route: ROUTE, service: ENGINE, priority, prompt: { promptTokens: 10_000 + tokens, outputTokens: 50, segments } })
}

/** Engines whose links carry the KV cache of this many tokens in a ms. */
function linkedEngines (tokensPerMs: number) {
  return build.aService({ engine: { slots: 128, kvCapacityTokens: 1_000_000, kvTokenBytes: 1_000, kvLinkBytesPerMs: tokensPerMs * 1_000 } })
}

function setUp () {
  const virtual = new time.VirtualTime()
  const records = [
    build.aTarget('p1', { stage: 'prefill' }), build.aTarget('p2', { stage: 'prefill', domain: 'd2' }),
    build.aTarget('e1', { stage: 'decode' }), build.aTarget('e2', { stage: 'decode', domain: 'd2' })
  ]
  const fleet = build.aFleet(virtual, records)
  const placer = new placement.EnginePlacer(fleet, virtual.env(1), 'd1', () => 4)
  const state = (id: string) => fleet.ofService('s').find((candidate) => candidate.record.id === id)!
  return { virtual, fleet, placer, state }
}

describe('EnginePlacer', () => {
  it('prefills a shared segment where it is cached', () => {
    const { placer, state } = setUp()
    for (const id of ['p1', 'p2', 'e1', 'e2']) {
      const call = aModelCall(`shared-${id}`, 'own')
      state(id).cache.applyReport(`shared-${id}`, 10_000)
      const chosen = placer.place(call, new Set())!
      chai.expect((chosen.prefillTarget ?? chosen.target).record.id).to.equal(id)
    }
  })

  it('avoids the target that has a segment cached when its backlog costs more than to prefill the segment again', () => {
    const { placer, state } = setUp()
    state('p1').cache.applyReport('s', 10_000)
    state('p1').pendingPrefillTokens += 200_000
    const chosen = placer.place(aModelCall('s', 'own'), new Set())!
    chai.expect((chosen.prefillTarget ?? chosen.target).record.id).not.to.equal('p1')
  })

  it('fetches a shared segment from the engine that has it cached, rather than wait there or prefill it again', () => {
    const { placer, state } = setUp()
    state('p1').cache.applyReport('s', 10_000)
    state('p1').pendingPrefillTokens += 30_000
    const chosen = placer.place({ ...aModelCall('s', 'own'), service: linkedEngines(1_000) }, new Set())!
    chai.expect([chosen.prefillTarget?.record.id, chosen.fetchFrom?.record.id, chosen.prefillTokens]).to.deep.equal(['p2', 'p1', 3_000])
  })

  it('prefills a shared segment again where the links are slower than the engine', () => {
    const { placer, state } = setUp()
    state('p1').cache.applyReport('s', 10_000)
    state('p1').pendingPrefillTokens += 200_000
    const chosen = placer.place({ ...aModelCall('s', 'own'), service: linkedEngines(5) }, new Set())!
    chai.expect((chosen.prefillTarget ?? chosen.target).record.id).not.to.equal('p1')
    chai.expect(chosen.fetchFrom).to.equal(undefined)
  })

  it('fetches from a leaving engine, which gets no calls itself', () => {
    const { fleet, placer, state } = setUp()
    state('p1').cache.applyReport('s', 10_000)
    fleet.apply(['p1', 'p2', 'e1', 'e2'].map((id) => ({ ...state(id).record, leaving: id === 'p1' })))
    const chosen = placer.place({ ...aModelCall('s', 'own'), service: linkedEngines(1_000) }, new Set())!
    chai.expect([chosen.prefillTarget?.record.id, chosen.fetchFrom?.record.id]).to.deep.equal(['p2', 'p1'])
  })

  it('counts what calls ahead are prefilling as cached for the calls behind them', () => {
    const { placer, state } = setUp()
    const first = aModelCall('s', 'own')
    const chosen = placer.place(first, new Set())!
    const engine = chosen.prefillTarget ?? chosen.target
    engine.cache.addPending(first.prompt!)
    const second = aModelCall('s', 'other')
    chai.expect(engine.cache.tokensCachedOnArrival(second.prompt!)).to.equal(10_000)
    engine.cache.removePending(first.prompt!)
    chai.expect(engine.cache.tokensCachedOnArrival(second.prompt!)).to.equal(0)
    chai.expect(state('e1').cache.tokensCachedOnArrival(second.prompt!)).to.equal(0)
  })

  it('defers a call that cannot meet its objective, and sends one that can under its own priority', () => {
    const { placer, state } = setUp()
    chai.expect(placer.place(aModelCall('s', 'own'), new Set())!.priority).to.equal(1)
    for (const id of ['p1', 'p2', 'e1', 'e2']) state(id).pendingPrefillTokens += 100_000
    chai.expect(placer.place(aModelCall('s', 'own'), new Set())!.priority).to.equal(6)
    // Engines prefill in order of arrival, so a more urgent call waits as well.
    chai.expect(placer.place(aModelCall('s', 'own', 1_000, 0), new Set())!.priority).to.equal(5)
    state('e2').pendingPrefillTokens = 0
    const chosen = placer.place(aModelCall('s', 'own', 1_000, 0), new Set())!
    chai.expect([chosen.target.record.id, chosen.prefillTarget, chosen.priority]).to.deep.equal(['e2', undefined, 0])
  })

  it('uses no prefill target whose last KV transfer failed just now, and no leaving target', () => {
    const { fleet, placer, state } = setUp()
    state('p1').kvTransferFailedAt = 0
    state('p2').kvTransferFailedAt = 0
    chai.expect(placer.place(aModelCall('s', 'own'), new Set())!.prefillTarget).to.equal(undefined)
    fleet.apply([build.aTarget('e1', { stage: 'decode', leaving: true }), build.aTarget('e2', { stage: 'decode' })])
    chai.expect(placer.place(aModelCall('s', 'own'), new Set())!.target.record.id).to.equal('e2')
  })

  it('defers calls of an account that exceeds its share while engines are busy, and only then', async () => {
    const { virtual, placer, state } = setUp()
    const callOf = (account: string): calls.Call => ({ ...aModelCall('s', 'own'), account, arrivedAt: virtual.now() })
    for (let index = 0; index < 9; index++) placer.place(callOf('large'), new Set())
    for (const account of ['a', 'b', 'c']) placer.place(callOf(account), new Set())
    chai.expect(placer.place(callOf('large'), new Set())!.priority).to.equal(1)
    await virtual.advance(200)
    for (const id of ['p1', 'p2']) state(id).pendingPrefillTokens += 15_000
    for (const id of ['e1', 'e2']) state(id).pendingPrefillTokens += 100_000
    for (const id of ['p1', 'p2']) state(id).cache.applyReport('s', 10_000)
    state('e1').pendingPrefillTokens -= 99_000
    const priorities = [callOf('large'), callOf('a')].map((call) => placer.place(call, new Set())!.priority)
    chai.expect(priorities).to.deep.equal([6, 1])
  })

  it('sends a call where its KV cache fits beside that of the calls in flight, of all gateways; anywhere when it fits nowhere', () => {
    const { fleet, placer, state } = setUp()
    const chosenIds = (): string[] => Array.from({ length: 8 }, () => placer.place(aModelCall('s', 'own'), new Set())!).flatMap(({ target, prefillTarget }) => [target, ...prefillTarget === undefined ? [] : [prefillTarget]]).map(({ record }) => record.id)
    const large = { promptTokens: 995_000, outputTokens: 50, segments: [{ id: 'x', tokens: 995_000 }] }
    state('p1').held.hold(large)
    state('e2').held.hold(large)
    fleet.peerLoad.apply({ gateway: 'g2', incarnation: '1', kind: 'fellow' }, { complete: true, rows: [['p2', 1, 0]], further: [[990_000]] })
    chai.expect(new Set(chosenIds())).to.deep.equal(new Set(['e1']))
    state('e1').held.hold(large)
    chai.expect(chosenIds()).to.include('p1')
    for (const id of ['p1', 'e1', 'e2']) state(id).held.release(large)
    chai.expect(chosenIds()).not.to.include('p2')
    chai.expect(state('e1').heldTokens()).to.equal(0)
  })

  it('finds the only idle engine of a large fleet, whatever the affinity target, before it defers a call', () => {
    const virtual = new time.VirtualTime()
    const fleet = build.aFleet(virtual, Array.from({ length: 60 }, (_, index) => build.aTarget(`e${index}`, { stage: 'decode' })))
    for (const state of fleet.ofService('s')) if (state.record.id !== 'e30') state.pendingPrefillTokens += 100_000
    const placer = new placement.EnginePlacer(fleet, virtual.env(1), 'd1', () => 4)
    for (let segment = 0; segment < 20; segment++) {
      const chosen = placer.place(aModelCall(`s${segment}`, 'own', 100), new Set())!
      chai.expect([chosen.target.record.id, chosen.priority]).to.deep.equal(['e30', 1])
    }
  })

  it('finds the same affinity target for a segment at every gateway', () => {
    const affinityTargets = [1, 2, 3].map(() => {
      const { placer } = setUp()
      const chosen = placer.place(aModelCall('part', 'own'), new Set())!
      return (chosen.prefillTarget ?? chosen.target).record.id
    })
    chai.expect(new Set(affinityTargets).size).to.equal(1)
  })
})

describe('PlainPlacer', () => {
  it('sends a target no more calls than this gateway may have of the connections that the target accepts', () => {
    const virtual = new time.VirtualTime()
    const fleet = build.aFleet(virtual, [build.aTarget('a')])
    const placer = new placement.PlainPlacer(fleet, virtual.env(1), 'd1', () => 4)
    const call = build.aCall({ service: build.aService({ maxConnections: 100 }) })
    fleet.ofService('s')[0]!.running = 19
    chai.expect(placer.place(call, new Set())).not.to.equal(undefined)
    fleet.ofService('s')[0]!.running = 20
    chai.expect(placer.place(call, new Set())).to.equal(undefined)
  })

  it('avoids a target on which work takes longer at the moment, until the report is old', async () => {
    const virtual = new time.VirtualTime()
    const fleet = build.aFleet(virtual, [build.aTarget('a'), build.aTarget('b')])
    const placer = new placement.PlainPlacer(fleet, virtual.env(1), 'd1', () => 4)
    const [a, b] = fleet.ofService('s')
    a!.applyReportedLoad({ running: 1, waiting: 0, slots: 4, workFactor: 2.5 }, 0)
    b!.running = 1
    const chosen = Array.from({ length: 20 }, () => placer.place(build.aCall(), new Set())!)
    chai.expect(chosen.every(({ target }) => target === b)).to.equal(true)
    await virtual.advance(3_000)
    chai.expect(placer.place(build.aCall(), new Set())!.target).to.equal(a)
  })

  it('prefers the idle target, but avoids one that looks idle because it fails part of its calls', () => {
    const virtual = new time.VirtualTime()
    const fleet = build.aFleet(virtual, [build.aTarget('a'), build.aTarget('b')])
    const placer = new placement.PlainPlacer(fleet, virtual.env(1), 'd1', () => 4)
    const [a, b] = fleet.ofService('s')
    a!.running = 3
    chai.expect(placer.place(build.aCall(), new Set())!.target).to.equal(b)
    for (let index = 0; index < 6; index++) b!.failures.record(index % 2 === 0 ? 'broken' : 'ok', 0, 0)
    chai.expect(placer.place(build.aCall(), new Set())!.target).to.equal(a)
  })
})
