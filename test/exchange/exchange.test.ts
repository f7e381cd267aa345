import * as chai from 'chai'
import * as exchange from '../../src/exchange/index.js'
import * as build from '../support/gateway-builders.js'
import * as regions from '../support/gateway-region.js'

/** Age up to which the load of other gateways must be known where it decides, in ms. */
const LOAD_AGE_MS = 250

async function regionOf (count: number): Promise<{ region: regions.Region, gateways: regions.RegionGateway[] }> {
  const region = new regions.Region()
  await region.write(regions.CONFIG_KEY, '1')
  await region.write(`${regions.TARGETS_PREFIX}e1`, JSON.stringify(build.aTarget('e1', { stage: 'decode' })))
  const gateways = region.startMany(count)
  await region.virtual.advance(5_000)
  return { region, gateways }
}

function relaysOf (gateways: readonly regions.RegionGateway[]): regions.RegionGateway[] {
  return gateways.filter((gateway) => gateway.running && gateway.exchange.isRelay)
}

function loadSeen (gateway: regions.RegionGateway): number {
  return gateway.fleet.peerLoad.running('e1')
}

describe('planRelays', () => {
  const candidates = (count: number): exchange.RelayCandidate[] => Array.from({ length: count }, (_, index) => ({ name: `g${index}`, domain: `d${index % 3}` }))

  it('makes each of a few gateways a relay, and the same few of many', () => {
    const plansOf = (count: number): exchange.RelayPlan[] => candidates(count).map((self, index) => exchange.planRelays(self, candidates(count).filter((_, other) => other !== index)))
    chai.expect(plansOf(8).every((plan) => plan.relay === undefined && plan.fellows.length === 7)).to.equal(true)
    const relays = plansOf(80).filter((plan) => plan.relay === undefined)
    chai.expect(relays).to.have.length(6)
    chai.expect(new Set(plansOf(80).flatMap((plan) => plan.relay ?? [])).size).to.equal(6)
  })

  it('gives each member a relay of its own failure domain', () => {
    const all = candidates(40)
    for (const self of all) {
      const plan = exchange.planRelays(self, all.filter((other) => other !== self))
      if (plan.relay !== undefined) chai.expect(all.find((other) => other.name === plan.relay)!.domain).to.equal(self.domain)
    }
  })
})

