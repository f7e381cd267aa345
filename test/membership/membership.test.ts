import * as chai from 'chai'
import { configMembers } from '../../src/daemon/member-views.js'
import { ADVISED_WITHIN_MS, adviseEntries, STOP_HOLD_MS, stopGracefully, type Member, type MemberState } from '../../src/membership/index.js'
import { SeededRandom, VirtualTime } from '../../src/time/index.js'
import { MemberNet, advisedAddresses, memberSeenBy, stateSeenBy } from './member-net.js'

describe('membership', () => {
  it('discovers all entries through the VM list', async () => {
    const net = new MemberNet()
    const nodes = await net.startAll(4)
    for (const node of nodes) chai.expect(advisedAddresses(node)).to.deep.equal(['e0', 'e1', 'e2', 'e3'])
  })

  it('no longer recommends an entry 3 s after its end, whether its address refuses connections or does not reply', async () => {
    for (const isPaused of [false, true]) {
      const net = new MemberNet()
      const nodes = await net.startAll(4)
      if (isPaused) net.paused.add('e3')
      else await net.kill(nodes[3]!)
      await net.time.advance(ADVISED_WITHIN_MS + 1)
      for (const node of nodes.slice(0, 3)) chai.expect(advisedAddresses(node)).to.deep.equal(['e0', 'e1', 'e2'])
      await net.time.advance(2_000)
      chai.expect(stateSeenBy(nodes[0]!, nodes[3]!)).to.equal('dead')
      const { incarnation } = memberSeenBy(nodes[0]!, nodes[3]!)!
      chai.expect(nodes[0]!.child.membership.terminationEvidence(incarnation)).to.equal(isPaused ? undefined : 'refused')
    }
  })

  it('notes that the process of a dead entry has terminated once its address refuses connections', async () => {
    const net = new MemberNet()
    const nodes = await net.startAll(3)
    const { incarnation } = memberSeenBy(nodes[0]!, nodes[2]!)!
    net.paused.add('e2')
    await net.time.advance(8_000)
    chai.expect(nodes[0]!.child.membership.terminationEvidence(incarnation)).to.equal(undefined)
    net.paused.delete('e2')
    await net.kill(nodes[2]!)
    await net.time.advance(1_000)
    chai.expect(nodes[0]!.child.membership.terminationEvidence(incarnation)).to.equal('refused')
  })

  it('lets a suspected entry refute the suspicion, and one considered dead return as the same incarnation', async () => {
    for (const outageMs of [1_700, 20_000]) {
      const net = new MemberNet()
      const nodes = await net.startAll(4)
      const incarnation = memberSeenBy(nodes[0]!, nodes[3]!)!.incarnation
      const states = new Set<MemberState | undefined>()
      using _watch = nodes[0]!.child.membership.subscribe(({ member }) => { if (member.id === 'e3') states.add(member.state) })
      net.canReach = (from, to) => from !== 'e3' && to !== 'e3'
      await net.time.advance(outageMs)
      net.canReach = () => true
      await net.time.advance(4_000)
      chai.expect([...states]).to.deep.equal(outageMs < 2_000 ? ['suspect', 'alive'] : ['suspect', 'dead', 'alive'])
      for (const node of nodes) chai.expect(advisedAddresses(node)).to.have.length(4)
      chai.expect(memberSeenBy(nodes[0]!, nodes[3]!)!.incarnation).to.equal(incarnation)
    }
  })

  it('does not suspect an entry that it cannot reach itself but others can', async () => {
    const net = new MemberNet()
    const nodes = await net.startAll(4)
    const pair = new Set(['e0', 'e3'])
    net.canReach = (from, to) => !(pair.has(from) && pair.has(to))
    for (let step = 0; step < 40; step++) {
      await net.time.advance(250)
      chai.expect(stateSeenBy(nodes[0]!, nodes[3]!)).to.equal('alive')
      chai.expect(advisedAddresses(nodes[0]!)).to.have.length(4)
    }
  })

  it('recommends only entries on its own side of a partition, and all entries after it', async () => {
    const net = new MemberNet()
    const nodes = await net.startAll(4)
    const isFirstSide = (address: string): boolean => address < 'e2'
    net.canReach = (from, to) => isFirstSide(from) === isFirstSide(to)
    await net.time.advance(10_000)
    chai.expect(nodes.map(advisedAddresses)).to.deep.equal([['e0', 'e1'], ['e0', 'e1'], ['e2', 'e3'], ['e2', 'e3']])
    net.canReach = () => true
    await net.time.advance(5_000)
    for (const node of nodes) chai.expect(advisedAddresses(node)).to.have.length(4)
  })

  it('considers a former incarnation terminated only when a later one replies at the same address', async () => {
    for (const address of ['e3', 'elsewhere']) {
      const net = new MemberNet()
      const nodes = await net.startAll(4)
      await net.time.advance(10_000)
      const former = memberSeenBy(nodes[0]!, nodes[3]!)!.incarnation
      await net.kill(nodes[3]!)
      if (address === 'e3') await net.time.advance(100)
      else net.listening.set('e3', nodes[3]!.peers)
      const next = await net.start({ id: 'e3', epoch: 0, address })
      await net.time.advance(4_000)
      chai.expect(memberSeenBy(nodes[0]!, next)!.incarnation).not.to.equal(former)
      chai.expect(advisedAddresses(nodes[0]!)).to.include(address)
      chai.expect(nodes[0]!.child.membership.terminationEvidence(former)).to.equal(address === 'e3' ? 'replaced' : undefined)
    }
  })

  it('considers a VM that the platform no longer lists terminated once it does not reply either', async () => {
    const net = new MemberNet()
    const nodes = await net.startAll(4)
    net.paused.add('e3')
    net.vms.records.delete('e3')
    const { incarnation } = memberSeenBy(nodes[0]!, nodes[3]!)!
    await net.time.advance(2_500)
    chai.expect(nodes[0]!.child.membership.terminationEvidence(incarnation)).to.equal(undefined)
    await net.time.advance(2_000)
    chai.expect(nodes[0]!.child.membership.terminationEvidence(incarnation)).to.equal('unlisted')
    chai.expect(stateSeenBy(nodes[0]!, nodes[3]!)).to.equal('dead')
  })

  it('does not consider an entry terminated that still replies, even when its VM is not listed', async () => {
    const net = new MemberNet()
    const nodes = await net.startAll(4)
    net.vms.records.delete('e3')
    await net.time.advance(5_000)
    chai.expect(stateSeenBy(nodes[0]!, nodes[3]!)).to.equal('alive')
    chai.expect(nodes[0]!.child.membership.terminationEvidence(memberSeenBy(nodes[0]!, nodes[3]!)!.incarnation)).to.equal(undefined)
  })

  it('does not recommend an entry whose VM is leaving, and notifies that entry once', async () => {
    const net = new MemberNet()
    const nodes = await net.startAll(4)
    net.vms.records.set('e3', { ...net.vms.records.get('e3')!, state: 'leaving' })
    await net.time.advance(2_100)
    chai.expect(advisedAddresses(nodes[0]!)).to.deep.equal(['e0', 'e1', 'e2'])
    chai.expect(nodes.map((node) => node.leavingNotices)).to.deep.equal([0, 0, 0, 1])
  })

  it('counts a listed VM that never replied as another process, and as terminated only while it refuses connections', async () => {
    const net = new MemberNet()
    const nodes = await net.startAll(2)
    net.vms.records.set('silent', { address: 'silent', peer_address: 'silent', domain: 'd', state: 'live' })
    net.vms.records.set('empty', { address: 'empty', peer_address: 'empty', domain: 'd', state: 'live' })
    net.paused.add('silent')
    await net.time.advance(8_000)
    const others = configMembers(nodes[0]!.child.membership).others()
    chai.expect(others.map(({ name, alive, terminated }) => `${name} ${alive} ${terminated}`)).to.have.members(['e1 true false', 'silent false false', 'empty false true'])
  })

  it('never reports a contact later than the last one, however much messages are delayed', async () => {
    const net = new MemberNet()
    const nodes = await net.startAll(6)
    const random = new SeededRandom(4)
    net.latencyMs = () => random.next() * 240
    await net.time.advance(2_000)
    const killedAt = net.time.now()
    await net.kill(nodes[5]!)
    await net.time.advance(2_500)
    for (const node of nodes.slice(0, 5)) chai.expect(memberSeenBy(node, nodes[5]!)!.lastContactMs).to.be.at.most(killedAt)
  })

  it('keeps recommending all of 60 entries, by contacts that other entries report', async () => {
    const net = new MemberNet()
    const nodes = await net.startAll(60)
    let missing = 0
    for (let step = 0; step < 10; step++) {
      await net.time.advance(500)
      for (const node of nodes) {
        const now = net.time.now()
        missing += node.child.membership.members().filter((member) => now - member.lastContactMs > ADVISED_WITHIN_MS).length
      }
    }
    chai.expect(missing).to.be.at.most(0.01 * 10 * 60 * 60)
  })

  it('transports generations and extra values, with a time before which the value was not read', async () => {
    const net = new MemberNet()
    const nodes = await net.startAll(2)
    const received: number[] = []
    nodes[1]!.child.membership.addExtra('proof', { read: () => 7, accept: () => {} })
    nodes[0]!.child.membership.addExtra('proof', { read: () => undefined, accept: (_from, value, notBefore) => { if (value === 7) received.push(notBefore) } })
    nodes[1]!.generation = 12
    await net.time.advance(1_000)
    chai.expect(memberSeenBy(nodes[0]!, nodes[1]!)!.configGeneration).to.equal(12)
    chai.expect(Math.max(...received)).to.be.within(net.time.now() - 600, net.time.now())
  })
})

