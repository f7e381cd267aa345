/** What one attempt tells: about its target, about the segments of its prompt, and for metrics and logs. */
import type * as calls from '../call/index.js'
import type * as capacity from '../capacity/index.js'
import type * as errors from '../errors/index.js'
import * as fleet from '../fleet/index.js'
import type * as log from '../log/index.js'
import type * as metrics from '../metrics/index.js'
import type * as quarantine from '../quarantine/index.js'
import type * as time from '../time/index.js'
import type * as attempt from './attempt.js'
import type * as attemptRace from './attempt-race.js'
import * as prefixMetrics from './prefix-metrics.js'
import type * as streamProgress from './stream-progress.js'

/** Shortest prefill that counts as a sample of an engine's speed, in tokens. */
const MIN_SPEED_SAMPLE_TOKENS = 1_000

/** Tokens ahead of a prefill with which it still counts as a sample, as a share of its own. */
const MAX_SAMPLE_AHEAD_SHARE = 0.25

/** Part of the time of a prefill that does not depend on the prompt, in ms. */
const PREFILL_OVERHEAD_MS = 12

/** What distinguishes the sends of one placement. */
export type SendOptions = Pick<calls.SendPlan, 'prefillOnly' | 'kvSource' | 'fetchFrom'>

/** Dependencies of a recorder. */
export interface RecorderDeps {
  readonly env: time.Env
  readonly fleet: fleet.Fleet
  readonly quarantine: Pick<quarantine.SegmentQuarantine, 'noteLost' | 'noteAnswered'>
  /** Counts the work of model calls; absent where it is not measured. */
  readonly demand?: Pick<capacity.DemandMeter, 'noteAttempt'> | undefined
  readonly log: log.Logger
  readonly metrics: metrics.Metrics
  /** Closes the idle connections to an address. */
  readonly dropIdleConnections: (address: string) => void
}

/** An attempt, as known when it was sent; times in ms on the monotonic clock. */
export interface SentAttempt {
  readonly attempt: attempt.Attempt
  readonly run: attemptRace.Run
  readonly state: fleet.TargetState
  readonly options: SendOptions
  readonly sentAt: number
  /** Age of the list of targets, and time for which the target had been missing from it, in ms. */
  readonly listAgeMs: number
  readonly missingMs: number | undefined
  /** Prompt tokens that the target was expected to prefill, and those of other calls before them. */
  readonly prefillTokens: number
  readonly tokensAhead: number
}

/** Why a stream broke off after it had begun. */
export interface BrokenOffStream {
  readonly reason: errors.RefusalReason
  readonly detail: string
  readonly targetsTried: number
  /** Version of the configuration in force; undefined before the first. */
  readonly configVersion: number | undefined
}

/** Records the attempts of one call. */
export class AttemptRecorder {
  constructor (private readonly deps: RecorderDeps, private readonly call: calls.Call, private readonly progress: streamProgress.StreamProgress) {}

  /** Records how an attempt has just ended. */
  noteEnded (sent: SentAttempt, result: attempt.AttemptResult): void {
    const endedAt = this.deps.env.clock.now()
    this.countPlacement(sent)
    this.logEnd(sent, result, endedAt)
    this.recordOutcome(sent, result, endedAt)
    if (result.kind !== 'not_run') this.countWork(sent, endedAt)
    if (sent.options.prefillOnly !== true) this.noteExecution(sent, result)
    if (sent.options.fetchFrom === undefined) this.recordPrefill(sent, prefillMsOf(result, sent.attempt, endedAt - sent.sentAt))
  }

  /** Records that a target has sent no byte for the stall timeout of an attempt, which goes on. */
  noteTargetSilent (state: fleet.TargetState, sentAt: number): void {
    state.failures.record('silent', sentAt, this.deps.env.clock.now())
    this.deps.dropIdleConnections(state.record.address)
  }

  /** Counts and logs an attempt after which the call goes on elsewhere or ends; `message` is the reason. */
  noteFailure (result: attempt.AttemptResult, state: fleet.TargetState, phase: 'read' | 'run', message: string): void {
    this.deps.metrics.count('godwitpoint_attempt_failures_total', `kind="${result.kind}",phase="${phase}"`)
    this.deps.log.info({ id: this.call.id, target: state.record.id, phase, kind: result.kind, reason: message, silent_ms: result.kind === 'failed' ? result.silentMs : undefined, target_silent_ms: result.kind === 'failed' ? result.targetSilentMs : undefined, resumed_after: this.progress.lastId, segments: result.kind === 'failed' ? sharedSegmentIds(this.call) : undefined }, 'attempt_failed')
  }

  /** Counts and logs a stream that ends without its last event. */
  noteBrokenOff ({ reason, detail, targetsTried, configVersion }: BrokenOffStream): void {
    const { call, progress } = this
    const now = this.deps.env.clock.now()
    this.deps.metrics.count('godwitpoint_streams_broken_off_total', `reason="${reason}"`)
    this.deps.log.warn({
      id: call.id,
      route: call.route.name,
      reason,
      detail,
      targets_tried: targetsTried,
      relayed_to: progress.lastId,
      silent_ms: Math.round(now - (progress.lastRelayedAt ?? call.arrivedAt)),
      left_ms: Math.round(call.deadlineAt - now),
      config_version: call.configVersion,
      current_config_version: configVersion
    }, 'stream_broken_off')
  }

