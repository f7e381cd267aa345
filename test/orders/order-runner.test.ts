import * as chai from 'chai'
import type { ScopeHandle, ScopeTask } from '../../src/authority/index.js'
import { Err } from '../../src/errors/index.js'
import { SILENT_LOGGER } from '../../src/log/index.js'
import { EngineSender, LoadSlots, OrderRunner, DELAYED_COPY_MS, type RoundOutcome } from '../../src/orders/index.js'
import type { EngineOrder, Intent } from '../../src/schema/index.js'
import { DEFAULT_ENGINE, MemoryStore, StandinEngine } from '../../src/standin/index.js'
import type { ReceivedOrder } from '../../src/standin/engine.js'
import type { Engine } from '../../src/target-clients/index.js'
import { VirtualTime } from '../../src/time/index.js'
import { TestProcess } from '../authority/process.js'

const SCOPE = 'great-lakes/roles/inspect-llm'
const PREFILL = engineBody({ kind: 'role', role: 'prefill' })
const DECODE = engineBody({ kind: 'role', role: 'decode' })

describe('OrderRunner', () => {
  it('stores an order, sends it, and closes it once the engine has executed it', async () => {
    const { world, a } = await newWorld(false)
    await world.untilSettled(a.runner.submit(a.handle, 'e1', PREFILL))
    chai.expect(await a.advanceFirst()).to.equal('waiting')
    await world.time.advance(6_000)
    chai.expect(await a.advanceFirst()).to.equal('closed')
    chai.expect((await world.engine.state()).unwrap().role).to.equal('prefill')
    chai.expect(a.handle.intents()).to.have.length(0)
  })

  it('sends nothing when the intent cannot be stored', async () => {
    const { world, a } = await newWorld(false)
    world.store.faults.down = true
    chai.expect((await world.untilSettled(a.runner.submit(a.handle, 'e1', PREFILL))).ok).to.equal(false)
    chai.expect(world.engine.receivedOrders).to.have.length(0)
  })

  it('sends nothing when the lease ends between storing and sending', async () => {
    const { world, a } = await newWorld(false)
    const intent = (await world.untilSettled(a.handle.open('e1', PREFILL))).unwrap()
    a.process.pause(20_000)
    await world.time.advance(20_001)
    chai.expect(await world.untilSettled(a.runner.advance(a.handle, intent))).to.equal('not_held')
    chai.expect(world.engine.receivedOrders).to.have.length(0)
  })

  it('sends nothing when the lease ends while a model load waits for its slot', async () => {
    const { world, a } = await newWorld(false)
    const load = engineBody({ kind: 'load', model: 'm', adapter: '', version: '' })
    const intent = (await world.untilSettled(a.handle.open('e1', load))).unwrap()
    world.store.faults.delayMs = 6_000
    await world.untilSettled(a.runner.advance(a.handle, intent))
    chai.expect(a.handle.mayAct()).to.equal(false)
    chai.expect(world.engine.receivedOrders).to.have.length(0)
  })

  it('sends no different order to an engine that ignores fencing tokens before there is evidence that a former holder has retired', async () => {
    const { world, a, releaseSends } = await deposedWhileSending(false)
    const b = await world.successor('b')
    await b.roundsFor(120_000)
    chai.expect(world.engine.receivedOrders.map((order) => order.id)).to.include(b.handle.intents()[0]?.id)
    chai.expect(b.runner.quarantined).to.deep.equal(['e1'])
    chai.expect((await world.untilSettled(b.runner.submit(b.handle, 'e1', DECODE))).ok).to.equal(false)
    chai.expect((await world.untilSettled(b.runner.withdraw(b.handle, b.handle.intents()[0]!))).ok).to.equal(false)
    releaseSends()
    await world.time.advance(10_000)
    world.retired.add(`${a.process.name}-1`)
    await b.roundsFor(2_000)
    chai.expect((await world.untilSettled(b.runner.submit(b.handle, 'e1', DECODE))).ok).to.equal(true)
    await b.roundsFor(8_000)
    chai.expect((await world.engine.state()).unwrap().role).to.equal('decode')
  })

  it('lets a successor continue at once when the engine rejects old fencing tokens, and the delayed order is rejected', async () => {
    const { world, releaseSends } = await deposedWhileSending(true)
    const b = await world.successor('b')
    await b.roundsFor(10_000)
    chai.expect(b.handle.intents()).to.have.length(0)
    chai.expect(world.engine.receivedOrders[0]?.fence).to.equal(b.handle.fence)
    chai.expect((await world.untilSettled(b.runner.submit(b.handle, 'e1', DECODE))).ok).to.equal(true)
    await b.roundsFor(8_000)
    releaseSends()
    await world.time.advance(10_000)
    chai.expect(world.engine.receivedOrders.at(-1)?.reply).to.equal('stale_fence')
    chai.expect((await world.engine.state()).unwrap().role).to.equal('decode')
  })

  it('does not close an inherited order before the engine has seen the new fencing token', async () => {
    const { world, a } = await newWorld(true)
    await world.untilSettled(a.runner.submit(a.handle, 'e1', PREFILL))
    await world.time.advance(6_000)
    a.process.pause(1e9)
    world.refuseSends = true
    const b = await world.successor('b')
    await b.roundsFor(3_000)
    chai.expect(b.handle.intents()).to.have.length(1)
    world.refuseSends = false
    await b.roundsFor(2_000)
    chai.expect(b.handle.intents()).to.have.length(0)
  })

  it('closes an inherited order although the reply to its first send was lost', async () => {
    const { world, a } = await newWorld(true)
    await world.untilSettled(a.runner.submit(a.handle, 'e1', PREFILL))
    a.process.pause(1e9)
    const b = await world.successor('b')
    world.breakSends = 1
    await b.roundsFor(DELAYED_COPY_MS + 12_000)
    chai.expect(b.handle.intents()).to.have.length(0)
  })

  it('does not close an order before every holder that had it open has retired', async () => {
    const { world, a } = await deposedWhileSending(false)
    const b = await world.successor('b')
    await b.roundsFor(1_000)
    b.process.pause(1e9)
    const c = await world.successor('c')
    world.retired.add(`${a.process.name}-1`)
    await c.roundsFor(90_000)
    chai.expect(c.runner.quarantined).to.deep.equal(['e1'])
    world.retired.add(`${b.process.name}-1`)
    await c.roundsFor(2_000)
    chai.expect(c.handle.intents()).to.have.length(0)
  })

  it('does not close an inherited order for 60 s, since a delayed copy from a broken connection of the former holder may still arrive', async () => {
    const { world, a } = await deposedWhileSending(false)
    world.retired.add(`${a.process.name}-1`)
    const b = await world.successor('b')
    await b.roundsFor(DELAYED_COPY_MS - 5_000)
    chai.expect(b.handle.intents()).to.have.length(1)
    await b.roundsFor(7_000)
    chai.expect(b.handle.intents()).to.have.length(0)
  })

  it('sends no different order for 60 s after a send whose connection broke', async () => {
    const { world, a } = await newWorld(false)
    world.breakSends = 1
    const intent = (await world.untilSettled(a.runner.submit(a.handle, 'e1', PREFILL))).unwrap()
    await a.roundsFor(DELAYED_COPY_MS - 2_000)
    chai.expect((await world.untilSettled(a.runner.withdraw(a.handle, intent))).ok).to.equal(false)
    chai.expect(a.handle.intents()).to.have.length(1)
    chai.expect(world.engine.receivedOrders.length).to.be.above(0)
    await a.roundsFor(5_000)
    chai.expect(a.handle.intents()).to.have.length(0)
    chai.expect(new Set(world.engine.receivedOrders.map((order) => order.id)).size).to.equal(1)
  })

  it('does not forget a broken send when the same process starts a new lease term', async () => {
    const { world, a } = await newWorld(false)
    world.breakSends = 1
    await world.untilSettled(a.runner.submit(a.handle, 'e1', PREFILL))
    await world.untilSettled(a.task[Symbol.asyncDispose]())
    const task = a.process.task(world.store, SCOPE)
    task.start()
    await world.time.advanceUntil(() => task.handle !== undefined, 30_000)
    const nextTerm = new Holder(world, a.process, task, task.handle!)
    await nextTerm.roundsFor(DELAYED_COPY_MS - 5_000)
    chai.expect(nextTerm.handle.intents()).to.have.length(1)
    await nextTerm.roundsFor(7_000)
    chai.expect(nextTerm.handle.intents()).to.have.length(0)
  })

  it('does not mistake a drained engine for one that already has the role', async () => {
    const { world, a } = await newWorld(false)
    await world.untilSettled(a.runner.submit(a.handle, 'e1', engineBody({ kind: 'drain' })))
    await a.roundsFor(1_000)
    world.refuseSends = true
    await world.untilSettled(a.runner.submit(a.handle, 'e1', engineBody({ kind: 'role', role: 'mixed' })))
    await a.roundsFor(2_000)
    chai.expect(a.handle.intents()).to.have.length(1)
    world.refuseSends = false
    await a.roundsFor(10_000)
    chai.expect((await world.engine.state()).unwrap().draining).to.equal(false)
  })

  it('completes the role change of an engine that crashed during it', async () => {
    const { world, a } = await newWorld(false)
    await world.untilSettled(a.runner.submit(a.handle, 'e1', PREFILL))
    await world.time.advance(1_000)
    world.replaceEngine()
    await a.roundsFor(15_000)
    chai.expect((await world.engine.state()).unwrap().role).to.equal('prefill')
    chai.expect(a.handle.intents()).to.have.length(0)
  })

  it('closes the intent of an engine that was removed for good', async () => {
    const { world, a } = await newWorld(false)
    await world.untilSettled(a.runner.submit(a.handle, 'e1', PREFILL))
    world.engineRemoved = true
    await a.roundsFor(1_000)
    chai.expect(a.handle.intents()).to.have.length(0)
  })
})

