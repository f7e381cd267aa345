/** The need that orders follow: it rises at once, falls when it has been lower for a while, and starts from what is present. */
import type * as capacity from '../capacity/index.js'
import * as capacityPlan from './capacity-plan.js'

/** Part of the need above which a lower one changes nothing. */
const KEPT_SHARE = 0.87

/** Time for which the need must have been lower, in ms. */
const LOWERED_AFTER_MS = 3_000

/** Time for which demand must have been seen before anything is released for it, in ms: two windows of the rates. */
const MIN_OBSERVED_MS = 4_000

/** Time without any work after which a service counts as idle and preemptible targets may replace standard ones, in ms. */
const IDLE_AFTER_MS = 6_000

/** Follows the need of one service; time is given with each call, in ms on the monotonic clock. */
export class HeldNeed {
  private held: capacityPlan.NeededTargets | undefined
  private lowerSince: number | undefined
  /** Highest need that the targets present, up to the initial size, would have met. */
  private guaranteed = 0

  /** Need while no demand is known: what is present is kept, up to the initial size. */
  initial (guaranteedNow: number, initialSize: number): capacityPlan.NeededTargets {
    this.guaranteed = Math.max(this.guaranteed, Math.floor(Math.min(initialSize, guaranteedNow) / capacityPlan.KEPT_MARGIN))
    return this.held ?? { engines: this.guaranteed, steadyEngines: this.guaranteed, meanEngines: 0 }
  }

  /** Need by demand; of the number present, what may have been needed before the demand was seen is kept. */
  update (need: capacity.CapacityNeed, observedMs: number, now: number): capacityPlan.NeededTargets {
    const unseen = observedMs < MIN_OBSERVED_MS ? Infinity : Math.ceil(need.engines * need.unseenFactor)
    const engines = Math.max(need.engines, Math.min(this.guaranteed, unseen))
    const current: capacityPlan.NeededTargets = { engines, steadyEngines: need.steadyEngines, meanEngines: need.meanEngines }
    const held = this.held ?? current
    const isLower = engines < held.engines * KEPT_SHARE || (current.meanEngines < held.meanEngines * KEPT_SHARE && engines <= held.engines)
    if (!isLower) this.lowerSince = undefined
    else this.lowerSince ??= now
    const isLowered = this.lowerSince !== undefined && now - this.lowerSince >= LOWERED_AFTER_MS
    if (isLowered) this.lowerSince = undefined
    this.held = isLowered ? current : highestOf(current, held)
    return this.held
  }

  /** Whether enough is known for a release. */
  static maySettle (observedMs: number | undefined, idleMs: number): boolean {
    return observedMs === undefined ? idleMs >= IDLE_AFTER_MS : observedMs >= MIN_OBSERVED_MS
  }

  /** Forgets the need: another gateway decides meanwhile. */
  reset (): void {
    this.held = undefined
    this.lowerSince = undefined
    this.guaranteed = 0
  }
}

function highestOf (a: capacityPlan.NeededTargets, b: capacityPlan.NeededTargets): capacityPlan.NeededTargets {
  return {
    engines: Math.max(a.engines, b.engines),
    steadyEngines: Math.max(a.steadyEngines, b.steadyEngines),
    meanEngines: Math.max(a.meanEngines, b.meanEngines)
  }
}
