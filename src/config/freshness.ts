/** Decides whether this process knows all key withdrawals except those of the last few seconds. */
import type { ConfigMember } from './members.js'

/** Age up to which a confirmation counts, in ms; a key withdrawal is in force everywhere within this time. */
export const MAX_CONFIRMATION_AGE_MS = 4_000

/** Clock drift allowed for when one process reports the age of a confirmation to another, as a share of the age. */
const CLOCK_DRIFT_RATIO = 0.01

/** The store had generation `generation` as its newest at monotonic time `at` of this process. */
export interface Confirmation {
  readonly generation: number
  readonly at: number
}

/** Returns the later of two confirmations; one of a higher generation is always later. */
export function laterConfirmation (current: Confirmation | undefined, other: Confirmation): Confirmation {
  if (current === undefined || other.generation > current.generation) return other
  return other.generation === current.generation && other.at > current.at ? other : current
}

/** Converts a peer's confirmation to the local clock; the peer reported its age at or after `notBefore`. */
export function relayedConfirmation (generation: number, ageMs: number, notBefore: number): Confirmation {
  return { generation, at: notBefore - ageMs * (1 + CLOCK_DRIFT_RATIO) }
}

/** Input of `keysAreFresh`. */
export interface FreshnessInputs {
  /** Generation in force; 0 before the first. */
  readonly generation: number
  /** Latest confirmation; its generation may be higher than the one in force. */
  readonly confirmation: Confirmation | undefined
  /** Most recent confirmation of a generation up to the one in force; `confirmation` may be older, or of unknown age. */
  readonly heldConfirmation?: Confirmation | undefined
  /** Monotonic time at which the store last responded to any process, as far as this one knows. */
  readonly storeRespondedAt: number
  readonly others: readonly ConfigMember[]
  /** Monotonic time. */
  readonly now: number
}

/**
 * True while a confirmation is fresh. When the store responds to nobody, true while this process had recent contact
 * with every other entry that is not known to have terminated: a withdrawal accepted by any of them would have
 * reached this process. A store that responds without a confirmation may hold a newer generation. While a newer
 * generation is known but not yet fetched, the last confirmation of the one in force or an earlier one counts: all
 * withdrawals up to then are known here.
 */
export function keysAreFresh ({ generation, confirmation, heldConfirmation, storeRespondedAt, others, now }: FreshnessInputs): boolean {
  if (confirmation === undefined) return false
  if ([confirmation, heldConfirmation].some((entry) => entry !== undefined && entry.generation <= generation && now - entry.at < MAX_CONFIRMATION_AGE_MS)) return true
  if (confirmation.generation > generation) return false
  if (now - storeRespondedAt < MAX_CONFIRMATION_AGE_MS) return false
  return others.every((member) => member.terminated || now - member.lastContact < MAX_CONFIRMATION_AGE_MS)
}
