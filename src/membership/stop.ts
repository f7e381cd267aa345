/** Stops an entry without interrupting a request. */
import { delay, type Timers } from '../time/index.js'
import { ADVICE_TTL_MS, ADVISED_WITHIN_MS } from './advice.js'

/** Allowance for the delay of messages, in ms. */
const MESSAGE_DELAY_MS = 1_000

/**
 * Time for which an entry still accepts requests after it announced that it is leaving, in ms: a peer that missed the
 * announcement recommends it for 3 s, a caller may use that advice for 15 s, and messages take up to 1 s.
 */
export const STOP_HOLD_MS = ADVISED_WITHIN_MS + ADVICE_TTL_MS + MESSAGE_DELAY_MS

/** Steps of a graceful stop, in order. */
export interface StopSteps {
  /** Announces to all other entries that this one is leaving. */
  announceLeaving (): void
  /** Stops accepting requests and resolves when the running ones have ended. */
  finish (): Promise<void>
  /** Announces to all other entries that this one has ended. */
  announceLeft (): Promise<void>
}

/** Stops an entry gracefully; `holdMs` is {@link STOP_HOLD_MS} except in tests. */
export async function stopGracefully (steps: StopSteps, timers: Timers, holdMs = STOP_HOLD_MS): Promise<void> {
  steps.announceLeaving()
  await delay(timers, holdMs)
  await steps.finish()
  await steps.announceLeft()
}
