/** The outcome of a choice of a target that found none. */
import type * as errors from '../errors/index.js'

/** Why a call is not sent to a target now; `lateMs` by how much the first event would be too late. */
export class NoPlacement {
  constructor (readonly reason: errors.Refusal | errors.RefusalReason, readonly lateMs = 0) {}

  /** Whether the call could be sent, but no target can take it in time now. */
  get isUnplaced (): boolean {
    return this.reason === 'no_target' || this.lateMs > 0
  }
}
