/** How an entry stops without interrupting a request. */
import { delay, type Timers } from '../time/index.js'
import { ADVICE_TTL_MS, ADVISED_WITHIN_MS } from './advice.js'

/** Allowance for messages under way, in ms. */
const STOP_MARGIN_MS = 1_000

/**
 * Time an entry goes on accepting after it announced that it leaves, in ms: a peer that missed the news names it
 * for 3 s, a caller may keep that answer for 15 s, and messages take up to 1 s.
 */
export const STOP_HOLD_MS = ADVISED_WITHIN_MS + ADVICE_TTL_MS + STOP_MARGIN_MS

/** What a stop does, in order. */
export interface StopSteps {
  /** Tells all other entries that this one leaves. */
  announceLeaving (): void
  /** Accepts no more requests and resolves when the running ones are done. */
  finish (): Promise<void>
  /** Tells all other entries that this one has ended. */
  announceLeft (): Promise<void>
}

/** Runs the stop; `holdMs` is {@link STOP_HOLD_MS} except in tests. */
export async function stopGracefully (steps: StopSteps, timers: Timers, holdMs = STOP_HOLD_MS): Promise<void> {
  steps.announceLeaving()
  await delay(timers, holdMs)
  await steps.finish()
  await steps.announceLeft()
}
