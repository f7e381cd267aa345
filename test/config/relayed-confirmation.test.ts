import * as chai from 'chai'
import { ConfigPropagator, MAX_CONFIRMATION_AGE_MS, publishConfig, type ConfigMember } from '../../src/config/index.js'
import { Err } from '../../src/errors/index.js'
import { SILENT_LOGGER } from '../../src/log/index.js'
import { EXTRA_BYTES } from '../../src/membership/index.js'
import { Metrics } from '../../src/metrics/index.js'
import { MemoryStore } from '../../src/standin/index.js'
import { VirtualTime } from '../../src/time/index.js'
import { exampleSet } from './fleet.js'

describe('ConfigPropagator.applyStatus', () => {
  it('counts the age of a relayed confirmation from the earliest time at which the peer may have reported it', async () => {
    const { time, store, propagator, others } = await started()
    others.push({ ...OTHER, name: '10.0.0.9:80', incarnation: '', alive: false, lastContact: -Infinity })
    store.faults.down = true
    await time.advance(MAX_CONFIRMATION_AGE_MS + 3_000)
    const status = { g: 1, p: 1, a: 100, s: 100, w: 0 }
    const keysAreFreshAfter = (value: object, notBefore: number): boolean => {
      propagator.applyStatus(OTHER, value, notBefore).catch(() => {})
      return propagator.keysAreFresh()
    }
    chai.expect(keysAreFreshAfter(status, -Infinity), 'a message of unknown delay confirms nothing').to.equal(false)
    chai.expect(keysAreFreshAfter(status, time.now() - MAX_CONFIRMATION_AGE_MS), 'a message may be as old as its request').to.equal(false)
    chai.expect(keysAreFreshAfter(status, time.now())).to.equal(true)
    chai.expect(keysAreFreshAfter({ ...status, p: 2 }, time.now()), 'generation 1 was the newest 101 ms ago').to.equal(true)
    await time.advance(MAX_CONFIRMATION_AGE_MS - 102)
    chai.expect(propagator.keysAreFresh()).to.equal(true)
    await time.advance(2)
    chai.expect(propagator.keysAreFresh(), 'generation 2 exists and is not known here').to.equal(false)
  })

  it('receives a status that fits into gossip', async () => {
    const { propagator } = await started()
    chai.expect(JSON.stringify(propagator.status()).length).to.be.below(EXTRA_BYTES / 2)
  })

  it('refuses keyed requests when the store is down and a listed VM never responded', async () => {
    const { time, store, propagator, others } = await started()
    store.faults.down = true
    await time.advance(MAX_CONFIRMATION_AGE_MS + 3_000)
    chai.expect(propagator.keysAreFresh()).to.equal(true)
    others.push({ ...OTHER, name: '10.0.0.9:80', incarnation: '', alive: false, lastContact: -Infinity })
    chai.expect(propagator.keysAreFresh()).to.equal(false)
  })

  it('refuses keyed requests when the store responds after the timeout of a call, as it may hold a withdrawal', async () => {
    const { time, store, propagator } = await started()
    store.faults.delayMs = 1_500
    await time.advance(MAX_CONFIRMATION_AGE_MS + 1_000)
    for (let step = 0; step < 20; step++) {
      await time.advance(500)
      chai.expect(propagator.keysAreFresh()).to.equal(false)
    }
  })

  it('gives the address of a listed VM of unknown incarnation that did not confirm a withdrawal', async () => {
    const { time, propagator, others } = await started()
    others.push({ ...OTHER, address: '10.0.0.8:81', incarnation: '', terminated: true }, { ...OTHER, address: '10.0.0.9:81', incarnation: '', alive: false })
    let outcome: readonly string[] = []
    propagator.withdrawKey('key1').then(({ unconfirmed }) => { outcome = unconfirmed }, () => {})
    await time.advance(3_000)
    chai.expect(outcome).to.deep.equal(['b-1', '10.0.0.9:81'])
  })
})

const OTHER: ConfigMember = {
  name: 'b', incarnation: 'b-1', region: 'great-lakes', address: '10.0.0.2:81', alive: true, terminated: false, lastContact: Infinity
}

interface Started {
  readonly time: VirtualTime
  readonly store: MemoryStore
  readonly propagator: ConfigPropagator
  readonly others: ConfigMember[]
}

/** A process whose only peer is in contact at all times but replies to no calls. */
async function started (): Promise<Started> {
  const time = new VirtualTime()
  const store = new MemoryStore(time)
  const others = [OTHER]
  const members = { name: 'a', region: 'great-lakes', others: () => others }
  const peers = {
    handle: () => {},
    call: async () => {
      await new Promise<void>((resolve) => { time.after(500, resolve) })
      return Err({ kind: 'timeout' as const, message: 'no reply' })
    }
  }
  const propagator = new ConfigPropagator({ env: time.env(1), log: SILENT_LOGGER, metrics: new Metrics(), store, peers, members })
  publishConfig(store, exampleSet(), undefined).then(() => { propagator.start() }, () => {})
  await time.advanceUntil(() => propagator.ready, 10_000)
  return { time, store, propagator, others }
}
