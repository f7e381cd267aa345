import * as chai from 'chai'
import * as capacity from '../../src/capacity/index.js'
import type * as exchange from '../../src/exchange/index.js'
import * as fleet from '../../src/fleet/index.js'
import * as time from '../../src/time/index.js'
import * as build from '../support/gateway-builders.js'
import * as regions from '../support/gateway-region.js'

const SERVICE = build.aService({ engine: { slots: 64, kvCapacityTokens: 400_000 } })
const PROMPT = { promptTokens: 4_000, outputTokens: 5, segments: [{ id: 'shared', tokens: 3_000 }, { id: 'own', tokens: 1_000 }] }

function anAttempt (overrides: Partial<capacity.EndedAttempt> = {}): capacity.EndedAttempt {
  const call = build.aCall({ service: SERVICE, prompt: PROMPT, route: build.aRoute({ sloMs: 500 }) })
  return { call, target: build.aTarget('e', { stage: 'decode' }), prefillOnly: false, prefillTokens: 4_000, tokensAhead: 0, sentAt: 0, firstEventAt: 100, endedAt: 600, fetched: false, ...overrides }
}

function aMeter (virtual: time.VirtualTime): capacity.DemandMeter {
  return new capacity.DemandMeter(virtual, new fleet.EngineSpeeds(virtual))
}

describe('DemandMeter', () => {
  it('counts prefill by the stage of the engine, and slots and KV cache from send to end', () => {
    const meter = aMeter(new time.VirtualTime())
    meter.noteAttempt(anAttempt())
    meter.noteAttempt(anAttempt({ target: build.aTarget('p', { stage: 'prefill' }), prefillOnly: true }))
    chai.expect(meter.workOf('s')).to.deep.equal({ prefillTokens: 4_000, mixedPrefillTokens: 4_000, slotMs: 600, kvTokenSeconds: 2_400, calls: 1, late: 0, refused: 0 })
  })

  it('counts a call as late only when it would have been in time without the prompts ahead of it', () => {
    const meter = aMeter(new time.VirtualTime())
    const late = { firstEventAt: 900, endedAt: 1_000 }
    meter.noteAttempt(anAttempt(late))
    meter.noteAttempt(anAttempt({ ...late, prefillTokens: 30_000, tokensAhead: 9_000 }))
    chai.expect(meter.workOf('s').late).to.equal(0)
    meter.noteAttempt(anAttempt({ ...late, tokensAhead: 9_000 }))
    meter.noteAttempt(anAttempt({ ...late, sentAt: 400 }))
    chai.expect(meter.workOf('s').late).to.equal(2)
  })

  it('counts the own segment of a call that was refused for want of capacity, and no other refusal', () => {
    const meter = aMeter(new time.VirtualTime())
    const { call } = anAttempt()
    for (const reason of ['key_withdrawn', 'segment_quarantined', 'deadline_unreachable'] as const) meter.noteRefused(call, reason)
    chai.expect(meter.workOf('s')).to.deep.include({ mixedPrefillTokens: 1_000, calls: 1, refused: 1 })
  })
})

describe('StageThroughput', () => {
  // An overhead of 30 ms and waits that are not known make a prompt of 1,000 tokens look four times as expensive as it is.
  it('finds the tokens per ms of a busy engine among prompts with an overhead, of which half wait unseen', () => {
    const throughput = new capacity.StageThroughput()
    for (let index = 0; index < 60; index++) throughput.note({ tokens: 3_000, ms: 90 })
    chai.expect(throughput.tokensPerMs, 'prompts of one size').to.equal(undefined)
    for (let index = 0; index < 240; index++) {
      const tokens = 400 + 80 * (index * 37 % 240)
      throughput.note({ tokens, ms: 30 + tokens / 120 + (index % 2 === 0 ? 0 : 20 + index) })
    }
    chai.expect(throughput.tokensPerMs).to.be.closeTo(120, 6)
  })
})

describe('SegmentSample', () => {
  it('estimates the tokens of the segments that several gateways used repeatedly, for a bounded number of rows', () => {
    const samples = [new capacity.SegmentSample(), new capacity.SegmentSample()]
    for (let index = 0; index < 2_000; index++) for (const sample of samples) sample.note(`s${index}`, 10_000, 0)
    for (let index = 0; index < 2_000; index++) samples[0]!.note(`once${index}`, 10_000, 0)
    const merged = capacity.mergeSamples(samples.map((sample) => sample.rows(0)))
    chai.expect(merged.length).to.be.at.most(64)
    chai.expect(capacity.estimateTokens(merged)).to.be.within(13e6, 27e6)
    chai.expect(samples[0]!.rows(20_000)).to.deep.equal([])
  })
})

