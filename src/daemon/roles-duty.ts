/** What the holder of a roles scope does in each tick. */
import type { ScopeDuty, ScopeHandle } from '../authority/index.js'
import type { Logger } from '../log/index.js'
import type { Metrics } from '../metrics/index.js'
import {
  forecast, observe, planRoles, resumeRole, INITIAL_ROLE_STATE, initialEstimate,
  type EngineModel, type MixEstimate, type RoleEngine, type RoleOrder, type RolePlanInput, type RolePlanState
} from '../roles/index.js'
import type { Clock } from '../time/index.js'
import type { IntentRunner } from './intent-runner.js'

/** An engine of the service with the state it last reported. */
export interface ServiceEngine extends RoleEngine {
  readonly draining: boolean
  /** Id of the last order the engine finished. */
  readonly lastOrder: string
}

/** Cumulative work of a service. */
export interface ServiceWork {
  readonly prefillTokens: number
  readonly decodeTokens: number
  /** Sum of the squares of the prompts' sizes. */
  readonly promptSquares: number
}

/** What is known of a service and its engines. */
export interface RolesView {
  engines (): readonly ServiceEngine[]
  /** Cumulative work of the service, delivered and waiting. */
  work (): ServiceWork
  /** Whether the profile permits role changes. */
  permitted (): boolean
}

/** What the roles duty works with. */
export interface RolesDutyDeps {
  readonly clock: Clock
  readonly log: Logger
  readonly metrics: Metrics
  readonly view: RolesView
  readonly model: EngineModel
  readonly awayMs: number
  readonly minFleet: number
  readonly runner: IntentRunner
}

/** Estimates the mix, and changes the role of one engine at a time: drain, wait for running work, order the role. */
export class RolesDuty implements ScopeDuty {
  private fence = -1
  private estimate: MixEstimate
  private plan: RolePlanState = INITIAL_ROLE_STATE
  private pending: RoleOrder | undefined
  private done: ServiceWork | undefined

  constructor (private readonly deps: RolesDutyDeps) {
    this.estimate = initialEstimate(deps.clock.now())
  }

  async tick (handle: ScopeHandle): Promise<void> {
    if (handle.fence !== this.fence) this.begin(handle)
    this.observe()
    await this.deps.runner.advanceAll(handle)
    if (handle.intents().length > 0 || !this.deps.view.permitted()) return
    const own = (engine: ServiceEngine): boolean => engine.lastOrder.startsWith(`${handle.scope}#`)
    // An engine that others drain, such as an operator, is not there for this plan and does not hold it up.
    const engines = this.deps.view.engines().map((engine) => engine.draining && !own(engine) ? { ...engine, available: false, changing: false } : engine)
    const drained = engines.find((engine) => engine.draining && own(engine))
    if (drained !== undefined) await this.resume(handle, drained, this.input(engines))
    else await this.decide(handle, this.input(engines))
  }

  private begin (handle: ScopeHandle): void {
    this.fence = handle.fence
    this.estimate = initialEstimate(this.deps.clock.now())
    this.plan = INITIAL_ROLE_STATE
    this.pending = undefined
    this.done = undefined
  }

  private observe (): void {
    const work = this.deps.view.work()
    const before = this.done ?? work
    this.estimate = observe(this.estimate, {
      now: this.deps.clock.now(),
      prefillTokens: Math.max(0, work.prefillTokens - before.prefillTokens),
      decodeTokens: Math.max(0, work.decodeTokens - before.decodeTokens),
      promptSquares: Math.max(0, work.promptSquares - before.promptSquares)
    })
    this.done = work
  }

  private input (engines: readonly ServiceEngine[]): RolePlanInput {
    const { clock, model, awayMs, minFleet } = this.deps
    return { now: clock.now(), engines, mix: forecast(this.estimate, awayMs), slowMix: this.estimate.slow, model, downtimeMs: awayMs, minFleet }
  }

  /** Goes on with a change once the engine has finished its requests; a successor chooses the role anew. */
  private async resume (handle: ScopeHandle, engine: ServiceEngine, input: RolePlanInput): Promise<void> {
    if (engine.running > 0) return
    const order = this.pending?.target === engine.target ? this.pending : resumeRole(engine, input)
    this.pending = undefined
    await this.submit(handle, order, { type: 'engine', order: { kind: 'role', role: order.role } })
  }

  private async decide (handle: ScopeHandle, input: RolePlanInput): Promise<void> {
    const { state, order } = planRoles(this.plan, input)
    this.plan = state
    if (order === undefined) return
    this.pending = order
    this.deps.metrics.count('godwitpoint_role_changes_total', `reason="${order.reason}"`)
    await this.submit(handle, order, { type: 'engine', order: { kind: 'drain' } })
  }

  private async submit (handle: ScopeHandle, order: RoleOrder, body: Parameters<IntentRunner['submit']>[2]): Promise<void> {
    const opened = await this.deps.runner.submit(handle, order.target, body)
    if (opened.err) this.deps.log.warn({ step: 'intent', peer: order.target, err: opened.val }, 'role_order_failed')
    else this.deps.log.info({ target: order.target, role: order.role, reason: order.reason, order: opened.val.id }, 'role_ordered')
  }
}
