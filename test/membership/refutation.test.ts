import * as chai from 'chai'
import { Membership, type MemberRecord } from '../../src/membership/index.js'
import { supersedes } from '../../src/membership/precedence.js'
import { VirtualTime } from '../../src/time/index.js'

describe('supersedes', () => {
  it('drops records of former incarnations and of lower versions', () => {
    chai.expect(supersedes(record({ incarnation: 'old', epoch: 1, version: 9, state: 'dead' }), record({ epoch: 2 }))).to.equal(false)
    chai.expect(supersedes(record({ version: 1, state: 'suspect' }), record({ version: 2 }))).to.equal(false)
    chai.expect(supersedes(record({ version: 2 }), record({ version: 1, state: 'dead' }))).to.equal(true)
  })

  it('keeps the last announcement of an incarnation, however late others arrive', () => {
    chai.expect(supersedes(record({ version: 9 }), record({ version: 1, state: 'left' }))).to.equal(false)
    chai.expect(supersedes(record({ version: 1, state: 'left' }), record({ version: 9, state: 'suspect' }))).to.equal(true)
  })
})

describe('Membership', () => {
  it('tells a suspected entry of the suspicion, even when the news has been spread long ago', () => {
    const { viewer, other } = pair()
    viewer.pinged({ ...other.ping('v'), updates: [record({ id: 'o', state: 'suspect' })] })
    for (let message = 0; message < 20; message++) viewer.ping('elsewhere')
    chai.expect(other.pinged(viewer.ping('o')).from.record.version).to.equal(1)
  })

  it('dates an answer by when it was asked for, not by when it arrived', async () => {
    const { viewer, other, time } = pair()
    const ack = other.pinged(viewer.ping('o'))
    await time.advance(400)
    viewer.acked('o', ack, 0)
    chai.expect(viewer.member('o')?.lastContactMs).to.equal(0)
  })

  it('does not contend with a later process of its name once it has run for a while', async () => {
    const { viewer, other, time } = pair()
    const later = record({ id: 'v', incarnation: 'v2', epoch: 5 })
    await time.advance(60_000)
    viewer.pinged({ ...other.ping('v'), updates: [later] })
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
