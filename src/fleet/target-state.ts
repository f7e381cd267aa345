/** What a gateway knows of one target. */
import type * as calls from '../call/index.js'
import type * as serving from '../serving/index.js'
import * as backlog from './backlog.js'
import * as cacheEstimate from './cache-estimate.js'
import * as failureRecord from './failure-record.js'
import type * as peerLoad from './peer-load.js'

/** Time after which a load that the target stated is not counted, in ms. */
const REPORTED_LOAD_LIFE_MS = 1_000

/** Mutable state of a target; owned by the {@link Fleet}. */
export class TargetState {
  readonly failures = new failureRecord.FailureRecord()
  readonly cache = new cacheEstimate.CacheEstimate()
  /** Prompt tokens of own calls that the target has not read yet. */
  readonly prefillBacklog = new backlog.Backlog()
  /** Own calls under way. */
  running = 0
  /** When the last byte came from the target, on the steady clock. */
  lastByteAt = -Infinity
  /** When a hand-over from this target last failed. */
  kvTransferFailedAt = -Infinity
  removed = false
  /** Whether this gateway asks the target itself what it keeps, and does not take it from others. */
  followed = false
  private otherCalls = 0
  private reportedAt = -Infinity

  constructor (public record: serving.TargetRecord, private readonly peers: peerLoad.PeerLoad) {}

  /** Whether new calls may go there. */
  acceptsCalls (now: number): boolean {
    return !this.removed && !this.record.leaving && this.failures.isUsable(now)
  }

  /** Takes the load that the target stated; own calls are not counted twice. */
  applyReportedLoad (load: calls.ReportedLoad, now: number): void {
    this.otherCalls = Math.max(0, load.running + load.waiting - this.running)
    this.reportedAt = now
  }

  /** Calls at the target: own ones, and those of others as these or the target stated them. */
  load (now: number): number {
    const fade = Math.max(0, 1 - (now - this.reportedAt) / REPORTED_LOAD_LIFE_MS)
    return this.running + Math.max(this.peers.running(this.record.id, now), this.otherCalls * fade)
  }

  /** Prompt tokens that are read before those of a new call with `priority`. */
  prefillTokensAhead (priority: number, now: number): number {
    return this.prefillBacklog.tokensAhead(priority) + this.peers.tokensAhead(this.record.id, priority, now)
  }

  /** What other gateways are told; undefined while there is nothing to tell. */
  toRow (): peerLoad.LoadRow | undefined {
    if (this.running === 0) return undefined
    return [this.record.id, this.running, ...this.prefillBacklog.toRow()]
  }
}
