/** Whether a failure domain has, or soon will have, the preemptible targets of a service that were ordered. */
import type * as capacityPlan from './capacity-plan.js'

/** Share of the desired targets with which a domain counts as filled again. */
const FILLED_SHARE = 0.9

/** Time after which a loss no longer counts as passing, in ms: twice the time for which a reclaimed domain has no new targets. */
const PASSING_LOSS_MS = 20_000

/** Follows one domain; time is given with each call, in ms on the monotonic clock. */
export class PreemptibleSupply {
  private lostSince: number | undefined

  /** Notes the number present and desired, and whether targets that were ordered are missing. */
  update (present: number, desired: number, areMissing: boolean, now: number): void {
    if (areMissing) this.noteLost(now)
    else if (present >= desired * FILLED_SHARE) this.lostSince = undefined
  }

  /** Notes that targets are missing, or an order was refused. */
  noteLost (now: number): void {
    this.lostSince ??= now
  }

  /** State of the domain. */
  state (now: number): capacityPlan.PreemptibleSupply {
    if (this.lostSince === undefined) return 'available'
    return now - this.lostSince < PASSING_LOSS_MS ? 'lost' : 'unavailable'
  }
}
