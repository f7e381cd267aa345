/** A process that competes for the scopes of a region and runs the duties of a test. */
import { scopeKey } from '../../src/authority/index.js'
import { ConfigIndex } from '../../src/config/index.js'
import { ControlChild, type DutyFactory } from '../../src/daemon/control-child.js'
import { SILENT_LOGGER } from '../../src/log/index.js'
import { ScopeRecord } from '../../src/schema/index.js'
import { linkEngine, type PlatformCall } from '../../src/standin/index.js'
import type { Engine } from '../../src/target-clients/index.js'
import { ACCOUNTS, Proc, type World } from './world.js'
import { smallConfig } from './build.js'

/** One process with the control tasks of an entry. */
export class ControlProcess extends Proc {
  private readonly control: ControlChild
  private seen: ScopeRecord | undefined

  /** `scope` is the one whose writes are steps; `duties` makes the duty of that scope. */
  constructor (world: World, name: string, domain: string, private readonly scope: string, duties: (proc: ControlProcess) => DutyFactory) {
    super(world, name, domain)
    const { env, metrics, peers, platform: { store, vms }, membership: { membership } } = this
    const make = duties(this)
    this.control = new ControlChild({
      env, metrics, peers, store, vms, membership, log: SILENT_LOGGER, shards: 1, createDuty: (spec, tools) => spec.scope === scope ? make(spec, tools) : undefined
    })
  }

  start (): void {
    this.control.applyConfig(new ConfigIndex(1, smallConfig(ACCOUNTS)))
  }

  /** Steps by what a call to the platform is about. */
  override onCall (call: PlatformCall): void {
    if (call.kind === 'order') this.reach('place')
    else if (call.kind === 'release') this.reach('give_back')
    else if (call.kind === 'report') this.reach('report')
    else if (call.kind === 'put' && call.key.startsWith('usage/final/')) this.reach('close_window')
    else if (call.kind === 'put' && call.key === scopeKey(this.scope)) this.scopeWrite(ScopeRecord.parse(JSON.parse(call.value)))
  }

  /** An engine whose orders and reads are steps. */
  watched (name: string, hasOrder: () => boolean): Engine {
    const engine = linkEngine(this, this.world.engine(name), { reach: () => {}, sent: () => {} })
    return {
      ...engine,
      order: async (id, fence, order) => {
        this.reach('order', { target: name })
        return await engine.order(id, fence, order)
      },
      state: async () => {
        if (hasOrder()) this.reach('confirm', { target: name })
        return await engine.state()
      }
    }
  }

  /** Tells of a step that is no call. */
  step (name: string, target?: string): void {
    this.reach(name, target === undefined ? {} : { target })
  }

  private scopeWrite (record: ScopeRecord): void {
    const before = this.seen
    this.seen = record
    if (record.fence !== before?.fence) this.reach('lease')
    else if (record.intents.length > before.intents.length) this.reach('intent')
  }
}
