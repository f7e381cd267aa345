/**
 * State of a service for planners: its engines from their reports, its work from the entries' totals, its limits from
 * the profile.
 */
import type { ConfigIndex } from '../config/index.js'
import type { LoadReport, Profile, Service } from '../schema/index.js'
import type { SpendingLimits } from '../spending/index.js'
import type { EngineModel } from '../roles/index.js'
import type { FleetWork } from './fleet-work.js'
import type { RolesView, ServiceEngine, ServiceWork } from './roles-duty.js'
import type { DeclaredTarget } from './spending-duty.js'
import type { TargetsChild } from './targets-child.js'

/** Rates of an engine assumed before any engine of the service has reported, in tokens per second. */
const ASSUMED_PREFILL_TOKENS_PER_S = 20_000
const ASSUMED_DECODE_TOKENS_PER_S = 400

/** Dependencies of a {@link FleetView}. */
export interface FleetViewDeps {
  readonly config: () => ConfigIndex | undefined
  readonly targets: Pick<TargetsChild, 'reportOf'>
  readonly work: FleetWork
}

/** One service in one region, as its planners see it. */
export class FleetView implements RolesView {
  constructor (private readonly deps: FleetViewDeps, private readonly region: string, private readonly serviceName: string) {}

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
    return this.deps.work.totals(this.serviceName)
  }

  roleChangesPermitted (): boolean {
    return this.profile()?.role_changes ?? false
  }

  /** Whether the service's profile permits orders of targets. */
  ordersPermitted (): boolean {
    return this.profile()?.target_orders ?? false
  }

  /** Targets declared by operators. */
  declaredTargets (): readonly DeclaredTarget[] {
    return this.targets().filter((target) => !target.ordered)
      .map(({ name, domain, price_class: priceClass, leaving }) => ({ name, domain, priceClass, leaving }))
  }

  runningRequests (target: string): number | undefined {
    return this.deps.targets.reportOf(target).state?.running
  }

  /** Number of targets that running and waiting requests keep busy; may be fractional. */
  busyTargets (): number {
    const slots = this.service()?.slots_per_target ?? 1
    const running = this.targets().reduce((sum, target) => sum + Math.min(slots, this.runningRequests(target.name) ?? 0), 0)
    return (running + this.deps.work.totals(this.serviceName).waiting) / slots
  }

  limits (): SpendingLimits {
    const service = this.service()
    const profile = this.profile()
    if (service === undefined || profile === undefined) throw new Error(`service ${this.serviceName} is not configured`)
    return {
      minTargets: service.min_targets,
      maxTargets: service.max_targets,
      minSurvivingShare: profile.min_surviving_share,
      budgetPerHour: profile.budget_per_hour,
      domains: this.failureDomains(),
      prices: { standard: profile.price_standard, preemptible: profile.price_preemptible },
      deliveryMs: profile.delivery_ms
    }
  }

  /** Performance model of the service's engines, from their reported rates and the profile. */
  engineModel (): EngineModel {
    const profile = this.profile()
    const slots = this.service()?.slots_per_target ?? 1
    const decodeRate = this.averageOfReports((load) => load.decode_rate) ?? ASSUMED_DECODE_TOKENS_PER_S
    return {
      prefillRate: this.averageOfReports((load) => load.prefill_rate) ?? ASSUMED_PREFILL_TOKENS_PER_S,
      decodeRate,
      tokenMs: 1_000 * slots / decodeRate,
      interference: profile?.interference ?? 1,
      prefillSlowdown: profile?.prefill_slowdown ?? 1,
      itlMs: profile?.itl_ms ?? Infinity,
      ttftMs: profile?.ttft_ms ?? Infinity
    }
  }

  /** Time for which a role change takes an engine out of service, in ms. */
  roleChangeMs (): number {
    return this.profile()?.role_change_ms ?? 0
  }

  private averageOfReports (pick: (load: LoadReport) => number): number | undefined {
    const values = this.targets().flatMap((target) => {
      const { load } = this.deps.targets.reportOf(target.name)
      return load === undefined ? [] : [pick(load)]
    })
    return values.length === 0 ? undefined : values.reduce((sum, value) => sum + value, 0) / values.length
  }

  private targets (): ReturnType<ConfigIndex['targetsOf']> {
    const cfg = this.deps.config()
    return cfg?.targetsOf(this.serviceName).filter((target) => cfg.regionOf(target.domain) === this.region) ?? []
  }

  private failureDomains (): string[] {
    return this.deps.config()?.set.failure_domains.filter((domain) => domain.region === this.region).map((domain) => domain.name) ?? []
  }

  private service (): Service | undefined {
    return this.deps.config()?.service(this.serviceName)
  }

  private profile (): Profile | undefined {
    const service = this.service()
    return service === undefined ? undefined : this.deps.config()?.profileOf(service)
  }
}
