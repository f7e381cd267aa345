/** Runs the scopes whose leases this process may hold. */
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

/** Runners remembered for the report; a duty makes a new one for each tenure. */
const MAX_RUNNERS = 512

/** A scope and what it is about. */
export type ScopeSpec =
  | { readonly kind: 'roles' | 'spending', readonly scope: string, readonly region: string, readonly service: string }
  | { readonly kind: 'usage', readonly scope: string, readonly region: string, readonly shard: number }

/** What duties get from the child. */
export interface ControlServices {
  readonly incarnation: string
  /** A runner of intents; a duty has one for each sender. */
  runner (sender: IntentSender): OrderRunner
}

/** Makes the duty of a scope; `undefined` when it has none. */
export type DutyFactory = (spec: ScopeSpec, services: ControlServices) => ScopeDuty | undefined

/** What the child works with. */
export interface ControlChildDeps {
  readonly env: Env
  readonly log: Logger
  readonly metrics: Metrics
  readonly store: ObjectStore
  readonly vms: VmDirectory
  readonly peers: Peers
  readonly membership: MembershipView
  /** Shards of usage. */
  readonly shards: number
  readonly duties: DutyFactory
}

/** One task for each scope. */
export class ControlChild implements ControlServices, AsyncDisposable {
  private readonly gate = new SendGate()
  private readonly retirement: PeerRetirement
  private readonly tasks = new Map<string, ScopeTask>()
  private readonly runners: OrderRunner[] = []
  private readonly changes: Disposable
  private stopping = false

  constructor (private readonly deps: ControlChildDeps) {
    const { env, peers, vms, membership } = deps
    this.retirement = new PeerRetirement({
      env,
      peers,
      vms,
      addressOf: (incarnation, scope) => this.holderOf(incarnation, scope)?.address ?? membership.byIncarnation(incarnation)?.peerAddress,
      isKnownRetired: (incarnation, scope) => this.holderOf(incarnation, scope)?.retired === true || isEnded(membership, incarnation)
    })
    peers.handle(RETIRE_METHOD, async (params) => handleRetire(params, this.incarnation, this.gate, (scope, fence) => this.tasks.get(scope)?.depose(fence)))
    this.changes = membership.subscribe(() => { for (const task of this.tasks.values()) task.watchIfPreferred() })
  }

  get incarnation (): string {
    return this.deps.membership.self.incarnation
  }

  /** Scopes whose lease this process holds. */
  get held (): readonly string[] {
    return [...this.tasks.values()].filter((task) => task.handle !== undefined).map((task) => task.scope)
  }

  /** Targets whose order waits for the retirement of a former holder. */
  get quarantined (): readonly string[] {
    return this.runners.flatMap((runner) => runner.quarantined)
  }

  runner (sender: IntentSender): OrderRunner {
    const { env, metrics, log } = this.deps
    const runner = new OrderRunner({ env, metrics, log, gate: this.gate, sender, retirement: this.retirement, incarnation: this.incarnation })
    this.runners.push(runner)
    if (this.runners.length > MAX_RUNNERS) this.runners.shift()
    return runner
  }

  /** Starts tasks for the scopes of a configuration and stops those of scopes that are gone. */
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

  /** Stops acting and releases all leases. */
  async [Symbol.asyncDispose] (): Promise<void> {
    this.stopping = true
    this.changes[Symbol.dispose]()
    const tasks = [...this.tasks.values()]
    this.tasks.clear()
    await Promise.all(tasks.map(async (task) => { await task[Symbol.asyncDispose]() }))
  }

  private startTask (spec: ScopeSpec): void {
    const duty = this.deps.duties(spec, this)
    if (duty === undefined) return
    const task = new ScopeTask(this.taskParts(), spec.scope, duty)
    this.tasks.set(spec.scope, task)
    task.start()
  }

  private taskParts (): ScopeTaskDeps {
    const { env, store, metrics, log, membership } = this.deps
    const { incarnation, peerAddress: address } = membership.self
    return { env, store, metrics, log, gate: this.gate, incarnation, address, rankOf: (scope) => this.rankOf(scope) }
  }

  private rankOf (scope: string): number {
    const { self } = this.deps.membership
    const present = this.deps.membership.members().filter((member) => member.id !== self.id && member.state === 'alive')
    return regionalRank(scope, toCandidate(self), present.map(toCandidate))
  }

  private holderOf (incarnation: string, scope: string): { readonly address: string, readonly retired?: boolean | undefined } | undefined {
    return this.tasks.get(scope)?.record?.holders?.find((holder) => holder.incarnation === incarnation)
  }
}

/**
 * Scopes that entries of a region compete for: those of its own services, and all shards of usage, since a shard
 * holds accounts of all regions; its scope belongs to one region, whose entries go first.
 */
export function scopesOf (cfg: ConfigIndex, region: string, shards: number): ScopeSpec[] {
  const regions = [...new Set(cfg.set.failure_domains.map((domain) => domain.region))].sort()
  const models = cfg.set.services.filter((service) => service.kind === 'model').map((service) => service.name)
  const roles = models.map((service): ScopeSpec => ({ kind: 'roles', scope: `${region}/roles/${service}`, region, service }))
  const spending = cfg.set.services.map(({ name: service }): ScopeSpec => ({ kind: 'spending', scope: `${region}/spending/${service}`, region, service }))
  const usage = Array.from({ length: shards }, (_, shard): ScopeSpec => {
    const home = regions[shard % regions.length] ?? region
    return { kind: 'usage', scope: `${home}/usage/${shard}`, region: home, shard }
  })
  return [...roles, ...spending, ...usage]
}

// A refused connection or an announced end does not show that no send is in flight.
function isEnded (membership: MembershipView, incarnation: string): boolean {
  const proof = membership.terminationEvidence(incarnation)
  return proof === 'replaced' || proof === 'unlisted'
}

function toCandidate (member: Member): { readonly name: string, readonly region: string } {
  return { name: member.id, region: member.region }
}
