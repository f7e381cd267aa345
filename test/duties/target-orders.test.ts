import * as chai from 'chai'
import * as duties from '../../src/duties/index.js'
import * as errors from '../../src/errors/index.js'
import * as external from '../../src/external/index.js'
import * as log from '../../src/log/index.js'
import * as serving from '../../src/serving/index.js'
import * as standin from '../../src/standin/index.js'
import * as time from '../../src/time/index.js'
import * as build from '../support/gateway-builders.js'

const DOMAINS = ['w', 'c', 'e']
const STAMP: duties.LeaseStamp = { holder: 'a', token: 1 }

/** Target orders of one gateway; a test sets the targets that are listed and whether the lease is held. */
class Scene {
  readonly virtual = new time.VirtualTime()
  readonly store = new standin.MemoryStore(this.virtual)
  readonly eras = new external.StoreEras()
  readonly fleet = build.aFleet(this.virtual, [])
  readonly sent: Array<duties.DesiredTargets & { readonly at: number }> = []
  holdsLease = true

  constructor (deliveryMs: number) {
    const limits: serving.OrderLimits = { min: 1, max: 4, deliveryMs, preemptiblePrice: 0.22, domainPrices: new Map() }
    const dutyApi: duties.DutyApi = {
      reportUsage: async () => errors.Ok(undefined),
      orderTargets: async (_stamp, desired) => {
        this.sent.push({ ...desired, at: this.virtual.now() })
        return errors.Ok(undefined)
      }
    }
    const lease = { stamp: () => this.holdsLease ? STAMP : undefined }
    const services = [build.aService({ orders: limits })]
    new duties.TargetOrders({ env: this.virtual.env(1), store: this.store.client(this.eras), eras: this.eras, lease, dutyApi, fleet: this.fleet, services: () => services, domains: DOMAINS, log: log.SILENT_LOGGER }).start()
  }

  /** Lists `standard` and `preemptible` targets in the domains, in their order. */
  list (standard: number[], preemptible: number[]): void {
    const targets = (counts: number[], isPreemptible: boolean): serving.TargetRecord[] => DOMAINS.flatMap((domain, index) =>
      Array.from({ length: counts[index]! }, (_, number) => build.aTarget(`${domain}${isPreemptible ? 'p' : ''}${number}`, { domain, preemptible: isPreemptible, address: `10.0.${index}.${number}:${isPreemptible ? 2 : 1}` })))
    this.fleet.apply([...targets(standard, false), ...targets(preemptible, true)])
  }

  /** Stores a size of six, and lists as many targets besides as are ordered for it. */
  async startWithSix (): Promise<void> {
    this.list([2, 2, 2], [0, 0, 0])
    await this.virtual.advance(4_000)
    this.list([2, 2, 2], [2, 2, 2])
    await this.virtual.advance(4_000)
    this.sent.length = 0
  }

  restore (copy: ReturnType<standin.MemoryStore['copy']>): void {
    this.store.restore(copy)
    this.eras.note(this.store.era)
  }

  sizes (): unknown {
    const value = this.store.peek(duties.SIZES_KEY)?.value
    return value === undefined ? undefined : JSON.parse(value)
  }

  ordersOf (domain: string, preemptible: boolean): Array<duties.DesiredTargets & { readonly at: number }> {
    return this.sent.filter((order) => order.domain === domain && order.preemptible === preemptible)
  }
}

describe('TargetOrders', () => {
  it('stores the initial sizes again that a restore has lost, not the present number of targets', async () => {
    const scene = new Scene(4_000)
    const copy = scene.store.copy()
    scene.list([2, 2, 2], [0, 0, 0])
    await scene.virtual.advance(4_000)
    chai.expect(scene.sizes()).to.deep.equal({ s: 6 })
    scene.list([0, 2, 2], [0, 0, 0])
    scene.holdsLease = false
    scene.restore(copy)
    await scene.virtual.advance(3_000)
    scene.holdsLease = true
    await scene.virtual.advance(5_000)
    chai.expect(scene.sizes()).to.deep.equal({ s: 6 })
  })

  it('stores the sizes again also when the holder did not lose the lease', async () => {
    const scene = new Scene(4_000)
    const copy = scene.store.copy()
    scene.list([2, 2, 2], [0, 0, 0])
    await scene.virtual.advance(4_000)
    scene.restore(copy)
    await scene.virtual.advance(5_000)
    chai.expect(scene.sizes()).to.deep.equal({ s: 6 })
    const reads = scene.store.calls.reads
    await scene.virtual.advance(5_000)
    chai.expect(scene.store.calls.reads).to.equal(reads)
  })

  it('orders and releases nothing while the targets write their records again after a restore', async () => {
    const scene = new Scene(100)
    await scene.startWithSix()
    scene.restore(scene.store.copy())
    scene.list([0, 2, 3], [0, 3, 0])
    await scene.virtual.advance(2_000)
    scene.list([2, 2, 2], [2, 2, 2])
    await scene.virtual.advance(490)
    chai.expect(scene.sent).to.deep.equal([])
    scene.list([2, 2, 2], [2, 2, 0])
    await scene.virtual.advance(1_000)
    chai.expect(scene.ordersOf('e', true)).not.to.deep.equal([])
  })

  it('does not order a shortage again after a loss of the lease before it can have been filled', async () => {
    const scene = new Scene(10_000)
    scene.list([2, 2, 2], [0, 0, 0])
    await scene.virtual.advance(4_000)
    chai.expect(scene.sent).to.have.length(3)
    scene.holdsLease = false
    scene.restore(scene.store.copy())
    await scene.virtual.advance(3_000)
    scene.holdsLease = true
    await scene.virtual.advance(3_000)
    chai.expect(scene.sent).to.have.length(3)
    await scene.virtual.advance(8_000)
    chai.expect(scene.sent).to.have.length(6)
  })

  it('does not release a surplus on the strength of an earlier one when there was a shortage in between', async () => {
    const scene = new Scene(100)
    await scene.startWithSix()
    scene.list([2, 2, 2], [2, 2, 3])
    await scene.virtual.advance(700)
    scene.list([2, 2, 2], [2, 2, 1])
    await scene.virtual.advanceUntil(() => scene.ordersOf('e', true).length > 0, 3_000)
    await scene.virtual.advance(800)
    scene.list([2, 2, 2], [2, 2, 3])
    const from = scene.virtual.now()
    await scene.virtual.advance(6_000)
    const release = scene.ordersOf('e', true).find((order) => order.at > from)
    chai.expect(release!.at - from).to.be.at.least(1_500)
  })

  it('does not release a surplus on the strength of an earlier one when the lease was lost in between', async () => {
    const scene = new Scene(100)
    await scene.startWithSix()
    scene.list([2, 2, 2], [2, 2, 3])
    await scene.virtual.advance(700)
    scene.holdsLease = false
    await scene.virtual.advance(5_000)
    scene.holdsLease = true
    const from = scene.virtual.now()
    await scene.virtual.advance(6_000)
    chai.expect(scene.ordersOf('e', true)[0]!.at - from).to.be.at.least(1_500)
  })

  it('replaces stored sizes that are not JSON, instead of never ordering again', async () => {
    const scene = new Scene(4_000)
    await Promise.all([scene.store.put(duties.SIZES_KEY, 'not json', 'absent'), scene.virtual.advance(10)])
    scene.list([2, 2, 2], [0, 0, 0])
    await scene.virtual.advance(4_000)
    chai.expect(scene.sizes()).to.deep.equal({ s: 6 })
    chai.expect(scene.sent).to.have.length(3)
  })
})
