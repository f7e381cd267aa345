/** State of one target as this gateway knows it. */
import type * as calls from '../call/index.js'
import type * as serving from '../serving/index.js'
import * as cacheEstimate from './cache-estimate.js'
import type * as engineSpeeds from './engine-speeds.js'
import * as failureRecord from './failure-record.js'
import * as heldTokens from './held-tokens.js'
import type * as peerLoad from './peer-load.js'
import * as prefillTime from './prefill-time.js'
import type * as slowdowns from './slowdowns.js'
import * as workFactor from './work-factor.js'

/** Age up to which a load that the target reported counts, in ms. */
const REPORTED_LOAD_LIFE_MS = 1_000

/** Longest time for which a target may refuse requests, in ms; bounds what a malformed response can do. */
const MAX_REFUSAL_MS = 600_000

/** What a target shares with others of the fleet. */
export interface FleetKnowledge {
  /** Load that other gateways report. */
  readonly peerLoad: peerLoad.PeerLoad
  readonly speeds: engineSpeeds.EngineSpeeds
  readonly slowdowns: slowdowns.Slowdowns
}

/** Time for which the calculated time of a token is reused, in ms. */
const TOKEN_TIME_REUSE_MS = 200

/** A prefill of this gateway whose time was measured. */
export interface MeasuredPrefill {
  /** Tokens that were prefilled, and tokens of the complete prompt. */
  readonly tokens: number
  readonly promptTokens: number
  /** Prompt tokens of other calls before them. */
  readonly tokensAhead: number
  readonly ms: number
}

/** Since when a target has been missing from the list, and until when it is used nevertheless; ms, monotonic. `era`: that of the list. */
export interface KeptTarget {
  readonly since: number
  readonly until: number
  readonly era: number
}

/** Mutable state of a target: load, speed, cache and failures; owned by the {@link Fleet}. */
export class TargetState {
  readonly failures = new failureRecord.FailureRecord()
  readonly cache = new cacheEstimate.CacheEstimate()
  /** KV cache that this gateway's calls hold. */
  readonly held = new heldTokens.HeldTokens()
  /** How long work takes at the target at the moment. */
  readonly work = new workFactor.WorkFactor()
  /** Prompt tokens of this gateway's calls that the target has still to prefill. */
  pendingPrefillTokens = 0
  /** This gateway's calls in flight. */
  running = 0
  /** Until when the target wants no requests from this gateway, in ms on the monotonic clock. */
  private refusesUntil = -Infinity
  private byteAt = -Infinity
  /** When a KV transfer from this target last failed, in ms on the monotonic clock. */
  kvTransferFailedAt = -Infinity
  /** Whether the target was removed from the fleet. */
  removed = false
  /** Set while the target is used although it is missing from the list. */
  kept: KeptTarget | undefined
  /** Whether this gateway polls the target itself for cache changes, and skips those that other gateways relay. */
  followed = false
  /** Calls of other gateways, by the target's last report. */
  private otherCalls = 0
  private reportedAt = -Infinity
  /** Time of a token at normal speed of the VM, as of `tokenTimeAt`. */
  private tokenTime: prefillTime.PrefillTime | undefined
  private tokenTimeAt = -Infinity
  private tokenTimeStage: serving.Stage | undefined

  constructor (public record: serving.TargetRecord, private readonly known: FleetKnowledge) {}

  /** When the last byte arrived from the target, in ms on the monotonic clock. */
  get lastByteAt (): number {
    return this.byteAt
  }

  /** Notes that a byte arrived from the target. */
  noteByte (now: number): void {
    this.byteAt = now
    this.failures.noteByte(now)
  }

  /** Whether new calls may be sent to the target. */
  acceptsCalls (now: number): boolean {
    return !this.isBarred(now) && this.failures.isUsable(now)
  }

  /** Whether no request may reach the target: it has left, or it wants none for a while. */
  isBarred (now: number): boolean {
    return this.hasLeft(now) || now < this.refusesUntil
  }

  /** Time for which the target wants no requests from this gateway, in ms; 0 or less when it takes them. */
  refusesForMs (now: number): number {
    return this.refusesUntil - now
  }

