/** Writes an entry's counters to the store. */
import { Ok, type Result } from '../errors/index.js'
import type { Metrics } from '../metrics/index.js'
import type { ObjectStore, StoredObject, StoreError } from '../external/index.js'
import type { UsageRow } from '../schema/index.js'
import { changeObject } from './conditional-write.js'
import { decode, encode, entryKey, EntryUsage } from './usage-records.js'
import { shardOf, UsageTable } from './usage-rows.js'

/** Cumulative usage of an incarnation: its counters, or a replica of them. */
export interface UsageSource {
  /** Sequence number of the last change. */
  readonly seq: number
  rows (): readonly UsageRow[]
}

/** Flushes the usage of one incarnation, one object per shard. */
export class UsageFlush {
  private readonly shards: ShardFlush[]

  constructor (store: ObjectStore, metrics: Metrics, incarnation: string, private readonly source: UsageSource, shards: number) {
    this.shards = Array.from({ length: shards }, (_, shard) => new ShardFlush(store, metrics, incarnation, shard))
  }

  /** Writes the shards that changed; `through` is the last window that has ended. */
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
  /** Usage that earlier records of this incarnation cover, which is not written again. */
  private billedRows = new UsageTable()
  /** The record as last written; `undefined` before the first write. */
  private storedObject: StoredObject | undefined
  private flushedText: string | undefined
  private recordNumber = 1

  constructor (private readonly store: ObjectStore, private readonly metrics: Metrics, private readonly incarnation: string, readonly shard: number) {}

  async flush (snapshot: Snapshot): Promise<Result<void, StoreError>> {
    const text = JSON.stringify([snapshot.through, snapshot.state, snapshot.rows])
    if (text === this.flushedText) return Ok(undefined)
    const recordNumber = this.recordNumber
    const written = await changeObject(this.store, entryKey(this.shard, this.recordId), this.storedObject, (current) => this.nextValue(current, snapshot))
    if (written.err) return written
    if (this.recordNumber !== recordNumber) return await this.flush(snapshot)
    this.storedObject = written.val ?? this.storedObject
    this.flushedText = text
    return Ok(undefined)
  }

  private get recordId (): string {
    return this.recordNumber === 1 ? this.incarnation : `${this.incarnation}~${this.recordNumber}`
  }

  /** The value to write; `undefined` when the record already holds it, or when a new record was started. */
  private nextValue (current: StoredObject | undefined, snapshot: Snapshot): string | undefined {
    if (current === undefined && this.storedObject !== undefined) {
      // The record was billed and deleted while this process was isolated. What it held beyond the last flush is
      // unknown, so usage since that flush is given up rather than billed twice; the new record starts from here.
      this.metrics.count('godwitpoint_usage_records_lost_total')
      this.startNewRecord(snapshot.rows)
      return undefined
    }
    const currentUsage = current === undefined ? undefined : decode(EntryUsage, current.value)
    if (currentUsage?.state === 'sealed') {
      this.metrics.count('godwitpoint_usage_records_sealed_total')
      this.startNewRecord(new UsageTable(this.billedRows.rows()).add(currentUsage.rows).rows())
      return undefined
    }
    const ownRows = new UsageTable(snapshot.rows).minus(this.billedRows)
    const value = encode(EntryUsage, {
      incarnation: this.recordId,
      through: Math.max(snapshot.through, currentUsage?.through ?? -1),
      seq: Math.max(snapshot.seq, currentUsage?.seq ?? 0),
      state: snapshot.state,
      rows: new UsageTable(ownRows).mergeMax(currentUsage?.rows ?? []).rows()
    })
    return value === current?.value ? undefined : value
  }

  private startNewRecord (base: readonly UsageRow[]): void {
    this.billedRows = new UsageTable(base)
    this.storedObject = undefined
    this.recordNumber++
  }
}
