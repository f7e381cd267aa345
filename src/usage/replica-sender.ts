/** Sends an entry's counters to two peers, so that little is lost when the entry is killed. */
import * as z from 'zod'
import { rendezvous } from '../hash/index.js'
import type { Metrics } from '../metrics/index.js'
import type { PeerClient } from '../peer/index.js'
import type { Clock } from '../time/index.js'
import type { UsageCounters } from './usage-counters.js'
import { encodeRow } from './usage-rows.js'

/** Peer method that takes changed rows. */
export const REPLICATE_METHOD = 'usage.replicate'

/** Interval between replications, in ms. With up to 200 ms in transit a killed entry loses at most its last second. */
export const REPLICATE_MS = 800

/** Peers that hold a replica. */
const REPLICAS = 2

/** Time a peer has to answer, in ms; half the interval, so that another peer is asked within it. */
const ANSWER_MS = 400

/** Time for which a peer that failed is passed over, in ms. */
const SKIP_MS = 3_000

/** Rows of one message; at 50 bytes a row a message stays below 100 KB. */
const MESSAGE_ROWS = 2_000

/** Messages to one peer in one round. */
const ROUND_MESSAGES = 16

/** A peer that may hold a replica. */
export interface ReplicaPeer {
  readonly incarnation: string
  /** Peer address, `ip:port`. */
  readonly address: string
  readonly domain: string
}

/** Changed rows of an incarnation. The receiver holds all changes up to `seq` when it held those up to `since`. */
export const ReplicateReq = z.object({
  incarnation: z.string(), since: z.int().min(0), seq: z.int().min(0), through: z.int(), rows: z.array(z.string()).max(MESSAGE_ROWS)
})
export type ReplicateReq = z.infer<typeof ReplicateReq>

/** Sequence number up to which the receiver now holds all changes. */
export const ReplicateRes = z.object({ seq: z.int().min(0) })
export type ReplicateRes = z.infer<typeof ReplicateRes>

/** Who replicates. */
export interface ReplicaOwner {
  readonly incarnation: string
  readonly domain: string
}

/** Sends what changed since each peer's last acknowledgement. */
export class ReplicaSender {
  private readonly acked = new Map<string, number>()
  private readonly skipUntil = new Map<string, number>()

  constructor (
    private readonly clock: Clock, private readonly peers: PeerClient, private readonly metrics: Metrics,
    private readonly owner: ReplicaOwner, private readonly counters: UsageCounters
  ) {}

  /** One round; resolves with the number of peers that hold everything counted before it. */
  async replicate (alive: readonly ReplicaPeer[], through: number): Promise<number> {
    const ranked = this.rank(alive)
    this.forget(alive)
    let held = 0
    while (held < REPLICAS && ranked.length > 0) {
      const batch = ranked.splice(0, REPLICAS - held)
      const sent = await Promise.all(batch.map(async (peer) => await this.sendTo(peer, through)))
      held += sent.filter(Boolean).length
    }
    if (held < Math.min(REPLICAS, alive.length)) this.metrics.count('godwitpoint_usage_replicas_short_total')
    return held
  }

  private rank (alive: readonly ReplicaPeer[]): ReplicaPeer[] {
    const now = this.clock.now()
    const order = rendezvous(this.owner.incarnation, alive.map((peer) => peer.incarnation), alive.length)
    const ranked = order.map((id) => alive.find((peer) => peer.incarnation === id)!)
      .filter((peer) => now >= (this.skipUntil.get(peer.incarnation) ?? -Infinity))
    const far = ranked.filter((peer) => peer.domain !== this.owner.domain)
    return [...far, ...ranked.filter((peer) => peer.domain === this.owner.domain)]
  }

  private forget (alive: readonly ReplicaPeer[]): void {
    const known = new Set(alive.map((peer) => peer.incarnation))
    for (const state of [this.acked, this.skipUntil]) {
      for (const id of state.keys()) if (!known.has(id)) state.delete(id)
    }
  }

  private async sendTo (peer: ReplicaPeer, through: number): Promise<boolean> {
    const goal = this.counters.seq
    for (let message = 0; message < ROUND_MESSAGES; message++) {
      const since = this.acked.get(peer.incarnation) ?? 0
      const req = this.message(since, goal, through)
      const answer = await this.peers.call<unknown>(peer.address, REPLICATE_METHOD, req, ANSWER_MS)
      const res = answer.ok ? ReplicateRes.safeParse(answer.val) : undefined
      if (res?.success !== true) {
        this.metrics.countRetry('peer_unreachable')
        this.skipUntil.set(peer.incarnation, this.clock.now() + SKIP_MS)
        return false
      }
      this.acked.set(peer.incarnation, res.data.seq)
      if (res.data.seq >= goal) return true
    }
    return false
  }

  private message (since: number, goal: number, through: number): ReplicateReq {
    const changed = this.counters.changedSince(since)
    const part = changed.slice(0, MESSAGE_ROWS)
    const whole = part.length === changed.length
    // A part that is not the last does not hold all usage of the window, so it must not mark the window complete.
    return {
      incarnation: this.owner.incarnation,
      since,
      seq: whole ? Math.max(goal, this.counters.seq) : part.at(-1)!.seq,
      through: whole ? through : -1,
      rows: part.map((counted) => encodeRow(counted.row))
    }
  }
}
