/** Holds replicas of other entries' counters, and writes those of terminated entries to the store. */
import type { Metrics } from '../metrics/index.js'
import type { ObjectStore } from '../external/index.js'
import type { UsageRow } from '../schema/index.js'
import type { Clock } from '../time/index.js'
import { ReplicateReq, type ReplicateRes } from './replica-sender.js'
import { UsageFlush, type UsageSource } from './usage-flush.js'
import { decodeRow, UsageTable } from './usage-rows.js'

/** Bound of the replicas held; usually there are a few, since each entry replicates to two peers. */
const MAX_REPLICAS = 256

/** An entry that sent an update within this time is not treated as terminated, in ms. */
const RECENT_CONTACT_MS = 3_000

/**
 * Time for which a replica is held without an update, in ms; later its incarnation may be completely billed and its
 * tombstone dropped.
 */
const REPLICA_LIFE_MS = 6 * 3_600_000

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

  /** Writes the replicas of terminated incarnations to the store and drops those written; drops expired replicas. */
  async flushTerminated (isTerminated: (incarnation: string) => boolean): Promise<void> {
    for (const [incarnation, replica] of [...this.replicas]) {
      const idleMs = this.clock.now() - replica.receivedAt
      if (idleMs > REPLICA_LIFE_MS) {
        this.metrics.count('godwitpoint_usage_replicas_expired_total')
        this.replicas.delete(incarnation)
      } else if (idleMs >= RECENT_CONTACT_MS && isTerminated(incarnation)) {
        await this.flush(incarnation, replica)
      }
    }
  }

  private async flush (incarnation: string, replica: Replica): Promise<void> {
    const receivedAt = replica.receivedAt
    const written = await new UsageFlush(this.store, this.metrics, incarnation, replica, this.shards).flush(replica.through, 'ended')
    if (written.err) this.metrics.countRetry('store_unavailable')
    else if (replica.receivedAt === receivedAt) this.replicas.delete(incarnation)
  }
}

class Replica implements UsageSource {
  seq = 0
  through = -1
  receivedAt = 0
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
