/** Counts the work that the calls of this gateway give to engines. */
import type * as calls from '../call/index.js'
import type * as errors from '../errors/index.js'
import type * as fleet from '../fleet/index.js'
import type * as serving from '../serving/index.js'
import type * as time from '../time/index.js'
import * as engineThroughput from './engine-throughput.js'
import * as segmentSample from './segment-sample.js'
import * as work from './work.js'

/**
 * Share of the latency objective that the prefill of a call may take at a mean engine for its lateness to show a want of
 * capacity; the rest is for transfers and the first event. A call that takes longer is late at an idle engine too.
 */
const MAX_PREFILL_SLO_SHARE = 0.7

/** Why a call is refused when engines, or their connections, are fully used. */
const CAPACITY_REASONS: ReadonlySet<errors.RefusalReason> = new Set<errors.RefusalReason>(['deadline_unreachable', 'no_target', 'service_queue_full'])

/** Share of the latency objective beyond which the time before the send counts as waiting for an engine. */
const MAX_UNSENT_SLO_SHARE = 0.3

const MS_PER_S = 1_000

/** An attempt that has ended; times in ms on the monotonic clock. */
export interface EndedAttempt {
  readonly call: calls.Call
  readonly target: serving.TargetRecord
  /** Whether the target only prefilled the prompt. */
  readonly prefillOnly: boolean
  /** Prompt tokens that the target was expected to prefill, and those of other calls before them. */
  readonly prefillTokens: number
  readonly tokensAhead: number
  readonly sentAt: number
  /** Undefined when no event arrived. */
  readonly firstEventAt: number | undefined
  readonly endedAt: number
  /** Whether the engine first fetched cached segments from another one. */
  readonly fetched: boolean
}

/** Work of the calls of a service at this gateway. */
export interface OwnDemand {
  readonly work: work.Work
  readonly segments: readonly segmentSample.SegmentRow[]
}

interface ServiceDemand {
  work: work.Work
  readonly segments: segmentSample.SegmentSample
  readonly throughput: Readonly<Record<serving.Stage, engineThroughput.StageThroughput>>
}

/** Counters of the work of this gateway's calls, by service. */
export class DemandMeter {
  private readonly services = new Map<string, ServiceDemand>()

  constructor (private readonly clock: time.Clock, private readonly speeds: Pick<fleet.EngineSpeeds, 'tokensPerMs'>) {}

  /** Counts the work of an attempt at an engine. */
  noteAttempt (ended: EndedAttempt): void {
    const { call, target, prefillOnly, prefillTokens, sentAt, endedAt } = ended
    const stage = target.stage ?? 'decode'
    const ms = endedAt - sentAt
    this.add(call, {
      prefillTokens: stage === 'prefill' ? prefillTokens : 0,
      mixedPrefillTokens: stage === 'prefill' ? 0 : prefillTokens,
      slotMs: stage === 'prefill' ? 0 : ms,
      kvTokenSeconds: prefillOnly ? 0 : (call.prompt?.promptTokens ?? 0) * ms / MS_PER_S,
      calls: prefillOnly ? 0 : 1,
      late: this.isLateByQueueing(ended) ? 1 : 0,
      refused: 0
    })
    if (!prefillOnly) this.noteSegments(call, endedAt)
    this.noteThroughput(ended)
  }

  /** Tokens per ms that a busy engine of a stage prefills; undefined while this gateway has seen too few prefills. */
  throughput (service: string, stage: serving.Stage): number | undefined {
    return this.services.get(service)?.throughput[stage].tokensPerMs
  }

  /** Counts a call that was refused; its own segment is work that engines had no room for. */
  noteRefused (call: calls.Call, reason: errors.RefusalReason): void {
    if (call.service.engine === undefined || !CAPACITY_REASONS.has(reason)) return
    const ownTokens = call.prompt?.segments.at(-1)?.tokens ?? call.prompt?.promptTokens ?? 0
    this.add(call, { ...work.NO_WORK, mixedPrefillTokens: ownTokens, calls: 1, refused: 1 })
  }

  /** Services with calls so far. */
  serviceNames (): Iterable<string> {
    return this.services.keys()
  }

  /** Work so far of a service's calls, and the segments that they used recently. */
  own (service: string): OwnDemand {
    const demand = this.services.get(service)
    return { work: demand?.work ?? work.NO_WORK, segments: demand?.segments.rows(this.clock.now()) ?? [] }
  }

  /** Work so far of a service's calls. */
  workOf (service: string): work.Work {
    return this.services.get(service)?.work ?? work.NO_WORK
  }

  // Late behind other prompts or by waiting before the send, and the prefill alone would have been in time.
  private isLateByQueueing ({ call, target, prefillOnly, prefillTokens, tokensAhead, sentAt, firstEventAt, endedAt }: EndedAttempt): boolean {
    const { sloMs } = call.route
    if (prefillOnly || (firstEventAt ?? endedAt) - call.arrivedAt <= sloMs) return false
    const isQueued = tokensAhead > 0 || sentAt - call.arrivedAt > sloMs * MAX_UNSENT_SLO_SHARE
    const prefillMs = prefillTokens / this.speeds.tokensPerMs(target)
    return isQueued && prefillMs <= sloMs * MAX_PREFILL_SLO_SHARE
  }

  private noteThroughput ({ call, target, prefillOnly, prefillTokens, tokensAhead, fetched, sentAt, firstEventAt, endedAt }: EndedAttempt): void {
    const prefilledAt = prefillOnly ? endedAt : firstEventAt
    if (prefillTokens <= 0 || tokensAhead > 0 || fetched || prefilledAt === undefined || prefilledAt <= sentAt) return
    this.demandOf(call.service.name).throughput[target.stage ?? 'decode'].note({ tokens: prefillTokens, ms: prefilledAt - sentAt })
  }

  private noteSegments (call: calls.Call, now: number): void {
    const { segments } = this.demandOf(call.service.name)
    for (const { id, tokens } of call.prompt?.segments.slice(0, -1) ?? []) segments.note(id, tokens, now)
  }

  private add (call: calls.Call, added: work.Work): void {
    const demand = this.demandOf(call.service.name)
    demand.work = work.addWork(demand.work, added)
  }

  private demandOf (service: string): ServiceDemand {
    let demand = this.services.get(service)
    if (demand === undefined) {
      const throughput = { prefill: new engineThroughput.StageThroughput(), decode: new engineThroughput.StageThroughput() }
      demand = { work: work.NO_WORK, segments: new segmentSample.SegmentSample(), throughput }
      this.services.set(service, demand)
    }
    return demand
  }
}