describe('DemandTopic', () => {
  const virtual = new time.VirtualTime()
  const meters = new Map<string, capacity.DemandMeter>()
  const aTopic = (gateway: string, incarnation = '1'): capacity.DemandTopic => {
    const meter = aMeter(virtual)
    meters.set(`${gateway}/${incarnation}`, meter)
    return new capacity.DemandTopic({ clock: virtual, gateway, incarnation, meter, isRelay: () => gateway !== 'm' })
  }
  const linkTo = (gateway: string, kind: exchange.LinkKind): exchange.Link => ({ gateway, incarnation: '1', kind })
  /** What `from` tells about everything it knows to a relay or, as a relay, to a fellow. */
  const told = async (from: capacity.DemandTopic, kind: exchange.LinkKind): Promise<unknown> => {
    await virtual.advance(600)
    return structuredClone(from.changesSince(linkTo('x', kind), undefined)!.payload)
  }
  const work = (key: string, count = 1): void => { for (let index = 0; index < count; index++) meters.get(key)!.noteAttempt(anAttempt()) }

  it('counts work once that arrives twice, late, by two relays or after its gateway was replaced', async () => {
    const [member, first, second, holder] = ['m', 'r1', 'r2', 'h'].map((name) => aTopic(name))
    const pass = async (relay: capacity.DemandTopic, name: string, payload: unknown): Promise<void> => {
      relay.apply(linkTo('m', 'member'), payload)
      holder!.apply(linkTo(name, 'fellow'), await told(relay, 'fellow'))
    }
    await pass(first!, 'r1', await told(member!, 'relay'))
    work('m/1')
    const early = await told(member!, 'relay')
    await pass(first!, 'r1', early)
    work('m/1', 2)
    await pass(second!, 'r2', await told(member!, 'relay'))
    await pass(first!, 'r1', early)
    chai.expect(holder!.total('s').calls).to.equal(3)
    const restarted = aTopic('m', '2')
    await pass(second!, 'r2', await told(restarted, 'relay'))
    work('m/2')
    await pass(second!, 'r2', await told(restarted, 'relay'))
    await pass(first!, 'r1', early)
    chai.expect(holder!.total('s').calls).to.equal(4)
  })

  it('does not take for new what a gateway had done before it was first heard', async () => {
    const [member, holder] = [aTopic('m'), aTopic('h')]
    work('m/1', 50)
    holder.apply(linkTo('m', 'member'), await told(member, 'relay'))
    work('m/1', 2)
    holder.apply(linkTo('m', 'member'), await told(member, 'relay'))
    chai.expect(holder.total('s').calls).to.equal(2)
  })

  it('tells other relays the segments of members, and rows only when they changed', async () => {
    const [member, relay, holder] = [aTopic('m'), aTopic('r'), aTopic('h')]
    work('m/1', 2)
    relay.apply(linkTo('m', 'member'), await told(member, 'relay'))
    holder.apply(linkTo('r', 'fellow'), await told(relay, 'fellow'))
    chai.expect(holder.segmentTokens('s')).to.equal(3_000)
    chai.expect(await told(holder, 'fellow'), 'rows of a fellow').to.deep.include({ rows: [{ gateway: 'h', incarnation: '1', services: [] }] })
    const { next } = relay.changesSince(linkTo('y', 'fellow'), undefined)!
    chai.expect(relay.changesSince(linkTo('y', 'fellow'), next)).to.equal(undefined)
  })
})

describe('topic demand over the exchange', () => {
  it('sums the work of 30 gateways at each relay, of which one is killed and one restarted meanwhile', async () => {
    const region = new regions.Region()
    await region.write(regions.CONFIG_KEY, '1')
    const gateways = region.startMany(30)
    await region.virtual.advance(5_000)
    for (const gateway of gateways) gateway.meter.noteAttempt(anAttempt())
    await region.virtual.advance(1_500)
    const members = gateways.filter((gateway) => !gateway.exchange.isRelay)
    region.kill(members[0]!.name)
    region.kill(members[1]!.name)
    const restarted = region.start(members[1]!.name, 'again', members[1]!.domain)
    await region.virtual.advance(3_000)
    for (const gateway of [restarted, ...members.slice(2)]) gateway.meter.noteAttempt(anAttempt())
    await region.virtual.advance(1_500)
    for (const relay of gateways.filter((gateway) => gateway.running && gateway.exchange.isRelay)) chai.expect(relay.demand.total('s').calls, relay.name).to.equal(30 + members.length - 1)
  })

  // The lease for target orders is taken before the relays are known, so that a member may hold it.
  it('tells members the work of all gateways, once also when their relay is lost', async () => {
    const region = new regions.Region()
    await region.write(regions.CONFIG_KEY, '1')
    const gateways = region.startMany(30)
    await region.virtual.advance(5_000)
    const work = async (): Promise<void> => {
      for (const gateway of gateways.filter((candidate) => candidate.running)) gateway.meter.noteAttempt(anAttempt())
      await region.virtual.advance(3_000)
    }
    await work()
    const relay = gateways.find((gateway) => gateway.exchange.isRelay)!
    const members = gateways.filter((gateway) => !gateway.exchange.isRelay && gateway.domain === relay.domain)
    const before = members.map((member) => member.demand.total('s').calls)
    await work()
    chai.expect(members.map((member, index) => member.demand.total('s').calls - before[index]!)).to.deep.equal(members.map(() => 30))
    region.kill(relay.name)
    await region.virtual.advance(5_000)
    const later = members.map((member) => member.demand.total('s').calls)
    await work()
    chai.expect(members.map((member, index) => member.demand.total('s').calls - later[index]!)).to.deep.equal(members.map(() => 29))
    chai.expect(members.every((member) => member.demand.hearsAll)).to.equal(true)
  })
})

