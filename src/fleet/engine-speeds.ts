/** How fast engines prefill: the time of a token for each service and stage, and the slowness of each engine against it. */
import type * as exchange from '../exchange/index.js'
import type * as serving from '../serving/index.js'
import type * as time from '../time/index.js'
import * as prefillTime from './prefill-time.js'
import * as sharedSums from './shared-sums.js'

/** Time after which a sample of one engine counts half, in ms: an engine that was slow is tried again. */
const ENGINE_HALF_LIFE_MS = 10_000

/** Time after which a sample counts half for its stage, in ms. */
const STAGE_HALF_LIFE_MS = 60_000

/** Weight of the assumption that an engine is as fast as its stage, as the prefill time that it stands for, in ms. */
const PRIOR_WEIGHT_MS = 300

/** A sample counts as at most this many times the expected time: it may have waited for what is not known here. */
const MAX_EXCESS = 3

/** A sample counts as at least this part of the expected time. */
const MIN_SHARE = 0.25

/** Sums of an engine: tokens, tokens times kilotokens of context, ms. */
const ENGINE_SUMS = 3

/** What decides with which other engines an engine is compared. */
export type StagedTarget = Pick<serving.TargetRecord, 'service' | 'stage'>

/** Speeds of all engines, as the gateways together have measured them. */
export class EngineSpeeds {
  private readonly engines: sharedSums.SharedSums
  private readonly stages: sharedSums.SharedSums

  constructor (clock: Pick<time.Clock, 'now'>) {
    this.engines = new sharedSums.SharedSums({ name: 'speeds', clock, halfLifeMs: ENGINE_HALF_LIFE_MS, size: ENGINE_SUMS })
    this.stages = new sharedSums.SharedSums({ name: 'stage_speeds', clock, halfLifeMs: STAGE_HALF_LIFE_MS, size: prefillTime.STAGE_SUMS })
  }

  /** Topics of the exchange that share the measurements. */
  get topics (): exchange.Topic[] {
    return [this.engines, this.stages]
  }

  /** Time of a token at an engine whose VM has its normal speed. */
  of (record: serving.TargetRecord): prefillTime.PrefillTime {
    const stageTime = this.ofStage(record)
    const slowness = this.slowness(record, stageTime)
    return { constantMs: stageTime.constantMs * slowness, slopeMs: stageTime.slopeMs * slowness, meanContext: stageTime.meanContext }
  }

  /** Time of a token at the mean engine of the service and stage of a target. */
  ofStage (record: StagedTarget): prefillTime.PrefillTime {
    return prefillTime.estimate(this.stages.total(stageKey(record)), stageOf(record))
  }

  /** Tokens per ms of the mean engine of a service and stage. */
  tokensPerMs (record: StagedTarget): number {
    return prefillTime.tokensPerMs(this.ofStage(record))
  }

  /** Notes a prefill of an engine; its stage learns from it too. */
  note (record: serving.TargetRecord, sample: prefillTime.PrefillSample): void {
    const stageTime = this.ofStage(record)
    const slowness = this.slowness(record, stageTime)
    const expectedMs = prefillTime.prefillMs(stageTime, sample.tokens, sample.context) * slowness
    const ms = Math.min(expectedMs * MAX_EXCESS, Math.max(expectedMs * MIN_SHARE, sample.ms))
    this.engines.add(engineKey(record), [sample.tokens, sample.tokens * sample.context, ms])
    this.stages.add(stageKey(record), prefillTime.toStageSums({ ...sample, ms }, slowness))
  }

  private slowness (record: serving.TargetRecord, stageTime: prefillTime.PrefillTime): number {
    const [tokens, contexts, ms] = this.engines.total(engineKey(record)) as [number, number, number]
    const expectedMs = tokens === 0 ? 0 : prefillTime.prefillMs(stageTime, tokens, contexts / tokens)
    return (PRIOR_WEIGHT_MS + ms) / (PRIOR_WEIGHT_MS + expectedMs)
  }
}

// A restarted engine has another key, and starts anew; so does one that changes its stage.
function engineKey (record: serving.TargetRecord): string {
  return `${record.id} ${record.startedAt.toString(36)} ${stageOf(record)[0]!}`
}

function stageKey (record: StagedTarget): string {
  return `${record.service} ${stageOf(record)[0]!}`
}

function stageOf (record: StagedTarget): serving.Stage {
  return record.stage ?? 'decode'
}
