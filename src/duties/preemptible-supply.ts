/** Whether a failure domain has, or soon will have, the preemptible targets of a service that were ordered. */
import type * as capacityPlan from './capacity-plan.js'

/** Part of its preemptible targets by whose loss a domain counts as reclaimed. */
const RECLAIMED_SHARE = 0.5

/** Share of the ordered targets with which a domain counts as filled again. */
const FILLED_SHARE = 0.9

/** Time after which a loss no longer counts as passing, in ms: twice the time for which a reclaimed domain has no new targets. */
const PASSING_LOSS_MS = 20_000

/** Follows one domain; time is given with each call, in ms on the monotonic clock. */
export class PreemptibleSupply {
  /** Highest number that was present, and is still desired, since the last order that lowered it. */
  private reference = 0
  private lostSince: number | undefined

  /** Notes the number present and desired, and whether an order is overdue. */
  update (present: number, desired: number, isOverdue: boolean, now: number): void {
    this.reference = Math.min(this.reference, desired)
    const isReclaimed = present < this.reference * RECLAIMED_SHARE
    if (isReclaimed || isOverdue) this.noteLost(now)
    else if (present >= desired * FILLED_SHARE) this.lostSince = undefined
    if (!isReclaimed) this.reference = Math.max(this.reference, present)
  }

  /** Notes that targets were reclaimed, or an order refused. */
  noteLost (now: number): void {
    this.lostSince ??= now
  }

  /** Notes that an order releases targets down to `count`. */
  noteRelease (count: number): void {
    this.reference = Math.min(this.reference, count)
  }

  /** State of the domain. */
  state (now: number): capacityPlan.PreemptibleSupply {
    if (this.lostSince === undefined) return 'available'
    return now - this.lostSince < PASSING_LOSS_MS ? 'lost' : 'unavailable'
  }
}
