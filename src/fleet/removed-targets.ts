/** Targets that this gateway has removed, so that an older copy of the store does not bring them back. */
import type * as serving from '../serving/index.js'

/** Removed targets that are remembered; the oldest is forgotten first. */
const MAX_REMOVED = 1_000

/** Time for which a removed target is remembered, in ms; copies of the store are seconds old. */
const REMOVED_LIFE_MS = 600_000

/** What is known of a list beside its records. */
export interface ListStatus {
  /** Era of the store. */
  readonly era: number
  /**
   * Set after a time in which records may have expired, or were lost, though their targets still run: targets that are missing
   * are kept until then, in ms on the monotonic clock.
   */
  readonly keepUntil?: number | undefined
  /** Whether records of targets that had left before the last restore may still be listed. */
  readonly mayListRemoved?: boolean
}

interface RemovedTarget {
  readonly record: serving.TargetRecord
  readonly at: number
  /** Latest era of which a list was seen without the target. */
  era: number
  ignored: boolean
}

/** Removed targets by id. */
export class RemovedTargets {
  private readonly targets = new Map<string, RemovedTarget>()

  get size (): number {
    return this.targets.size
  }

  /** Notes that a target was removed as a list of `era` does not have it; `now` in ms on the monotonic clock. */
  note (record: serving.TargetRecord, era: number, now: number): void {
    this.targets.delete(record.id)
    this.targets.set(record.id, { record, at: now, era, ignored: false })
    for (const [id, { at }] of this.targets) {
      if (this.targets.size <= MAX_REMOVED && now - at < REMOVED_LIFE_MS) return
      this.targets.delete(id)
    }
  }

  /** Whether a listed target that is not in use may be used; one that was removed is forgotten then. */
  admit (record: serving.TargetRecord, status: ListStatus, now: number): boolean {
    const removed = this.targets.get(record.id)
    if (removed === undefined) return true
    if (now - removed.at < REMOVED_LIFE_MS && isSameOrEarlierStart(record, removed.record) && hasLeft(removed, status)) return false
    this.targets.delete(record.id)
    return true
  }

  /** Whether this is the first refusal of a removed target, which is to be logged. */
  noteIgnored (id: string): boolean {
    const removed = this.targets.get(id)
    if (removed === undefined || removed.ignored) return false
    removed.ignored = true
    return true
  }

  /** Notes which targets a list has: one that it lacks has registered again when a later list of its era has it. */
  noteList (ids: ReadonlySet<string>, { era, mayListRemoved = false }: ListStatus): void {
    if (!mayListRemoved) return
    for (const [id, removed] of this.targets) {
      if (!ids.has(id)) removed.era = era
    }
  }
}

// A target does not return from leaving without a restart; one whose record was removed may run and register again.
function hasLeft (removed: RemovedTarget, { era, mayListRemoved = false }: ListStatus): boolean {
  return removed.record.leaving || (mayListRemoved && removed.era < era)
}

function isSameOrEarlierStart (record: serving.TargetRecord, removed: serving.TargetRecord): boolean {
  return record.startedAt < removed.startedAt || (record.startedAt === removed.startedAt && record.address === removed.address && record.service === removed.service)
}
