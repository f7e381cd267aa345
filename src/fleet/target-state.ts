/** What a gateway knows of one target. */
import type * as calls from '../call/index.js'
import type * as serving from '../serving/index.js'
import * as cacheBelief from './cache-belief.js'
import * as failureRecord from './failure-record.js'

/** Time after which a stated load of others is not counted, in ms. */
const LOAD_LIFE_MS = 1_000

/** Mutable state of a target; owned by the {@link Fleet}. */
export class TargetState {
  readonly failures = new failureRecord.FailureRecord()
  readonly cache = new cacheBelief.CacheBelief()
  /** Own calls under way. */
  running = 0
  /** Prompt tokens of own calls that the target has not read yet. */
  unreadTokens = 0
  /** When the last byte came from the target, on the steady clock. */
  heardAt = -Infinity
  /** When a hand-over from this target last failed. */
  handOverFailedAt = -Infinity
  gone = false
  private others = 0
  private statedAt = -Infinity

  constructor (public record: serving.TargetRecord) {}

  /** Whether new calls may go there. */
  accepts (now: number): boolean {
    return !this.gone && !this.record.leaving && this.failures.usable(now)
  }

  /** Takes the load that the target stated; own calls are not counted twice. */
  stated (load: calls.StatedLoad, now: number): void {
    this.others = Math.max(0, load.running + load.waiting - this.running)
    this.statedAt = now
  }

  /** Calls at the target, own ones and those that others are believed to have there. */
  load (now: number): number {
    const age = now - this.statedAt
    return this.running + this.others * Math.max(0, 1 - age / LOAD_LIFE_MS)
  }
}
