/** Runs cells of the orders protocol: three candidates for one scope, and two engines whose desired roles change. */
import type { ScopeDuty, ScopeHandle } from '../../src/authority/index.js'
import type { ControlServices } from '../../src/daemon/control-child.js'
import { EngineSender, LoadSlots, type OrderRunner } from '../../src/orders/index.js'
import type { Role } from '../../src/schema/index.js'
import { MODEL } from '../support/build.js'
import { ControlProcess } from '../support/control-process.js'
import type { World } from '../support/world.js'
import type { Violation } from './checks.js'
import { checkOrders, unfinishedChanges } from './checks-control.js'
import { heal } from './faults.js'
import type { Cell } from './table.js'

const CANDIDATE_COUNT = 3
const SCOPE = 'r1/roles/talk'

/** One engine that rejects stale fencing tokens and one that ignores them; the seed decides which is ordered first. */
const ENGINES = [`${MODEL}-d1`, `${MODEL}-d2`]

/** Roles desired one after another, and the time between them, in ms. */
const ROLES: readonly Role[] = ['prefill', 'decode', 'mixed']
const ROLE_INTERVAL_MS = 9_000

/** Time until a former holder has been resumed after a long pause, in ms. */
const LONG_PAUSE_MS = 100_000

/** Time for each fault within which all orders must be executed, in ms: two lease terms and a delayed copy. */
const COMPLETION_MS_PER_FAULT = 120_000

/** Time in which delayed copies of orders would arrive, in ms. */
const LATE_COPY_MS = 5_000

/** Desired role, by engine. */
export type DesiredRoles = Map<string, Role>

/** Changes the desired roles while the faults are injected. */
export async function runOrders (world: World<ControlProcess>, cells: readonly Cell[]): Promise<Violation[]> {
  const desired: DesiredRoles = new Map()
  world.startEngineChange = () => {}
  await world.start(CANDIDATE_COUNT, (name, domain) => new ControlProcess(world, name, domain, SCOPE, (proc) => (_spec, services) => new DesiredRolesDuty(world, proc, services, desired)))
  for (const role of ROLES) {
    for (const engine of world.seed % 2 === 0 ? ENGINES : [...ENGINES].reverse()) desired.set(engine, role)
    await world.time.advance(ROLE_INTERVAL_MS)
  }
  if (cells.some((cell) => cell.fault === 'lease_lapses_while_paused')) await world.time.advance(LONG_PAUSE_MS)
  heal(world)
  await world.time.advanceUntil(() => unfinishedChanges(world, desired).length === 0, COMPLETION_MS_PER_FAULT * Math.max(1, cells.length)).catch(() => {})
  await world.time.advance(LATE_COPY_MS)
  return checkOrders(world, desired)
}

/** Orders the desired roles at once; the duty with the planner would wait for demand. */
class DesiredRolesDuty implements ScopeDuty {
  private readonly runner: OrderRunner
  private openSubjects: readonly string[] = []

  constructor (private readonly world: World, private readonly proc: ControlProcess, services: ControlServices, private readonly desired: DesiredRoles) {
    const { env: { clock }, metrics, platform: { store } } = proc
    this.runner = services.createRunner(new EngineSender({
      engineOf: (name) => this.isRemoved(name) ? undefined : { engine: this.engine(name), checksFence: world.engine(name).inner.spec.checksFence },
      slots: new LoadSlots({ clock, store, metrics }, 'r1'),
      hasWaitingRequests: () => false
    }))
  }

  async tick (handle: ScopeHandle): Promise<void> {
    this.openSubjects = handle.intents().map((intent) => intent.subject)
    await this.runner.advanceAll(handle)
    for (const [name, role] of this.desired) {
      this.openSubjects = handle.intents().map((intent) => intent.subject)
      if (this.isRemoved(name) || this.openSubjects.includes(name)) continue
      const state = await this.engine(name).state()
      if (state.err || state.val.role === role || state.val.active_order !== '') continue
      this.openSubjects = [...this.openSubjects, name]
      await this.runner.submit(handle, name, { type: 'engine', order: { kind: 'role', role } })
    }
  }

  private engine (name: string): ReturnType<ControlProcess['observedEngine']> {
    return this.proc.observedEngine(name, () => this.openSubjects.includes(name))
  }

  private isRemoved (name: string): boolean {
    return this.world.engine(name).inner.faults.crashed && this.world.leavingTargets.some((leaving) => leaving.target === name)
  }
}
