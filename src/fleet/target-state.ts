/** What a gateway knows of one target. */
import type * as calls from '../call/index.js'
import type * as serving from '../serving/index.js'
import * as backlog from './backlog.js'
import * as cacheBelief from './cache-belief.js'
import * as failureRecord from './failure-record.js'
import type * as peerLoad from './peer-load.js'

/** Time after which a load that the target stated is not counted, in ms. */
const LOAD_LIFE_MS = 1_000

/** Mutable state of a target; owned by the {@link Fleet}. */
export class TargetState {
  readonly failures = new failureRecord.FailureRecord()
  readonly cache = new cacheBelief.CacheBelief()
  /** Prompt tokens of own calls that the target has not read yet. */
  readonly unread = new backlog.Backlog()
  /** Own calls under way. */
  running = 0
  /** When the last byte came from the target, on the steady clock. */
  heardAt = -Infinity
  /** When a hand-over from this target last failed. */
  handOverFailedAt = -Infinity
  gone = false
  /** Whether this gateway asks the target itself what it keeps, and does not take it from others. */
  followed = false
  private others = 0
  private statedAt = -Infinity

  constructor (public record: serving.TargetRecord, private readonly peers: peerLoad.PeerLoad) {}

  /** Whether new calls may go there. */
  accepts (now: number): boolean {
    return !this.gone && !this.record.leaving && this.failures.usable(now)
  }

  /** Takes the load that the target stated; own calls are not counted twice. */
  stated (load: calls.StatedLoad, now: number): void {
    this.others = Math.max(0, load.running + load.waiting - this.running)
    this.statedAt = now
  }

  /** Calls at the target: own ones, and those of others as these or the target stated them. */
  load (now: number): number {
    const fade = Math.max(0, 1 - (now - this.statedAt) / LOAD_LIFE_MS)
    return this.running + Math.max(this.peers.running(this.record.id, now), this.others * fade)
  }

  /** Prompt tokens that are read before those of a new call with `rank`. */
  unreadAhead (rank: number, now: number): number {
    return this.unread.ahead(rank) + this.peers.ahead(this.record.id, rank, now)
  }

  /** What other gateways are told; undefined while there is nothing to tell. */
  toRow (): peerLoad.LoadRow | undefined {
    if (this.running === 0) return undefined
    return [this.record.id, this.running, ...this.unread.toRow()]
  }
}
