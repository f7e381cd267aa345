/** Interfaces for carrying out intents. */
import { StepError, type Result, type Step } from '../errors/index.js'
import type { Intent } from '../schema/index.js'

/** Carries out intents of one type. */
export interface IntentSender {
  /** Sends the intent; the receiver must treat a repeated send of the same intent as idempotent. */
  send (intent: Intent): Promise<Result<void, StepError>>
  /** Whether the effect has taken place, by reading the receiver's state. */
  confirm (intent: Intent): Promise<Result<boolean, StepError>>
  /** Reserves what the effect needs before a send; false when the intent has to wait. Absent when nothing is needed. */
  prepare? (intent: Intent): Promise<boolean>
  /** Releases what `prepare` reserved. */
  release? (intent: Intent): Promise<void>
  /** Effect of a copy that arrives after the intent was closed; absent means `harmless`. */
  delayedCopyEffect? (intent: Intent): DelayedCopyEffect
  /** Whether the receiver no longer exists, so that no copy can have an effect; absent means that it exists. */
  isReceiverRemoved? (intent: Intent): boolean
}

/**
 * Effect of a delayed copy: `harmless` when the receiver remembers the id for good, `fenced` when it rejects the copy
 * once it has seen a higher fencing token, `effective` when the copy takes full effect again.
 */
export type DelayedCopyEffect = 'harmless' | 'fenced' | 'effective'

/** A failed send, and whether the receiver may have received it anyway; for a plain `StepError` that is assumed. */
export class SendError extends StepError {
  override readonly name = 'SendError'

  constructor (step: Step, peer: string, message: string, readonly mayHaveArrived: boolean) {
    super(step, peer, message)
  }
}

/** Tells whether a former lease holder can no longer send. */
export interface Retirement {
  /** True once there is evidence that the incarnation cannot send under a fencing token below `fence`. */
  isRetired (incarnation: string, scope: string, fence: number): Promise<boolean>
}
