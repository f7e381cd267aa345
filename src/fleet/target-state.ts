/** State of one target as this gateway knows it. */
import type * as calls from '../call/index.js'
import type * as serving from '../serving/index.js'
import * as backlog from './backlog.js'
import * as cacheEstimate from './cache-estimate.js'
import * as failureRecord from './failure-record.js'
import type * as peerLoad from './peer-load.js'

/** Age up to which a load that the target reported counts, in ms. */
const REPORTED_LOAD_LIFE_MS = 1_000

/** Mutable state of a target: load, cache and failures; owned by the {@link Fleet}. */
export class TargetState {
  readonly failures = new failureRecord.FailureRecord()
  readonly cache = new cacheEstimate.CacheEstimate()
  /** Pending prefill tokens of this gateway's calls at the target. */
  readonly prefillBacklog = new backlog.Backlog()
  /** This gateway's calls in flight. */
  running = 0
  /** When the last byte arrived from the target, in ms on the monotonic clock. */
  lastByteAt = -Infinity
  /** When a KV transfer from this target last failed, in ms on the monotonic clock. */
  kvTransferFailedAt = -Infinity
  /** Whether the target was removed from the fleet. */
  removed = false
  /** Whether this gateway polls the target itself for cache changes, and skips those that other gateways relay. */
  followed = false
  /** Calls of other gateways, by the target's last report. */
  private otherCalls = 0
  private reportedAt = -Infinity

  constructor (public record: serving.TargetRecord, private readonly peerLoad: peerLoad.PeerLoad) {}

  /** Whether new calls may be sent to the target. */
  acceptsCalls (now: number): boolean {
    return !this.removed && !this.record.leaving && this.failures.isUsable(now)
  }

  /** Applies the load that the target reported; this gateway's own calls are subtracted, so they count once. */
  applyReportedLoad (load: calls.ReportedLoad, now: number): void {
    this.otherCalls = Math.max(0, load.running + load.waiting - this.running)
    this.reportedAt = now
  }

  /**
   * Calls at the target: this gateway's own, and those of other gateways by their reports or by the target's, whichever
   * is higher. The target's report counts less as it ages.
   */
  load (now: number): number {
    const reportWeight = Math.max(0, 1 - (now - this.reportedAt) / REPORTED_LOAD_LIFE_MS)
    return this.running + Math.max(this.peerLoad.running(this.record.id, now), this.otherCalls * reportWeight)
  }

  /** Pending prefill tokens of all gateways ahead of a new call with `priority`. */
  prefillTokensAhead (priority: number, now: number): number {
    return this.prefillBacklog.tokensAhead(priority) + this.peerLoad.tokensAhead(this.record.id, priority, now)
  }

  /** Load row for the other gateways; undefined while this gateway has no call at the target. */
  toRow (): peerLoad.LoadRow | undefined {
    if (this.running === 0) return undefined
    return [this.record.id, this.running, ...this.prefillBacklog.toRow()]
  }
}
