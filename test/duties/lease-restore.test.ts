import * as chai from 'chai'
import * as fc from 'fast-check'
import * as duties from '../../src/duties/index.js'
import * as standin from '../../src/standin/index.js'
import * as time from '../../src/time/index.js'
import * as holders from './lease-holders.js'

interface SentStamp extends duties.LeaseStamp {
  readonly at: number
}

/** Time between two calls of each holder, in ms. */
const CALL_INTERVAL_MS = 50

/** A store and the holders that use it; each holder makes a call every 50 ms while its lease allows it. */
class Scene {
  readonly virtual = new time.VirtualTime()
  readonly store = new standin.MemoryStore(this.virtual)
  readonly sent: SentStamp[] = []
  readonly holders: holders.LeaseHolder[] = []

  constructor () {
    this.virtual.every(CALL_INTERVAL_MS, () => { for (const holder of this.holders) this.record(holder) })
  }

  start (holder: string, incarnation = 1): holders.LeaseHolder {
    const started = new holders.LeaseHolder(this.virtual, this.store, holder, incarnation)
    this.holders.push(started)
    return started
  }

  /** Writes the lease object whatever it is now. */
  async overwrite (value: string): Promise<void> {
    await Promise.all([this.store.put(duties.LEASE_KEY, value, this.store.peek(duties.LEASE_KEY)?.version ?? 'absent'), this.virtual.advance(this.store.faults.delayMs + 1)])
  }

  async release (holder: holders.LeaseHolder): Promise<void> {
    await Promise.all([holder.lease[Symbol.asyncDispose](), this.virtual.advance(this.store.faults.delayMs + 1)])
  }

  /** Throws unless the calls keep the rules of the duties. */
  verify (): void {
    const holderOfToken = new Map<number, string>()
    const turns: Array<{ holder: string, from: number, until: number }> = []
    let highest = 0
    for (const { holder, token, at } of this.sent) {
      chai.expect(holderOfToken.get(token) ?? holder, `token ${token} of two holders at ${at}`).to.equal(holder)
      chai.expect(token, `lower token of ${holder} after a higher one at ${at}`).to.be.at.least(highest)
      holderOfToken.set(token, holder)
      highest = token
      const turn = turns.at(-1)
      if (turn?.holder === holder) turn.until = at
      else turns.push({ holder, from: at, until: at })
    }
    for (const [index, turn] of turns.entries()) {
      const previous = turns.slice(0, index).filter((earlier) => earlier.holder === turn.holder).at(-1)
      if (previous !== undefined) chai.expect(turn.from - previous.until, `${turn.holder} acts again at ${turn.from}`).to.be.at.least(holders.TAKEOVER_DELAY_MS)
    }
  }

  private record (holder: holders.LeaseHolder): void {
    const stamp = holder.stamp()
    if (stamp !== undefined) this.sent.push({ ...stamp, at: this.virtual.now() })
  }
}

describe('Lease in a store that is restored from an older copy', () => {
  it('does not give a fencing token to a second holder that was given out in the lost seconds', async () => {
    const scene = new Scene()
    const a = scene.start('a')
    await scene.virtual.advance(5_500)
    const copy = scene.store.copy()
    await scene.release(a)
    const b = scene.start('b')
    await scene.virtual.advance(5_500)
    chai.expect(b.stamp()).not.to.equal(undefined)
    b.kill()
    scene.store.restore(copy)
    const c = scene.start('c')
    await scene.virtual.advance(8_000)
    chai.expect(c.stamp()).not.to.equal(undefined)
    scene.verify()
  })

  it('does not give out the first token again when the copy has no lease', async () => {
    const scene = new Scene()
    const copy = scene.store.copy()
    const a = scene.start('a')
    await scene.virtual.advance(5_500)
    a.kill()
    scene.store.restore(copy)
    const b = scene.start('b')
    await scene.virtual.advance(5_500)
    chai.expect(b.stamp()).not.to.equal(undefined)
    scene.verify()
  })

  it('gives the lease up at once when the process learns of the restore from another gateway', async () => {
    const scene = new Scene()
    const a = scene.start('a')
    await scene.virtual.advance(5_500)
    chai.expect(a.stamp()).not.to.equal(undefined)
    a.eras.note(1)
    chai.expect(a.stamp()).to.equal(undefined)
  })

  it('does not take a renewal for one whose write took effect in the restored store', async () => {
    const scene = new Scene()
    const a = scene.start('a')
    await scene.virtual.advance(5_500)
    const token = a.stamp()!.token
    scene.store.restore(scene.store.copy())
    await scene.virtual.advance(600)
    chai.expect(a.eras.current).to.equal(1)
    chai.expect(a.stamp()).to.equal(undefined)
    await scene.virtual.advance(5_500)
    chai.expect(a.stamp()!.token).to.be.greaterThan(token)
  })

  it('does not act before a holder of the lost seconds has stopped that knows of no restore', async () => {
    for (const copied of ['absent', 'released', 'other holder'] as const) {
      const scene = new Scene()
      let copy = scene.store.copy()
      const a = scene.start('a')
      await scene.virtual.advance(5_500)
      if (copied === 'other holder') copy = scene.store.copy()
      await scene.release(a)
      if (copied === 'released') copy = scene.store.copy()
      const b = scene.start('b')
      await scene.virtual.advance(5_500)
      chai.expect(b.stamp(), copied).not.to.equal(undefined)
      b.reachable = false
      scene.store.restore(copy)
      const restarted = scene.start('a', 2)
      await scene.virtual.advance(8_000)
      chai.expect(restarted.stamp(), copied).not.to.equal(undefined)
      scene.verify()
    }
  })

  it('does not resume the lease that an older copy names when another holder had it in the lost seconds', async () => {
    const scene = new Scene()
    const a = scene.start('a')
    await scene.virtual.advance(5_500)
    const copy = scene.store.copy()
    a.reachable = false
    const b = scene.start('b')
    await scene.virtual.advance(6_000)
    chai.expect(b.stamp()).not.to.equal(undefined)
    b.reachable = false
    scene.store.restore(copy)
    a.reachable = true
    await scene.virtual.advance(8_000)
    chai.expect(a.stamp()).not.to.equal(undefined)
    scene.verify()
  })

  it('is not stopped for ever by an object that is not a lease, nor taken over sooner or with a lower token', async () => {
    for (const value of ['not json', 'null', '{"holder":"x"}']) {
      const scene = new Scene()
      const a = scene.start('a')
      const b = scene.start('b')
      await scene.virtual.advance(5_500)
      const token = (a.stamp() ?? b.stamp())!.token
      await scene.overwrite(value)
      const from = scene.virtual.now()
      await scene.virtual.advance(10_000)
      chai.expect((a.stamp() ?? b.stamp())?.token, value).to.be.greaterThan(token)
      chai.expect(scene.sent.find((stamp) => stamp.token > token)!.at - from, value).to.be.at.least(3_000)
      scene.verify()
    }
  })

  it('keeps the rules of the duties through restores, pauses, cuts and restarts of up to four holders', async () => {
    await fc.assert(fc.asyncProperty(fc.integer({ min: 1, max: 4 }), fc.array(STEP, { minLength: 10, maxLength: 60 }), async (count, steps) => {
      await playSteps(count, steps)
    }), { seed: 25, numRuns: 300 })
  }).timeout(120_000)
})

