/** Replicates an entry's counters to two peers, so that little is lost when the entry is killed. */
import * as z from 'zod'
import { rendezvous } from '../hash/index.js'
import type { Metrics } from '../metrics/index.js'
import type { PeerClient } from '../peer/index.js'
import type { Clock } from '../time/index.js'
import * as validation from '../validation/index.js'
import type { UsageCounters } from './usage-counters.js'
import { encodeRow } from './usage-rows.js'

/** Peer method that receives changed rows. */
export const REPLICATE_METHOD = 'usage.replicate'

/** Interval between replications, in ms; with up to 200 ms in transit, a killed entry loses at most its last second. */
export const REPLICATION_INTERVAL_MS = 800

/** Peers that hold a replica. */
const REPLICA_COUNT = 2

/** Timeout of a call to a peer, in ms; half the interval, so that another peer can be called within it. */
const REPLY_TIMEOUT_MS = 400

/** Time for which a peer is not used after a failed call, in ms. */
const PEER_SKIP_MS = 3_000

/** Bound of the rows of one message; at 50 bytes a row a message stays below 100 KB. */
const MAX_MESSAGE_ROWS = 2_000

/** Bound of the messages to one peer in one replication. */
const MAX_ROUND_MESSAGES = 16

/** A peer that may hold a replica. */
export interface ReplicaPeer {
  readonly incarnation: string
  /** Peer address, `ip:port`. */
  readonly address: string
  readonly domain: string
}

/** Changed rows of an incarnation. A receiver that held all changes up to `since` holds all up to `seq` afterwards. */
export const ReplicateReq = z.object({
  incarnation: z.string(), since: z.int().min(0), seq: z.int().min(0), through: z.int(), rows: validation.list(z.string(), { max: MAX_MESSAGE_ROWS })
})
export type ReplicateReq = z.infer<typeof ReplicateReq>

/** Sequence number up to which the receiver holds all changes. */
export const ReplicateRes = z.object({ seq: z.int().min(0) })
export type ReplicateRes = z.infer<typeof ReplicateRes>

/** The entry whose counters are replicated. */
export interface ReplicaOwner {
  readonly incarnation: string
  readonly domain: string
}

/** Sends each peer the rows that changed since its last acknowledgement. */
export class ReplicaSender {
  /** Sequence number acknowledged by each peer, by incarnation. */
  private readonly ackedSeq = new Map<string, number>()
  /** Monotonic time up to which a peer is not used, by incarnation. */
  private readonly skipUntil = new Map<string, number>()

  constructor (
    private readonly clock: Clock, private readonly peers: PeerClient, private readonly metrics: Metrics,
    private readonly owner: ReplicaOwner, private readonly counters: UsageCounters
  ) {}

  /**
   * Replicates once; resolves with the number of peers that hold everything counted before the call. `through` is the
   * last window that has ended.
   */
  async replicate (alive: readonly ReplicaPeer[], through: number): Promise<number> {
    const ranked = this.rankPeers(alive)
    this.dropRemovedPeers(alive)
    let replicated = 0
    while (replicated < REPLICA_COUNT && ranked.length > 0) {
      const batch = ranked.splice(0, REPLICA_COUNT - replicated)
      const sent = await Promise.all(batch.map(async (peer) => await this.sendTo(peer, through)))
      replicated += sent.filter(Boolean).length
    }
    if (replicated < Math.min(REPLICA_COUNT, alive.length)) this.metrics.count('godwitpoint_usage_replicas_short_total')
    return replicated
  }

  /** Peers in order of preference: by rendezvous hashing, those of other failure domains first, without skipped ones. */
  private rankPeers (alive: readonly ReplicaPeer[]): ReplicaPeer[] {
    const now = this.clock.now()
    const order = rendezvous(this.owner.incarnation, alive.map((peer) => peer.incarnation), alive.length)
    const ranked = order.map((id) => alive.find((peer) => peer.incarnation === id)!)
      .filter((peer) => now >= (this.skipUntil.get(peer.incarnation) ?? -Infinity))
    const otherDomains = ranked.filter((peer) => peer.domain !== this.owner.domain)
    return [...otherDomains, ...ranked.filter((peer) => peer.domain === this.owner.domain)]
  }

  private dropRemovedPeers (alive: readonly ReplicaPeer[]): void {
    const aliveIncarnations = new Set(alive.map((peer) => peer.incarnation))
    for (const state of [this.ackedSeq, this.skipUntil]) {
      for (const id of state.keys()) if (!aliveIncarnations.has(id)) state.delete(id)
    }
  }

  private async sendTo (peer: ReplicaPeer, through: number): Promise<boolean> {
    const lastSeq = this.counters.seq
    for (let message = 0; message < MAX_ROUND_MESSAGES; message++) {
      const since = this.ackedSeq.get(peer.incarnation) ?? 0
      const req = this.buildMessage(since, lastSeq, through)
      const reply = await this.peers.call<unknown>(peer.address, REPLICATE_METHOD, req, REPLY_TIMEOUT_MS)
      const res = reply.ok ? ReplicateRes.safeParse(reply.val) : undefined
      if (res?.success !== true) {
        this.metrics.countRetry('peer_unreachable')
        this.skipUntil.set(peer.incarnation, this.clock.now() + PEER_SKIP_MS)
        return false
      }
      this.ackedSeq.set(peer.incarnation, res.data.seq)
      if (res.data.seq >= lastSeq) return true
    }
    return false
  }

  private buildMessage (since: number, lastSeq: number, through: number): ReplicateReq {
    const changed = this.counters.changedSince(since)
    const batch = changed.slice(0, MAX_MESSAGE_ROWS)
    const complete = batch.length === changed.length
    // A batch that is not the last does not hold all usage of the window, so it must not mark the window as complete.
    return {
      incarnation: this.owner.incarnation,
      since,
      seq: complete ? Math.max(lastSeq, this.counters.seq) : batch.at(-1)!.seq,
      through: complete ? through : -1,
      rows: batch.map((entry) => encodeRow(entry.row))
    }
  }
}
