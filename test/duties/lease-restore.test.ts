import * as chai from 'chai'
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
})