type StoreStep = { kind: 'restore', age: number } | { kind: 'copy' } | { kind: 'garbage' } | { kind: 'lose_reply' } | { kind: 'delay', ms: number }
type HolderStep = { kind: 'pause' | 'cut' | 'kill' | 'stop' | 'learn', holder: number }
type Step = StoreStep | HolderStep | { kind: 'wait', ms: number }

const HOLDER = fc.integer({ min: 0, max: 3 })

const STEP: fc.Arbitrary<Step> = fc.oneof(
  { weight: 8, arbitrary: fc.record({ kind: fc.constant('wait' as const), ms: fc.integer({ min: 1, max: 4_000 }) }) },
  { weight: 3, arbitrary: fc.record({ kind: fc.constant('restore' as const), age: fc.integer({ min: 0, max: 3 }) }) },
  { weight: 3, arbitrary: fc.constantFrom<StoreStep>({ kind: 'copy' }, { kind: 'copy' }, { kind: 'copy' }, { kind: 'garbage' }, { kind: 'lose_reply' }) },
  { weight: 1, arbitrary: fc.record({ kind: fc.constant('delay' as const), ms: fc.constantFrom(2, 2, 2, 100, 800) }) },
  { weight: 5, arbitrary: fc.record({ kind: fc.constantFrom('pause' as const, 'cut' as const, 'kill' as const, 'stop' as const, 'learn' as const), holder: HOLDER }) }
)

// Each step changes something; pauses and cuts are undone by the same step. The end is calm: somebody must act then.
async function playSteps (count: number, steps: readonly Step[]): Promise<void> {
  const scene = new Scene()
  const copies = [scene.store.copy()]
  const current = ['a', 'b', 'c', 'd'].slice(0, count).map((name) => scene.start(name))
  const paused = new Set<holders.LeaseHolder>()
  for (const [index, step] of steps.entries()) {
    if (step.kind === 'wait') await scene.virtual.advance(step.ms)
    else if (step.kind === 'copy') copies.push(scene.store.copy())
    else if (step.kind === 'restore') scene.store.restore(copies.at(-1 - step.age % copies.length)!)
    else if (step.kind === 'garbage') await scene.overwrite('garbage')
    else if (step.kind === 'lose_reply') scene.store.faults.loseReplies = 1
    else if (step.kind === 'delay') scene.store.faults.delayMs = step.ms
    else await changeHolder(scene, current, paused, step, index)
  }
  for (const holder of current) {
    holder.reachable = true
    holder.resume()
  }
  scene.store.faults.delayMs = 2
  await scene.virtual.advance(15_000)
  scene.verify()
  chai.expect(current.filter((holder) => holder.stamp() !== undefined)).to.have.length(1)
}

async function changeHolder (scene: Scene, current: holders.LeaseHolder[], paused: Set<holders.LeaseHolder>, step: HolderStep, index: number): Promise<void> {
  const position = step.holder % current.length
  const holder = current[position]!
  if (step.kind === 'cut') holder.reachable = !holder.reachable
  if (step.kind === 'learn' && holder.eras.current !== undefined) holder.eras.note(scene.store.era)
  if (step.kind === 'pause') {
    if (paused.delete(holder)) holder.resume()
    else {
      paused.add(holder)
      holder.pause()
    }
  }
  if (step.kind !== 'kill' && step.kind !== 'stop') return
  if (step.kind === 'stop' && !paused.has(holder)) await scene.release(holder)
  holder.kill()
  current[position] = scene.start(holder.holder, index + 2)
}
