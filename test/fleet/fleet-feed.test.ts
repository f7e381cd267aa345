import * as chai from 'chai'
import * as errors from '../../src/errors/index.js'
import type * as exchange from '../../src/exchange/index.js'
import type * as external from '../../src/external/index.js'
import * as fleet from '../../src/fleet/index.js'
import * as log from '../../src/log/index.js'
import * as serving from '../../src/serving/index.js'
import * as standin from '../../src/standin/index.js'
import * as time from '../../src/time/index.js'
import * as build from '../support/gateway-builders.js'

const PREFIX = 'targets/'
const LEAVE_BOUND_MS = 2_000
const HEARTBEAT_MS = 1_200

/** Time without a heartbeat after which the store removes a record, in ms. */
const EXPIRY_MS = 3 * HEARTBEAT_MS

/** Time within which records that expired while the store was away are back after its return, in ms. */
const RETURN_MS = 2_000

/** Time after the end of a cut during which a gateway is not held to bounds, in ms. */
const CONTACT_MS = 3_000

/** Time after which a read of a store that cannot be reached fails, in ms. */
const CONNECT_TIMEOUT_MS = 600

/** A gateway's list of targets, over a connection to the store that can be cut. */
class FeedUnderTest implements Disposable {
  readonly virtual = new time.VirtualTime()
  readonly store = new standin.MemoryStore(this.virtual)
  readonly fleet = new fleet.Fleet({ clock: this.virtual, log: log.SILENT_LOGGER, onRemoved: () => {} })
  readonly feed: fleet.FleetFeed
  cut = false
  failNextReads = 0
  /** Time for which the response to the next read is in transit, in ms. */
  nextResponseMs = 0
  /** Time for which the next read is in transit, in ms. */
  nextRequestMs = 0

  constructor (ids: readonly string[], isReader = true) {
    for (const id of ids) this.put(id)
    const env = this.virtual.env(1)
    const elapsed = new serving.ElapsedClock(this.virtual)
    const decode = (object: external.StoredObject): serving.TargetRecord => JSON.parse(object.value) as serving.TargetRecord
    this.feed = new fleet.FleetFeed({ env, elapsed, store: this.cuttableStore(), eras: this.store.eras, prefix: PREFIX, leavePropagationMs: LEAVE_BOUND_MS, shortestExpiryMs: 2 * HEARTBEAT_MS, isReader: () => isReader, decode, fleet: this.fleet, log: log.SILENT_LOGGER })
    this.feed.start()
  }

  [Symbol.dispose] (): void {
    this.feed[Symbol.dispose]()
  }

  put (id: string, overrides: Partial<serving.TargetRecord> = {}): void {
    const key = PREFIX + id
    this.store.put(key, JSON.stringify(build.aTarget(id, overrides)), this.store.peek(key)?.version ?? 'absent').catch((err: unknown) => { throw err })
  }

  remove (id: string): void {
    this.store.delete(PREFIX + id, this.store.peek(PREFIX + id)!.version).catch((err: unknown) => { throw err })
  }

  accepts (id: string): boolean {
    return this.fleet.ofService('s').some((state) => state.record.id === id && state.acceptsCalls(this.virtual.now()))
  }

  /** The list as it is told to members. */
  listed (): { era: number | undefined, ids: string[] } {
    const { payload } = this.feed.changesSince({ gateway: 'm', incarnation: '1', kind: 'member' }, undefined)!
    const { era, records } = payload as { era?: number, records: serving.TargetRecord[] }
    return { era, ids: records.map((record) => record.id).sort() }
  }

  /** Advances in small steps until `endMs` and returns the times at which `holds` did not hold, in ms. */
  async violations (endMs: number, holds: () => boolean): Promise<number[]> {
    const times: number[] = []
    while (this.virtual.now() < endMs) {
      await this.virtual.advance(10)
      if (!holds()) times.push(this.virtual.now())
    }
    return times
  }

  private async slowList (prefix: string): ReturnType<external.ObjectStore['list']> {
    const { nextRequestMs, nextResponseMs } = this
    this.nextRequestMs = this.nextResponseMs = 0
    await time.delay(this.virtual, nextRequestMs)
    const listed = await this.store.list(prefix)
    await time.delay(this.virtual, nextResponseMs)
    return listed
  }

