import * as chai from 'chai'
import { Membership, type MemberRecord } from '../../src/membership/index.js'
import { supersedes } from '../../src/membership/precedence.js'
import { VirtualTime } from '../../src/time/index.js'

describe('supersedes', () => {
  it('ignores records of former incarnations and of lower versions', () => {
    chai.expect(supersedes(record({ incarnation: 'old', epoch: 1, version: 9, state: 'dead' }), record({ epoch: 2 }))).to.equal(false)
    chai.expect(supersedes(record({ version: 1, state: 'suspect' }), record({ version: 2 }))).to.equal(false)
    chai.expect(supersedes(record({ version: 2 }), record({ version: 1, state: 'dead' }))).to.equal(true)
  })

  it('keeps the announcement that an incarnation has left, in whichever order records arrive', () => {
    chai.expect(supersedes(record({ version: 9 }), record({ version: 1, state: 'left' }))).to.equal(false)
    chai.expect(supersedes(record({ version: 1, state: 'left' }), record({ version: 9, state: 'suspect' }))).to.equal(true)
  })
})

describe('Membership', () => {
  it('tells a suspected entry of the suspicion, even when that update is no longer gossiped', () => {
    const { viewer, other } = pair()
    viewer.handlePing({ ...other.buildPing('v'), updates: [record({ id: 'o', state: 'suspect' })] })
    for (let message = 0; message < 20; message++) viewer.buildPing('elsewhere')
    chai.expect(other.handlePing(viewer.buildPing('o')).from.record.version).to.equal(1)
  })

  it('dates a contact by the time at which the ping was sent, not by the arrival of the reply', async () => {
    const { viewer, other, time } = pair()
    const ack = other.handlePing(viewer.buildPing('o'))
    await time.advance(400)
    viewer.handleAck('o', ack, 0)
    chai.expect(viewer.member('o')?.lastContactMs).to.equal(0)
  })

  it('does not raise its epoch above that of a later process of its name once it has run for a while', async () => {
    const { viewer, other, time } = pair()
    const laterRecord = record({ id: 'v', incarnation: 'v2', epoch: 5 })
    await time.advance(60_000)
    viewer.handlePing({ ...other.buildPing('v'), updates: [laterRecord] })
    chai.expect(viewer.epoch).to.equal(1)
  })
})

function pair (): { viewer: Membership, other: Membership, time: VirtualTime } {
  const time = new VirtualTime()
  return { viewer: new Membership(time.env(1), record({ id: 'v' })), other: new Membership(time.env(2), record({ id: 'o' })), time }
}

function record (extra: Partial<MemberRecord>): MemberRecord {
  const id = extra.id ?? 'x'
  return { id, incarnation: `${id}1`, epoch: 1, version: 0, state: 'alive', address: id, peer: id, domain: 'd', region: 'r', ...extra }
}
