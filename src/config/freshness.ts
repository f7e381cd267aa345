/** Whether this process knows all keys that were withdrawn more than a few seconds ago. */
import type { ConfigMember } from './members.js'

/** Age up to which a proof holds, in ms; a withdrawal takes effect everywhere within this time. */
export const FRESH_MS = 4_000

/** Drift of clocks allowed for when the age of a proof is carried from one process to another. */
const CLOCK_DRIFT = 0.01

/** The store had generation `generation` as its newest at monotonic time `at` of this process. */
export interface Confirmation {
  readonly generation: number
  readonly at: number
}

/** The later of two proofs; one of a higher generation is always later. */
export function laterConfirmation (known: Confirmation | undefined, other: Confirmation): Confirmation {
  if (known === undefined || other.generation > known.generation) return other
  return other.generation === known.generation && other.at > known.at ? other : known
}

/** A peer's proof on this process's clock; the peer did not state its age before `notBefore`. */
export function relayedConfirmation (generation: number, ageMs: number, notBefore: number): Confirmation {
  return { generation, at: notBefore - ageMs * (1 + CLOCK_DRIFT) }
}

/** What the decision rests on. */
export interface FreshnessInputs {
  /** Generation in force; 0 before the first. */
  readonly generation: number
  readonly confirmation: Confirmation | undefined
  /** Most recent proof of a generation up to the one in force; one of a higher generation may be older, or of unknown age. */
  readonly heldConfirmation?: Confirmation | undefined
  /** Monotonic time at which the store last answered anyone this process knows of. */
  readonly storeAnsweredAt: number
  readonly others: readonly ConfigMember[]
  readonly now: number
}

/**
 * True while a proof is fresh. When the store answers nobody, true while every other entry that is not proved
 * gone was heard lately: a withdrawal accepted by any of them would have reached this process. A store that
 * answers but gives no proof may hold a newer generation. While a newer generation is known and not yet fetched, the
 * last proof of the one in force, or of one before it, counts: all that was withdrawn until then is known here.
 */
export function keysAreCurrent ({ generation, confirmation, heldConfirmation, storeAnsweredAt, others, now }: FreshnessInputs): boolean {
  if (confirmation === undefined) return false
  if ([confirmation, heldConfirmation].some((one) => one !== undefined && one.generation <= generation && now - one.at < FRESH_MS)) return true
  if (confirmation.generation > generation) return false
  if (now - storeAnsweredAt < FRESH_MS) return false
  return others.every((member) => member.gone || now - member.lastContact < FRESH_MS)
}