describe('model loads', () => {
  it('run at most two at a time, those with waiting requests first', async () => {
    const { world, a } = await newWorld(false)
    const models = ['m1', 'm2', 'm3', 'm4']
    world.waitingModels.add('m4')
    const order = (index: number): Intent['body'] => engineBody({ kind: 'load', model: models[index]!, adapter: '', version: '' })
    for (const index of [0, 1, 2, 3]) await world.untilSettled(a.runner.submit(a.handle, `e${index + 2}`, order(index)))
    const started: string[][] = []
    for (let second = 0; second < 25; second++) {
      await a.roundsFor(1_000)
      started.push(world.loadingModels())
    }
    chai.expect(Math.max(...started.map((now) => now.length))).to.equal(2)
    chai.expect(world.loadOrder()).to.deep.equal(['m1', 'm2', 'm4', 'm3'])
    chai.expect(a.handle.intents()).to.have.length(0)
  })
})

function engineBody (order: EngineOrder): Intent['body'] {
  return { type: 'engine', order }
}

/** A lease holder of the scope with its order runner. */
class Holder {
  readonly runner: OrderRunner

  constructor (private readonly world: World, readonly process: TestProcess, readonly task: ScopeTask, readonly handle: ScopeHandle) {
    const sender = new EngineSender({
      engineOf: (name) => world.engineRemoved ? undefined : { engine: world.engineReachedFrom(name, process), checksFence: world.engine.spec.checksFence },
      slots: new LoadSlots({ clock: process.env.clock, store: world.store, metrics: process.metrics }, 'great-lakes'),
      hasWaitingRequests: (model) => world.waitingModels.has(model)
    })
    this.runner = new OrderRunner({
      env: process.env,
      metrics: process.metrics,
      log: SILENT_LOGGER,
      gate: process.gate,
      sender,
      retirement: { isRetired: async (incarnation) => world.retired.has(incarnation) },
      incarnation: `${process.name}-1`
    })
  }

