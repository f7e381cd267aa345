/**
 * Makes an entry's usage counters durable: replicates them to peers and flushes them to the store. Also flushes the
 * replicas of entries that are terminated or out of contact.
 */
import { hash32 } from '../hash/index.js'
import type { Logger } from '../log/index.js'
import type { Metrics } from '../metrics/index.js'
import type { Peers } from '../peer/index.js'
import type { ObjectStore } from '../external/index.js'
import { withTimeout, type Env } from '../time/index.js'
import {
  REPLICATE_METHOD, REPLICATION_INTERVAL_MS, ReplicaSender, ReplicaStore, UsageFlush, windowAt,
  type ReplicaOwner, type ReplicaOwners, type ReplicaPeer, type StoreHealth, type UsageCounters
} from '../usage/index.js'

/** Interval between checks for due flushes, in ms. */
const CHECK_INTERVAL_MS = 1_000

/** Time over which the flushes at the end of a window are spread, in ms, so that not all entries write at once. */
const WINDOW_END_SPREAD_MS = 4_000

/** Time allowed for the last flush of a stopping entry, in ms. */
const LAST_FLUSH_TIMEOUT_MS = 5_000

/** Other entries, as membership knows them. */
export interface UsagePeers {
  /** Other entries that are alive. */
  alive (): readonly ReplicaPeer[]
  /** Whether an incarnation is known to be terminated. */
  isTerminated (incarnation: string): boolean
}

/** Dependencies of a {@link UsageChild}. */
export interface UsageChildDeps {
  readonly env: Env
  readonly log: Logger
  readonly metrics: Metrics
  readonly store: ObjectStore
  readonly peers: Peers
  readonly members: UsagePeers
  readonly owner: ReplicaOwner
  readonly counters: UsageCounters
  readonly health: StoreHealth
  /** Length of a usage window, in ms. */
  readonly windowMs: number
  /** Interval between flushes to the store, in ms. */
  readonly flushMs: number
  /** Number of usage shards. */
  readonly shards: number
}

/** Runs the timers and the peer method of usage. */
export class UsageChild implements AsyncDisposable {
  private readonly sender: ReplicaSender
  private readonly replicas: ReplicaStore
  private readonly flusher: UsageFlush
  private readonly timers: Disposable[] = []
  private flushing: Promise<void> | undefined
  private nextFlushAt = 0
  private flushedThroughWindow = -1

  constructor (private readonly deps: UsageChildDeps) {
    const { env, store, metrics, peers, owner, counters, shards } = deps
    this.sender = new ReplicaSender(env.clock, peers, metrics, owner, counters)
    this.replicas = new ReplicaStore(env.clock, store, metrics, shards)
    this.flusher = new UsageFlush(store, metrics, owner.incarnation, counters, shards)
  }

  start (): void {
    const { timers } = this.deps.env
    this.deps.peers.handle(REPLICATE_METHOD, async (params) => this.replicas.receive(params))
    this.timers.push(
      timers.every(REPLICATION_INTERVAL_MS, () => { this.logFailure('replicate', this.replicate()) }),
      timers.every(CHECK_INTERVAL_MS, () => {
        this.logFailure('flush', this.flushIfDue())
        this.logFailure('replica', this.replicas.flushLost(this.replicaOwners()))
      })
    )
  }

  /** Stops the timers and flushes the counters; this flush tells the usage scope's lease holder that no more will come. */
  async [Symbol.asyncDispose] (): Promise<void> {
    for (const timer of this.timers.splice(0)) timer[Symbol.dispose]()
    const lastFlush = async (): Promise<void> => {
      await this.flushing
      await this.flush(this.lastCompleteWindow(), 'ended')
    }
    await withTimeout(this.deps.env.timers, LAST_FLUSH_TIMEOUT_MS, lastFlush(), () => undefined)
  }

  private replicaOwners (): ReplicaOwners {
    const { members } = this.deps
    const alive = new Set(members.alive().map((peer) => peer.incarnation))
    return { isAlive: (id) => alive.has(id), isTerminated: (id) => members.isTerminated(id) }
  }

  private async replicate (): Promise<void> {
    await this.sender.replicate(this.deps.members.alive(), this.lastCompleteWindow())
  }

  private async flushIfDue (): Promise<void> {
    const now = this.deps.env.clock.wallTimeMs()
    const lastWindow = this.lastCompleteWindow()
    const windowEndFlushAt = (this.flushedThroughWindow + 2) * this.deps.windowMs + hash32(this.deps.owner.incarnation) % WINDOW_END_SPREAD_MS
    const isDue = now >= this.nextFlushAt || (lastWindow > this.flushedThroughWindow && now >= windowEndFlushAt)
    if (!isDue || this.flushing !== undefined) return
    this.nextFlushAt = now + this.deps.flushMs
    this.flushing = this.flush(lastWindow, 'open').finally(() => { this.flushing = undefined })
    await this.flushing
  }

  private async flush (throughWindow: number, state: 'open' | 'ended'): Promise<void> {
    const flushed = await this.flusher.flush(throughWindow, state)
    if (flushed.ok) {
      this.flushedThroughWindow = throughWindow
      return
    }
    this.deps.health.noteFailure(this.deps.env.clock.wallTimeMs())
    this.deps.metrics.countRetry('store_unavailable')
    this.deps.log.warn({ step: 'store', detail: flushed.val.message }, 'usage_flush_failed')
  }

  private lastCompleteWindow (): number {
    return windowAt(this.deps.env.clock.wallTimeMs(), this.deps.windowMs) - 1
  }

  private logFailure (step: string, work: Promise<void>): void {
    work.catch((err: unknown) => { this.deps.log.error({ step, err }, 'usage_step_failed') })
  }
}
