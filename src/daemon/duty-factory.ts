/** Makes the duties of the scopes a process may hold. */
import * as util from 'node:util'
import type { ScopeDuty, ScopeHandle } from '../authority/index.js'
import type { Logger } from '../log/index.js'
import type { MembershipView } from '../membership/index.js'
import type { Metrics } from '../metrics/index.js'
import { EngineSender, LoadSlots, type EngineRef } from '../orders/index.js'
import type { OrderedTarget, Platform, TargetOrdering } from '../external/index.js'
import { MIN_SPLIT_FLEET } from '../roles/index.js'
import { TargetOrderSender } from '../spending/index.js'
import type { TargetClients } from '../target-clients/index.js'
import type { Env } from '../time/index.js'
import type { StoreHealth } from '../usage/index.js'
import type { ControlServices, DutyFactory, ScopeSpec } from './control-child.js'
import { FleetView, type FleetViewDeps } from './fleet-view.js'
import { RolesDuty } from './roles-duty.js'
import { SpendingDuty } from './spending-duty.js'
import { publishTargets, withTargets } from './target-publisher.js'
import { UsageDuty } from './usage-duty.js'

/** What the duties work with. */
export interface DutyDeps {
  readonly env: Env
  readonly log: Logger
  readonly metrics: Metrics
  readonly platform: Platform
  readonly clients: TargetClients
  readonly health: StoreHealth
  /** Length of a usage window, in ms. */
  readonly windowMs: number
  readonly membership: MembershipView
  readonly fleet: FleetViewDeps
}

type ServiceScope = Exclude<ScopeSpec, { kind: 'usage' }>

/** Duties by kind of scope. */
export function dutyFactory (deps: DutyDeps): DutyFactory {
  return (spec, services) => {
    if (spec.kind === 'usage') return usageDuty(deps, spec, services)
    // Plain services do not report what runs on them, so their targets are as declared.
    if (deps.fleet.config()?.service(spec.service)?.kind !== 'model') return undefined
    return spec.kind === 'roles' ? rolesDuty(deps, spec, services) : spendingDuty(deps, spec, services)
  }
}

function usageDuty (deps: DutyDeps, spec: Extract<ScopeSpec, { kind: 'usage' }>, services: ControlServices): ScopeDuty {
  const { env: { clock }, log, metrics, platform, health, windowMs, membership } = deps
  return new UsageDuty({
    clock,
    log,
    metrics,
    health,
    windowMs,
    store: platform.store,
    shard: spec.shard,
    // A window waits for entries that may still count, suspected and leaving ones included.
    alive: () => membership.members().filter((member) => member.state !== 'dead' && member.state !== 'left').map((member) => member.incarnation),
    reports: platform.reports,
    reporter: services.incarnation,
    runner: (sender) => services.runner(sender)
  })
}

function rolesDuty (deps: DutyDeps, spec: ServiceScope, services: ControlServices): ScopeDuty {
  const { env: { clock }, log, metrics, platform, clients, fleet } = deps
  const view = new FleetView(fleet, spec.region, spec.service)
  const engineOf = (name: string): EngineRef | undefined => {
    const target = fleet.config()?.targetsOf(spec.service).find((item) => item.name === name)
    return target === undefined ? undefined : { engine: clients.engine(target.url), checksFence: target.checks_fence }
  }
  const slots = new LoadSlots({ clock, store: platform.store, metrics }, spec.region)
  const sender = new EngineSender({ engineOf, slots, hasWaitingRequests: () => fleet.work.totals(spec.service).waiting > 0 })
  return new RolesDuty({
    clock,
    log,
    metrics,
    view,
    minFleet: MIN_SPLIT_FLEET,
    runner: services.runner(sender),
    get model () { return view.model() },
    get awayMs () { return view.awayMs() }
  })
}

function spendingDuty (deps: DutyDeps, spec: ServiceScope, services: ControlServices): ScopeDuty {
  const { env: { clock }, log, metrics, platform, fleet } = deps
  const ordering = new RememberingOrdering(platform.ordering)
  const sender = new TargetOrderSender(ordering, metrics)
  const view = new FleetView(fleet, spec.region, spec.service)
  const duty = new SpendingDuty({
    clock,
    log,
    metrics,
    service: spec.service,
    ordering,
    sender,
    runner: services.runner(sender),
    view: {
      declared: () => view.declared(),
      running: (target) => view.running(target),
      busyTargets: () => view.busyTargets(),
      limits: () => view.limits(),
      setLeaving: (targets) => { publisher.leaving = new Set(targets.map((target) => target.name)) }
    }
  })
  const publisher = new PublishingDuty(duty, ordering, deps, spec.service, view)
  return publisher
}

/** Runs the spending duty, and publishes the targets it knows of after each round. */
class PublishingDuty implements ScopeDuty {
  leaving: ReadonlySet<string> = new Set()

  constructor (
    private readonly duty: SpendingDuty, private readonly ordering: RememberingOrdering, private readonly deps: DutyDeps,
    private readonly service: string, private readonly view: FleetView
  ) {}

  async tick (handle: ScopeHandle): Promise<void> {
    if (!this.view.ordersPermitted()) return
    await this.duty.tick(handle)
    const { latest } = this.ordering
    const current = this.deps.fleet.config()?.set
    if (latest === undefined || current === undefined) return
    const news = { service: this.service, ordered: latest, leaving: this.leaving }
    // The store is read only when the configuration in force here shows a difference.
    if (util.isDeepStrictEqual(withTargets(current, news), current)) return
    const published = await publishTargets(this.deps.platform.store, news, () => handle.mayAct())
    if (published.err) this.deps.log.warn({ step: 'publish', scope: handle.scope, detail: published.val }, 'targets_not_published')
  }
}

/** Keeps the latest list of targets. */
class RememberingOrdering implements TargetOrdering {
  latest: readonly OrderedTarget[] | undefined

  constructor (private readonly inner: TargetOrdering) {}

  async order (...args: Parameters<TargetOrdering['order']>): ReturnType<TargetOrdering['order']> {
    return await this.inner.order(...args)
  }

  async release (...args: Parameters<TargetOrdering['release']>): ReturnType<TargetOrdering['release']> {
    return await this.inner.release(...args)
  }

  async list (): ReturnType<TargetOrdering['list']> {
    const listed = await this.inner.list()
    if (listed.ok) this.latest = listed.val
    return listed
  }
}
