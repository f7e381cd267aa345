import * as chai from 'chai'
import type * as calls from '../../src/call/index.js'
import * as placement from '../../src/placement/index.js'
import * as time from '../../src/time/index.js'
import * as build from '../support/gateway-builders.js'

const ENGINE = build.aService({ engine: { slots: 128, kvCapacityTokens: 1_000_000 } })
const ROUTE = build.aRoute({ streaming: true, sloMs: 300, callerIdleTimeoutMs: 2_000 })

function aModelCall (shared: string, own: string, tokens = 3_000, priority = 1): calls.Call {
  const segments = [{ id: shared, tokens: 10_000 }, { id: own, tokens }]
  return build.aCall({ route: ROUTE, service: ENGINE, priority, prompt: { promptTokens: 10_000 + tokens, outputTokens: 50, segments } })
}

function setUp () {
  const virtual = new time.VirtualTime()
  const records = [
    build.aTarget('p1', { stage: 'prefill' }), build.aTarget('p2', { stage: 'prefill', domain: 'd2' }),
    build.aTarget('e1', { stage: 'decode' }), build.aTarget('e2', { stage: 'decode', domain: 'd2' })
  ]
  const fleet = build.aFleet(virtual, records)
  const placer = new placement.EnginePlacer(fleet, virtual.env(1), 'd1', () => 4)
  const state = (id: string) => fleet.ofService('s').find((one) => one.record.id === id)!
  return { virtual, fleet, placer, state }
}

describe('EnginePlacer', () => {
  it('reads a shared part where it is kept', () => {
    const { placer, state } = setUp()
    for (const id of ['p1', 'p2', 'e1', 'e2']) {
      const call = aModelCall(`shared-${id}`, 'own')
      state(id).cache.applyReport(`shared-${id}`, 10_000)
      const placed = placer.place(call, new Set())!
      chai.expect((placed.prefillTarget ?? placed.target).record.id).to.equal(id)
    }
  })

  it('leaves the home of a part when its backlog costs more than to read the part again', () => {
    const { placer, state } = setUp()
    state('p1').cache.applyReport('s', 10_000)
    state('p1').prefillBacklog.add(0, 200_000)
    const placed = placer.place(aModelCall('s', 'own'), new Set())!
    chai.expect((placed.prefillTarget ?? placed.target).record.id).not.to.equal('p1')
  })

  it('sends a call that cannot be in time under a later rank, and one that can under its own', () => {
    const { placer, state } = setUp()
    chai.expect(placer.place(aModelCall('s', 'own'), new Set())!.priority).to.equal(1)
    for (const id of ['p1', 'p2', 'e1', 'e2']) state(id).prefillBacklog.add(1, 100_000)
    chai.expect(placer.place(aModelCall('s', 'own'), new Set())!.priority).to.equal(6)
    chai.expect(placer.place(aModelCall('s', 'own', 1_000, 0), new Set())!.priority).to.equal(0)
  })

  it('takes no reader whose last hand-over failed just now, and no target that is leaving', () => {
    const { fleet, placer, state } = setUp()
    state('p1').kvTransferFailedAt = 0
    state('p2').kvTransferFailedAt = 0
    chai.expect(placer.place(aModelCall('s', 'own'), new Set())!.prefillTarget).to.equal(undefined)
    fleet.apply([build.aTarget('e1', { stage: 'decode', leaving: true }), build.aTarget('e2', { stage: 'decode' })])
    chai.expect(placer.place(aModelCall('s', 'own'), new Set())!.target.record.id).to.equal('e2')
  })

  it('lets an account that presses wait behind the others while engines are busy, and only then', async () => {
    const { virtual, placer, state } = setUp()
    const of = (account: string): calls.Call => ({ ...aModelCall('s', 'own'), account, arrivedAt: virtual.now() })
    for (let turn = 0; turn < 9; turn++) placer.place(of('large'), new Set())
    for (const account of ['a', 'b', 'c']) placer.place(of(account), new Set())
    chai.expect(placer.place(of('large'), new Set())!.priority).to.equal(1)
    await virtual.advance(200)
    for (const id of ['p1', 'p2']) state(id).prefillBacklog.add(1, 15_000)
    for (const id of ['e1', 'e2']) state(id).prefillBacklog.add(1, 100_000)
    for (const id of ['p1', 'p2']) state(id).cache.applyReport('s', 10_000)
    state('e1').prefillBacklog.add(1, -95_000)
    const ranks = [of('large'), of('a')].map((call) => placer.place(call, new Set())!.priority)
    chai.expect(ranks).to.deep.equal([6, 1])
  })

  it('finds the one idle engine of a large fleet, wherever the homes of a part are, before it gives a call a later rank', () => {
    const virtual = new time.VirtualTime()
    const fleet = build.aFleet(virtual, Array.from({ length: 60 }, (_, index) => build.aTarget(`e${index}`, { stage: 'decode' })))
    for (const state of fleet.ofService('s')) if (state.record.id !== 'e30') state.prefillBacklog.add(0, 100_000)
    const placer = new placement.EnginePlacer(fleet, virtual.env(1), 'd1', () => 4)
    for (let part = 0; part < 20; part++) {
      const placed = placer.place(aModelCall(`s${part}`, 'own', 100), new Set())!
      chai.expect([placed.target.record.id, placed.priority]).to.deep.equal(['e30', 1])
    }
  })

  it('finds the same home for a part at every gateway', () => {
    const homes = [1, 2, 3].map(() => {
      const { placer } = setUp()
      const placed = placer.place(aModelCall('part', 'own'), new Set())!
      return (placed.prefillTarget ?? placed.target).record.id
    })
    chai.expect(new Set(homes).size).to.equal(1)
  })
})

describe('PlainPlacer', () => {
  it('puts no more calls on a target than its share of the connections that the target accepts', () => {
    const virtual = new time.VirtualTime()
    const fleet = build.aFleet(virtual, [build.aTarget('a')])
    const placer = new placement.PlainPlacer(fleet, virtual.env(1), 'd1', () => 4)
    const call = build.aCall({ service: build.aService({ maxConnections: 100 }) })
    fleet.ofService('s')[0]!.running = 19
    chai.expect(placer.place(call, new Set())).not.to.equal(undefined)
    fleet.ofService('s')[0]!.running = 20
    chai.expect(placer.place(call, new Set())).to.equal(undefined)
  })

  it('prefers the idle target, and avoids one that fails part of its calls though it looks idle', () => {
    const virtual = new time.VirtualTime()
    const fleet = build.aFleet(virtual, [build.aTarget('a'), build.aTarget('b')])
    const placer = new placement.PlainPlacer(fleet, virtual.env(1), 'd1', () => 4)
    const [a, b] = fleet.ofService('s')
    a!.running = 3
    chai.expect(placer.place(build.aCall(), new Set())!.target).to.equal(b)
    for (let turn = 0; turn < 6; turn++) b!.failures.record(turn % 2 === 0 ? 'broken' : 'ok', 0, 0)
    chai.expect(placer.place(build.aCall(), new Set())!.target).to.equal(a)
  })
})
