/** Keeps an entry's usage safe: replicates it to peers, flushes it, and writes the replicas of dead entries. */
import { hash32 } from '../hash/index.js'
import type { Logger } from '../log/index.js'
import type { Metrics } from '../metrics/index.js'
import type { Peers } from '../peer/index.js'
import type { ObjectStore } from '../external/index.js'
import { withTimeout, type Env } from '../time/index.js'
import {
  REPLICATE_METHOD, REPLICATION_INTERVAL_MS, ReplicaSender, ReplicaStore, UsageFlush, windowAt,
  type ReplicaOwner, type ReplicaPeer, type StoreHealth, type UsageCounters
} from '../usage/index.js'

/** Interval of the checks for what is due, in ms. */
const CHECK_MS = 1_000

/** Flushes at the end of a window are spread over this time, in ms, so that the entries do not all write at once. */
const BOUNDARY_SPREAD_MS = 4_000

/** Time allowed for the last flush of a stopping entry, in ms. */
const LAST_FLUSH_MS = 5_000

/** What membership knows of other entries. */
export interface UsagePeers {
  /** Other entries that are alive. */
  alive (): readonly ReplicaPeer[]
  /** Whether an incarnation is known to have ended. */
  isDead (incarnation: string): boolean
}

/** What the child works with. */
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
  readonly windowMs: number
  readonly flushMs: number
  readonly shards: number
}

/** Timers and the peer method of usage. */
export class UsageChild implements AsyncDisposable {
  private readonly sender: ReplicaSender
  private readonly replicas: ReplicaStore
  private readonly flusher: UsageFlush
  private readonly timers: Disposable[] = []
  private flushing: Promise<void> | undefined
  private nextFlushAt = 0
  private flushedThrough = -1

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
      timers.every(REPLICATION_INTERVAL_MS, () => { this.run('replicate', this.replicate()) }),
      timers.every(CHECK_MS, () => {
        this.run('flush', this.flushIfDue())
        this.run('replica', this.replicas.flushDead((id) => this.deps.members.isDead(id)))
      })
    )
  }

  /** Ends counting: the last flush tells the holder of the usage scope that no more will come. */
  async [Symbol.asyncDispose] (): Promise<void> {
    for (const timer of this.timers.splice(0)) timer[Symbol.dispose]()
    const last = async (): Promise<void> => {
      await this.flushing
      await this.flush(this.through(), 'ended')
    }
    await withTimeout(this.deps.env.timers, LAST_FLUSH_MS, last(), () => undefined)
  }

  private async replicate (): Promise<void> {
    await this.sender.replicate(this.deps.members.alive(), this.through())
  }

  private async flushIfDue (): Promise<void> {
    const now = this.deps.env.clock.wallTimeMs()
    const through = this.through()
    const boundary = (this.flushedThrough + 2) * this.deps.windowMs + hash32(this.deps.owner.incarnation) % BOUNDARY_SPREAD_MS
    const due = now >= this.nextFlushAt || (through > this.flushedThrough && now >= boundary)
    if (!due || this.flushing !== undefined) return
    this.nextFlushAt = now + this.deps.flushMs
    this.flushing = this.flush(through, 'open').finally(() => { this.flushing = undefined })
    await this.flushing
  }

  private async flush (through: number, state: 'open' | 'ended'): Promise<void> {
    const written = await this.flusher.flush(through, state)
    if (written.ok) {
      this.flushedThrough = through
      return
    }
    this.deps.health.noteFailure(this.deps.env.clock.wallTimeMs())
    this.deps.metrics.countRetry('store_unavailable')
    this.deps.log.warn({ step: 'store', detail: written.val.message }, 'usage_flush_failed')
  }

  private through (): number {
    return windowAt(this.deps.env.clock.wallTimeMs(), this.deps.windowMs) - 1
  }

  private run (step: string, work: Promise<void>): void {
    work.catch((err: unknown) => { this.deps.log.error({ step, err }, 'usage_step_failed') })
  }
}