  /** Notes that the target wants no requests from this gateway for `ms`. */
  noteRefusal (ms: number, now: number): void {
    this.refusesUntil = Math.max(this.refusesUntil, now + Math.min(ms, MAX_REFUSAL_MS))
  }

  /** Whether the target has left or is leaving, as far as is known. */
  hasLeft (now: number): boolean {
    return this.removed || this.record.leaving || (this.kept !== undefined && now >= this.kept.until)
  }

  /** Time for which the target has been missing from the list, in ms, rounded; undefined while it is listed. */
  missingMs (now: number): number | undefined {
    return this.kept === undefined ? undefined : Math.round(now - this.kept.since)
  }

  /** Applies the load that the target reported; this gateway's own calls are subtracted, so they count once. */
  applyReportedLoad (load: calls.ReportedLoad, now: number): void {
    this.otherCalls = Math.max(0, load.running + load.waiting - this.running)
    this.reportedAt = now
    if (load.workFactor === undefined) return
    this.work.note(load.workFactor, now)
    this.known.slowdowns.note(this.record.id, load.workFactor, now)
  }

  /**
   * Calls at the target: this gateway's own, and those of other gateways by their reports or by the target's, whichever
   * is higher. The target's report counts less as it ages.
   */
  load (now: number): number {
    const reportWeight = Math.max(0, 1 - (now - this.reportedAt) / REPORTED_LOAD_LIFE_MS)
    return this.running + Math.max(this.known.peerLoad.running(this.record.id), this.otherCalls * reportWeight)
  }

  /**
   * Prompt tokens of all gateways that the target prefills before those of a new call. Priorities make no difference: an
   * engine prefills the prompts that it has admitted in the order of their arrival.
   */
  prefillTokensAhead (): number {
    return this.pendingPrefillTokens + this.peerPrefillTokens()
  }

  /** Prompt tokens of other gateways' calls that the target has still to prefill. */
  peerPrefillTokens (): number {
    return this.known.peerLoad.pendingPrefillTokens(this.record.id)
  }

  /** Tokens of KV cache that calls of all gateways hold; shared segments only as far as this gateway's calls hold them. */
  heldTokens (): number {
    return this.held.total + this.known.peerLoad.heldTokens(this.record.id)
  }

  /** Prefill speed of the engine at the moment for a mean context, in tokens per ms. */
  prefillTokensPerMs (now: number): number {
    return prefillTime.tokensPerMs(this.currentTokenTime(now)) / this.work.at(now)
  }

  /** Expected time to prefill the last `tokens` of a prompt at the moment, in ms. */
  prefillMs (tokens: number, promptTokens: number, now: number): number {
    return prefillTime.prefillMs(this.currentTokenTime(now), tokens, prefillTime.meanContext(tokens, promptTokens)) * this.work.at(now)
  }

  /** Notes a prefill. The time that the prompts ahead of it took, and slow work at the moment, are taken out. */
  notePrefill ({ tokens, promptTokens, tokensAhead, ms }: MeasuredPrefill, now: number): void {
    const ownMs = Math.max(ms / 2, ms - tokensAhead / this.prefillTokensPerMs(now))
    this.known.speeds.note(this.record, { tokens, context: prefillTime.meanContext(tokens, promptTokens), ms: ownMs / this.work.at(now) })
    this.tokenTimeAt = -Infinity
  }

  private currentTokenTime (now: number): prefillTime.PrefillTime {
    if (this.tokenTime !== undefined && now - this.tokenTimeAt < TOKEN_TIME_REUSE_MS && this.tokenTimeStage === this.record.stage) return this.tokenTime
    this.tokenTime = this.known.speeds.of(this.record)
    this.tokenTimeAt = now
    this.tokenTimeStage = this.record.stage
    return this.tokenTime
  }

  /** Load row for the other gateways; undefined while this gateway has no call at the target. */
  toRow (): peerLoad.LoadRow | undefined {
    if (this.running === 0) return undefined
    const heldTokens = Math.round(this.held.unshared)
    return [this.record.id, this.running, Math.round(this.pendingPrefillTokens), ...(heldTokens > 0 ? [heldTokens] : [])]
  }
}
