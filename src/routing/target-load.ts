/** Estimated wait at one target: its last load report plus the work sent to it since. */
import type { LoadReport } from '../schema/index.js'

/** Age above which a report is expired, in ms. */
export const REPORT_LIFE_MS = 10_000

/** Prefill and decode rates of a target, in tokens per second. */
export type Rates = Pick<LoadReport, 'prefill_rate' | 'decode_rate'>

/** Rates assumed until a target of the service has reported its own. */
const DEFAULT_RATES: Rates = { prefill_rate: 10_000, decode_rate: 400 }

/** Work of one plain request, in ms. */
const PLAIN_REQUEST_MS = 20

/** Work of a request, in tokens; both are 0 for a plain request. */
export interface RequestWork {
  readonly prefillTokens: number
  readonly decodeTokens: number
}

/** Load of one target, as this entry estimates it. */
export class TargetLoad {
  private report: LoadReport | undefined
  private rates: Rates = DEFAULT_RATES
  private reportedAt = -Infinity
  private readonly attempts = new Map<string, SentAttempt>()
  private sentWorkMs = 0

  /** Running requests, by the last report and this entry's attempts in flight. */
  get running (): number {
    return Math.max(this.report?.running ?? 0, this.attempts.size)
  }

  /**
   * Applies a report requested at wall-clock time `requestedAt`. The engine's clock may differ, so a report never counts
   * as newer than its request. A report older than the current one is dropped unless the current one has expired.
   */
  apply (report: LoadReport, requestedAt: number): void {
    const reportedAt = Math.min(report.at, requestedAt)
    if (reportedAt < this.reportedAt && requestedAt - this.reportedAt < REPORT_LIFE_MS) return
    this.report = report
    this.rates = report
    this.reportedAt = reportedAt
    this.sentWorkMs = 0
    for (const attempt of this.attempts.values()) if (attempt.sentAt >= reportedAt) this.sentWorkMs += attempt.workMs
  }

  /** Rates in the last report, `undefined` before the first. */
  get reportedRates (): Rates | undefined {
    return this.report
  }

  /** Sets the rates that are used until the first report. */
  assumeRates (rates: Rates): void {
    if (this.report === undefined) this.rates = rates
  }

  /** Adds the work of an attempt that was sent. */
  noteSent (attemptId: string, work: RequestWork, wallTimeMs: number): void {
    const isPlain = work.prefillTokens === 0 && work.decodeTokens === 0
    const attempt = { sentAt: wallTimeMs, workMs: isPlain ? PLAIN_REQUEST_MS : this.workMs(work) }
    this.attempts.set(attemptId, attempt)
    if (attempt.sentAt >= this.reportedAt) this.sentWorkMs += attempt.workMs
  }

  /** Removes the work of an attempt that ended. */
  noteFinished (attemptId: string): void {
    const attempt = this.attempts.get(attemptId)
    if (attempt === undefined) return
    this.attempts.delete(attemptId)
    if (attempt.sentAt >= this.reportedAt) this.sentWorkMs = Math.max(0, this.sentWorkMs - attempt.workMs)
  }

  /** Time that a request's work takes on this target when nothing else runs, in ms. */
  workMs (work: RequestWork): number {
    return this.prefillMs(work.prefillTokens) + work.decodeTokens / this.rates.decode_rate * 1_000
  }

  /** Time to prefill a number of tokens, in ms. */
  prefillMs (tokens: number): number {
    return tokens / this.rates.prefill_rate * 1_000
  }

  /** Time that the reported work takes, in ms; `undefined` without a current report. */
  reportedWaitMs (wallTimeMs: number): number | undefined {
    if (this.report === undefined || wallTimeMs - this.reportedAt > REPORT_LIFE_MS) return undefined
    return this.workMs({ prefillTokens: this.report.pending_prefill_tokens, decodeTokens: this.report.pending_decode_tokens })
  }

  /** Estimated wait in ms; the reported part decays to the mean of the service's targets as the report ages. */
  waitMs (wallTimeMs: number, meanWaitMs: number): number {
    const reportedWaitMs = this.reportedWaitMs(wallTimeMs)
    if (reportedWaitMs === undefined) return meanWaitMs + this.sentWorkMs
    const confidence = 1 - Math.max(0, wallTimeMs - this.reportedAt) / REPORT_LIFE_MS
    return reportedWaitMs * confidence + meanWaitMs * (1 - confidence) + this.sentWorkMs
  }
}

interface SentAttempt {
  readonly sentAt: number
  readonly workMs: number
}
