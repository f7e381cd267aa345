/** Several gateways that place calls on model engines in virtual time, and tell each other about them with a delay. */
import type * as calls from '../../src/call/index.js'
import type * as exchange from '../../src/exchange/index.js'
import * as fleet from '../../src/fleet/index.js'
import * as forward from '../../src/forward/index.js'
import * as log from '../../src/log/index.js'
import * as metrics from '../../src/metrics/index.js'
import * as placement from '../../src/placement/index.js'
import * as quarantine from '../../src/quarantine/index.js'
import * as retry from '../../src/retry/index.js'
import type * as serving from '../../src/serving/index.js'
import * as time from '../../src/time/index.js'
import * as platformTarget from '../../platform/target-protocol.js'
import * as build from './gateway-builders.js'
import * as model from './model-engines.js'

/** Time by which all gateways get a cache event late, in ms. */
const CACHE_EVENT_DELAY_MS = 400

/** What a run is made of. */
export interface GatewayFleetOptions {
  readonly records: readonly serving.TargetRecord[]
  readonly sizes: model.EngineSizes
  readonly service: serving.ServingService
  readonly gateways: number
  /** Interval and delay of what gateways tell each other, in ms. */
  readonly exchangeMs: number
  readonly exchangeDelayMs: number
  /** Topics that are not exchanged, to show what a run is like without them. */
  readonly withoutTopics?: readonly string[]
  /** Whether gateways draw no random numbers, and so decide alike on the same loads. */
  readonly alike?: boolean
  readonly seed: number
}

/** One call that was sent. */
export interface Outcome {
  readonly route: serving.ServingRoute
  readonly sentAt: number
  firstEventMs: number | undefined
  longestGapMs: number
  ended: boolean
}

class TimedReply extends build.RecordedReply {
  private lastAt: number | undefined

  constructor (private readonly clock: time.Clock, private readonly outcome: Outcome) { super() }

  override write (chunk: Uint8Array): boolean {
    const now = this.clock.now()
    if (this.lastAt === undefined) this.outcome.firstEventMs = now - this.outcome.sentAt
    else this.outcome.longestGapMs = Math.max(this.outcome.longestGapMs, now - this.lastAt)
    this.lastAt = now
    return super.write(chunk)
  }

  override end (): void {
    super.end()
    this.outcome.ended = true
  }
}

interface ModelGateway {
  readonly fleet: fleet.Fleet
  readonly forwarder: forward.Forwarder
  readonly confirmed: Record<string, number | undefined>
}

/** Gateways and engines of one run. */
export class GatewayFleet {
  readonly virtual = new time.VirtualTime()
  readonly outcomes: Outcome[] = []
  readonly engines: model.ModelEngines
  readonly random: time.Random
  private readonly gateways: ModelGateway[]

  constructor (private readonly options: GatewayFleetOptions) {
    this.random = new time.SeededRandom(options.seed)
    const onCacheChange = (address: string, id: string, tokens: number): void => { this.virtual.after(CACHE_EVENT_DELAY_MS, () => this.noteCacheChange(address, id, tokens)) }
    this.engines = new model.ModelEngines(this.virtual, { ...options.sizes, onCacheChange }, options.records)
    this.gateways = Array.from({ length: options.gateways }, (_, index) => this.createGateway(index))
    this.virtual.every(options.exchangeMs, () => this.exchange())
  }

  /** Sends `perSecond` calls a second for `ms`, each from a random gateway. */
  async run (ms: number, perSecond: number, next: () => readonly [serving.ServingRoute, calls.Prompt]): Promise<void> {
    const count = Math.round(ms * perSecond / 1_000)
    for (let index = 0; index < count; index++) {
      this.send(Math.floor(this.random.next() * this.gateways.length), ...next())
      await this.virtual.advance(ms / count)
    }
  }

  /** Lets a gateway send a call. */
  send (gateway: number, route: serving.ServingRoute, prompt: calls.Prompt): void {
    const now = this.virtual.now()
    const outcome: Outcome = { route, sentAt: now, firstEventMs: undefined, longestGapMs: 0, ended: false }
    this.outcomes.push(outcome)
    const call = build.aCall({ id: `c${this.outcomes.length}`, route, service: this.options.service, account: undefined, priority: 1, arrivedAt: now, deadlineAt: now + 8_000, prompt })
    this.gateways[gateway]!.forwarder.forward(call, new TimedReply(this.virtual, outcome), new AbortController().signal).catch((err: unknown) => { throw err })
  }

  private createGateway (index: number): ModelGateway {
    const env = this.virtual.env(this.options.seed * 100 + index)
    const known = build.aFleet(this.virtual, this.options.records)
    const placer = new placement.EnginePlacer(known, this.options.alike === true ? { ...env, random: { next: () => 0.5 } } : env, `d${index % 3}`, () => this.options.gateways)
    const budget = new retry.SharedRetryBudget(this.virtual, { ratio: 0.2, slack: 50, windowMs: 10_000 }, () => 1)
    const forwarder = new forward.Forwarder({
      env,
      upstream: this.engines,
      protocol: this.engines.protocol(new platformTarget.HttpTargetProtocol()),
      onExecution: () => {},
      placerFor: () => placer,
      budgetFor: () => budget,
      fleet: known,
      quarantine: new quarantine.SegmentQuarantine({ clock: this.virtual, selfName: `g${index}`, gateways: () => [`g${index}`], log: log.SILENT_LOGGER }),
      listAgeMs: () => 0,
      configVersion: () => 1,
      log: log.SILENT_LOGGER,
      metrics: new metrics.Metrics(),
      dropIdleConnections: () => {}
    })
    return { fleet: known, forwarder, confirmed: {} }
  }

  private noteCacheChange (address: string, id: string, tokens: number): void {
    for (const gateway of this.gateways) {
      for (const state of gateway.fleet.all()) if (state.record.address === address) state.cache.applyReport(id, tokens, this.virtual.now())
    }
  }

  /** All gateways are relays, and tell each other what has changed; it arrives after the delay. */
  private exchange (): void {
    const link = (index: number): exchange.Link => ({ gateway: `g${index}`, incarnation: '1', kind: 'fellow' })
    for (const [from, sender] of this.gateways.entries()) {
      for (const [to, receiver] of this.gateways.entries()) {
        if (from === to) continue
        for (const [index, topic] of sender.fleet.topics.entries()) {
          if (topic.name === 'cache' || this.options.withoutTopics?.includes(topic.name) === true) continue
          const changes = topic.changesSince(link(to), sender.confirmed[`${to}/${topic.name}`])
          if (changes === undefined) continue
          sender.confirmed[`${to}/${topic.name}`] = changes.next
          this.virtual.after(this.options.exchangeDelayMs, () => { receiver.fleet.topics[index]!.apply(link(from), changes.payload, undefined) })
        }
      }
    }
  }
}
