/** Runs cells of the orders protocol: three candidates for one scope, two engines whose wanted roles change. */
import type { ScopeDuty, ScopeHandle } from '../../src/authority/index.js'
import type { ControlServices } from '../../src/daemon/control-child.js'
import { EngineSender, LoadSlots, type OrderRunner } from '../../src/orders/index.js'
import type { Role } from '../../src/schema/index.js'
import { MODEL } from '../support/build.js'
import { ControlProcess } from '../support/control-process.js'
import type { World } from '../support/world.js'
import type { Violation } from './checks.js'
import { checkOrders, unfinished } from './checks-control.js'
import { heal } from './faults.js'
import type { Cell } from './table.js'

const CANDIDATES = 3
const SCOPE = 'r1/roles/talk'

/** One engine that rejects old fencing numbers and one that ignores them; the seed says which comes first. */
const ENGINES = [`${MODEL}-d1`, `${MODEL}-d2`]

/** Roles wanted one after another, and the time between them, in ms. */
const ROLES: readonly Role[] = ['prefill', 'decode', 'mixed']
const CHANGE_MS = 9_000

/** Time until a former holder that was paused for long has woken up, in ms. */
const LAPSE_MS = 100_000

/** Time for each fault within which all orders must be carried out, in ms: two leases and an unread copy. */
const FINISH_MS = 120_000

/** Time in which late copies would arrive, in ms. */
const LATE_MS = 5_000

/** Role that each engine is to have. */
export type Wanted = Map<string, Role>

/** Changes the wanted roles while the faults are injected. */
export async function runOrders (world: World<ControlProcess>, cells: readonly Cell[]): Promise<Violation[]> {
  const wanted: Wanted = new Map()
  world.beginChange = () => {}
  await world.start(CANDIDATES, (name, domain) => new ControlProcess(world, name, domain, SCOPE, (proc) => (_spec, tools) => new WantedRoles(world, proc, tools, wanted)))
  for (const role of ROLES) {
    for (const engine of world.seed % 2 === 0 ? ENGINES : [...ENGINES].reverse()) wanted.set(engine, role)
    await world.time.advance(CHANGE_MS)
  }
  if (cells.some((cell) => cell.fault === 'lease_lapses_while_paused')) await world.time.advance(LAPSE_MS)
  heal(world)
  await world.time.advanceUntil(() => unfinished(world, wanted).length === 0, FINISH_MS * Math.max(1, cells.length)).catch(() => {})
  await world.time.advance(LATE_MS)
  return checkOrders(world, wanted)
}

/** Orders the wanted roles; a planner in the place of this duty would wait for demand. */
class WantedRoles implements ScopeDuty {
  private readonly runner: OrderRunner
  private open: readonly string[] = []

  constructor (private readonly world: World, private readonly proc: ControlProcess, tools: ControlServices, private readonly wanted: Wanted) {
    const { env: { clock }, metrics, platform: { store } } = proc
    this.runner = tools.createRunner(new EngineSender({
      engineOf: (name) => this.isGone(name) ? undefined : { engine: this.engine(name), checksFence: world.engine(name).inner.spec.checksFence },
      slots: new LoadSlots({ clock, store, metrics }, 'r1'),
      hasWaitingRequests: () => false
    }))
  }

  async tick (handle: ScopeHandle): Promise<void> {
    this.open = handle.intents().map((intent) => intent.subject)
    await this.runner.advanceAll(handle)
    for (const [name, role] of this.wanted) {
      this.open = handle.intents().map((intent) => intent.subject)
      if (this.isGone(name) || this.open.includes(name)) continue
      const state = await this.engine(name).state()
      if (state.err || state.val.role === role || state.val.active_order !== '') continue
      this.open = [...this.open, name]
      await this.runner.submit(handle, name, { type: 'engine', order: { kind: 'role', role } })
    }
  }

  private engine (name: string): ReturnType<ControlProcess['watched']> {
    return this.proc.watched(name, () => this.open.includes(name))
  }

  private isGone (name: string): boolean {
    return this.world.engine(name).inner.faults.crashed && this.world.leaving.some((item) => item.target === name)
  }
}
