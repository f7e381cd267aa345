/** Replays loads under which prompts are long, against model engines in virtual time. */
import * as chai from 'chai'
import type * as calls from '../../src/call/index.js'
import type * as serving from '../../src/serving/index.js'
import * as build from '../support/gateway-builders.js'
import * as gatewayFleet from '../support/gateway-fleet.js'
import type * as model from '../support/model-engines.js'

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

/** Share of the calls of a route sent from `from` on that met their objectives. */
function onTimeShare ({ outcomes }: gatewayFleet.GatewayFleet, route: serving.ServingRoute, from: number): number {
  const sent = outcomes.filter((outcome) => outcome.route === route && outcome.sentAt >= from)
  const onTime = sent.filter(({ firstEventMs, longestGapMs, ended }) => ended && firstEventMs !== undefined && firstEventMs <= route.sloMs && longestGapMs <= route.gapSloMs)
  return onTime.length / sent.length
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
    const records = engineRecords(6, 12)
    const replay = new gatewayFleet.GatewayFleet({ records, sizes: SIZES, service: SERVICE, gateways: 1, exchangeMs: 100, exchangeDelayMs: 0, seed: 1 })
    const longOrShort = (longShare: number) => (): readonly [serving.ServingRoute, calls.Prompt] =>
      replay.random.next() < longShare ? [LONG, longPrompt(Math.floor(replay.random.next() * 60))] : [SHORT, shortPrompt()]
    await replay.run(5_000, 80, longOrShort(0.15))
    const swingAt = replay.virtual.now()
    await replay.run(5_000, 80, longOrShort(0.45))
    await replay.virtual.advance(6_000)
    chai.expect(onTimeShare(replay, LONG, swingAt), 'long calls').to.be.at.least(ON_TIME_SHARE)
    chai.expect(onTimeShare(replay, SHORT, swingAt), 'short calls').to.be.at.least(ON_TIME_SHARE)
  })
})
