/** Leader duty of a roles scope: plans and orders role changes of a service's engines. */
import type { ScopeDuty, ScopeHandle } from '../authority/index.js'
import type { Logger } from '../log/index.js'
import type { Metrics } from '../metrics/index.js'
import {
  forecast, observe, planRoles, resumeRole, INITIAL_ROLE_STATE, initialEstimate,
  type EngineModel, type MixEstimate, type RoleEngine, type RoleOrder, type RolePlanInput, type RolePlanState
} from '../roles/index.js'
import type { Clock } from '../time/index.js'
import type { IntentRunner } from './intent-runner.js'

/** An engine of the service and the state it last reported. */
export interface ServiceEngine extends RoleEngine {
  readonly draining: boolean
  /** Id of the last order that the engine finished. */
  readonly lastOrder: string
}

/** Cumulative work of a service over all entries. */
export interface ServiceWork {
  readonly prefillTokens: number
  readonly decodeTokens: number
  /** Sum of the squared prompt lengths, in tokens squared. */
  readonly promptSquares: number
}

/** State of a service and its engines, as the duty sees it. */
export interface RolesView {
  engines (): readonly ServiceEngine[]
  /** Cumulative work of the service, delivered and waiting. */
  work (): ServiceWork
  /** Whether the service's profile permits role changes. */
  roleChangesPermitted (): boolean
}

/** Dependencies of a {@link RolesDuty}. */
export interface RolesDutyDeps {
  readonly clock: Clock
  readonly log: Logger
  readonly metrics: Metrics
  readonly view: RolesView
  readonly model: EngineModel
  /** Time for which a role change takes an engine out of service, in ms. */
  readonly roleChangeMs: number
  /** Number of engines below which roles are not split. */
  readonly minFleet: number
  readonly runner: IntentRunner
}

/**
 * Estimates the mix of prefill and decode work, and changes the role of one engine at a time: it drains the engine,
 * waits for its running requests, then orders the role.
 */
export class RolesDuty implements ScopeDuty {
  private fence = -1
  private estimate: MixEstimate
  private planState: RolePlanState = INITIAL_ROLE_STATE
  private pendingOrder: RoleOrder | undefined
  private lastWork: ServiceWork | undefined

  constructor (private readonly deps: RolesDutyDeps) {
    this.estimate = initialEstimate(deps.clock.now())
  }

  async tick (handle: ScopeHandle): Promise<void> {
    if (handle.fence !== this.fence) this.startTerm(handle)
    this.updateEstimate()
    await this.deps.runner.advanceAll(handle)
    if (handle.intents().length > 0 || !this.deps.view.roleChangesPermitted()) return
    const isOwnOrder = (engine: ServiceEngine): boolean => engine.lastOrder.startsWith(`${handle.scope}#`)
    // An engine drained by someone else, such as an operator, is unavailable but does not block the plan.
    const engines = this.deps.view.engines().map((engine) => engine.draining && !isOwnOrder(engine) ? { ...engine, available: false, changing: false } : engine)
    const drained = engines.find((engine) => engine.draining && isOwnOrder(engine))
    if (drained !== undefined) await this.continueChange(handle, drained, this.planInput(engines))
    else await this.planChange(handle, this.planInput(engines))
  }

  private startTerm (handle: ScopeHandle): void {
    this.fence = handle.fence
    this.estimate = initialEstimate(this.deps.clock.now())
    this.planState = INITIAL_ROLE_STATE
    this.pendingOrder = undefined
    this.lastWork = undefined
  }

  private updateEstimate (): void {
    const work = this.deps.view.work()
    const previous = this.lastWork ?? work
    this.estimate = observe(this.estimate, {
      now: this.deps.clock.now(),
      prefillTokens: Math.max(0, work.prefillTokens - previous.prefillTokens),
      decodeTokens: Math.max(0, work.decodeTokens - previous.decodeTokens),
      promptSquares: Math.max(0, work.promptSquares - previous.promptSquares)
    })
    this.lastWork = work
  }

  private planInput (engines: readonly ServiceEngine[]): RolePlanInput {
    const { clock, model, roleChangeMs, minFleet } = this.deps
    return { now: clock.now(), engines, mix: forecast(this.estimate, roleChangeMs), slowMix: this.estimate.slow, model, downtimeMs: roleChangeMs, minFleet }
  }

  /** Orders the role once the drained engine is idle; after a change of the lease holder the role is chosen again. */
  private async continueChange (handle: ScopeHandle, engine: ServiceEngine, input: RolePlanInput): Promise<void> {
    if (engine.running > 0) return
    const order = this.pendingOrder?.target === engine.target ? this.pendingOrder : resumeRole(engine, input)
    this.pendingOrder = undefined
    await this.submit(handle, order, { type: 'engine', order: { kind: 'role', role: order.role } })
  }

  private async planChange (handle: ScopeHandle, input: RolePlanInput): Promise<void> {
    const { state, order } = planRoles(this.planState, input)
    this.planState = state
    if (order === undefined) return
    this.pendingOrder = order
    this.deps.metrics.count('godwitpoint_role_changes_total', `reason="${order.reason}"`)
    await this.submit(handle, order, { type: 'engine', order: { kind: 'drain' } })
  }

  private async submit (handle: ScopeHandle, order: RoleOrder, body: Parameters<IntentRunner['submit']>[2]): Promise<void> {
    const submitted = await this.deps.runner.submit(handle, order.target, body)
    if (submitted.err) this.deps.log.warn({ step: 'intent', peer: order.target, err: submitted.val }, 'role_order_failed')
    else this.deps.log.info({ target: order.target, role: order.role, reason: order.reason, order: submitted.val.id }, 'role_ordered')
  }
}
