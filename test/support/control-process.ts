/** A simulated process that competes for the scopes of a region and runs the duties that a test provides. */
import { scopeKey } from '../../src/authority/index.js'
import { ConfigIndex } from '../../src/config/index.js'
import { ControlChild, type DutyFactory } from '../../src/daemon/control-child.js'
import { SILENT_LOGGER } from '../../src/log/index.js'
import { ScopeRecord } from '../../src/schema/index.js'
import { linkEngine, type PlatformCall } from '../../src/standin/index.js'
import type { Engine } from '../../src/target-clients/index.js'
import { ACCOUNTS, TestProcess, type World } from './world.js'
import { smallConfig } from './build.js'

/** A process with the control tasks of an entry. */
export class ControlProcess extends TestProcess {
  private readonly control: ControlChild
  private lastWrittenRecord: ScopeRecord | undefined

  /** Writes to `scope` are steps at which faults can be injected; `duties` creates the duty of that scope. */
  constructor (world: World, name: string, domain: string, private readonly scope: string, duties: (proc: ControlProcess) => DutyFactory) {
    super(world, name, domain)
    const { env, metrics, peers, platform: { store, vms }, membership: { membership } } = this
    const makeDuty = duties(this)
    this.control = new ControlChild({
      env, metrics, peers, store, vms, membership, log: SILENT_LOGGER, shards: 1, createDuty: (spec, services) => spec.scope === scope ? makeDuty(spec, services) : undefined
    })
  }

  start (): void {
    this.control.applyConfig(new ConfigIndex(1, smallConfig(ACCOUNTS)))
  }

  /** Maps platform calls to steps. */
  override onPlatformCall (call: PlatformCall): void {
    if (call.kind === 'order') this.reachStep('place')
    else if (call.kind === 'release') this.reachStep('give_back')
    else if (call.kind === 'report') this.reachStep('report')
    else if (call.kind === 'put' && call.key.startsWith('usage/final/')) this.reachStep('close_window')
    else if (call.kind === 'put' && call.key === scopeKey(this.scope)) this.noteScopeWrite(ScopeRecord.parse(JSON.parse(call.value)))
  }

  /** An engine whose orders, and state reads while `hasOrder` holds, are steps. */
  observedEngine (name: string, hasOrder: () => boolean): Engine {
    const engine = linkEngine(this, this.world.engine(name), { onStep: () => {}, onSend: () => {} })
    return {
      ...engine,
      order: async (id, fence, order) => {
        this.reachStep('order', { target: name })
        return await engine.order(id, fence, order)
      },
      state: async () => {
        if (hasOrder()) this.reachStep('confirm', { target: name })
        return await engine.state()
      }
    }
  }

  /** Reports a step that is not a platform call. */
  reachDutyStep (name: string, target?: string): void {
    this.reachStep(name, target === undefined ? {} : { target })
  }

  private noteScopeWrite (record: ScopeRecord): void {
    const previous = this.lastWrittenRecord
    this.lastWrittenRecord = record
    if (record.fence !== previous?.fence) this.reachStep('lease')
    else if (record.intents.length > previous.intents.length) this.reachStep('intent')
  }
}
