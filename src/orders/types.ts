/** How intents are carried out. */
import { StepError, type Result, type Step } from '../errors/index.js'
import type { Intent } from '../schema/index.js'

/** Carries out intents of one type. */
export interface IntentSender {
  /** Sends the effect once; sending the same intent again must not add to the effect. */
  send (intent: Intent): Promise<Result<void, StepError>>
  /** Whether the effect has taken place, by asking the receiver. */
  confirm (intent: Intent): Promise<Result<boolean, StepError>>
  /** Reserves what the effect needs before it may be sent; false when it has to wait. Absent means nothing is needed. */
  prepare? (intent: Intent): Promise<boolean>
  /** Gives back what `prepare` reserved. */
  release? (intent: Intent): Promise<void>
  /** What a copy that arrives after the intent was closed can do; absent means `harmless`. */
  delayedCopyEffect? (intent: Intent): DelayedCopyEffect
  /** Whether the receiver no longer exists, so that no copy can have an effect; absent means that it exists. */
  isReceiverRemoved? (intent: Intent): boolean
}

/**
 * Effect of a late copy: none, because the receiver remembers the id for ever; none once the receiver has seen a
 * higher fencing number; or the whole effect again.
 */
export type DelayedCopyEffect = 'harmless' | 'fenced' | 'effective'

/** A failed send, and whether the receiver may have got it all the same. A plain `StepError` counts as `true`. */
export class SendError extends StepError {
  override readonly name = 'SendError'

  constructor (step: Step, peer: string, message: string, readonly mayHaveArrived: boolean) {
    super(step, peer, message)
  }
}

/** Knows whether a former holder can no longer send. */
export interface Retirement {
  /** True once the incarnation is proved unable to send under a fence below `fence`. */
  isRetired (incarnation: string, scope: string, fence: number): Promise<boolean>
}
