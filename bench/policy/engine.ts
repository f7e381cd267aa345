/** A queueing model of one engine: prompts are prefilled one at a time, streams decode together. */
import type { Role } from '../../src/schema/index.js'

/** Time step of the model, in ms. */
export const STEP_MS = 20

/** Performance of an engine: rates in tokens per second, times in ms, slowdowns as factors. */
export interface EngineSpec {
  readonly prefillRate: number
  readonly tokenMs: number
  readonly fullSpeedStreams: number
  readonly slots: number
  readonly interference: number
  readonly prefillSlowdown: number
  readonly changeMs: number
}

/** State of a request in the model. */
export interface Job {
  readonly arrivedAt: number
  readonly promptTokens: number
  readonly outputTokens: number
  remainingPrefillTokens: number
  producedTokens: number
  lateTokens: number
  firstTokenAt: number
  doneAt: number
  restarts: number
  cut: boolean
}

/** One engine. */
export class ModelEngine {
  role: Role = 'mixed'
  up = true
  draining = false
  changingUntil = 0
  readonly prompts: Job[] = []
  readonly streams: Job[] = []

  constructor (readonly name: string, readonly domain: string, readonly spec: EngineSpec) {}

  get running (): number {
    return this.prompts.length + this.streams.length
  }

  accepts (now: number): boolean {
    return this.up && !this.draining && now >= this.changingUntil
  }

  /** Prompt tokens that are not yet prefilled. */
  get pendingPrefill (): number {
    return this.prompts.reduce((sum, job) => sum + job.remainingPrefillTokens, 0)
  }

  /** Advances one step; calls `onPrefilled` for jobs whose prompt is prefilled, `onEnded` for completed ones. */
  step (now: number, itlMs: number, onPrefilled: (job: Job) => void, onEnded: (job: Job) => void): void {
    if (!this.up || now < this.changingUntil) return
    const prefillShare = this.stepPrompts(onPrefilled)
    this.stepStreams(now, prefillShare, itlMs, onEnded)
  }

  /** Prefills prompts; returns the share of the step that this took. */
  private stepPrompts (onPrefilled: (job: Job) => void): number {
    const rate = this.spec.prefillRate / 1_000 / (this.streams.length > 0 ? this.spec.prefillSlowdown : 1)
    let remainingMs = STEP_MS
    while (remainingMs > 0 && this.prompts.length > 0) {
      const job = this.prompts[0]!
      const ms = Math.min(remainingMs, job.remainingPrefillTokens / rate)
      job.remainingPrefillTokens -= ms * rate
      remainingMs -= ms
      if (job.remainingPrefillTokens > 0.5) continue
      this.prompts.shift()
      onPrefilled(job)
    }
    return 1 - remainingMs / STEP_MS
  }

  private stepStreams (now: number, prefillShare: number, itlMs: number, onEnded: (job: Job) => void): void {
    const { tokenMs, fullSpeedStreams, interference } = this.spec
    const undisturbedTokenMs = tokenMs * Math.max(1, this.streams.length / fullSpeedStreams)
    const disturbedTokens = STEP_MS * prefillShare / (undisturbedTokenMs * interference)
    const tokens = STEP_MS * (1 - prefillShare) / undisturbedTokenMs + disturbedTokens
    const lateTokens = (undisturbedTokenMs > itlMs ? tokens - disturbedTokens : 0) + (undisturbedTokenMs * interference > itlMs ? disturbedTokens : 0)
    for (let index = this.streams.length - 1; index >= 0; index--) {
      const job = this.streams[index]!
      if (job.producedTokens === 0) job.firstTokenAt = now + STEP_MS
      job.producedTokens += tokens
      job.lateTokens += lateTokens
      if (job.producedTokens < job.outputTokens) continue
      job.doneAt = now + STEP_MS
      this.streams.splice(index, 1)
      onEnded(job)
    }
  }
}
