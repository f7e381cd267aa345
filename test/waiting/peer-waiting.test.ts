import * as chai from 'chai'
import type * as exchange from '../../src/exchange/index.js'
import * as time from '../../src/time/index.js'
import * as waiting from '../../src/waiting/index.js'

const link = (gateway: string, kind: exchange.LinkKind): exchange.Link => ({ gateway, incarnation: '1', kind })

describe('the topic of waiting calls', () => {
  const setUp = (): { readonly virtual: time.VirtualTime, readonly gateways: Record<'member' | 'relay' | 'fellow', waiting.PeerWaiting>, readonly rows: Record<string, waiting.WaitingRow[]>, readonly pass: () => number } => {
    const virtual = new time.VirtualTime()
    const rows: Record<string, waiting.WaitingRow[]> = { member: [], relay: [], fellow: [] }
    const create = (name: string): waiting.PeerWaiting => new waiting.PeerWaiting({ clock: virtual, ownRows: () => rows[name]! })
    const gateways = { member: create('member'), relay: create('relay'), fellow: create('fellow') }
    const positions = new Map<string, number>()
    // Passes what one gateway tells another, whose link to it has `kind` at the receiver; returns the number of messages.
    const tell = (from: keyof typeof gateways, to: keyof typeof gateways, kindOfReceiver: exchange.LinkKind, kindOfSender: exchange.LinkKind): number => {
      const changes = gateways[from].changesSince(link(to, kindOfReceiver), positions.get(from + to))
      if (changes === undefined) return 0
      gateways[to].apply(link(from, kindOfSender), JSON.parse(JSON.stringify(changes.payload)))
      positions.set(from + to, changes.next)
      return 1
    }
    const pass = (): number => tell('member', 'relay', 'relay', 'member') + tell('relay', 'fellow', 'fellow', 'fellow') + tell('fellow', 'relay', 'fellow', 'fellow') + tell('relay', 'member', 'member', 'relay')
    return { virtual, gateways, rows, pass }
  }

  it('tells each gateway what waits at all others, and nobody what it has told itself', () => {
    const { gateways, rows, pass } = setUp()
    rows['member'] = [['s', 3, 1, 100]]
    rows['relay'] = [['s', 3, 1, 20], ['other', 3, 1, 7]]
    rows['fellow'] = [['s', 1, 2, 3]]
    pass()
    const seen = Object.values(gateways).map((topic) => [topic.others('s').workAt(3), topic.others('s').workAbove(3)])
    chai.expect(seen).to.deep.equal([[20, 3], [100, 3], [120, 0]])
  })

  it('sends nothing while nothing waits, one empty message after it, and forgets what is not repeated', async () => {
    const { virtual, gateways, rows, pass } = setUp()
    chai.expect(pass()).to.equal(0)
    rows['member'] = [['s', 3, 1, 100]]
    chai.expect(pass()).to.equal(2)
    rows['member'] = []
    chai.expect([pass(), pass()]).to.deep.equal([2, 0])
    rows['member'] = [['s', 3, 1, 100]]
    pass()
    await virtual.advance(1_001)
    chai.expect(gateways.relay.others('s').workAbove(99)).to.equal(0)
    pass()
    gateways.relay.linkEnded(link('member', 'member'))
    chai.expect(gateways.relay.others('s').workAbove(99)).to.equal(0)
  })

  it('bounds the rows of a message and rejects longer ones', () => {
    const { gateways, rows } = setUp()
    rows['member'] = Array.from({ length: 100 }, (_, index): waiting.WaitingRow => [`s${index}`, 0, 1, 1])
    const payload = gateways.member.changesSince(link('relay', 'relay'), undefined)!.payload as unknown[]
    chai.expect(payload).to.have.length(64)
    chai.expect(() => gateways.relay.apply(link('member', 'member'), [...payload, ['s', 0, 1, 1]])).to.throw()
  })
})
