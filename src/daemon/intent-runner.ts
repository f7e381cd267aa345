/** How duties have their intents carried out; `OrderRunner` of `orders` does it. */
import type { ScopeHandle } from '../authority/index.js'
import type { Result, StepError } from '../errors/index.js'
import type { Intent, IntentBody } from '../schema/index.js'

/** Runs the intents of one scope: stored, sent, confirmed, closed. */
export interface IntentRunner {
  /** Stores an intent and sends it. */
  submit (handle: ScopeHandle, subject: string, body: IntentBody): Promise<Result<Intent, StepError>>
  /** Advances every open intent, those of former holders included. */
  advanceAll (handle: ScopeHandle): Promise<void>
}
