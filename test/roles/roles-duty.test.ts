import * as chai from 'chai'
import { RolesDuty, type ServiceEngine } from '../../src/daemon/duties.js'
import { Metrics } from '../../src/metrics/index.js'
import { EngineSender, LoadSlots } from '../../src/orders/index.js'
import type { EngineState, Intent } from '../../src/schema/index.js'
import { DEFAULT_ENGINE, MemoryPlatform, StandinEngine } from '../../src/standin/index.js'
import { VirtualTime } from '../../src/time/index.js'
import { DirectRunner, FakeHandle, SILENT_LOG } from '../usage/harness.js'

const CONTENDED = { prefillRate: 20_000, decodeRate: 400, tokenMs: 20, interference: 4, prefillSlowdown: 1.3, itlMs: 48, ttftMs: 390 }

/** Six stand-in engines whose states are polled every 200 ms, and a roles duty. */
class RolesWorld {
  readonly time = new VirtualTime()
  readonly engines = [1, 2, 3, 4, 5, 6].map((index) => new StandinEngine({ ...DEFAULT_ENGINE, name: `e${index}` }, this.time, this.time))
  readonly work = { prefillTokens: 0, decodeTokens: 0, promptSquares: 0 }
  permitted = true
  private readonly states = new Map<string, EngineState>()
  private readonly platform = new MemoryPlatform(this.time.env(1))

  constructor () {
    this.time.every(200, () => {
      for (const engine of this.engines) engine.state().then((state) => { if (state.ok) this.states.set(engine.spec.name, state.val) }, () => {})
    })
    this.time.every(1_000, () => {
      this.work.prefillTokens += 40_000
      this.work.decodeTokens += 700
      this.work.promptSquares += 40_000 * 2_500
    })
  }

  startHolder (fence: number, intents: readonly Intent[] = []): FakeHandle {
    const handle = new FakeHandle(fence, intents, 'r/roles/s')
    const sender = new EngineSender({
      engineOf: (target) => ({ engine: this.engines.find((engine) => engine.spec.name === target)!, checksFence: true }),
      slots: new LoadSlots({ clock: this.time, store: this.platform.store, metrics: new Metrics() }, 'r'),
      hasWaitingRequests: () => false
    })
    const duty = new RolesDuty({
      clock: this.time,
      log: SILENT_LOG,
      metrics: new Metrics(),
      model: CONTENDED,
      roleChangeMs: 8_000,
      minFleet: 3,
      runner: new DirectRunner(sender),
      view: { engines: () => this.view(), work: () => ({ ...this.work }), roleChangesPermitted: () => this.permitted }
    })
    this.time.every(1_000, () => { if (handle.running) duty.tick(handle).catch((err: unknown) => { throw err }) })
    return handle
  }

  orders (kind: string): Array<{ readonly target: string, readonly id: string, readonly at: number }> {
    return this.engines.flatMap((engine) => engine.receivedOrders.filter(({ order, id }, index) => (
      order.kind === kind && engine.receivedOrders.findIndex((other) => other.id === id) === index
    )).map(({ id, at }) => ({ target: engine.spec.name, id, at })))
  }

  private view (): ServiceEngine[] {
    return [...this.states].map(([target, state]) => ({
      target, role: state.role, available: true, changing: state.draining || state.active_order !== '', running: state.running, draining: state.draining, lastOrder: state.last_order
    }))
  }
}

describe('RolesDuty', () => {
  it('drains an engine and waits for its requests before it orders the role', async () => {
    const world = new RolesWorld()
    const ends: number[] = []
    for (const engine of world.engines) {
      engine.generate({ id: engine.spec.name, model: 'inspect-llm', prompt: 'x', maxTokens: 1_500, priority: 5, seed: 1, from: 0 }, () => {}, new AbortController().signal)
        .then((end) => { if (end.ok) ends.push(world.time.now()) }, () => {})
    }
    world.startHolder(1)
    await world.time.advanceUntil(() => world.orders('role').length > 0, 120_000)
    chai.expect(ends.length).to.equal(6)
    chai.expect(world.orders('drain')[0]!.at).to.be.below(Math.min(...ends))
    chai.expect(world.orders('drain')[0]!.target).to.equal(world.orders('role')[0]!.target)
  })

  it('changes one engine at a time, and a successor completes the change of its predecessor', async () => {
    const world = new RolesWorld()
    const first = world.startHolder(1)
    await world.time.advanceUntil(() => world.orders('drain').length > 0, 60_000)
    first.mayActNow = first.running = false
    world.startHolder(2, first.intents())
    await world.time.advance(60_000)
    const changes = world.orders('role').sort((a, b) => a.at - b.at)
    chai.expect(changes.length).to.be.at.least(2)
    chai.expect(changes[0]!.target).to.equal(world.orders('drain').sort((a, b) => a.at - b.at)[0]!.target)
    for (const [index, { at }] of changes.entries()) if (index > 0) chai.expect(at - changes[index - 1]!.at).to.be.at.least(DEFAULT_ENGINE.changeMs)
  })

  it('changes no engine that an operator drains, and none while the profile forbids role changes', async () => {
    const world = new RolesWorld()
    world.permitted = false
    await world.engines[0]!.order('operator#1', 0, { kind: 'drain' })
    world.startHolder(1)
    await world.time.advance(60_000)
    chai.expect(world.orders('role')).to.deep.equal([])
    world.permitted = true
    await world.time.advance(60_000)
    chai.expect(world.orders('role').filter(({ target }) => target === 'e1')).to.deep.equal([])
    chai.expect(world.orders('role').length).to.be.at.least(1)
  })
})
