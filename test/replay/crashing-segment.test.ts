import * as chai from 'chai'
import type * as calls from '../../src/call/index.js'
import type * as exchange from '../../src/exchange/index.js'
import * as forward from '../../src/forward/index.js'
import * as log from '../../src/log/index.js'
import * as metrics from '../../src/metrics/index.js'
import * as placement from '../../src/placement/index.js'
import * as quarantine from '../../src/quarantine/index.js'
import * as retry from '../../src/retry/index.js'
import * as time from '../../src/time/index.js'
import type * as upstream from '../../src/upstream/index.js'
import * as build from '../support/gateway-builders.js'

const GATEWAYS = ['g0', 'g1', 'g2', 'g3']
const RECORDS = Array.from({ length: 8 }, (_, index) => build.aTarget(`e${index}`, { address: `10.0.0.${index}:1`, slots: 64, stage: 'decode' }))
const SERVICE = build.aService({ engine: { slots: 64, kvCapacityTokens: 1_000_000 } })
const ROUTE = build.aRoute({ idempotency: 'resumable', streaming: true, sloMs: 500, maxTargets: 3 })

/** Segment that ends each engine which begins to write a response to it. */
const BAD_SEGMENT = 'bad'

/** Time for which an engine that has ended is away, from a request to its first event, and from there to its end, in ms. */
const RESTART_MS = 2_500
const FIRST_EVENT_MS = 120
const STREAM_MS = 300

/** Bound on the time in which gateways that are in contact must know what happened at another one, in ms. */
const CONTACT_MS = 3_000

const TRAFFIC_END_MS = 30_000

/** Engines that end when they begin to write a response to {@link BAD_SEGMENT}, with all calls that they execute. */
class CrashingEngines implements upstream.Upstream {
  readonly crashedAt: number[] = []
  readonly badSentAt: number[] = []
  private readonly jobs = new Map<string, Set<upstream.ResponseHandler>>(RECORDS.map((record) => [record.address, new Set()]))
  private readonly downUntil = new Map<string, number>()

  constructor (private readonly virtual: time.VirtualTime) {}

  /** Sends carry the id and the segments of their call as headers. */
  readonly protocol: calls.TargetProtocol = {
    encodeHeaders: (call) => [call.id, call.prompt!.segments.map((segment) => segment.id).join(',')],
    decodeHead: (status, headers) => ({ status, id: headers.id as string, notExecuted: false, wrongTarget: false, encoded: false, headers: [] }),
    decodeKvHandle: () => undefined,
    encodeKvRelease: () => { throw new Error('no prefill-only engines') }
  }

  send (req: upstream.SendReq, handler: upstream.ResponseHandler): upstream.ActiveRequest {
    const [id, segments] = req.headers
    const isBad = segments!.split(',').includes(BAD_SEGMENT)
    if (this.virtual.now() < (this.downUntil.get(req.address) ?? 0)) {
      this.virtual.after(2, () => handler.onError({ written: false, message: 'connect ECONNREFUSED' }))
    } else {
      if (isBad) this.badSentAt.push(this.virtual.now())
      this.jobs.get(req.address)!.add(handler)
      this.virtual.after(FIRST_EVENT_MS, () => this.begin(req.address, id!, handler, isBad))
    }
    return { written: true, reused: false, abort: () => { this.jobs.get(req.address)!.delete(handler) }, pause: () => {}, resume: () => {} }
  }

  private begin (address: string, id: string, handler: upstream.ResponseHandler, isBad: boolean): void {
    const jobs = this.jobs.get(address)!
    if (!jobs.has(handler)) return
    if (isBad) {
      this.crash(address)
      return
    }
    handler.onHead(200, { id })
    handler.onData(Buffer.from('id: 1\ndata: a\n\n'))
    this.virtual.after(STREAM_MS, () => { if (jobs.delete(handler)) handler.onEnd() })
  }

  private crash (address: string): void {
    this.crashedAt.push(this.virtual.now())
    this.downUntil.set(address, this.virtual.now() + RESTART_MS)
    const lost = [...this.jobs.get(address)!]
    this.jobs.get(address)!.clear()
    for (const handler of lost) handler.onError({ written: true, message: 'other side closed' })
  }
}

interface SoundCall {
  readonly sentAt: number
  readonly reply: build.RecordedReply
  readonly firstAttempt: () => boolean
}

/** Four gateways before the engines; each call goes to the next one. */
class PoisonedLoad {
  readonly virtual = new time.VirtualTime()
  readonly engines = new CrashingEngines(this.virtual)
  readonly sound: SoundCall[] = []
  private readonly quarantines = GATEWAYS.map((selfName) => new quarantine.SegmentQuarantine({ clock: this.virtual, selfName, gateways: () => GATEWAYS, log: log.SILENT_LOGGER }))
  private readonly counters = new metrics.Metrics()
  private readonly forwarders: readonly forward.Forwarder[]
  private readonly positions = new Map<string, number>()
  private sent = 0

