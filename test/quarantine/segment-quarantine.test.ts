import * as chai from 'chai'
import type * as calls from '../../src/call/index.js'
import type * as exchange from '../../src/exchange/index.js'
import * as log from '../../src/log/index.js'
import * as quarantine from '../../src/quarantine/index.js'
import * as time from '../../src/time/index.js'
import * as build from '../support/gateway-builders.js'

const GATEWAYS = ['g0', 'g1', 'g2', 'g3']

/** Time to the first trial of a quarantined segment, in ms. */
const FIRST_TRIAL_MS = 30_000

/** A prompt with these shared segments and one of its own. */
function promptOf (...ids: string[]): calls.Prompt {
  return { promptTokens: 100, outputTokens: 5, segments: [...ids, `own-${ids.join('')}`].map((id) => ({ id, tokens: 10 })) }
}

/** Quarantines of several gateways that tell each other their changes. */
class QuarantineRegion {
  readonly virtual = new time.VirtualTime()
  readonly members = GATEWAYS.map((selfName) => new quarantine.SegmentQuarantine({ clock: this.virtual, selfName, gateways: () => GATEWAYS, log: log.SILENT_LOGGER }))
  private readonly positions = new Map<string, number>()
  private targets = 0

  /** A call that is lost at the gateway, at a target of its own; `age` is the time since its first event, in ms. */
  lose (gateway: number, prompt: calls.Prompt, options: { target?: string, sentAt?: number, age?: number } = {}): void {
    const now = this.virtual.now()
    const target = build.aTarget(options.target ?? `t${this.targets++}`)
    this.members[gateway]!.noteLost({ prompt, target, sentAt: options.sentAt ?? now, firstEventAt: options.age === undefined ? undefined : now - options.age })
  }

  admits (gateway: number, prompt: calls.Prompt): boolean {
    return this.members[gateway]!.admit(prompt, new Set()) === undefined
  }

  /** All gateways tell all others what has changed, twice. */
  async exchange (): Promise<void> {
    for (let round = 0; round < 2; round++) {
      await this.virtual.advance(100)
      for (const from of this.members.keys()) for (const to of this.members.keys()) if (from !== to) this.tell(from, to)
    }
  }

  tell (from: number, to: number): void {
    const link = (gateway: number): exchange.Link => ({ gateway: GATEWAYS[gateway]!, incarnation: '1', kind: 'fellow' })
    const changes = this.members[from]!.changesSince(link(to), this.positions.get(`${from}>${to}`))
    if (changes === undefined) return
    this.members[to]!.apply(link(from), JSON.parse(JSON.stringify(changes.payload)))
    this.positions.set(`${from}>${to}`, changes.next)
  }
}

