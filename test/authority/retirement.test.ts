import * as chai from 'chai'
import { handleRetire, PeerRetirement, SendGate, VM_LIST_LAG_MS } from '../../src/authority/index.js'
import { Err, Ok, type Result } from '../../src/errors/index.js'
import type { PeerClient, PeerError } from '../../src/peer/index.js'
import { MemoryVms } from '../../src/standin/index.js'
import { VirtualTime } from '../../src/time/index.js'

const SCOPE = 'r/roles/s'

describe('answerRetire', () => {
  it('does not confirm while a send under a lower fencing number is in flight', () => {
    const gate = new SendGate()
    const deposed: number[] = []
    const ask = (): boolean => handleRetire({ incarnation: 'a-1', scope: SCOPE, fence: 2 }, 'a-1', gate, (_, fence) => deposed.push(fence)).retired
    const pass = gate.enter(SCOPE, 1)
    chai.expect(ask()).to.equal(false)
    pass?.[Symbol.dispose]()
    chai.expect(ask()).to.equal(true)
    chai.expect(gate.enter(SCOPE, 1)).to.equal(undefined)
    chai.expect(deposed).to.deep.equal([2, 2])
  })

  it('names its own incarnation when another one is asked for', () => {
    chai.expect(handleRetire({ incarnation: 'a-1', scope: SCOPE, fence: 2 }, 'a-2', new SendGate(), () => {}))
      .to.deep.equal({ incarnation: 'a-2', retired: true })
  })
})

describe('PeerRetirement', () => {
  it('takes a listed VM that does not answer for able to send', async () => {
    const { proof, vms } = harness(silent)
    vms.records.set('10.0.0.1:80', { address: '10.0.0.1:80', domain: 'd', state: 'live' })
    chai.expect(await proof.isRetired('a-1', SCOPE, 2)).to.equal(false)
    vms.records.clear()
    chai.expect(await proof.isRetired('a-1', SCOPE, 2)).to.equal(true)
  })

  it('does not take a VM for gone that the lagging list may not show yet, or while the list is down', async () => {
    const { proof, vms, time } = harness(silent)
    chai.expect(await proof.isRetired('a-1', SCOPE, 2)).to.equal(false)
    await time.advance(VM_LIST_LAG_MS - 1)
    chai.expect(await proof.isRetired('a-1', SCOPE, 2)).to.equal(false)
    vms.down = true
    await time.advance(1)
    chai.expect(await proof.isRetired('a-1', SCOPE, 2)).to.equal(false)
    vms.down = false
    chai.expect(await proof.isRetired('a-1', SCOPE, 2)).to.equal(true)
  })

  it('accepts a new incarnation at the address as proof', async () => {
    const { proof } = harness(async () => Ok({ incarnation: 'a-2', retired: false }))
    chai.expect(await proof.isRetired('a-1', SCOPE, 2)).to.equal(true)
  })

  it('does not accept a refusal or a malformed answer', async () => {
    chai.expect(await harness(async () => Ok({ incarnation: 'a-1', retired: false })).proof.isRetired('a-1', SCOPE, 2)).to.equal(false)
    chai.expect(await harness(async () => Ok({ retired: true })).proof.isRetired('a-1', SCOPE, 2)).to.equal(false)
  })
})

type Call = () => Promise<Result<unknown, PeerError>>

const silent: Call = async () => Err({ kind: 'timeout', message: 'silent' })

function harness (call: Call): { time: VirtualTime, vms: MemoryVms, proof: PeerRetirement } {
  const time = new VirtualTime()
  const vms = new MemoryVms()
  const peers: PeerClient = { call: async <T>() => await call() as Result<T, PeerError> }
  return { time, vms, proof: new PeerRetirement({ env: time.env(1), peers, vms, addressOf: () => '10.0.0.1:81' }) }
}
