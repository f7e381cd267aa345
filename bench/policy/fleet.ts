/** A model of the engines of one service with a queue in front of them. */
import { ModelEngine, STEP_MS, type EngineSpec, type Job } from './engine.js'

/** Time to transfer the KV cache of 2,000 tokens between engines, in ms. */
const KV_COPY_MS_PER_BLOCK = 4

/** Capacity of the queue; further jobs are refused. */
const MAX_WAITING = 512

/** Latency targets and deadline of the profile. */
export interface LatencyTargets { readonly ttftMs: number, readonly itlMs: number, readonly deadlineMs: number }

/** Results of a run; shares are of all requests. */
export interface Outcome {
  readonly requests: number
  /** Share of requests whose first token and later tokens met their targets. */
  readonly goodput: number
  readonly late_first_token: number
  readonly late_tokens: number
  readonly refused: number
  readonly cut: number
}

/** The engines and the queue. */
export class Fleet {
  readonly engines: ModelEngine[]
  readonly ended: Job[] = []
  /** Totals of the work that has arrived. */
  prefillTokens = 0
  decodeTokens = 0
  promptSquares = 0
  private readonly refused: Job[] = []
  private readonly waiting: Job[] = []
  private readonly kvTransfers: Array<{ readonly job: Job, readonly at: number }> = []

  constructor (count: number, domains: readonly string[], readonly spec: EngineSpec, private readonly targets: LatencyTargets) {
    this.engines = Array.from({ length: count }, (_, index) => new ModelEngine(`e${index + 1}`, domains[index % domains.length]!, spec))
  }

  arrive (now: number, promptTokens: number, outputTokens: number): void {
    this.prefillTokens += promptTokens
    this.decodeTokens += outputTokens
    this.promptSquares += promptTokens ** 2
    const job = { arrivedAt: now, promptTokens, outputTokens, remainingPrefillTokens: promptTokens, producedTokens: 0, lateTokens: 0, firstTokenAt: Infinity, doneAt: Infinity, restarts: 0, cut: false }
    if (this.waiting.length >= MAX_WAITING) this.refused.push(job)
    else this.waiting.push(job)
  }

  step (now: number): void {
    while (this.kvTransfers.length > 0 && this.kvTransfers[0]!.at <= now) this.startDecode(this.kvTransfers.shift()!.job)
    while (this.waiting.length > 0) {
      const job = this.waiting[0]!
      if (now - job.arrivedAt > this.targets.deadlineMs) this.refused.push(job)
      else if (!this.dispatch(job, now)) break
      this.waiting.shift()
    }
    for (const engine of this.engines) {
      engine.step(now, this.targets.itlMs, (job) => { this.finishPrefill(engine, job, now) }, (job) => { this.ended.push(job) })
    }
  }

  /** Kills engines; their jobs are resumed elsewhere, from the last token that was produced. */
  fail (engines: readonly ModelEngine[]): void {
    for (const engine of engines) {
      engine.up = false
      for (const job of [...engine.prompts.splice(0), ...engine.streams.splice(0)]) {
        job.restarts++
        job.remainingPrefillTokens = job.promptTokens + job.producedTokens
        this.waiting.unshift(job)
      }
    }
  }

  /** Results for the requests that arrived at `since` or later. */
  outcome (since: number): Outcome {
    const ended = this.ended.filter((job) => job.arrivedAt >= since)
    const lateFirst = ended.filter((job) => job.firstTokenAt - job.arrivedAt > this.targets.ttftMs)
    const lateTokens = ended.filter((job) => job.lateTokens > 0.05 * job.outputTokens)
    const lateJobs = new Set([...lateFirst, ...lateTokens])
    const onTimeCount = ended.filter((job) => !lateJobs.has(job)).length
    const refused = this.refused.filter((job) => job.arrivedAt >= since).length
    const waiting = this.waiting.filter((job) => job.arrivedAt >= since).length
    const requests = ended.length + refused + waiting
    const share = (count: number): number => roundToThousandths(count / Math.max(1, requests))
    return {
      requests,
      goodput: share(onTimeCount),
      late_first_token: share(lateFirst.length),
      late_tokens: share(lateTokens.length),
      refused: share(refused),
      cut: share(ended.filter((job) => job.restarts > 0).length)
    }
  }

  /** Places a prompt at a prefill engine, or at a mixed one with a free slot when the prefill engines are missing or busy. */
  private dispatch (job: Job, now: number): boolean {
    const available = this.engines.filter((engine) => engine.accepts(now))
    const running = this.engines.reduce((sum, engine) => sum + engine.running, this.kvTransfers.length)
    if (running >= available.length * this.spec.slots) return false
    const maxPendingTokens = this.targets.ttftMs / 1_000 * this.spec.prefillRate
    const prefillEngine = minBy(available.filter((engine) => engine.role === 'prefill'), (engine) => engine.pendingPrefill)
    const mixedEngine = minBy(available.filter((engine) => engine.role === 'mixed' && engine.running < this.spec.slots), (engine) => engine.pendingPrefill + engine.streams.length * 100)
    const isPrefillBusy = prefillEngine !== undefined && prefillEngine.pendingPrefill + job.remainingPrefillTokens > maxPendingTokens
    const chosen = prefillEngine === undefined || (isPrefillBusy && mixedEngine !== undefined) ? mixedEngine : prefillEngine.running < 32 ? prefillEngine : undefined
    chosen?.prompts.push(job)
    return chosen !== undefined
  }

  private finishPrefill (engine: ModelEngine, job: Job, now: number): void {
    if (engine.role !== 'prefill') engine.streams.push(job)
    else this.kvTransfers.push({ job, at: now + STEP_MS + Math.ceil(job.promptTokens / 2_000) * KV_COPY_MS_PER_BLOCK })
  }

  private startDecode (job: Job): void {
    const available = this.engines.filter((engine) => engine.up && !engine.draining && engine.role !== 'prefill')
    const chosen = minBy(available, (engine) => engine.streams.length + (engine.role === 'mixed' ? engine.prompts.length : 0))
    if (chosen === undefined) this.waiting.unshift(job)
    else chosen.streams.push(job)
  }
}

/** The element with the smallest value; the first of several. */
function minBy<T> (items: readonly T[], value: (item: T) => number): T | undefined {
  return items.reduce<T | undefined>((best, item) => best === undefined || value(item) < value(best) ? item : best, undefined)
}

/** Rounds to three decimals. */
export function roundToThousandths (value: number): number {
  return Math.round(value * 1_000) / 1_000
}
