/** The list of targets with the position of each change, so that only changes are passed on. */
import * as z from 'zod'
import type * as serving from '../serving/index.js'

/** Removals that are remembered; a gateway that has missed more gets the complete list. */
const MAX_REMOVALS = 1_000

/** A target as gateways pass it on. */
export const TargetRecord = z.object({
  id: z.string(),
  service: z.string(),
  address: z.string(),
  domain: z.string(),
  slots: z.number(),
  leaving: z.boolean(),
  stage: z.enum(['prefill', 'decode']).optional(),
  preemptible: z.boolean(),
  startedAt: z.number()
})

interface ListedTarget {
  readonly record: serving.TargetRecord
  readonly text: string
  readonly position: number
}

/** Changes since a position. */
export interface TargetChanges {
  readonly records: readonly serving.TargetRecord[]
  readonly removed: readonly string[]
}

/** Targets by id. */
export class TargetList {
  private readonly targets = new Map<string, ListedTarget>()
  /** Position of each removal, oldest first. */
  private readonly removals = new Map<string, number>()
  private changes = 0
  /** Position of the newest removal that is forgotten. */
  private forgottenAt = 0

  /** Number of changes so far. */
  get position (): number {
    return this.changes
  }

  get size (): number {
    return this.targets.size
  }

  /** All targets. */
  records (): serving.TargetRecord[] {
    return [...this.targets.values()].map((target) => target.record)
  }

  /** Replaces the complete list. */
  replace (records: readonly serving.TargetRecord[]): void {
    const ids = new Set(records.map((record) => record.id))
    this.update(records, [...this.targets.keys()].filter((id) => !ids.has(id)))
  }

  /** Adds or changes targets, and removes others. */
  update (records: readonly serving.TargetRecord[], removed: readonly string[]): void {
    for (const record of records) this.set(record)
    for (const id of removed) this.remove(id)
  }

  /** Whether all changes after `position` are remembered. */
  knowsChangesSince (position: number): boolean {
    return position >= this.forgottenAt
  }

  /** What changed after `position`. */
  changesSince (position: number): TargetChanges {
    return {
      records: [...this.targets.values()].filter((target) => target.position > position).map((target) => target.record),
      removed: [...this.removals].filter(([, at]) => at > position).map(([id]) => id)
    }
  }

  private set (record: serving.TargetRecord): void {
    const text = JSON.stringify(record)
    if (this.targets.get(record.id)?.text === text) return
    this.targets.set(record.id, { record, text, position: ++this.changes })
    this.removals.delete(record.id)
  }

  private remove (id: string): void {
    if (!this.targets.delete(id)) return
    this.removals.set(id, ++this.changes)
    if (this.removals.size <= MAX_REMOVALS) return
    const [oldest, position] = this.removals.entries().next().value!
    this.removals.delete(oldest)
    this.forgottenAt = position
  }
}
