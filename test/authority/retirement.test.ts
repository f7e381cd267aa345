import * as chai from 'chai'
import { handleRetire, PeerRetirement, SendGate, VM_LIST_LAG_MS } from '../../src/authority/index.js'
import { Err, Ok, type Result } from '../../src/errors/index.js'
import type { PeerClient, PeerError } from '../../src/peer/index.js'
import { MemoryVms } from '../../src/standin/index.js'
import { VirtualTime } from '../../src/time/index.js'

const SCOPE = 'r/roles/s'

describe('handleRetire', () => {
  it('does not confirm while a send under a lower fencing token is in flight', () => {
    const gate = new SendGate()
    const deposed: number[] = []
    const requestRetire = (): boolean => handleRetire({ incarnation: 'a-1', scope: SCOPE, fence: 2 }, 'a-1', gate, (_, fence) => deposed.push(fence)).retired
    const send = gate.enter(SCOPE, 1)
    chai.expect(requestRetire()).to.equal(false)
    send?.[Symbol.dispose]()
    chai.expect(requestRetire()).to.equal(true)
    chai.expect(gate.enter(SCOPE, 1)).to.equal(undefined)
    chai.expect(deposed).to.deep.equal([2, 2])
  })

  it('replies with its own incarnation to a request for a former one at its address to retire', () => {
    chai.expect(handleRetire({ incarnation: 'a-1', scope: SCOPE, fence: 2 }, 'a-2', new SendGate(), () => {}))
      .to.deep.equal({ incarnation: 'a-2', retired: true })
  })
})

describe('PeerRetirement', () => {
  it('assumes that an unreachable holder can still send while its VM is listed', async () => {
    const { retirement, vms } = harness(noReply)
    vms.records.set('10.0.0.1:80', { address: '10.0.0.1:80', domain: 'd', state: 'live' })
    chai.expect(await retirement.isRetired('a-1', SCOPE, 2)).to.equal(false)
    vms.records.clear()
    chai.expect(await retirement.isRetired('a-1', SCOPE, 2)).to.equal(true)
  })

  it('does not assume that a VM was removed while the list may lag or is unavailable', async () => {
    const { retirement, vms, time } = harness(noReply)
    chai.expect(await retirement.isRetired('a-1', SCOPE, 2)).to.equal(false)
    await time.advance(VM_LIST_LAG_MS - 1)
    chai.expect(await retirement.isRetired('a-1', SCOPE, 2)).to.equal(false)
    vms.down = true
    await time.advance(1)
    chai.expect(await retirement.isRetired('a-1', SCOPE, 2)).to.equal(false)
    vms.down = false
    chai.expect(await retirement.isRetired('a-1', SCOPE, 2)).to.equal(true)
  })

  it('accepts a reply of a new incarnation at the address as evidence of retirement', async () => {
    const { retirement } = harness(async () => Ok({ incarnation: 'a-2', retired: false }))
    chai.expect(await retirement.isRetired('a-1', SCOPE, 2)).to.equal(true)
  })

  it('does not accept a negative or malformed reply as evidence of retirement', async () => {
    chai.expect(await harness(async () => Ok({ incarnation: 'a-1', retired: false })).retirement.isRetired('a-1', SCOPE, 2)).to.equal(false)
    chai.expect(await harness(async () => Ok({ retired: true })).retirement.isRetired('a-1', SCOPE, 2)).to.equal(false)
  })
})

type Call = () => Promise<Result<unknown, PeerError>>

const noReply: Call = async () => Err({ kind: 'timeout', message: 'no reply' })

function harness (call: Call): { time: VirtualTime, vms: MemoryVms, retirement: PeerRetirement } {
  const time = new VirtualTime()
  const vms = new MemoryVms()
  const peers: PeerClient = { call: async <T>() => await call() as Result<T, PeerError> }
  return { time, vms, retirement: new PeerRetirement({ env: time.env(1), peers, vms, addressOf: () => '10.0.0.1:81' }) }
}
