/** Prefill speeds by service and stage, and of each engine. */
import type * as serving from '../serving/index.js'
import * as prefillSpeed from './prefill-speed.js'

/** Speed of an engine before any attempt is known, in tokens per ms; a mixed engine also generates. */
const INITIAL_TOKENS_PER_MS: Readonly<Record<serving.Stage, number>> = { prefill: 100, decode: 40 }

/** Time after which a sample of one engine counts half, in ms: an engine that was slow is tried again. */
const ENGINE_HALF_LIFE_MS = 5_000

/** Speeds of all engines of one stage of each service. An engine's own speed starts from that of its stage. */
export class StageSpeeds {
  private readonly speeds = new Map<string, prefillSpeed.PrefillSpeed>()

  /** Speed of the engines of a service and stage. */
  of (service: string, stage: serving.Stage): prefillSpeed.PrefillSpeed {
    const key = `${service}/${stage}`
    let speed = this.speeds.get(key)
    if (speed === undefined) {
      speed = new prefillSpeed.PrefillSpeed(() => INITIAL_TOKENS_PER_MS[stage])
      this.speeds.set(key, speed)
    }
    return speed
  }

  /** A new record of one engine's speed. */
  createEngineSpeed (service: string, stage: serving.Stage): prefillSpeed.PrefillSpeed {
    const stageSpeed = this.of(service, stage)
    return new prefillSpeed.PrefillSpeed((now) => stageSpeed.tokensPerMs(now), { halfLifeMs: ENGINE_HALF_LIFE_MS })
  }
}
