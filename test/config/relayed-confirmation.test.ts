import * as chai from 'chai'
import { ConfigPropagator, FRESH_MS, publishConfig, type ConfigMember } from '../../src/config/index.js'
import { Err } from '../../src/errors/index.js'
import { SILENT_LOGGER } from '../../src/log/index.js'
import { EXTRA_BYTES } from '../../src/membership/index.js'
import { Metrics } from '../../src/metrics/index.js'
import { MemoryStore } from '../../src/standin/index.js'
import { VirtualTime } from '../../src/time/index.js'
import { exampleSet } from './fleet.js'

describe('ConfigSpread.hear', () => {
  it('counts the age of a carried proof from the earliest time at which it may have been stated', async () => {
    const { time, store, spread, others } = await started()
    others.push({ ...OTHER, name: '10.0.0.9:80', incarnation: '', alive: false, lastContact: -Infinity })
    store.faults.down = true
    await time.advance(FRESH_MS + 3_000)
    const news = { g: 1, p: 1, a: 100, s: 100, w: 0 }
    const holdsAfter = (value: object, notBefore: number): boolean => {
      spread.hear(OTHER, value, notBefore).catch(() => {})
      return spread.keysAreCurrent()
    }
    chai.expect(holdsAfter(news, -Infinity), 'a message of unknown delay proves nothing').to.equal(false)
    chai.expect(holdsAfter(news, time.now() - FRESH_MS), 'a message may be as old as its request').to.equal(false)
    chai.expect(holdsAfter(news, time.now())).to.equal(true)
    chai.expect(holdsAfter({ ...news, p: 2 }, time.now()), 'generation 1 was the newest 101 ms ago').to.equal(true)
    await time.advance(FRESH_MS - 102)
    chai.expect(spread.keysAreCurrent()).to.equal(true)
    await time.advance(2)
    chai.expect(spread.keysAreCurrent(), 'generation 2 exists and is not known here').to.equal(false)
  })

  it('gets news that gossip has room for', async () => {
    const { spread } = await started()
    chai.expect(JSON.stringify(spread.news()).length).to.be.below(EXTRA_BYTES / 2)
  })

  it('refuses keyed requests when the store is down and a listed VM was never heard of', async () => {
    const { time, store, spread, others } = await started()
    store.faults.down = true
    await time.advance(FRESH_MS + 3_000)
    chai.expect(spread.keysAreCurrent()).to.equal(true)
    others.push({ ...OTHER, name: '10.0.0.9:80', incarnation: '', alive: false, lastContact: -Infinity })
    chai.expect(spread.keysAreCurrent()).to.equal(false)
  })

  it('does not take a store that answers after the deadline of a call for one that answers nobody', async () => {
    const { time, store, spread } = await started()
    store.faults.delayMs = 1_500
    await time.advance(FRESH_MS + 1_000)
    for (let step = 0; step < 20; step++) {
      await time.advance(500)
      chai.expect(spread.keysAreCurrent()).to.equal(false)
    }
  })

  it('names listed VMs that did not confirm a withdrawal by their address', async () => {
    const { time, spread, others } = await started()
    others.push({ ...OTHER, address: '10.0.0.8:81', incarnation: '', gone: true }, { ...OTHER, address: '10.0.0.9:81', incarnation: '', alive: false })
    let outcome: readonly string[] = []
    spread.withdrawKey('key1').then(({ unconfirmed }) => { outcome = unconfirmed }, () => {})
    await time.advance(3_000)
    chai.expect(outcome).to.deep.equal(['b-1', '10.0.0.9:81'])
  })
})

const OTHER: ConfigMember = {
  name: 'b', incarnation: 'b-1', region: 'great-lakes', address: '10.0.0.2:81', alive: true, gone: false, lastContact: Infinity
}

interface Started {
  readonly time: VirtualTime
  readonly store: MemoryStore
  readonly spread: ConfigPropagator
  readonly others: ConfigMember[]
}

/** One process whose only peer is heard at all times but answers no calls. */
async function started (): Promise<Started> {
  const time = new VirtualTime()
  const store = new MemoryStore(time)
  const others = [OTHER]
  const members = { name: 'a', region: 'great-lakes', others: () => others }
  const peers = {
    handle: () => {},
    call: async () => {
      await new Promise<void>((resolve) => { time.after(500, resolve) })
      return Err({ kind: 'timeout' as const, message: 'no answer' })
    }
  }
  const spread = new ConfigPropagator({ env: time.env(1), log: SILENT_LOGGER, metrics: new Metrics(), store, peers, members })
  publishConfig(store, exampleSet(), undefined).then(() => { spread.start() }, () => {})
  await time.advanceUntil(() => spread.ready, 10_000)
  return { time, store, spread, others }
}