describe('a planned stop', () => {
  it('ends recommendations of the entry, which accepts requests until the last recommendation has expired', async () => {
    const net = new MemberNet()
    const nodes = await net.startAll(4)
    const leavingNode = nodes[3]!
    net.canReach = (from, to) => from !== 'e0' && to !== 'e0'
    const startedAt = net.time.now()
    let finishedAt = Infinity
    stopGracefully({
      announceLeaving: () => leavingNode.child.membership.announce('leaving'),
      finish: async () => { finishedAt = net.time.now() },
      announceLeft: async () => await leavingNode.child.announceLeft()
    }, net.time).catch(() => {})
    let expiresAt = 0
    while (net.time.now() < startedAt + STOP_HOLD_MS + 100) {
      for (const node of nodes.slice(0, 3)) {
        const { entries, ttl_ms: ttlMs } = node.child.advise(undefined)
        if (entries.some((entry) => entry.address === 'e3')) expiresAt = net.time.now() + ttlMs
      }
      await net.time.advance(100)
      if (net.time.now() === startedAt + 1_500) chai.expect(advisedAddresses(nodes[1]!)).not.to.include('e3')
    }
    chai.expect(expiresAt).to.be.above(startedAt + 15_000)
    chai.expect(finishedAt).to.be.within(expiresAt, Infinity)
    await net.time.advance(1_000)
    chai.expect(stateSeenBy(nodes[1]!, leavingNode)).to.equal('left')
    chai.expect(nodes[1]!.child.membership.terminationEvidence(leavingNode.child.membership.self.incarnation)).to.equal('left')
  })

  it('finishes the running requests before it announces that it has ended', async () => {
    const time = new VirtualTime()
    const steps: string[] = []
    stopGracefully({
      announceLeaving: () => steps.push('leaving'),
      finish: async () => { await new Promise<void>((resolve) => { time.after(500, resolve) }); steps.push('finished') },
      announceLeft: async () => { steps.push('left') }
    }, time, 100).catch(() => {})
    await time.advance(200)
    chai.expect(steps).to.deep.equal(['leaving'])
    await time.advance(500)
    chai.expect(steps).to.deep.equal(['leaving', 'finished', 'left'])
  })
})

