/** Holds replicas of other entries' counters, and writes those of lost and of terminated entries to the store. */
import type { Metrics } from '../metrics/index.js'
import type { ObjectStore } from '../external/index.js'
import type { UsageRow } from '../schema/index.js'
import type { Clock } from '../time/index.js'
import { ReplicateReq, type ReplicateRes } from './replica-sender.js'
import { UsageFlush, type UsageSource } from './usage-flush.js'
import { decodeRow, UsageTable } from './usage-rows.js'

/** Bound of the replicas held; usually there are a few, since each entry replicates to two peers. */
const MAX_REPLICAS = 256

/** An entry that sent an update within this time is not treated as lost or terminated, in ms. */
const RECENT_CONTACT_MS = 3_000

/**
 * Time for which a replica is held without an update, in ms; later its incarnation may be completely billed and its
 * tombstone dropped.
 */
const REPLICA_LIFE_MS = 6 * 3_600_000

/** What the holder of a replica needs to know of the entry that it belongs to. */
export interface ReplicaOwners {
  /** Whether an incarnation is in contact, as far as this entry knows. */
  isAlive (incarnation: string): boolean
  /** Whether an incarnation is known to be terminated. */
  isTerminated (incarnation: string): boolean
}

/** Replicas by incarnation. */
export class ReplicaStore {
  private readonly replicas = new Map<string, Replica>()

  constructor (private readonly clock: Clock, private readonly store: ObjectStore, private readonly metrics: Metrics, private readonly shards: number) {}

  /** Incarnations whose replica is held. */
  get incarnations (): string[] {
    return [...this.replicas.keys()]
  }

  /** Handles `usage.replicate`; throws when too many replicas are held or the request is malformed. */
  receive (params: unknown): ReplicateRes {
    const req = ReplicateReq.parse(params)
    const replica = this.replicas.get(req.incarnation) ?? new Replica()
    if (!this.replicas.has(req.incarnation)) {
      if (this.replicas.size >= MAX_REPLICAS) throw new Error(`more than ${MAX_REPLICAS} replicas`)
      this.replicas.set(req.incarnation, replica)
    }
    replica.merge(req, this.clock.now())
    return { seq: replica.seq }
  }

  /**
   * Writes the replicas of incarnations that are terminated or out of contact, once after each update, and drops those
   * of terminated ones and expired replicas. The record of an entry that is paused or cut off may be closed before it
   * returns, and it cannot bill afterwards what it had counted since its own last flush.
   */
  async flushLost (owners: ReplicaOwners): Promise<void> {
    for (const [incarnation, replica] of [...this.replicas]) {
      const idleMs = this.clock.now() - replica.receivedAt
      if (idleMs > REPLICA_LIFE_MS) {
        this.metrics.count('godwitpoint_usage_replicas_expired_total')
        this.replicas.delete(incarnation)
      } else if (idleMs >= RECENT_CONTACT_MS) {
        if (owners.isTerminated(incarnation)) await this.flush(incarnation, replica, 'ended')
        else if (!owners.isAlive(incarnation) && replica.flushedSeq < replica.seq) await this.flush(incarnation, replica, 'open')
      }
    }
  }

  private async flush (incarnation: string, replica: Replica, state: 'open' | 'ended'): Promise<void> {
    const { receivedAt, seq } = replica
    const written = await new UsageFlush(this.store, this.metrics, incarnation, replica, this.shards).flush(replica.through, state)
    if (written.err) this.metrics.countRetry('store_unavailable')
    else if (state === 'open') replica.flushedSeq = seq
    else if (replica.receivedAt === receivedAt) this.replicas.delete(incarnation)
  }
}

class Replica implements UsageSource {
  seq = 0
  through = -1
  receivedAt = 0
  /** Sequence number up to which the replica was written to the store while its entry was out of contact. */
  flushedSeq = 0
  private readonly table = new UsageTable()

  merge (req: ReplicateReq, now: number): void {
    this.receivedAt = now
    this.table.mergeMax(req.rows.map(decodeRow))
    // If this process holds less than `since`, changes are missing here; the sender continues from the returned `seq`.
    if (req.since > this.seq) return
    this.seq = Math.max(this.seq, req.seq)
    this.through = Math.max(this.through, req.through)
  }

  rows (): readonly UsageRow[] {
    return this.table.rows()
  }
}