describe('SegmentQuarantine', () => {
  it('keeps a segment away from engines everywhere after three of them ended under it, though each gateway saw one end', async () => {
    const region = new QuarantineRegion()
    for (const gateway of [0, 1, 2]) {
      chai.expect(region.admits(3, promptOf('first', 'bad'))).to.equal(true)
      region.lose(gateway, promptOf('first', 'bad'))
      await region.exchange()
    }
    for (const gateway of GATEWAYS.keys()) chai.expect(region.admits(gateway, promptOf('other', 'bad')), String(gateway)).to.equal(false)
  })

  it('does not hold back calls that share only the first segment, which other gateways have seen answered', async () => {
    const region = new QuarantineRegion()
    region.members[3]!.noteAnswered(promptOf('first', 'good'))
    for (const gateway of [0, 1, 2]) {
      region.lose(gateway, promptOf('first', 'bad'))
      await region.exchange()
    }
    for (const gateway of GATEWAYS.keys()) {
      chai.expect(region.admits(gateway, promptOf('first', 'bad')), String(gateway)).to.equal(false)
      chai.expect(region.admits(gateway, promptOf('first', 'good')), String(gateway)).to.equal(true)
    }
  })

  it('does not suspect calls that are lost with others after their responses had begun, nor the own segment of a call', async () => {
    const region = new QuarantineRegion()
    for (let crash = 0; crash < 5; crash++) {
      region.lose(0, promptOf('first', 'bystander'), { age: 150 })
      region.lose(0, { promptTokens: 10, outputTokens: 1, segments: [{ id: 'session', tokens: 10 }] })
      await region.virtual.advance(100)
    }
    chai.expect([region.admits(0, promptOf('first', 'bystander')), region.admits(0, promptOf('session'))]).to.deep.equal([true, true])
  })

  it('counts targets that end at once, as when a failure domain loses power, as one sign', async () => {
    const region = new QuarantineRegion()
    await region.virtual.advance(500)
    for (let target = 0; target < 6; target++) region.lose(0, promptOf('first'), { sentAt: 100 })
    await region.virtual.advance(100)
    for (let target = 0; target < 6; target++) region.lose(0, promptOf('first'), { sentAt: 550 })
    chai.expect(region.admits(0, promptOf('first'))).to.equal(true)
  })

  it('does not count one target twice, which resets part of its connections', async () => {
    const region = new QuarantineRegion()
    for (let loss = 0; loss < 6; loss++) {
      region.lose(0, promptOf('first'), { target: 'grey' })
      await region.virtual.advance(100)
    }
    chai.expect(region.admits(0, promptOf('first'))).to.equal(true)
  })

  it('suspects only the quarantined segment of a call with several', async () => {
    const region = new QuarantineRegion()
    for (let crash = 0; crash < 3; crash++) {
      region.lose(0, promptOf('bad'))
      await region.virtual.advance(100)
    }
    for (let crash = 0; crash < 3; crash++) {
      region.lose(0, promptOf('new', 'bad'))
      await region.virtual.advance(100)
    }
    chai.expect([region.admits(0, promptOf('new')), region.admits(0, promptOf('bad'))]).to.deep.equal([true, false])
  })

  it('tries a quarantined segment from one gateway at a time, less and less often, and releases it after a complete response', async () => {
    const region = new QuarantineRegion()
    for (let crash = 0; crash < 3; crash++) {
      region.lose(0, promptOf('bad'))
      await region.exchange()
    }
    const trialGateways = (): number[] => [...GATEWAYS.keys()].filter((gateway) => region.admits(gateway, promptOf('bad')))
    await region.virtual.advance(FIRST_TRIAL_MS - 1_000)
    chai.expect(trialGateways()).to.deep.equal([])
    await region.virtual.advance(1_000)
    const [trialGateway, ...others] = trialGateways()
    chai.expect(others).to.deep.equal([])
    chai.expect(trialGateways(), 'second call').to.deep.equal([])
    region.lose(trialGateway!, promptOf('bad'))
    await region.exchange()
    await region.virtual.advance(FIRST_TRIAL_MS + 1_000)
    chai.expect(trialGateways(), 'after a failed trial').to.deep.equal([])
    await region.virtual.advance(FIRST_TRIAL_MS)
    chai.expect(trialGateways()).to.deep.equal([trialGateway])
    region.members[trialGateway!]!.noteAnswered(promptOf('bad'))
    await region.exchange()
    chai.expect(trialGateways()).to.deep.equal([...GATEWAYS.keys()])
  })

  it('lets the trial call pass at each of its checks until it has ended', async () => {
    const region = new QuarantineRegion()
    for (let crash = 0; crash < 3; crash++) {
      region.lose(0, promptOf('bad'))
      await region.exchange()
    }
    await region.virtual.advance(FIRST_TRIAL_MS)
    const trials = new Set<string>()
    const gateway = region.members.find((member) => member.admit(promptOf('bad'), trials) === undefined)!
    chai.expect(gateway.admit(promptOf('bad'), trials)).to.equal(undefined)
    trials.clear()
    chai.expect(gateway.admit(promptOf('bad'), trials)).to.be.greaterThan(0)
  })

  // Guards against a trial that is used up by a call that another segment keeps back.
  it('takes no trial for a call with another segment whose trial is not due', async () => {
    const virtual = new time.VirtualTime()
    const segments = new quarantine.SegmentQuarantine({ clock: virtual, selfName: 'g0', gateways: () => ['g0'], log: log.SILENT_LOGGER })
    for (const id of ['old', 'new']) {
      for (const target of ['x', 'y', 'z']) {
        segments.noteLost({ prompt: promptOf(id), target: build.aTarget(`${id}-${target}`), sentAt: virtual.now(), firstEventAt: undefined })
        await virtual.advance(1)
      }
      if (id === 'old') await virtual.advance(FIRST_TRIAL_MS)
    }
    chai.expect(segments.admit(promptOf('old', 'new'), new Set())).to.be.greaterThan(0)
    chai.expect(segments.admit(promptOf('old'), new Set())).to.equal(undefined)
  })

  it('tells a gateway that has just started all quarantined segments, in messages of bounded size', async () => {
    const region = new QuarantineRegion()
    const ids = Array.from({ length: 450 }, (_, index) => `bad-${index}`)
    for (let crash = 0; crash < 3; crash++) {
      for (const id of ids) region.lose(0, promptOf(id))
      await region.virtual.advance(100)
    }
    region.tell(0, 1)
    chai.expect(ids.filter((id) => !region.admits(1, promptOf(id)))).to.have.length(200)
    region.tell(0, 1)
    region.tell(0, 1)
    chai.expect(ids.filter((id) => !region.admits(1, promptOf(id)))).to.have.length(450)
  })

  it('forgets two crashes after a while, and bounds the number of suspected segments', async () => {
    const region = new QuarantineRegion()
    for (const waitMs of [100, 150_000]) {
      region.lose(0, promptOf('rare'))
      await region.virtual.advance(waitMs)
    }
    region.lose(0, promptOf('rare'))
    chai.expect(region.admits(0, promptOf('rare'))).to.equal(true)
    for (let index = 0; index < 3_000; index++) region.lose(0, promptOf(`s${index}`))
    let told = 0
    for (let position = 0; ;) {
      const changes = region.members[0]!.changesSince({ gateway: 'x', incarnation: '1', kind: 'fellow' }, position)
      if (changes === undefined) break
      told += (changes.payload as unknown[]).length
      position = changes.next
    }
    chai.expect(told).to.equal(2_048)
  })
})
