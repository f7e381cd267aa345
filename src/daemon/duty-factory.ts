/** Creates the leader duties of the scopes that a process may hold. */
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

/** Dependencies of the duties. */
export interface DutyFactoryDeps {
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

/** Returns a factory that creates the duty of a scope by its kind. */
export function dutyFactory (deps: DutyFactoryDeps): DutyFactory {
  return (spec, services) => {
    if (spec.kind === 'usage') return usageDuty(deps, spec, services)
    // Targets of plain services do not report their running requests, so they are used as declared, without a duty.
    if (deps.fleet.config()?.service(spec.service)?.kind !== 'model') return undefined
    return spec.kind === 'roles' ? rolesDuty(deps, spec, services) : spendingDuty(deps, spec, services)
  }
}

function usageDuty (deps: DutyFactoryDeps, spec: Extract<ScopeSpec, { kind: 'usage' }>, services: ControlServices): ScopeDuty {
  const { env: { clock }, log, metrics, platform, health, windowMs, membership } = deps
  return new UsageDuty({
    clock,
    log,
    metrics,
    health,
    windowMs,
    store: platform.store,
    shard: spec.shard,
    // A window is closed only after entries that may still count requests, suspected and leaving ones included.
    alive: () => membership.members().filter((member) => member.state !== 'dead' && member.state !== 'left').map((member) => member.incarnation),
    reports: platform.reports,
    reporter: services.incarnation,
    createRunner: (sender) => services.createRunner(sender)
  })
}

function rolesDuty (deps: DutyFactoryDeps, spec: ServiceScope, services: ControlServices): ScopeDuty {
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
    runner: services.createRunner(sender),
    get model () { return view.engineModel() },
    get roleChangeMs () { return view.roleChangeMs() }
  })
}

function spendingDuty (deps: DutyFactoryDeps, spec: ServiceScope, services: ControlServices): ScopeDuty {
  const { env: { clock }, log, metrics, platform, fleet } = deps
  const ordering = new RecordingOrdering(platform.ordering)
  const sender = new TargetOrderSender(ordering, metrics)
  const view = new FleetView(fleet, spec.region, spec.service)
  const duty = new SpendingDuty({
    clock,
    log,
    metrics,
    service: spec.service,
    ordering,
    sender,
    runner: services.createRunner(sender),
    view: {
      declaredTargets: () => view.declaredTargets(),
      runningRequests: (target) => view.runningRequests(target),
      busyTargets: () => view.busyTargets(),
      limits: () => view.limits(),
      setLeaving: (targets) => { publisher.leavingNames = new Set(targets.map((target) => target.name)) }
    }
  })
  const publisher = new PublishingDuty(duty, ordering, deps, spec.service, view)
  return publisher
}

/** Runs the spending duty, and after each tick publishes the targets that the platform listed. */
class PublishingDuty implements ScopeDuty {
  /** Names of the targets that get no new work. */
  leavingNames: ReadonlySet<string> = new Set()

  constructor (
    private readonly duty: SpendingDuty, private readonly ordering: RecordingOrdering, private readonly deps: DutyFactoryDeps,
    private readonly service: string, private readonly view: FleetView
  ) {}

  async tick (handle: ScopeHandle): Promise<void> {
    if (!this.view.ordersPermitted()) return
    await this.duty.tick(handle)
    const { latestTargets } = this.ordering
    const currentSet = this.deps.fleet.config()?.set
    if (latestTargets === undefined || currentSet === undefined) return
    const update = { service: this.service, ordered: latestTargets, leaving: this.leavingNames }
    // The store is read only when the update differs from the configuration in force here.
    if (util.isDeepStrictEqual(withTargets(currentSet, update), currentSet)) return
    const published = await publishTargets(this.deps.platform.store, update, () => handle.mayAct())
    if (published.err) this.deps.log.warn({ step: 'publish', scope: handle.scope, detail: published.val }, 'targets_not_published')
  }
}

/** Records the latest list of targets that passes through. */
class RecordingOrdering implements TargetOrdering {
  latestTargets: readonly OrderedTarget[] | undefined

  constructor (private readonly ordering: TargetOrdering) {}

  async order (...args: Parameters<TargetOrdering['order']>): ReturnType<TargetOrdering['order']> {
    return await this.ordering.order(...args)
  }

  async release (...args: Parameters<TargetOrdering['release']>): ReturnType<TargetOrdering['release']> {
    return await this.ordering.release(...args)
  }

  async list (): ReturnType<TargetOrdering['list']> {
    const listed = await this.ordering.list()
    if (listed.ok) this.latestTargets = listed.val
    return listed
  }
}
