/** Gateways that send calls to engines in virtual time, with or without waiting calls, for replays of overload. */
import type * as calls from '../../src/call/index.js'
import type * as errors from '../../src/errors/index.js'
import type * as exchange from '../../src/exchange/index.js'
import type * as serving from '../../src/serving/index.js'
import * as time from '../../src/time/index.js'
import * as platformTarget from '../../platform/target-protocol.js'
import * as fixtures from './forwarder-fixture.js'
import * as build from './gateway-builders.js'
import * as model from './model-engines.js'

const SIZES: model.EngineSizes = { tokensPerMs: { prefill: 48, decode: 48 }, tokenMs: 2, tokenMsDuringPrefill: 4, tokensPerEvent: 10, kvCapacityTokens: 460_000, transferMsPerToken: 0.001 }

/** Time between two exchanges of the gateways, in ms. */
const EXCHANGE_MS = 100

export const SERVICE = build.aService({ maxConnections: 700, engine: { slots: 64, kvCapacityTokens: 460_000 } })

/** Urgent short calls, and large ones whose objective is lost as soon as engines have a backlog. */
export const URGENT = build.aRoute({ name: 'urgent', streaming: true, idempotency: 'resumable', sloMs: 800, callerIdleTimeoutMs: 3_200, priority: 0 })
export const LARGE = build.aRoute({ name: 'large', streaming: true, idempotency: 'resumable', sloMs: 1_000, callerIdleTimeoutMs: 4_000, priority: 3 })
export const SHORT_TOKENS = 1_500
export const LARGE_TOKENS = 36_000

export interface Outcome {
  readonly route: serving.ServingRoute
  readonly account: string
  readonly sentAt: number
  firstEventMs: number | undefined
  refusal: errors.Refusal | undefined
  /** The outcome of the call that this one repeats; undefined for a first one. */
  repeats: Outcome | undefined
}

/** What callers do after a refusal: give up, return once after the retry-after, or repeat at once, up to ten times. */
export type OnRefusal = 'none' | 'returns' | 'repeats'

class TimedReply extends build.RecordedReply {
  constructor (private readonly clock: time.Clock, private readonly outcome: Outcome) { super() }

  override write (chunk: Uint8Array): boolean {
    this.outcome.firstEventMs ??= this.clock.now() - this.outcome.sentAt
    return super.write(chunk)
  }
}

/** Gateways, engines and callers. */
export class Overload {
  readonly virtual = new time.VirtualTime()
  readonly outcomes: Outcome[] = []
  readonly gateways: fixtures.ForwarderFixture[]
  private readonly records: serving.TargetRecord[]
  private readonly engines: model.ModelEngines

  constructor (opts: { readonly engines: number, readonly gateways?: number, readonly queue: boolean, readonly seed?: number }) {
    this.records = Array.from({ length: opts.engines }, (_, index) => build.aTarget(`e${index}`, { address: `10.0.0.${index}:80`, domain: `d${index % 2}`, stage: 'decode', slots: 64 }))
    this.engines = new model.ModelEngines(this.virtual, SIZES, this.records)
    const { engines, virtual } = this
    const gateways = opts.gateways ?? 1
    const protocol = engines.protocol(new platformTarget.HttpTargetProtocol())
    this.gateways = Array.from({ length: gateways }, (_, index) => fixtures.setUp({ slack: 0, targets: this.records, placer: 'engine', waits: opts.queue, shared: { virtual, seed: (opts.seed ?? 0) * gateways + index + 1, upstream: engines, protocol, gateways } }))
    this.virtual.every(EXCHANGE_MS, () => this.exchange())
  }

  /** Fields of the log lines of an event at all gateways. */
  lines (event: string): Array<Readonly<Record<string, unknown>>> {
    return this.gateways.flatMap(({ lines }) => lines.filter((line) => line.event === event).map((line) => line.fields))
  }

  /** Removes the engines of a failure domain from the fleet: they get no further calls. */
  reclaim (domain: string): void {
    for (const { fleet } of this.gateways) fleet.apply(this.records.map((record) => ({ ...record, leaving: record.domain === domain })))
  }

  /** Sends a call through a gateway. */
  send (route: serving.ServingRoute, tokens: number, { account = 'acc', gateway = 0, onRefusal = 'none' as OnRefusal, tries = 0, repeats = undefined as Outcome | undefined } = {}): Outcome {
    const outcome: Outcome = { route, account, sentAt: this.virtual.now(), firstEventMs: undefined, refusal: undefined, repeats }
    this.outcomes.push(outcome)
    const id = `c${this.outcomes.length}`
    const prompt: calls.Prompt = { promptTokens: tokens, outputTokens: 20, segments: [{ id, tokens }] }
    const call = build.aCall({ id, route, service: SERVICE, account, priority: route.priority, arrivedAt: outcome.sentAt, deadlineAt: outcome.sentAt + 5_000, prompt })
    this.gateways[gateway]!.forwarder.forward(call, new TimedReply(this.virtual, outcome), new AbortController().signal).then((refusal) => {
      outcome.refusal = refusal
      const maxTries = onRefusal === 'none' ? 0 : onRefusal === 'returns' ? 1 : 10
      if (refusal?.detail.ran !== 'no' || tries >= maxTries) return
      const delayMs = onRefusal === 'repeats' ? 5 : refusal.detail.retryAfterMs ?? 0
      this.virtual.after(delayMs, () => this.send(route, tokens, { account, gateway, onRefusal, tries: tries + 1, repeats: outcome }))
    }, (err: unknown) => { throw err })
    return outcome
  }

  /** Sends calls at an even rate. */
  every (perSecond: number, ms: number, send: (index: number) => void): void {
    const count = Math.round(ms * perSecond / 1_000)
    for (let index = 0; index < count; index++) this.virtual.after(index * ms / count, () => send(index))
  }

  /** Share of the calls that got their first event within `ms`, possibly when they were repeated, of those that `counts` selects. */
  share (counts: (outcome: Outcome) => boolean, ms: (outcome: Outcome) => number = (outcome) => outcome.route.sloMs): number {
    const selected = this.outcomes.filter(counts)
    const answered = selected.filter((outcome) => outcome.firstEventMs !== undefined && outcome.firstEventMs <= ms(outcome))
    return answered.length / selected.filter((outcome) => outcome.repeats === undefined).length
  }

  // Each gateway is a relay and tells each other one its load and its waiting calls.
  private exchange (): void {
    for (const [from, sender] of this.gateways.entries()) {
      for (const [to, receiver] of this.gateways.entries()) {
        if (from === to) continue
        const link = (gateway: number): exchange.Link => ({ gateway: `g${gateway}`, incarnation: '1', kind: 'fellow' })
        for (const [topic, other] of [[sender.fleet.peerLoad, receiver.fleet.peerLoad], [sender.admission.topic, receiver.admission.topic]] as const) {
          const changes = topic.changesSince(link(to), 1)
          if (changes !== undefined) other.apply(link(from), JSON.parse(JSON.stringify(changes.payload)))
        }
      }
    }
  }
}