describe('DemandHistory', () => {
  const rateAt = (history: capacity.DemandHistory, load: (at: number) => number, until: number): void => {
    let total = capacity.NO_WORK
    for (let at = 0; at <= until; at += 500) {
      total = capacity.addWork(total, { ...capacity.NO_WORK, mixedPrefillTokens: load(at) * 500, calls: 1 })
      history.note(total, at)
    }
  }

  it('holds the highest rate for longer than a wave, then lets it decline', () => {
    const history = new capacity.DemandHistory()
    rateAt(history, (at) => at <= 10_000 ? 40 : 10, 40_000)
    chai.expect(history.recent(23_500)!.peakPrefillTokens).to.be.closeTo(40, 0.5)
    chai.expect(history.recent(40_000)!.peakPrefillTokens).to.be.within(12, 25)
  })
})

describe('estimateNeed', () => {
  const demand: capacity.RecentDemand = { latest: { at: 0, prefillTokens: 0, mixedPrefillTokens: 0, slots: 0, kvTokens: 0, callsPerS: 0, lateShare: 0 }, peakPrefillTokens: 1_200, peakSlots: 0, peakKvTokens: 0, meanPrefillTokens: 680, observedMs: 60_000 }
  const present = { count: 90, mixedCount: 60, tokensPerMs: 5_400, prefillTokensPerMs: 100, mixedTokensPerMs: 40, measured: true }
  const need = (overrides: Partial<capacity.NeedInput> = {}): capacity.CapacityNeed => capacity.estimateNeed({ demand, present, slots: 64, kvCapacityTokens: 400_000, segmentTokens: 0, initialSize: 90, pressure: 1, ...overrides })

  it('divides the peak by the target utilization at the speed of the engines, and the mean by a higher one', () => {
    chai.expect(need()).to.deep.include({ engines: 40, meanEngines: 14 })
    chai.expect(need({ present: { ...present, tokensPerMs: 2_700 } }).engines, 'engines at half the speed').to.equal(80)
  })

  it('needs no standard engines beyond the first size while it knows only speeds of single prompts, which are too low', () => {
    const slow = { ...present, tokensPerMs: 900, prefillTokensPerMs: 20, mixedTokensPerMs: 8, measured: false }
    chai.expect(need({ present: slow, initialSize: 60 })).to.deep.include({ steadyEngines: 60, meanEngines: 0 })
  })

  it('does not count on more than the usual share of prefill-only engines while mixed ones are missing', () => {
    chai.expect(need({ present: { ...present, mixedCount: 0, tokensPerMs: 9_000 } }).engines).to.equal(40)
  })

  it('covers slots and KV cache of running calls with mixed engines, and cached segments up to the initial size', () => {
    chai.expect(need({ demand: { ...demand, peakSlots: 64 * 0.7 * 40 } }).engines).to.equal(60)
    chai.expect(need({ demand: { ...demand, peakKvTokens: 400_000 * 60 } }).engines).to.be.at.least(90)
    chai.expect(need({ segmentTokens: 400_000 * 50 }).engines).to.equal(75)
    chai.expect(need({ segmentTokens: 400_000 * 500 }).engines).to.equal(90)
  })

  it('rises while calls are late or refused, to one and a half times, and declines when they no longer are', () => {
    let pressure = 1
    for (let second = 0; second < 30; second++) pressure = capacity.nextPressure(pressure, 0.1, 1_000)
    chai.expect(need({ pressure }).engines).to.equal(60)
    chai.expect(capacity.nextPressure(pressure, 0.03, 1_000)).to.equal(pressure)
    for (let second = 0; second < 30; second++) pressure = capacity.nextPressure(pressure, 0, 1_000)
    chai.expect(pressure).to.equal(1)
  })
})