  async advanceFirst (): Promise<RoundOutcome> {
    return await this.world.untilSettled(this.runner.advance(this.handle, this.handle.intents()[0]!))
  }

  async roundsFor (ms: number): Promise<void> {
    for (let spent = 0; spent < ms; spent += 1_000) {
      await this.world.untilSettled(this.runner.advanceAll(this.handle))
      await this.world.time.advance(1_000)
    }
  }
}

/** Engines, the store and the faults between them and the holders. */
class World {
  readonly time = new VirtualTime()
  readonly store = new MemoryStore(this.time)
  readonly retired = new Set<string>()
  readonly waitingModels = new Set<string>()
  engine: StandinEngine
  /** Number of next sends that arrive but whose connection breaks before the reply. */
  breakSends = 0
  engineRemoved = false
  /** Whether connections for orders are refused. */
  refuseSends = false
  /** Sends of this process are delayed until released. */
  delayedSends: { readonly process: TestProcess, readonly release: Array<() => void> } | undefined
  private readonly others = new Map<string, StandinEngine>()

  constructor (checksFence: boolean) {
    this.engine = this.newEngine(checksFence)
  }

  async successor (name: string): Promise<Holder> {
    const process = new TestProcess(name, this.time)
    const task = process.task(this.store, SCOPE)
    task.start()
    await this.time.advanceUntil(() => task.handle !== undefined, 30_000)
    return new Holder(this, process, task, task.handle!)
  }

