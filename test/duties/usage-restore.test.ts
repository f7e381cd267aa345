import * as chai from 'chai'
import * as duties from '../../src/duties/index.js'
import * as log from '../../src/log/index.js'
import * as standin from '../../src/standin/index.js'
import * as time from '../../src/time/index.js'
import { Region } from '../support/gateway-region.js'

const WINDOW_MS = 5_000

// The store of a drill comes back from an older copy: what was written since is lost.
describe('UsageLedger after the store has returned from an older copy', () => {
  it('does not leave the store with the counts of the copy when nothing new is counted', async () => {
    const virtual = new time.VirtualTime()
    const store = new standin.MemoryStore(virtual)
    const ledger = new duties.UsageLedger({ env: virtual.env(1), store, eras: store.eras, name: 'a', windowMs: WINDOW_MS, isRelay: () => true, log: log.SILENT_LOGGER })
    ledger.start()
    ledger.countRequest('x')
    await virtual.advance(1_300)
    const copy = store.copy()
    ledger.countRequest('x')
    await virtual.advance(1_300)
    store.restore(copy)
    await Promise.all([store.get('config/main'), virtual.advance(10)])
    await virtual.advance(1_300)
    chai.expect(store.peek('godwitpoint-usage/a')?.value).to.contain('"x":2')
  })

  it('does not leave out the counts of members, which only their relay stores', async () => {
    const region = new Region()
    const { virtual, store } = region
    const gateways = region.startMany(20)
    await virtual.advance(4_000)
    const copy = store.copy()
    const member = gateways.find((gateway) => !gateway.exchange.isRelay)!
    for (let index = 0; index < 3; index++) member.ledger.countRequest('x')
    await virtual.advance(3_000)
    const stored = (): boolean => store.keys('godwitpoint-usage/').some((key) => store.peek(key)!.value.includes('"x":3'))
    chai.expect(stored()).to.equal(true)
    store.restore(copy)
    chai.expect(stored()).to.equal(false)
    await virtual.advance(4_000)
    chai.expect(stored()).to.equal(true)
  })
})