  constructor (private readonly withQuarantine: boolean) {
    this.forwarders = this.quarantines.map((own, index) => this.createForwarder(own, index))
  }

  /** Sound calls 25 times a second, and from second 4 on some with the segment. */
  async play (): Promise<void> {
    while (this.virtual.now() < TRAFFIC_END_MS) {
      this.send(['first', `part-${this.sent % 30}`])
      if (this.virtual.now() > 4_000 && this.sent % 20 === 0) this.send(['first', BAD_SEGMENT])
      await this.virtual.advance(40)
      if (this.withQuarantine && this.sent % 2 === 0) this.exchange()
    }
    await this.virtual.advance(5_000)
  }

  /** Share of the sound calls of a span of time that were completed by their first attempt. */
  servedAtOnce (fromMs: number, toMs: number): number {
    const calls = this.sound.filter((call) => call.sentAt >= fromMs && call.sentAt < toMs)
    return calls.filter((call) => call.reply.state === 'ended' && call.firstAttempt()).length / calls.length
  }

  private send (shared: readonly string[]): void {
    const sentAt = this.virtual.now()
    const id = `c${this.sent++}`
    const prompt: calls.Prompt = { promptTokens: 100, outputTokens: 5, segments: [...shared, id].map((segment) => ({ id: segment, tokens: 30 })) }
    const reply = new build.RecordedReply()
    let attempts = 0
    const call = build.aCall({ id, route: ROUTE, service: SERVICE, prompt, arrivedAt: sentAt, deadlineAt: sentAt + 5_000, checkAuthorization: () => { attempts++; return undefined } })
    this.forwarders[this.sent % GATEWAYS.length]!.forward(call, reply, new AbortController().signal).catch((err: unknown) => { throw err })
    if (!shared.includes(BAD_SEGMENT)) this.sound.push({ sentAt, reply, firstAttempt: () => attempts === 1 })
  }

  private exchange (): void {
    for (const [from, teller] of this.quarantines.entries()) {
      for (const [to, listener] of this.quarantines.entries()) {
        const link = (index: number): exchange.Link => ({ gateway: GATEWAYS[index]!, incarnation: '1', kind: 'fellow' })
        const changes = from === to ? undefined : teller.changesSince(link(to), this.positions.get(`${from}>${to}`))
        if (changes === undefined) continue
        listener.apply(link(from), changes.payload)
        this.positions.set(`${from}>${to}`, changes.next)
      }
    }
  }

  private createForwarder (own: quarantine.SegmentQuarantine, index: number): forward.Forwarder {
    const env = this.virtual.env(index + 1)
    const fleet = build.aFleet(this.virtual, RECORDS)
    const placer = new placement.EnginePlacer(fleet, env, 'd1', () => GATEWAYS.length)
    const budget = new retry.SharedRetryBudget(this.virtual, { ratio: 0.2, slack: 50, windowMs: 10_000 }, () => GATEWAYS.length)
    const none = { admit: () => undefined, waitMs: () => undefined, isBarred: () => false, returnTrials: () => {}, noteLost: () => {}, noteAnswered: () => {} }
    return new forward.Forwarder({
      env,
      upstream: this.engines,
      protocol: this.engines.protocol,
      onExecution: () => {},
      placerFor: () => placer,
      budgetFor: () => budget,
      fleet,
      quarantine: this.withQuarantine ? own : none,
      listAgeMs: () => 0,
      configVersion: () => 1,
      log: log.SILENT_LOGGER,
      metrics: this.counters,
      dropIdleConnections: () => {}
    })
  }
}

describe('a prompt segment that ends each engine', () => {
  it('reaches at most three engines once five have ended and all gateways can know, and sound calls are served again', async () => {
    const load = new PoisonedLoad(true)
    await load.play()
    const { crashedAt, badSentAt } = load.engines
    const fifthCrashAt = crashedAt[Math.min(4, crashedAt.length - 1)]!
    chai.expect(badSentAt.filter((at) => at > fifthCrashAt + CONTACT_MS).length).to.be.at.most(3)
    chai.expect(load.servedAtOnce(fifthCrashAt + 2 * CONTACT_MS, TRAFFIC_END_MS)).to.be.at.least(0.5 * load.servedAtOnce(0, 4_000))
  })

  it('ends engine after engine without the quarantine, so that this load shows the fault', async () => {
    const load = new PoisonedLoad(false)
    await load.play()
    const { crashedAt, badSentAt } = load.engines
    chai.expect(badSentAt.filter((at) => at > crashedAt[4]! + CONTACT_MS).length).to.be.greaterThan(3)
  })
})