describe('adviseEntries', () => {
  const member = (id: string, domain: string, extra: Partial<Member> = {}): Member => ({
    id, incarnation: id, address: id, peerAddress: id, domain, region: domain.slice(0, 1), state: 'alive', lastContactMs: 9_000, configGeneration: 1, freeCapacity: 1, ...extra
  })
  const advise = (members: Member[], domain?: string): string[] => (
    adviseEntries({ members, self: members[0]!, domain, now: 10_000, isVmLeaving: () => false }, new SeededRandom(1)).map((entry) => entry.address)
  )

  it('lists the failure domain of the caller first, then its region', () => {
    chai.expect(advise([member('x', 'b1'), member('y', 'a2'), member('z', 'a1')], 'a1')).to.deep.equal(['z', 'y', 'x'])
  })

  it('leaves out entries that are unreachable, suspected, leaving, left or dead', () => {
    const states: MemberState[] = ['suspect', 'leaving', 'left', 'dead']
    const others = states.map((state) => member(state, 'a1', { state }))
    chai.expect(advise([member('x', 'a1'), member('old', 'a1', { lastContactMs: 6_900 }), ...others])).to.deep.equal(['x'])
  })

  it('lists an entry with more free capacity first more often', () => {
    const random = new SeededRandom(2)
    const members = [member('x', 'a1', { freeCapacity: 0.9 }), member('y', 'a1', { freeCapacity: 0.1 })]
    const firsts = Array.from({ length: 400 }, () => adviseEntries({ members, self: members[0]!, domain: 'a1', now: 10_000, isVmLeaving: () => false }, random)[0]!.address)
    chai.expect(firsts.filter((first) => first === 'x').length).to.be.within(320, 400)
  })
})
