/** Outlier ejection: failing targets get no requests for a while, but only a limited fraction of them at once. */
import type { AttemptOutcome } from './types.js'

/** Consecutive failures after which a target is ejected. */
const EJECT_AFTER_FAILURES = 3

/** Duration of the first ejection, doubled with each further one up to the maximum, in ms. */
const FIRST_EJECTION_MS = 1_000
const MAX_EJECTION_MS = 30_000

/** Ejection of a target that reports a request as not executed, in ms: such a target is being changed or drained. */
const NOT_EXECUTED_EJECTION_MS = 500

/** Maximum fraction of a service's targets that may be ejected at once. */
const MAX_EJECTED_FRACTION = 0.5

/** Failures and ejection state of one target. */
export class TargetHealth {
  private failures = 0
  private ejections = 0
  private ejectedAt = -Infinity
  private ejectedUntil = -Infinity
  private trialAttempt: string | undefined

  /** Whether requests may be sent: the target is not ejected and no trial request is in flight. */
  isUsable (now: number): boolean {
    return now >= this.ejectedUntil && this.trialAttempt === undefined
  }

  /** Whether the target counts as ejected; it does until its trial request has ended. */
  isEjected (now: number): boolean {
    return now < this.ejectedUntil || this.trialAttempt !== undefined
  }

  /** Notes that an attempt was sent; the first one after an ejection is a trial. */
  noteSent (attempt: string, now: number): void {
    if (this.ejections > 0 && now >= this.ejectedUntil && this.trialAttempt === undefined) this.trialAttempt = attempt
  }

  /**
   * Applies the outcome of an attempt; `mayEject` tells whether another target may be ejected. Attempts sent before the
   * ejection are ignored, because one crash breaks many streams at once.
   */
  noteFinished (attempt: string, outcome: AttemptOutcome, sentAt: number, now: number, mayEject: () => boolean): void {
    const wasTrial = this.trialAttempt === attempt
    if (wasTrial) this.trialAttempt = undefined
    if (sentAt < this.ejectedAt || outcome === 'cancelled') return
    if (outcome === 'ok') {
      this.failures = 0
      this.ejections = 0
      return
    }
    this.failures += outcome === 'not_run' ? 0 : 1
    const shouldEject = wasTrial || outcome === 'silent' || outcome === 'not_run' || this.failures >= EJECT_AFTER_FAILURES
    if (!shouldEject || !mayEject()) return
    const ejectionMs = outcome === 'not_run' ? NOT_EXECUTED_EJECTION_MS : Math.min(MAX_EJECTION_MS, FIRST_EJECTION_MS * 2 ** this.ejections)
    this.ejectedAt = now
    this.ejectedUntil = now + ejectionMs
    this.failures = 0
    if (outcome !== 'not_run') this.ejections++
  }
}

/** Whether one more of `total` targets may be ejected when `ejected` of them are already. */
export function mayEjectOneMore (ejected: number, total: number): boolean {
  return ejected + 1 <= total * MAX_EJECTED_FRACTION
}
