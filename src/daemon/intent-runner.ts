/** Interface through which leader duties have their intents carried out; implemented by `OrderRunner` of `orders`. */
import type { ScopeHandle } from '../authority/index.js'
import type { Result, StepError } from '../errors/index.js'
import type { Intent, IntentBody } from '../schema/index.js'

/** Carries out the intents of one scope; each is stored, sent, confirmed and closed. */
export interface IntentRunner {
  /** Stores an intent and sends it. */
  submit (handle: ScopeHandle, subject: string, body: IntentBody): Promise<Result<Intent, StepError>>
  /** Advances every open intent, including those of former lease holders. */
  advanceAll (handle: ScopeHandle): Promise<void>
}
