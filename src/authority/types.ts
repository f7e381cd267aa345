/** Interfaces between a scope's lease and the work done under it. */
import type { Result, StepError } from '../errors/index.js'
import type { Intent, IntentBody } from '../schema/index.js'

/** Right to act for one scope; at most one process at a time has it. */
export interface ScopeHandle {
  readonly scope: string
  /** Fencing token of this lease term. */
  readonly fence: number
  /** Whether this process may act now; must be checked right before each side effect. */
  mayAct (): boolean
  /** Open intents, including those of former holders. */
  intents (): readonly Intent[]
  /** Stores a new intent; fails when the lease was lost or the subject already has an open intent. */
  open (subject: string, body: IntentBody): Promise<Result<Intent, StepError>>
  /** Removes an intent once its effect is confirmed or certain never to occur. */
  close (id: string): Promise<Result<void, StepError>>
}

/** Work of a scope's lease holder; starts when the lease is acquired and stops when it is lost. */
export interface ScopeDuty {
  /** Runs the work once; called about once a second while the lease is held. */
  tick (handle: ScopeHandle): Promise<void>
}
