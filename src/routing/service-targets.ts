/** Targets of one service by role, with random sampling that does not scan all of them. */
import type { Role } from '../schema/index.js'
import type { Random } from '../time/index.js'
import { mayEjectOneMore, TargetHealth } from './ejection.js'
import { TargetLoad } from './target-load.js'
import type { RoutedTarget } from './types.js'

/** Time for which the mean wait is reused, in ms. */
const MEAN_REUSE_MS = 200

/** Maximum number of random draws per requested target; if none of them is usable, all targets are scanned. */
const MAX_DRAWS_PER_TARGET = 4

/** A target with its load estimate and health. */
export interface TargetState {
  spec: RoutedTarget
  readonly load: TargetLoad
  readonly health: TargetHealth
}

/** Targets of a service that accept new requests. */
export class ServiceTargets {
  readonly all: TargetState[] = []
  private readonly byRole: Readonly<Record<Role, TargetState[]>> = { mixed: [], prefill: [], decode: [] }
  private cachedMeanMs = 0
  private meanComputedAt = -Infinity

  add (state: TargetState): void {
    this.all.push(state)
    this.byRole[state.spec.role].push(state)
  }

  /** Targets with a role; all targets when none has that role. */
  withRole (role: Role): readonly TargetState[] {
    return this.byRole[role].length > 0 ? this.byRole[role] : this.all
  }

  /** Whether a target accepts requests of this service and role, by the rule of {@link withRole}. */
  isCandidate (state: TargetState, role: Role, service: string): boolean {
    const { spec } = state
    return spec.service === service && !spec.leaving && (spec.role === role || !this.hasRole(role))
  }

  /** Whether any target has a role. */
  hasRole (role: Role): boolean {
    return this.byRole[role].length > 0
  }

  /** Whether one more target may be ejected. */
  mayEject (now: number): boolean {
    return mayEjectOneMore(this.all.filter((state) => state.health.isEjected(now)).length, this.all.length)
  }

  /** Up to `count` distinct targets that pass `usable`, drawn at random. */
  sample (targets: readonly TargetState[], count: number, usable: (state: TargetState) => boolean, random: Random): TargetState[] {
    if (targets.length <= count) return targets.filter(usable)
    const drawn = new Set<TargetState>()
    for (let draw = 0; draw < count * MAX_DRAWS_PER_TARGET && drawn.size < count; draw++) {
      const state = targets[Math.floor(random.next() * targets.length)]!
      if (usable(state)) drawn.add(state)
    }
    return drawn.size > 0 ? [...drawn] : targets.filter(usable).slice(0, count)
  }

  /** Mean reported wait of the service's targets, in ms; 0 when none has a current report. */
  meanWaitMs (now: number, wallTimeMs: number): number {
    if (now - this.meanComputedAt < MEAN_REUSE_MS) return this.cachedMeanMs
    this.meanComputedAt = now
    let sumMs = 0
    let reportedTargets = 0
    for (const state of this.all) {
      const waitMs = state.load.reportedWaitMs(wallTimeMs)
      if (waitMs === undefined) continue
      sumMs += waitMs
      reportedTargets++
    }
    this.cachedMeanMs = reportedTargets === 0 ? 0 : sumMs / reportedTargets
    this.shareReportedRates()
    return this.cachedMeanMs
  }

  private shareReportedRates (): void {
    const rates = this.all.map((state) => state.load.reportedRates).find((reported) => reported !== undefined)
    if (rates !== undefined) for (const state of this.all) state.load.assumeRates(rates)
  }
}

/** State of a target without load reports and outcomes. */
export function newTargetState (spec: RoutedTarget): TargetState {
  return { spec, load: new TargetLoad(), health: new TargetHealth() }
}
