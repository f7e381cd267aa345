/** What planners know of a service: its engines by their reports, its work by the entries' totals, its limits by profile. */
import type { ConfigIndex } from '../config/index.js'
import type { LoadReport, Profile, Service } from '../schema/index.js'
import type { SpendingLimits } from '../spending/index.js'
import type { EngineModel } from '../roles/index.js'
import type { FleetWork } from './fleet-work.js'
import type { RolesView, ServiceEngine, ServiceWork } from './roles-duty.js'
import type { ServiceTarget } from './spending-duty.js'
import type { TargetsChild } from './targets-child.js'

/** Rates assumed before an engine of the service has reported, in tokens per second. */
const ASSUMED_PREFILL_RATE = 20_000
const ASSUMED_DECODE_RATE = 400

/** What the view reads. */
export interface FleetViewDeps {
  readonly config: () => ConfigIndex | undefined
  readonly targets: Pick<TargetsChild, 'reportOf'>
  readonly work: FleetWork
}

/** One service in one region, as its planners see it. */
export class FleetView implements RolesView {
  constructor (private readonly deps: FleetViewDeps, private readonly region: string, private readonly name: string) {}

  engines (): readonly ServiceEngine[] {
    return this.targets().map((target) => {
      const { state } = this.deps.targets.reportOf(target.name)
      return {
        target: target.name,
        role: state?.role ?? 'mixed',
        available: state !== undefined && !target.leaving && !state.draining && state.active_order === '',
        changing: state === undefined || state.draining || state.active_order !== '',
        running: state?.running ?? 0,
        draining: state?.draining ?? false,
        lastOrder: state?.last_order ?? ''
      }
    })
  }

  work (): ServiceWork {
    return this.deps.work.totals(this.name)
  }

  permitted (): boolean {
    return this.profile()?.role_changes ?? false
  }

  /** Whether the planner may order targets. */
  ordersPermitted (): boolean {
    return this.profile()?.target_orders ?? false
  }

  /** Targets that operators declare. */
  declared (): readonly ServiceTarget[] {
    return this.targets().filter((target) => !target.ordered)
      .map(({ name, domain, price_class: priceClass, leaving }) => ({ name, domain, priceClass, leaving }))
  }

  running (target: string): number | undefined {
    return this.deps.targets.reportOf(target).state?.running
  }

  /** Targets kept busy by running and waiting requests. */
  busyTargets (): number {
    const slots = this.service()?.slots_per_target ?? 1
    const running = this.targets().reduce((sum, target) => sum + Math.min(slots, this.running(target.name) ?? 0), 0)
    return (running + this.deps.work.totals(this.name).waiting) / slots
  }

  limits (): SpendingLimits {
    const service = this.service()
    const profile = this.profile()
    if (service === undefined || profile === undefined) throw new Error(`service ${this.name} is not configured`)
    return {
      minTargets: service.min_targets,
      maxTargets: service.max_targets,
      minSurvivingShare: profile.min_surviving_share,
      budgetPerHour: profile.budget_per_hour,
      domains: this.domains(),
      prices: { standard: profile.price_standard, preemptible: profile.price_preemptible },
      deliveryMs: profile.delivery_ms
    }
  }

  /** Measured and configured properties of the service's engines. */
  model (): EngineModel {
    const profile = this.profile()
    const slots = this.service()?.slots_per_target ?? 1
    const decodeRate = this.average((load) => load.decode_rate) ?? ASSUMED_DECODE_RATE
    return {
      prefillRate: this.average((load) => load.prefill_rate) ?? ASSUMED_PREFILL_RATE,
      decodeRate,
      tokenMs: 1_000 * slots / decodeRate,
      interference: profile?.interference ?? 1,
      prefillSlowdown: profile?.prefill_slowdown ?? 1,
      itlMs: profile?.itl_ms ?? Infinity,
      ttftMs: profile?.ttft_ms ?? Infinity
    }
  }

  /** Time a role change takes an engine away, in ms. */
  awayMs (): number {
    return this.profile()?.role_change_ms ?? 0
  }

  private average (pick: (load: LoadReport) => number): number | undefined {
    const values = this.targets().flatMap((target) => {
      const { load } = this.deps.targets.reportOf(target.name)
      return load === undefined ? [] : [pick(load)]
    })
    return values.length === 0 ? undefined : values.reduce((sum, value) => sum + value, 0) / values.length
  }

  private targets (): ReturnType<ConfigIndex['targetsOf']> {
    const cfg = this.deps.config()
    return cfg?.targetsOf(this.name).filter((target) => cfg.regionOf(target.domain) === this.region) ?? []
  }

  private domains (): string[] {
    return this.deps.config()?.set.failure_domains.filter((domain) => domain.region === this.region).map((domain) => domain.name) ?? []
  }

  private service (): Service | undefined {
    return this.deps.config()?.service(this.name)
  }

  private profile (): Profile | undefined {
    const service = this.service()
    return service === undefined ? undefined : this.deps.config()?.profileOf(service)
  }
}
