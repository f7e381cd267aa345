/** Holds replicas of other entries' counters and writes those of dead entries to the store. */
import type { Metrics } from '../metrics/index.js'
import type { ObjectStore } from '../external/index.js'
import type { UsageRow } from '../schema/index.js'
import type { Clock } from '../time/index.js'
import { ReplicateReq, type ReplicateRes } from './replica-sender.js'
import { UsageFlush, type UsageSource } from './usage-flush.js'
import { decodeRow, UsageTable } from './usage-rows.js'

/** Most replicas held; each entry sends to two peers, so a few are usual. */
const MAX_REPLICAS = 256

/** An entry that sent within this time is not taken for dead, in ms. */
const HEARD_MS = 3_000

/** A replica is kept this long without news, in ms; after that its incarnation may be wholly billed and forgotten. */
const KEEP_MS = 6 * 3_600_000

/** Replicas by incarnation. */
export class ReplicaStore {
  private readonly replicas = new Map<string, Replica>()

  constructor (private readonly clock: Clock, private readonly store: ObjectStore, private readonly metrics: Metrics, private readonly shards: number) {}

  /** Incarnations of which a replica is held. */
  get held (): string[] {
    return [...this.replicas.keys()]
  }

  /** Handles `usage.replicate`. */
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

  /** Writes the replicas of dead incarnations; those written are dropped. */
  async flushDead (isDead: (incarnation: string) => boolean): Promise<void> {
    for (const [incarnation, replica] of [...this.replicas]) {
      const silentMs = this.clock.now() - replica.heardAt
      if (silentMs > KEEP_MS) {
        this.metrics.count('godwitpoint_usage_replicas_expired_total')
        this.replicas.delete(incarnation)
      } else if (silentMs >= HEARD_MS && isDead(incarnation)) {
        await this.flush(incarnation, replica)
      }
    }
  }

  private async flush (incarnation: string, replica: Replica): Promise<void> {
    const heardAt = replica.heardAt
    const written = await new UsageFlush(this.store, this.metrics, incarnation, replica, this.shards).flush(replica.through, 'ended')
    if (written.err) this.metrics.countRetry('store_unavailable')
    else if (replica.heardAt === heardAt) this.replicas.delete(incarnation)
  }
}

class Replica implements UsageSource {
  seq = 0
  through = -1
  heardAt = 0
  private readonly table = new UsageTable()

  merge (req: ReplicateReq, now: number): void {
    this.heardAt = now
    this.table.mergeMax(req.rows.map(decodeRow))
    // Changes up to `since` are missing here when this process held less; the sender starts again from `seq`.
    if (req.since > this.seq) return
    this.seq = Math.max(this.seq, req.seq)
    this.through = Math.max(this.through, req.through)
  }

  rows (): readonly UsageRow[] {
    return this.table.rows()
  }
}