  /** Replaces the engine by a restarted one that has lost its orders. */
  replaceEngine (): void {
    this.engine.faults.crashed = true
    this.engine = this.newEngine(this.engine.spec.checksFence)
  }

  engineReachedFrom (name: string, process: TestProcess): Engine {
    const engine = this.engineOf(name)
    const order: Engine['order'] = async (id, fence, body) => {
      if (this.delayedSends?.process === process) await new Promise<void>((resolve) => { this.delayedSends?.release.push(resolve) })
      if (this.refuseSends) return Err({ kind: 'connect_failed', ran: 'no', message: 'connection refused' })
      const reply = await engine.order(id, fence, body)
      if (this.breakSends === 0) return reply
      this.breakSends--
      return Err({ kind: 'broken', ran: 'maybe', message: 'connection broken' })
    }
    return new Proxy(engine, { get: (target, key) => key === 'order' ? order : Reflect.get(target, key).bind(target) })
  }

  loadingModels (): string[] {
    return this.loads().filter((order) => this.time.now() - order.at < DEFAULT_ENGINE.changeMs).map(modelOf)
  }

  loadOrder (): string[] {
    return [...new Set(this.loads().sort((a, b) => a.at - b.at).map(modelOf))]
  }

  async untilSettled<T> (work: Promise<T>): Promise<T> {
    let done = false
    work.finally(() => { done = true }).catch(() => {})
    await this.time.advanceUntil(() => done, 60_000)
    return await work
  }

  private loads (): ReceivedOrder[] {
    return [...this.others.values()].flatMap((engine) => engine.receivedOrders)
  }

  private engineOf (name: string): StandinEngine {
    if (name === 'e1') return this.engine
    const engine = this.others.get(name) ?? this.newEngine(false)
    this.others.set(name, engine)
    return engine
  }

  private newEngine (checksFence: boolean): StandinEngine {
    return new StandinEngine({ ...DEFAULT_ENGINE, name: 'e', checksFence }, this.time, this.time)
  }
}

function modelOf (order: ReceivedOrder): string {
  return order.order.kind === 'load' ? order.order.model : ''
}

/** A world with a first lease holder. */
async function newWorld (checksFence: boolean): Promise<{ world: World, a: Holder }> {
  const world = new World(checksFence)
  return { world, a: await world.successor('a') }
}

/** Pauses the first holder beyond its lease while its order is delayed; `releaseSends` lets the order reach the engine. */
async function deposedWhileSending (checksFence: boolean): Promise<{ world: World, a: Holder, releaseSends: () => void }> {
  const { world, a } = await newWorld(checksFence)
  const release: Array<() => void> = []
  world.delayedSends = { process: a.process, release }
  const submitted = a.runner.submit(a.handle, 'e1', PREFILL)
  submitted.catch(() => {})
  await world.time.advance(1_000)
  a.process.pause(1e9)
  return { world, a, releaseSends: () => { for (const go of release) go() } }
}
