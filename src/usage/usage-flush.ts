/** Writes an entry's counters to the store. */
import { Ok, type Result } from '../errors/index.js'
import type { Metrics } from '../metrics/index.js'
import type { ObjectStore, StoredObject, StoreError } from '../external/index.js'
import type { UsageRow } from '../schema/index.js'
import { changeObject } from './conditional-write.js'
import { decode, encode, entryKey, EntryUsage } from './usage-records.js'
import { shardOf, UsageTable } from './usage-rows.js'

/** Cumulative figures of an incarnation: its own counters, or a replica of them. */
export interface UsageSource {
  /** Grows with each change. */
  readonly seq: number
  rows (): readonly UsageRow[]
}

/** Flushes one incarnation's figures, one object a shard. */
export class UsageFlush {
  private readonly shards: ShardFlush[]

  constructor (store: ObjectStore, metrics: Metrics, incarnation: string, private readonly source: UsageSource, shards: number) {
    this.shards = Array.from({ length: shards }, (_, shard) => new ShardFlush(store, metrics, incarnation, shard))
  }

  /** Writes the shards that changed; `through` is the last window that is over. */
  async flush (through: number, state: 'open' | 'ended' = 'open'): Promise<Result<void, StoreError>> {
    const seq = this.source.seq
    const rows: UsageRow[][] = this.shards.map(() => [])
    for (const row of this.source.rows()) rows[shardOf(row.account, rows.length)]?.push(row)
    for (const [index, shard] of this.shards.entries()) {
      const written = await shard.flush({ seq, through, state, rows: rows[index] ?? [] })
      if (written.err) return written
    }
    return Ok(undefined)
  }
}

type Snapshot = Omit<EntryUsage, 'incarnation'>

class ShardFlush {
  private base = new UsageTable()
  private object: StoredObject | undefined
  private flushed: string | undefined
  private generation = 1

  constructor (private readonly store: ObjectStore, private readonly metrics: Metrics, private readonly incarnation: string, readonly shard: number) {}

  async flush (snapshot: Snapshot): Promise<Result<void, StoreError>> {
    const text = JSON.stringify([snapshot.through, snapshot.state, snapshot.rows])
    if (text === this.flushed) return Ok(undefined)
    const generation = this.generation
    const written = await changeObject(this.store, entryKey(this.shard, this.id), this.object, (current) => this.next(current, snapshot))
    if (written.err) return written
    if (this.generation !== generation) return await this.flush(snapshot)
    this.object = written.val ?? this.object
    this.flushed = text
    return Ok(undefined)
  }

  private get id (): string {
    return this.generation === 1 ? this.incarnation : `${this.incarnation}~${this.generation}`
  }

  /** The text to write, or `undefined` when it is there already or counting was moved to a new record. */
  private next (current: StoredObject | undefined, snapshot: Snapshot): string | undefined {
    if (current === undefined && this.object !== undefined) {
      // The record was billed and deleted while this process was out of touch. What it held beyond the last
      // flush is not known; counting goes on from here, since a bill must not count anything twice.
      this.metrics.count('godwitpoint_usage_records_lost_total')
      this.rebase(snapshot.rows)
      return undefined
    }
    const present = current === undefined ? undefined : decode(EntryUsage, current.value)
    if (present?.state === 'sealed') {
      this.metrics.count('godwitpoint_usage_records_sealed_total')
      this.rebase(new UsageTable(this.base.rows()).add(present.rows).rows())
      return undefined
    }
    const own = new UsageTable(snapshot.rows).minus(this.base)
    const value = encode(EntryUsage, {
      incarnation: this.id,
      through: Math.max(snapshot.through, present?.through ?? -1),
      seq: Math.max(snapshot.seq, present?.seq ?? 0),
      state: snapshot.state,
      rows: new UsageTable(own).mergeMax(present?.rows ?? []).rows()
    })
    return value === current?.value ? undefined : value
  }

  private rebase (base: readonly UsageRow[]): void {
    this.base = new UsageTable(base)
    this.object = undefined
    this.generation++
  }
}
