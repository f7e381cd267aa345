/** Replays loads under which prompts are long, against model engines in virtual time. */
import * as chai from 'chai'
import type * as calls from '../../src/call/index.js'
import * as forward from '../../src/forward/index.js'
import * as log from '../../src/log/index.js'
import * as metrics from '../../src/metrics/index.js'
import * as placement from '../../src/placement/index.js'
import * as quarantine from '../../src/quarantine/index.js'
import * as retry from '../../src/retry/index.js'
import type * as serving from '../../src/serving/index.js'
import * as time from '../../src/time/index.js'
import * as platformTarget from '../../platform/target-protocol.js'
import * as build from '../support/gateway-builders.js'
import * as model from '../support/model-engines.js'

/** Large models: prefill is slow, and a stream soon notices prefill beside it. */
const SIZES: model.EngineSizes = {
  tokensPerMs: { prefill: 60, decode: 25 },
  tokenMs: 5,
  tokenMsDuringPrefill: 40,
  tokensPerEvent: 10,
  kvCapacityTokens: 400_000,
  transferMsPerToken: 0.001
}

const KV_TOKEN_BYTES = 1_000
const SERVICE = build.aService({ engine: { slots: 16, kvCapacityTokens: SIZES.kvCapacityTokens, kvTokenBytes: KV_TOKEN_BYTES, kvLinkBytesPerMs: KV_TOKEN_BYTES / SIZES.transferMsPerToken } })

const LONG = build.aRoute({ name: 'long', streaming: true, idempotency: 'non_idempotent', maxTargets: 1, sloMs: 600, gapSloMs: 150, callerIdleTimeoutMs: 2_400 })
const SHORT = build.aRoute({ name: 'short', streaming: true, idempotency: 'resumable', maxTargets: 2, sloMs: 250, gapSloMs: 150, callerIdleTimeoutMs: 2_000 })

/** Share of calls whose first event and gaps must meet their objectives under a load that the fleet carries. */
const ON_TIME_SHARE = 0.95

interface Outcome {
  readonly route: string
  readonly sentAt: number
  firstEventMs: number | undefined
  longestGapMs: number
  ended: boolean
}

/** A reply that notes when events arrive. */
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

class Replay {
  readonly virtual = new time.VirtualTime()
  readonly outcomes: Outcome[] = []
  readonly engines: model.ModelEngines
  readonly random: time.Random
  private readonly forwarder: forward.Forwarder

  constructor (records: readonly serving.TargetRecord[], seed: number) {
    const env = this.virtual.env(seed)
    this.random = env.random
    const fleet = build.aFleet(this.virtual, records)
    this.engines = new model.ModelEngines(this.virtual, SIZES, records)
    const placer = new placement.EnginePlacer(fleet, env, 'd0', () => 1)
    const budget = new retry.SharedRetryBudget(this.virtual, { ratio: 0.2, slack: 50, windowMs: 10_000 }, () => 1)
    this.forwarder = new forward.Forwarder({
      env,
      upstream: this.engines,
      protocol: this.engines.protocol(new platformTarget.HttpTargetProtocol()),
      onExecution: () => {},
      placerFor: () => placer,
      budgetFor: () => budget,
      fleet,
      quarantine: new quarantine.SegmentQuarantine({ clock: this.virtual, selfName: 'g', gateways: () => ['g'], log: log.SILENT_LOGGER }),
      listAgeMs: () => 0,
      configVersion: () => 1,
      log: log.SILENT_LOGGER,
      metrics: new metrics.Metrics(),
      dropIdleConnections: () => {}
    })
  }

  send (route: serving.ServingRoute, prompt: calls.Prompt): void {
    const outcome: Outcome = { route: route.name, sentAt: this.virtual.now(), firstEventMs: undefined, longestGapMs: 0, ended: false }
    this.outcomes.push(outcome)
    const call = build.aCall({ id: `c${this.outcomes.length}`, route, service: SERVICE, account: undefined, priority: 1, arrivedAt: outcome.sentAt, deadlineAt: outcome.sentAt + 5_000, prompt })
    this.forwarder.forward(call, new TimedReply(this.virtual, outcome), new AbortController().signal).catch((err: unknown) => { throw err })
  }

  /** Sends `perSecond` calls a second for `ms`, at even intervals. */
  async run (ms: number, perSecond: number, send: () => void): Promise<void> {
    const count = Math.round(ms * perSecond / 1_000)
    for (let index = 0; index < count; index++) {
      send()
      await this.virtual.advance(ms / count)
    }
  }

  /** Share of the calls of a route sent from `from` on that met their objectives. */
  onTimeShare (route: serving.ServingRoute, from = 0): number {
    const sent = this.outcomes.filter((outcome) => outcome.route === route.name && outcome.sentAt >= from)
    const onTime = sent.filter(({ firstEventMs, longestGapMs, ended }) => ended && firstEventMs !== undefined && firstEventMs <= route.sloMs && longestGapMs <= route.gapSloMs)
    return onTime.length / sent.length
  }
}

function engineRecords (prefillOnly: number, mixed: number): serving.TargetRecord[] {
  return Array.from({ length: prefillOnly + mixed }, (_, index) => build.aTarget(`e${index}`, {
    address: `10.0.0.${index}:80`, domain: `d${index % 3}`, stage: index < prefillOnly ? 'prefill' : 'decode', slots: 16
  }))
}

let ownSegments = 0

/** A prompt of a shared segment, the longer part, and a segment of its own. */
function longPrompt (shared: number): calls.Prompt {
  return { promptTokens: 16_000, outputTokens: 100, segments: [{ id: `s${shared}`, tokens: 13_000 }, { id: `own${ownSegments++}`, tokens: 3_000 }] }
}

function shortPrompt (): calls.Prompt {
  return { promptTokens: 300, outputTokens: 40, segments: [{ id: `own${ownSegments++}`, tokens: 300 }] }
}

describe('replay of a swing to long prompts', () => {
  it('meets the objectives of long and short calls while the fleet can carry them', async () => {
    const replay = new Replay(engineRecords(6, 12), 1)
    const longOrShort = (longShare: number) => (): void => {
      if (replay.random.next() < longShare) replay.send(LONG, longPrompt(Math.floor(replay.random.next() * 60)))
      else replay.send(SHORT, shortPrompt())
    }
    await replay.run(5_000, 80, longOrShort(0.15))
    const swingAt = replay.virtual.now()
    await replay.run(5_000, 80, longOrShort(0.45))
    await replay.virtual.advance(6_000)
    chai.expect(replay.onTimeShare(LONG, swingAt), 'long calls').to.be.at.least(ON_TIME_SHARE)
    chai.expect(replay.onTimeShare(SHORT, swingAt), 'short calls').to.be.at.least(ON_TIME_SHARE)
  })
})