  private cuttableStore (): external.ObjectStore {
    const { store } = this
    return {
      get: async (key, mode) => await store.get(key, mode),
      list: async (prefix) => {
        if (!this.cut && this.failNextReads === 0) return await this.slowList(prefix)
        this.failNextReads = Math.max(0, this.failNextReads - 1)
        await time.delay(this.virtual, CONNECT_TIMEOUT_MS)
        return errors.Err({ kind: 'unavailable', message: 'connect timeout' })
      },
      put: async (key, value, expected) => await store.put(key, value, expected),
      delete: async (key, expected) => await store.delete(key, expected),
      watch: async (prefix, version, waitMs) => await store.watch(prefix, version, waitMs)
    }
  }
}

describe('FleetFeed', () => {
  for (const removedAfterMs of [400, 700, 1_000, 1_100, 1_300, 1_600, 2_200]) {
    it(`sends no calls to a target later than 2 s after its record was removed, ${removedAfterMs} ms after a cut had ended`, async () => {
      // Reads that were started during the cut fail after its end, some of them after a later one has succeeded.
      for (let phaseMs = 0; phaseMs < 800; phaseMs += 50) {
        using feed = new FeedUnderTest(['a', 'b'])
        await feed.virtual.advance(1_000)
        feed.cut = true
        await feed.virtual.advance(6_000 + phaseMs)
        feed.cut = false
        const healedAt = feed.virtual.now()
        await feed.virtual.advance(removedAfterMs)
        feed.remove('a')
        const boundAt = Math.max(feed.virtual.now() + LEAVE_BOUND_MS, healedAt + CONTACT_MS)
        await feed.violations(boundAt, () => true)
        chai.expect(await feed.violations(boundAt + 1_500, () => !feed.accepts('a')), `phase ${phaseMs}`).to.deep.equal([])
      }
    })
  }

  it('sends no calls to a target later than 2 s after its record was removed, when one read fails', async () => {
    for (let phaseMs = 0; phaseMs < 800; phaseMs += 50) {
      using feed = new FeedUnderTest(['a', 'b'])
      await feed.virtual.advance(2_000 + phaseMs)
      feed.failNextReads = 1
      await feed.virtual.advance(5)
      feed.remove('a')
      const boundAt = feed.virtual.now() + LEAVE_BOUND_MS
      await feed.violations(boundAt, () => true)
      chai.expect(await feed.violations(boundAt + 1_500, () => !feed.accepts('a')), `phase ${phaseMs}`).to.deep.equal([])
    }
  })

  it('keeps targets whose records expired while the store was away, and drops those that do not return', async () => {
    for (let phaseMs = 0; phaseMs < 800; phaseMs += 50) {
      using feed = new FeedUnderTest(['a', 'b', 'c'])
      await feed.virtual.advance(1_000)
      feed.cut = true
      await feed.virtual.advance(3_600)
      feed.remove('a')
      feed.remove('c')
      await feed.virtual.advance(1_400 + phaseMs)
      feed.cut = false
      const healedAt = feed.virtual.now()
      chai.expect(await feed.violations(healedAt + RETURN_MS - 50, () => feed.accepts('a') && feed.accepts('c')), `phase ${phaseMs}, before the return`).to.deep.equal([])
      feed.put('a')
      chai.expect(await feed.violations(healedAt + CONTACT_MS, () => feed.accepts('a')), `phase ${phaseMs}, returned`).to.deep.equal([])
      chai.expect(await feed.violations(healedAt + CONTACT_MS + 1_500, () => feed.accepts('a') && !feed.accepts('c')), `phase ${phaseMs}, after that`).to.deep.equal([])
    }
  })

  it('keeps a target whose record expires shortly after the return of the store, when it was listed already', async () => {
    for (let phaseMs = 0; phaseMs < 800; phaseMs += 50) {
      using feed = new FeedUnderTest(['a', 'b'])
      await feed.virtual.advance(1_000)
      feed.cut = true
      await feed.virtual.advance(4_000 + phaseMs)
      feed.cut = false
      const healedAt = feed.virtual.now()
      await feed.virtual.advance(700)
      feed.remove('a')
      chai.expect(await feed.violations(healedAt + RETURN_MS - 50, () => feed.accepts('a')), `phase ${phaseMs}`).to.deep.equal([])
      feed.put('a')
      chai.expect(await feed.violations(healedAt + 2 * CONTACT_MS, () => feed.accepts('a')), `phase ${phaseMs}, returned`).to.deep.equal([])
    }
  })

  it('keeps targets whose records were lost in a restore until they have registered again, and drops those that do not', async () => {
    for (let phaseMs = 0; phaseMs < 800; phaseMs += 50) {
      using feed = new FeedUnderTest(['b'])
      await feed.virtual.advance(500)
      const copy = feed.store.copy()
      feed.put('a')
      feed.put('c')
      await feed.virtual.advance(1_500 + phaseMs)
      feed.store.restore(copy)
      const restoredAt = feed.virtual.now()
      // The first good read may start with the return of the store, and the last one of the interval 100 ms before its end.
      chai.expect(await feed.violations(restoredAt + RETURN_MS - 150, () => feed.accepts('a') && feed.accepts('c')), `phase ${phaseMs}, before the return`).to.deep.equal([])
      feed.put('a')
      chai.expect(await feed.violations(restoredAt + CONTACT_MS, () => feed.accepts('a')), `phase ${phaseMs}, returned`).to.deep.equal([])
      chai.expect(await feed.violations(restoredAt + CONTACT_MS + 1_500, () => feed.accepts('a') && !feed.accepts('c')), `phase ${phaseMs}, after that`).to.deep.equal([])
    }
  })

  it('keeps a target that is missing after two restores in a row until it has registered again after the second', async () => {
    using feed = new FeedUnderTest(['b'])
    await feed.virtual.advance(500)
    const copy = feed.store.copy()
    feed.put('a')
    await feed.virtual.advance(1_500)
    for (const untilNextMs of [1_500, RETURN_MS - 50]) {
      feed.store.restore(copy)
      chai.expect(await feed.violations(feed.virtual.now() + untilNextMs, () => feed.accepts('a'))).to.deep.equal([])
    }
    feed.put('a')
    chai.expect(await feed.violations(feed.virtual.now() + CONTACT_MS, () => feed.accepts('a'))).to.deep.equal([])
  })

  it('sends no calls to a target that had left before a restore, though the older copy lists it as ready', async () => {
    for (let phaseMs = 0; phaseMs < 800; phaseMs += 50) {
      using feed = new FeedUnderTest(['a', 'b', 'c'])
      await feed.virtual.advance(500)
      const copy = feed.store.copy()
      feed.put('a', { leaving: true })
      feed.remove('c')
      await feed.virtual.advance(1_000)
      feed.remove('a')
      await feed.virtual.advance(1_000 + phaseMs)
      feed.store.restore(copy)
      const restoredAt = feed.virtual.now()
      const noneReturned = (): boolean => !feed.accepts('a') && !feed.accepts('c') && feed.accepts('b')
      chai.expect(await feed.violations(restoredAt + EXPIRY_MS, noneReturned), `phase ${phaseMs}, while listed`).to.deep.equal([])
      feed.remove('c')
      chai.expect(await feed.violations(restoredAt + EXPIRY_MS + 6_000, noneReturned), `phase ${phaseMs}, after that`).to.deep.equal([])
      feed.put('a', { startedAt: 2 })
      feed.put('c')
      await feed.virtual.advance(1_000)
      chai.expect([feed.accepts('a'), feed.accepts('c')], `phase ${phaseMs}, registered again`).to.deep.equal([true, true])
    }
  })

  it('uses a target again that was removed before a restore, when its record stays listed after the others have expired', async () => {
    using feed = new FeedUnderTest(['a', 'b'])
    await feed.virtual.advance(500)
    const copy = feed.store.copy()
    feed.remove('a')
    await feed.virtual.advance(2_000)
    feed.store.restore(copy)
    chai.expect(await feed.violations(feed.virtual.now() + EXPIRY_MS, () => !feed.accepts('a'))).to.deep.equal([])
    await feed.violations(feed.virtual.now() + 3_000, () => true)
    chai.expect(feed.accepts('a')).to.equal(true)
  })

  it('says that the list is settling from when a restore is known until nothing is listed that only the copy has', async () => {
    using feed = new FeedUnderTest(['a', 'b'])
    await feed.virtual.advance(1_000)
    feed.store.restore(feed.store.copy())
    const restoredAt = feed.virtual.now()
    chai.expect(feed.feed.isSettling).to.equal(false)
    feed.store.eras.note(1)
    chai.expect(await feed.violations(restoredAt + EXPIRY_MS, () => feed.feed.isSettling)).to.deep.equal([])
    await feed.virtual.advance(3_000)
    chai.expect(feed.feed.isSettling).to.equal(false)
  })

  it('says that the list is settling after an outage until targets have registered again', async () => {
    using feed = new FeedUnderTest(['a', 'b'])
    await feed.virtual.advance(1_000)
    feed.cut = true
    await feed.virtual.advance(6_000)
    feed.cut = false
    await feed.virtual.advance(1_000)
    chai.expect(feed.feed.isSettling).to.equal(true)
    await feed.virtual.advance(2_000)
    chai.expect(feed.feed.isSettling).to.equal(false)
  })

  it('uses a target at once that registers in the era of a restore, though it was removed before', async () => {
    using feed = new FeedUnderTest(['b'])
    await feed.virtual.advance(500)
    const copy = feed.store.copy()
    feed.put('a')
    await feed.virtual.advance(1_000)
    feed.remove('a')
    await feed.virtual.advance(1_000)
    feed.store.restore(copy)
    await feed.virtual.advance(1_000)
    feed.put('a')
    await feed.virtual.advance(1_000)
    chai.expect(feed.accepts('a')).to.equal(true)
  })

  it('ignores a read of the earlier era that ends after one of the later era, though it was started later', async () => {
    using feed = new FeedUnderTest(['a'])
    await feed.virtual.advance(700)
    feed.nextRequestMs = 1_200
    await feed.virtual.advance(800)
    feed.nextResponseMs = 600
    await feed.virtual.advance(400)
    feed.store.restore(feed.store.copy())
    feed.put('b')
    await feed.virtual.advance(150)
    chai.expect(feed.listed()).to.deep.equal({ era: 1, ids: ['a', 'b'] })
    await feed.virtual.advance(200)
    chai.expect(feed.listed()).to.deep.equal({ era: 1, ids: ['a', 'b'] })
  })

  describe('of a member', () => {
    const relay: exchange.Link = { gateway: 'r', incarnation: '1', kind: 'relay' }

    /** A member that has read the list itself, after its relay told it of targets `a` and `b`. */
    async function memberAfterOwnRead (change: (feed: FeedUnderTest) => void): Promise<FeedUnderTest> {
      const feed = new FeedUnderTest(['a', 'b'], false)
      await feed.virtual.advance(50)
      tell(feed, { ageMs: 0, complete: true, records: [build.aTarget('a'), build.aTarget('b')], removed: [] })
      change(feed)
      await feed.virtual.advance(LEAVE_BOUND_MS)
      return feed
    }

    function tell (feed: FeedUnderTest, payload: object): void {
      feed.feed.apply(relay, payload, feed.virtual.now())
    }

    it('does not take back a target from its relay, whose list is older than the one that it has read itself', async () => {
      using feed = await memberAfterOwnRead((member) => member.remove('a'))
      chai.expect(feed.accepts('a')).to.equal(false)
      tell(feed, { ageMs: LEAVE_BOUND_MS, complete: false, records: [build.aTarget('a', { slots: 9 })], removed: [] })
      chai.expect(feed.accepts('a')).to.equal(false)
      tell(feed, { ageMs: 0, complete: false, records: [], removed: ['a'] })
      chai.expect([feed.accepts('a'), feed.accepts('b')]).to.deep.equal([false, true])
    })

    it('drops a target that only its own read has listed when the newer list of its relay does not have it', async () => {
      using feed = await memberAfterOwnRead((member) => member.put('c'))
      chai.expect(feed.accepts('c')).to.equal(true)
      tell(feed, { ageMs: 0, complete: false, records: [], removed: [] })
      chai.expect([feed.accepts('a'), feed.accepts('c')]).to.deep.equal([true, false])
    })

    it('does not go back to the list of a relay that has not noticed a restore', async () => {
      using feed = await memberAfterOwnRead((member) => {
        member.store.restore(member.store.copy())
        member.put('c')
      })
      chai.expect(feed.listed()).to.deep.equal({ era: 1, ids: ['a', 'b', 'c'] })
      const ageMs = feed.feed.listAgeMs
      tell(feed, { ageMs: 0, complete: true, records: [build.aTarget('a'), build.aTarget('d')], removed: [], era: 0 })
      chai.expect([feed.listed(), feed.feed.listAgeMs]).to.deep.equal([{ era: 1, ids: ['a', 'b', 'c'] }, ageMs])
      tell(feed, { ageMs: 0, complete: false, records: [build.aTarget('e')], removed: ['d'], era: 1 })
      chai.expect(feed.listed()).to.deep.equal({ era: 1, ids: ['a', 'e'] })
    })

    it('takes the list of a later era from its relay, and its age, though its own list of the earlier era seems younger', async () => {
      using feed = await memberAfterOwnRead(() => {})
      tell(feed, { ageMs: 3_000, complete: false, records: [build.aTarget('c')], removed: ['b'], era: 1 })
      chai.expect(feed.listed()).to.deep.equal({ era: 1, ids: ['a', 'c'] })
      chai.expect(feed.feed.listAgeMs).to.equal(3_000)
      chai.expect(feed.store.eras.current).to.equal(1)
    })
  })
})