describe('exchange', () => {
  for (const count of [4, 30, 78]) {
    it(`tells each of ${count} gateways the load of all others, without counting its own`, async () => {
      const { region, gateways } = await regionOf(count)
      for (const gateway of gateways) gateway.target('e1')!.running = 2
      await region.virtual.advance(LOAD_AGE_MS + 100)
      for (const gateway of gateways) chai.expect(loadSeen(gateway), gateway.name).to.equal(2 * (count - 1))
      gateways[0]!.target('e1')!.running = 7
      await region.virtual.advance(LOAD_AGE_MS + 100)
      for (const gateway of gateways.slice(1)) chai.expect(loadSeen(gateway), gateway.name).to.equal(2 * (count - 2) + 7)
    })
  }

  it('keeps the calls and bytes of a member flat while the number of gateways grows', async () => {
    const costs: Array<{ calls: number, bytes: number }> = []
    for (const count of [30, 78]) {
      const { region, gateways } = await regionOf(count)
      for (const gateway of gateways) Object.assign(gateway.traffic, { sent: 0, received: 0, bytes: 0 })
      await region.virtual.advance(2_000)
      const members = gateways.filter((gateway) => !gateway.exchange.isRelay)
      costs.push({ calls: members[0]!.traffic.sent + members[0]!.traffic.received, bytes: members[0]!.traffic.bytes })
      // A relay calls and is called by up to 15 members and the other relays; each poll of all by all would be 308 a second at 78.
      for (const relay of relaysOf(gateways)) chai.expect((relay.traffic.sent + relay.traffic.received) / 2, relay.name).to.be.below(300)
    }
    chai.expect(costs[1]!.calls).to.be.at.most(costs[0]!.calls * 1.2)
    chai.expect(costs[1]!.calls).to.be.below(25)
    chai.expect(costs[1]!.bytes).to.be.at.most(costs[0]!.bytes * 1.5)
  })

  it('replaces a killed relay: its members get the load of all others from another one', async () => {
    const { region, gateways } = await regionOf(30)
    for (const gateway of gateways) gateway.target('e1')!.running = 1
    const relay = relaysOf(gateways)[0]!
    region.kill(relay.name)
    await region.virtual.advance(2_500)
    const alive = gateways.filter((gateway) => gateway !== relay)
    for (const gateway of alive) chai.expect(loadSeen(gateway), gateway.name).to.equal(28)
    chai.expect(alive.some((gateway) => gateway.roster.ready().some((record) => record.name === relay.name))).to.equal(false)
  })

  it('takes a gateway for gone within 1.5 s after it was killed, and for back when it runs again, also as a relay', async () => {
    const { region, gateways } = await regionOf(30)
    for (const victim of [relaysOf(gateways)[0]!, gateways.find((gateway) => !gateway.exchange.isRelay)!]) {
      region.kill(victim.name)
      await region.virtual.advance(2_300)
      const others = gateways.filter((gateway) => gateway.running)
      for (const other of others) chai.expect(other.directory.addresses(), `${other.name} about ${victim.name}`).not.to.include(`${victim.name}:1`)
      region.start(victim.name, `${victim.name}-2`, victim.domain)
      await region.virtual.advance(2_500)
      for (const other of others) chai.expect(other.directory.addresses(), `${other.name} about ${victim.name}`).to.include(`${victim.name}:1`)
      gateways[gateways.indexOf(victim)] = region.gateways.get(victim.name)!
    }
  })

  it('does not take a gateway for gone that moved from one relay to another', async () => {
    const { region, gateways } = await regionOf(30)
    const relay = relaysOf(gateways)[0]!
    const member = gateways.find((gateway) => !gateway.exchange.isRelay && gateway.domain === relay.domain)!
    region.cuts.add(`${member.name}>${relay.name}`)
    for (let step = 0; step < 40; step++) {
      await region.virtual.advance(100)
      if (step < 15) continue
      for (const other of gateways) {
        if (other !== member && other !== relay) chai.expect(other.directory.addresses(), `${other.name} after ${step}`).to.include(`${member.name}:1`)
      }
    }
  })

  for (const count of [3, 8]) {
    it(`joins a gateway again that was cut off from all ${count - 1} others for a while`, async () => {
      const { region, gateways } = await regionOf(count)
      const others = gateways.slice(0, -1)
      const cutOff = gateways[count - 1]!
      for (const other of others) for (const cut of [`${cutOff.name}>${other.name}`, `${other.name}>${cutOff.name}`]) region.cuts.add(cut)
      await region.virtual.advance(8_000)
      for (const other of others) chai.expect(other.directory.addresses(), other.name).not.to.include(`${cutOff.name}:1`)
      region.cuts.clear()
      await region.virtual.advance(4_000)
      for (const gateway of gateways) chai.expect(gateway.directory.addresses().length, gateway.name).to.equal(count)
    })
  }

  it('gives all callers other gateways when all have lost power and return', async () => {
    const { region, gateways } = await regionOf(30)
    for (const gateway of gateways) region.kill(gateway.name)
    await region.virtual.advance(3_000)
    const restarted = gateways.map((gateway) => region.start(gateway.name, `${gateway.name}-2`, gateway.domain))
    await region.virtual.advance(1_500)
    for (const gateway of restarted) chai.expect(gateway.directory.addresses().length, gateway.name).to.equal(30)
    for (const gateway of restarted) gateway.target('e1')!.running = 1
    await region.virtual.advance(1_000)
    for (const gateway of restarted) chai.expect(loadSeen(gateway), gateway.name).to.equal(29)
  })

  it('reads the store from a few gateways only, and gives all a new configuration and a leaving target in time', async () => {
    const { region, gateways } = await regionOf(78)
    for (const gateway of gateways) Object.assign(gateway.traffic, { storeReads: 0, storeWrites: 0 })
    await region.virtual.advance(10_000)
    const reads = gateways.reduce((sum, gateway) => sum + gateway.traffic.storeReads, 0)
    chai.expect(reads / 10 / 78, 'reads a second and gateway').to.be.below(0.5)
    await region.write(regions.CONFIG_KEY, '2')
    await region.write(`${regions.TARGETS_PREFIX}e1`, JSON.stringify(build.aTarget('e1', { stage: 'decode', leaving: true })))
    await region.virtual.advance(Math.min(regions.CONFIG_BOUND_MS, regions.LEAVE_BOUND_MS) - 100)
    for (const gateway of gateways) {
      chai.expect(gateway.feed.current()!.config.version, gateway.name).to.equal(2)
      chai.expect(gateway.target('e1')!.record.leaving, gateway.name).to.equal(true)
    }
  })

  for (const { name, harm } of [
    { name: 'are killed', harm: (region: regions.Region, relays: regions.RegionGateway[]) => { for (const relay of relays) region.kill(relay.name) } },
    { name: 'are cut off from the store', harm: (_: regions.Region, relays: regions.RegionGateway[]) => { for (const relay of relays) relay.storeReachable = false } },
    {
      name: 'are cut off from all other gateways',
      harm: (region: regions.Region, relays: regions.RegionGateway[]) => {
        for (const relay of relays) for (const other of region.gateways.keys()) region.cuts.add(`${relay.name}>${other}`).add(`${other}>${relay.name}`)
      }
    }
  ]) {
    it(`puts a configuration in force everywhere in time when all relays ${name} as it is written`, async () => {
      const { region, gateways } = await regionOf(30)
      const relays = relaysOf(gateways)
      harm(region, relays)
      await region.write(regions.CONFIG_KEY, '2')
      await region.virtual.advance(regions.CONFIG_BOUND_MS - 100)
      for (const gateway of gateways) {
        if (gateway.running && gateway.storeReachable) chai.expect(gateway.feed.current()!.config.version, gateway.name).to.equal(2)
        if (gateway.running && gateway.storeReachable) chai.expect(gateway.feed.freshness.ageMs, gateway.name).to.be.below(regions.CONFIG_BOUND_MS)
      }
    })
  }

  for (const outageMs of [3_200, 6_000]) {
    it(`keeps a target whose record expired while the store was away for ${outageMs} ms, at relays and members, and drops it when it does not return`, async () => {
      const { region, gateways } = await regionOf(30)
      for (const gateway of gateways) gateway.storeReachable = false
      await region.virtual.advance(outageMs - 100)
      const { key, version } = region.store.peek(`${regions.TARGETS_PREFIX}e1`)!
      await Promise.all([region.store.delete(key, version), region.virtual.advance(100)])
      for (const gateway of gateways) gateway.storeReachable = true
      for (let step = 0; step < 19; step++) {
        await region.virtual.advance(100)
        for (const gateway of gateways) chai.expect(gateway.target('e1')?.acceptsCalls(region.virtual.now()), `${gateway.name} after ${step}`).to.equal(true)
      }
      await region.virtual.advance(1_500)
      for (const gateway of gateways) chai.expect(gateway.target('e1')?.acceptsCalls(region.virtual.now()) ?? false, gateway.name).to.equal(false)
    })
  }

  for (const late of ['relays', 'members']) {
    it(`keeps a target whose record a restore has lost, and one that came since, when ${late} learn of the restore later than the others`, async () => {
      const { region, gateways } = await regionOf(30)
      const accepting = (id: string): string[] => gateways.filter((gateway) => gateway.target(id)?.acceptsCalls(region.virtual.now())).map((gateway) => gateway.name)
      const writeTarget = async (id: string): Promise<void> => await region.write(`${regions.TARGETS_PREFIX}${id}`, JSON.stringify(build.aTarget(id, { stage: 'decode' })))
      const copy = region.store.copy()
      await writeTarget('e2')
      await region.virtual.advance(regions.LEAVE_BOUND_MS)
      for (const gateway of gateways) gateway.storeReachable = gateway.exchange.isRelay !== (late === 'relays')
      region.store.restore(copy)
      await writeTarget('e3')
      let knowing: string[] = []
      for (let step = 0; step < 80; step++) {
        if (step === 15) await writeTarget('e2')
        if (step === 40) for (const gateway of gateways) gateway.storeReachable = true
        await region.virtual.advance(100)
        chai.expect(accepting('e2'), `after ${step}`).to.have.length(30)
        chai.expect(accepting('e3'), `after ${step}`).to.include.members(knowing)
        knowing = accepting('e3')
        if (step === 30) chai.expect(knowing).to.include.members(gateways.filter((gateway) => gateway.storeReachable).map((gateway) => gateway.name))
      }
      chai.expect(knowing).to.have.length(30)
    })
  }

  for (const late of ['relays', 'members']) {
    it(`sends no calls to targets that had left before a restore, when ${late} learn of it later than the others`, async () => {
      const { region, gateways } = await regionOf(30)
      const writeTarget = async (id: string, leaving: boolean): Promise<void> => await region.write(`${regions.TARGETS_PREFIX}${id}`, JSON.stringify(build.aTarget(id, { stage: 'decode', leaving })))
      const remove = async (id: string): Promise<void> => {
        const { key, version } = region.store.peek(`${regions.TARGETS_PREFIX}${id}`)!
        await Promise.all([region.store.delete(key, version), region.virtual.advance(10)])
      }
      await writeTarget('e2', false)
      await writeTarget('e3', false)
      await region.virtual.advance(regions.LEAVE_BOUND_MS)
      const copy = region.store.copy()
      await writeTarget('e2', true)
      await remove('e3')
      await region.virtual.advance(regions.LEAVE_BOUND_MS)
      await remove('e2')
      await region.virtual.advance(regions.LEAVE_BOUND_MS)
      for (const gateway of gateways) gateway.storeReachable = gateway.exchange.isRelay !== (late === 'relays')
      region.store.restore(copy)
      for (let step = 0; step < 100; step++) {
        if (step === 35) await remove('e3')
        if (step === 30) for (const gateway of gateways) gateway.storeReachable = true
        await region.virtual.advance(100)
        const calling = gateways.filter((gateway) => ['e2', 'e3'].some((id) => gateway.target(id)?.acceptsCalls(region.virtual.now()) === true))
        chai.expect(calling.map((gateway) => gateway.name), `after ${step}`).to.deep.equal([])
      }
      for (const gateway of gateways) chai.expect(gateway.target('e1')!.acceptsCalls(region.virtual.now()), gateway.name).to.equal(true)
    })
  }

  it('does not take a configuration for fresher than its relay has read it', async () => {
    const { region, gateways } = await regionOf(30)
    for (const gateway of gateways) gateway.storeReachable = false
    await region.virtual.advance(3_000)
    for (const gateway of gateways) chai.expect(gateway.feed.freshness.ageMs, gateway.name).to.be.at.least(3_000)
  })

  it('never goes back to an older configuration when they come in quick succession and relays change', async () => {
    const { region, gateways } = await regionOf(30)
    const newest = new Map<string, number>()
    for (let version = 2; version < 20; version++) {
      await region.write(regions.CONFIG_KEY, String(version))
      if (version === 6 || version === 12) region.kill(relaysOf(gateways)[0]!.name)
      await region.virtual.advance(330)
      for (const gateway of gateways) {
        const current = gateway.feed.current()!.config.version
        chai.expect(current, gateway.name).to.be.at.least(newest.get(gateway.name) ?? 1)
        newest.set(gateway.name, current)
      }
    }
  })

  it('tells the others what engines have cached once, whichever way it comes', async () => {
    const { region, gateways } = await regionOf(30)
    const prompt = { promptTokens: 500, outputTokens: 1, segments: [{ id: 'p', tokens: 500 }] }
    const cachedAt = (gateway: regions.RegionGateway): number => gateway.target('e1')!.cache.cachedTokens(prompt)
    const follower = gateways.find((gateway) => !gateway.exchange.isRelay)!
    follower.fleet.cacheUpdates.add('e1', [{ id: 'p', tokens: 500 }])
    await region.virtual.advance(500)
    for (const gateway of gateways) if (gateway !== follower) chai.expect(cachedAt(gateway), gateway.name).to.equal(500)
    follower.fleet.cacheUpdates.addRestart('e1')
    await region.virtual.advance(500)
    for (const gateway of gateways) if (gateway !== follower) chai.expect(cachedAt(gateway), gateway.name).to.equal(0)
    for (const gateway of gateways) chai.expect(gateway.fleet.cacheUpdates.changesSince({ gateway: 'x', incarnation: 'x', kind: 'member' }, 0)!.next, gateway.name).to.equal(2)
  })

  it('tells all gateways of a segment under which engines ended at three members, also one that starts later', async () => {
    const { region, gateways } = await regionOf(30)
    const prompt = { promptTokens: 9, outputTokens: 1, segments: [{ id: 'bad', tokens: 5 }, { id: 'own', tokens: 4 }] }
    const members = gateways.filter((gateway) => !gateway.exchange.isRelay)
    for (const member of [members[0]!, members[7]!, members[14]!]) {
      member.quarantine.noteLost({ prompt, target: build.aTarget(`e-${member.name}`), sentAt: region.virtual.now(), firstEventAt: undefined })
      await region.virtual.advance(500)
    }
    const late = region.start('late')
    await region.virtual.advance(1_500)
    for (const gateway of [...gateways, late]) chai.expect(gateway.quarantine.admit(prompt, new Set()), gateway.name).to.be.greaterThan(0)
  })

  it('knows the usage of a killed member, and of a killed relay by what it had stored', async () => {
    const { region, gateways } = await regionOf(30)
    const member = gateways.find((gateway) => !gateway.exchange.isRelay)!
    for (let index = 0; index < 5; index++) member.ledger.countRequest('acc')
    await region.virtual.advance(300)
    region.kill(member.name)
    await region.virtual.advance(100)
    const [relay] = relaysOf(gateways)
    const collecting = relay!.collector.collect()
    await region.virtual.advance(500)
    const { counts: collected } = await collecting
    const counted = collected.flatMap((counts) => Object.values(counts[`${member.name}.${member.name}-1`] ?? {})).map((accounts) => accounts.acc)
    chai.expect(counted).to.include(5)
  })

  it('writes usage from relays only, and from a member whose relay confirms nothing', async () => {
    const { region, gateways } = await regionOf(30)
    await region.virtual.advance(5_000)
    for (const gateway of gateways) Object.assign(gateway.traffic, { storeWrites: 0 })
    for (let second = 0; second < 5; second++) {
      for (const gateway of gateways) gateway.ledger.countRequest('acc')
      await region.virtual.advance(1_000)
    }
    const members = gateways.filter((gateway) => !gateway.exchange.isRelay)
    chai.expect(members.reduce((sum, gateway) => sum + gateway.traffic.storeWrites, 0)).to.equal(0)
    for (const other of region.gateways.keys()) region.cuts.add(`${members[0]!.name}>${other}`)
    members[0]!.ledger.countRequest('acc')
    await region.virtual.advance(4_000)
    chai.expect(members[0]!.traffic.storeWrites).to.be.at.least(1)
  })
})