  private countPlacement ({ run: { choice }, options, listAgeMs, missingMs }: SentAttempt): void {
    const { metrics } = this.deps
    metrics.count('godwitpoint_placements_total', `phase="${phaseOf(options)}",in_time="${choice.priority < fleet.FIRST_DEFERRED_PRIORITY}"`)
    if (options.kvSource === undefined && choice.prefix !== undefined) prefixMetrics.countPrefixChoice(metrics, choice.prefix)
    metrics.recordDuration('godwitpoint_target_list_age', listAgeMs)
    if (missingMs !== undefined) metrics.count('godwitpoint_sends_to_missing_targets_total')
  }

  private countWork ({ attempt: { firstEventAt }, state, options, prefillTokens, tokensAhead, sentAt }: SentAttempt, endedAt: number): void {
    if (this.call.service.engine === undefined) return
    this.deps.demand?.noteAttempt({ call: this.call, target: state.record, prefillOnly: options.prefillOnly === true, prefillTokens, tokensAhead, sentAt, firstEventAt, endedAt, fetched: options.fetchFrom !== undefined })
  }

  private logEnd (sent: SentAttempt, result: attempt.AttemptResult, endedAt: number): void {
    const { attempt: ended, run, options, sentAt } = sent
    const { call, progress } = this
    this.deps.log.info({
      id: call.id,
      route: call.route.name,
      target: sent.state.record.id,
      list_age_ms: sent.listAgeMs,
      missing_ms: sent.missingMs,
      write_ms: ended.writeMs,
      phase: phaseOf(options),
      priority: run.choice.priority,
      beside: run.beside ? true : undefined,
      waited_ms: Math.round(sentAt - call.arrivedAt),
      expected_ms: Math.round(run.choice.expectedMs),
      first_event_ms: ended.firstEventMs,
      longest_gap_ms: call.route.streaming && options.prefillOnly !== true ? Math.round(progress.longestGapMs) : undefined,
      ms: Math.round(endedAt - sentAt),
      prefill_tokens: sent.prefillTokens,
      tokens_ahead: sent.tokensAhead,
      fetch_from: options.fetchFrom,
      kind: result.kind,
      stopped_by: run.stoppedBy,
      status: result.kind === 'answered' ? result.head.status : undefined
    }, 'attempt_ended')
  }

  // The silence of a target was recorded when its stall timeout had passed.
  private recordOutcome ({ state, sentAt, options }: SentAttempt, result: attempt.AttemptResult, now: number): void {
    if (result.kind === 'streamed' || (result.kind === 'answered' && result.head.status < 500)) state.failures.record('ok', sentAt, now)
    else if (result.kind === 'answered') state.failures.record('error', sentAt, now)
    else if (result.kind === 'failed' && result.cause !== 'target_stalled') state.failures.record('broken', sentAt, now)
    else if (result.kind === 'not_run' && result.message === 'wrong_target') this.deps.fleet.noteMisaddressed(state, sentAt)
    else if (result.kind === 'not_run' && options.kvSource === undefined) state.failures.record(result.written ? 'refused' : 'unreachable', sentAt, now)
    if (result.kind === 'not_run' && !result.written) this.deps.dropIdleConnections(state.record.address)
  }

  // A prefill writes no response, so it neither clears a segment nor makes it suspect.
  private noteExecution ({ attempt: { firstEventAt }, state, sentAt }: SentAttempt, result: attempt.AttemptResult): void {
    const { prompt } = this.call
    if (prompt === undefined) return
    if (result.kind === 'streamed' || (result.kind === 'answered' && isSuccess(result.head.status))) this.deps.quarantine.noteAnswered(prompt)
    else if (result.kind === 'failed' && result.cause === 'disconnected') this.deps.quarantine.noteLost({ prompt, target: state.record, sentAt, firstEventAt })
  }

  // Only prompts that are long enough, and that did not wait behind many others, show how fast an engine is.
  private recordPrefill ({ state, prefillTokens, tokensAhead }: SentAttempt, ms: number | undefined): void {
    if (ms === undefined || prefillTokens < MIN_SPEED_SAMPLE_TOKENS || tokensAhead > prefillTokens * MAX_SAMPLE_AHEAD_SHARE) return
    const promptTokens = this.call.prompt?.promptTokens ?? prefillTokens
    state.notePrefill({ tokens: prefillTokens, promptTokens, tokensAhead, ms: Math.max(1, ms - PREFILL_OVERHEAD_MS) }, this.deps.env.clock.now())
  }
}

/** Ids of the prompt's segments that other calls may share, all but the last, separated by commas; undefined without a prompt. */
function sharedSegmentIds (call: calls.Call): string | undefined {
  return call.prompt?.segments.slice(0, -1).map((segment) => segment.id).join(',')
}

/** Time until a prompt was prefilled, in ms; undefined when the attempt does not show it. */
function prefillMsOf (result: attempt.AttemptResult, ended: attempt.Attempt, ms: number): number | undefined {
  if (result.kind === 'streamed') return ended.firstEventMs
  return result.kind === 'answered' && result.head.status === 200 ? ms : undefined
}

function phaseOf (options: SendOptions): 'read' | 'run_handed_over' | 'run' {
  if (options.prefillOnly === true) return 'read'
  return options.kvSource === undefined ? 'run' : 'run_handed_over'
}

function isSuccess (status: number): boolean {
  return status >= 200 && status < 300
}
