/** Sends orders to engines and confirms them from the engines' state. */
import { Err, Ok, StepError, type Result } from '../errors/index.js'
import type { EngineOrder, EngineState, Intent } from '../schema/index.js'
import type { Engine } from '../target-clients/index.js'
import type { LoadSlots } from './load-slots.js'
import { SendError, type IntentSender, type DelayedCopyEffect } from './types.js'

/** An engine, and whether it rejects fencing tokens below the highest it has seen. */
export interface EngineRef {
  readonly engine: Engine
  readonly checksFence: boolean
}

/** Dependencies of {@link EngineSender}. */
export interface EngineSenderDeps {
  /** The engine of a target name; `undefined` once the target is removed for good. */
  readonly engineOf: (target: string) => EngineRef | undefined
  /** Slots for model loads, which bound the request rate at the weight store. */
  readonly slots: LoadSlots
  /** Whether requests are queued for a model that no engine can serve yet. */
  readonly hasWaitingRequests: (model: string) => boolean
}

/** Carries out intents of type `engine`. */
export class EngineSender implements IntentSender {
  constructor (private readonly deps: EngineSenderDeps) {}

  async send (intent: Intent): Promise<Result<void, StepError>> {
    const ref = this.deps.engineOf(intent.subject)
    if (ref === undefined) return Err(new SendError('order', intent.subject, 'unknown engine', false))
    const order = orderOf(intent)
    const reply = await ref.engine.order(intent.id, intent.fence, order)
    if (reply.err) return Err(new SendError('order', intent.subject, reply.val.message, reply.val.ran !== 'no'))
    if (reply.val !== 'accepted') return Err(new SendError('order', intent.subject, reply.val.replaceAll('_', ' '), false))
    return Ok(undefined)
  }

  async prepare (intent: Intent): Promise<boolean> {
    const order = orderOf(intent)
    return order.kind !== 'load' || await this.deps.slots.acquire(intent.id, this.deps.hasWaitingRequests(order.model))
  }

  async release (intent: Intent): Promise<void> {
    if (orderOf(intent).kind === 'load') await this.deps.slots.release(intent.id)
  }

  async confirm (intent: Intent): Promise<Result<boolean, StepError>> {
    const ref = this.deps.engineOf(intent.subject)
    if (ref === undefined) return Err(new StepError('confirm', intent.subject, 'unknown engine'))
    const state = await ref.engine.state()
    if (state.err) return Err(new StepError('confirm', intent.subject, state.val.message))
    const order = orderOf(intent)
    return Ok(state.val.active_order !== intent.id && (state.val.last_order === intent.id || isApplied(order, state.val)))
  }

  delayedCopyEffect (intent: Intent): DelayedCopyEffect {
    return this.deps.engineOf(intent.subject)?.checksFence === true ? 'fenced' : 'effective'
  }

  isReceiverRemoved (intent: Intent): boolean {
    return this.deps.engineOf(intent.subject) === undefined
  }
}

function orderOf (intent: Intent): EngineOrder {
  if (intent.body.type !== 'engine') throw new Error(`intent ${intent.id} is not an order to an engine`)
  return intent.body.order
}

/** Whether the engine's state already matches the order, for instance after a crash in which the engine lost the order's id. */
function isApplied (order: EngineOrder, state: EngineState): boolean {
  switch (order.kind) {
    case 'role': return state.role === order.role && state.active_order === '' && !state.draining
    case 'load': return order.adapter === '' && order.version === '' && state.models.includes(order.model)
    case 'drain': return state.draining
  }
}
