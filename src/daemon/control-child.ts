/** Competes for the leases of scopes and runs the duty of each scope whose lease this process holds. */
import {
  handleRetire, PeerRetirement, regionalRank, RETIRE_METHOD, ScopeTask, SendGate, type ScopeDuty, type ScopeTaskDeps
} from '../authority/index.js'
import type { ConfigIndex } from '../config/index.js'
import type { Logger } from '../log/index.js'
import type { Member, MembershipView } from '../membership/index.js'
import type { Metrics } from '../metrics/index.js'
import { OrderRunner, type IntentSender } from '../orders/index.js'
import type { Peers } from '../peer/index.js'
import type { ObjectStore, VmDirectory } from '../external/index.js'
import type { Env } from '../time/index.js'

/** Latest order runners kept for the report; a usage duty creates a new one for each lease term. */
const MAX_REPORTED_RUNNERS = 512

/** A scope and the service or usage shard that it covers. */
export type ScopeSpec =
  | { readonly kind: 'roles' | 'spending', readonly scope: string, readonly region: string, readonly service: string }
  | { readonly kind: 'usage', readonly scope: string, readonly region: string, readonly shard: number }

/** Services that the control child provides to duties. */
export interface ControlServices {
  readonly incarnation: string
  /** Creates an intent runner; a duty has one for each sender. */
  createRunner (sender: IntentSender): OrderRunner
}

/** Creates the duty of a scope; `undefined` when the scope has none. */
export type DutyFactory = (spec: ScopeSpec, services: ControlServices) => ScopeDuty | undefined

/** Dependencies of a {@link ControlChild}. */
export interface ControlChildDeps {
  readonly env: Env
  readonly log: Logger
  readonly metrics: Metrics
  readonly store: ObjectStore
  readonly vms: VmDirectory
  readonly peers: Peers
  readonly membership: MembershipView
  /** Number of usage shards. */
  readonly shards: number
  readonly createDuty: DutyFactory
}

/** Runs one task for each scope. */
export class ControlChild implements ControlServices, AsyncDisposable {
  private readonly gate = new SendGate()
  private readonly retirement: PeerRetirement
  private readonly tasks = new Map<string, ScopeTask>()
  private readonly runners: OrderRunner[] = []
  private readonly membershipSubscription: Disposable
  private stopping = false

  constructor (private readonly deps: ControlChildDeps) {
    const { env, peers, vms, membership } = deps
    this.retirement = new PeerRetirement({
      env,
      peers,
      vms,
      addressOf: (incarnation, scope) => this.holderOf(incarnation, scope)?.address ?? membership.byIncarnation(incarnation)?.peerAddress,
      isKnownRetired: (incarnation, scope) => this.holderOf(incarnation, scope)?.retired === true || isTerminated(membership, incarnation)
    })
    peers.handle(RETIRE_METHOD, async (params) => handleRetire(params, this.incarnation, this.gate, (scope, fence) => this.tasks.get(scope)?.depose(fence)))
    this.membershipSubscription = membership.subscribe(() => { for (const task of this.tasks.values()) task.watchIfPreferred() })
  }

  get incarnation (): string {
    return this.deps.membership.self.incarnation
  }

  /** Scopes whose lease this process holds. */
  get heldScopes (): readonly string[] {
    return [...this.tasks.values()].filter((task) => task.handle !== undefined).map((task) => task.scope)
  }

  /** Targets with an order that waits until a former lease holder is known to be retired. */
  get quarantinedTargets (): readonly string[] {
    return this.runners.flatMap((runner) => runner.quarantined)
  }

  createRunner (sender: IntentSender): OrderRunner {
    const { env, metrics, log } = this.deps
    const runner = new OrderRunner({ env, metrics, log, gate: this.gate, sender, retirement: this.retirement, incarnation: this.incarnation })
    this.runners.push(runner)
    if (this.runners.length > MAX_REPORTED_RUNNERS) this.runners.shift()
    return runner
  }

  /** Starts tasks for the scopes of a configuration and stops those of removed scopes. */
  applyConfig (cfg: ConfigIndex): void {
    if (this.stopping) return
    const specs = new Map(scopesOf(cfg, this.deps.membership.self.region, this.deps.shards).map((spec) => [spec.scope, spec]))
    for (const [scope, task] of this.tasks) {
      if (specs.has(scope)) continue
      this.tasks.delete(scope)
      task[Symbol.asyncDispose]().catch((err: unknown) => { this.deps.log.warn({ scope, err }, 'lease_release_failed') })
    }
    for (const spec of specs.values()) if (!this.tasks.has(spec.scope)) this.startTask(spec)
  }

  /** Stops all duties and releases all leases. */
  async [Symbol.asyncDispose] (): Promise<void> {
    this.stopping = true
    this.membershipSubscription[Symbol.dispose]()
    const tasks = [...this.tasks.values()]
    this.tasks.clear()
    await Promise.all(tasks.map(async (task) => { await task[Symbol.asyncDispose]() }))
  }

  private startTask (spec: ScopeSpec): void {
    const duty = this.deps.createDuty(spec, this)
    if (duty === undefined) return
    const task = new ScopeTask(this.scopeTaskDeps(), spec.scope, duty)
    this.tasks.set(spec.scope, task)
    task.start()
  }

  private scopeTaskDeps (): ScopeTaskDeps {
    const { env, store, metrics, log, membership } = this.deps
    const { incarnation, peerAddress: address } = membership.self
    return { env, store, metrics, log, gate: this.gate, incarnation, address, rankOf: (scope) => this.rankOf(scope) }
  }

  private rankOf (scope: string): number {
    const { self } = this.deps.membership
    const others = this.deps.membership.members().filter((member) => member.id !== self.id && member.state === 'alive')
    return regionalRank(scope, toCandidate(self), others.map(toCandidate))
  }

  private holderOf (incarnation: string, scope: string): { readonly address: string, readonly retired?: boolean | undefined } | undefined {
    return this.tasks.get(scope)?.record?.holders?.find((holder) => holder.incarnation === incarnation)
  }
}

/**
 * Scopes that entries of a region compete for: the roles and spending scopes of the region, and all usage shards. A
 * shard holds accounts of all regions, so entries of every region compete for it; those of the region in its scope's
 * name are preferred.
 */
export function scopesOf (cfg: ConfigIndex, region: string, shards: number): ScopeSpec[] {
  const regions = [...new Set(cfg.set.failure_domains.map((domain) => domain.region))].sort()
  const modelServices = cfg.set.services.filter((service) => service.kind === 'model').map((service) => service.name)
  const roles = modelServices.map((service): ScopeSpec => ({ kind: 'roles', scope: `${region}/roles/${service}`, region, service }))
  const spending = cfg.set.services.map(({ name: service }): ScopeSpec => ({ kind: 'spending', scope: `${region}/spending/${service}`, region, service }))
  const usage = Array.from({ length: shards }, (_, shard): ScopeSpec => {
    const preferredRegion = regions[shard % regions.length] ?? region
    return { kind: 'usage', scope: `${preferredRegion}/usage/${shard}`, region: preferredRegion, shard }
  })
  return [...roles, ...spending, ...usage]
}

// Other evidence, a refused connection or an announced end, does not show that no send is in flight.
function isTerminated (membership: MembershipView, incarnation: string): boolean {
  const evidence = membership.terminationEvidence(incarnation)
  return evidence === 'replaced' || evidence === 'unlisted'
}

function toCandidate (member: Member): { readonly name: string, readonly region: string } {
  return { name: member.id, region: member.region }
}
