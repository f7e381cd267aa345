/** Keeps a process's configuration current: two entries of each region watch the store, all others poll a watcher. */
import { Err, StepError, type Result } from '../errors/index.js'
import { hash32, rendezvous } from '../hash/index.js'
import type { Logger } from '../log/index.js'
import type { Metrics } from '../metrics/index.js'
import type { PeerClient, PeerServer } from '../peer/index.js'
import type { ObjectStore } from '../external/index.js'
import { delay, type Env } from '../time/index.js'
import { deleteUnreferencedChunks } from './chunk-collection.js'
import type { ConfigIndex } from './config-index.js'
import { relayedConfirmation, MAX_CONFIRMATION_AGE_MS, keysAreFresh, laterConfirmation, type Confirmation } from './freshness.js'
import { HeldConfig } from './held-config.js'
import type { ConfigMember, ConfigMembers } from './members.js'
import { CONFIG_METHODS, ConfigStatus, DeltaReq, PullReq } from './peer-messages.js'
import { handlePull, PeerSource, type FetchedConfig } from './peer-source.js'
import { StoreSource, type StoreUpdate } from './store-source.js'
import { KeyWithdrawal, type WithdrawalResult } from './key-withdrawal.js'

/** Entries of a region that watch the store. */
export const WATCHERS_PER_REGION = 2

/** Longest wait of one watch call, in ms; a watcher's confirmation is at most twice as old. */
const MAX_WATCH_MS = 700

/** Longest interval between polls of a watcher, in ms, and the share of it that is random. */
const MAX_POLL_INTERVAL_MS = 1_000
const POLL_JITTER_RATIO = 0.2

/** Age of the confirmation from which a process that is not a watcher polls the store itself, in ms. */
const STORE_POLL_AGE_MS = 2_500

/**
 * Delay before a process that is not a watcher polls the store again, in ms; it doubles with each failure up to the
 * maximum.
 */
const MIN_STORE_POLL_DELAY_MS = 1_000
const MAX_STORE_POLL_DELAY_MS = 16_000

/** Interval between deletions of unreferenced chunks, in ms. */
const COLLECTION_INTERVAL_MS = 3_600_000

/** Delay after a failed check, in ms. */
const RETRY_DELAY_MS = 500

/** Dependencies of the propagator. */
export interface ConfigPropagatorDeps {
  readonly env: Env
  readonly store: ObjectStore
  readonly peers: PeerClient
  readonly members: ConfigMembers
  readonly metrics: Metrics
  readonly log: Logger
}

/** Brings new configurations and key withdrawals into force in one process. */
export class ConfigPropagator implements AsyncDisposable {
  private readonly heldConfig = new HeldConfig()
  private readonly peerSource: PeerSource
  private readonly storeSource: StoreSource
  private readonly keyWithdrawal: KeyWithdrawal
  private readonly listeners = new Set<(cfg: ConfigIndex) => void>()
  private confirmation: Confirmation | undefined
  /** Most recent confirmation of a generation up to the one in force. */
  private heldConfirmation: Confirmation | undefined
  /** Monotonic time at which the store last responded to any process, by the peers' reports. */
  private storeRespondedAt = -Infinity
  private confirmed = false
  private watching = false
  private stopping = false
  private storePollDelayMs = MIN_STORE_POLL_DELAY_MS
  private nextStorePollAt = 0
  private fetching: Promise<unknown> | undefined
  private nextCollectionAt: number

  constructor (private readonly deps: ConfigPropagatorDeps) {
    this.nextCollectionAt = deps.env.clock.now() + COLLECTION_INTERVAL_MS
    this.peerSource = new PeerSource(deps.peers)
    this.storeSource = new StoreSource(deps.env, deps.store, deps.members.name)
    this.keyWithdrawal = new KeyWithdrawal(deps, this.peerSource)
  }

  /** Registers the handlers of the peer methods. */
  serve (server: PeerServer): void {
    server.handle(CONFIG_METHODS.poll, async () => this.status())
    server.handle(CONFIG_METHODS.delta, async (params) => ({ delta: this.heldConfig.deltaFrom(DeltaReq.parse(params).from) }))
    server.handle(CONFIG_METHODS.pull, async (params) => handlePull(this.heldConfig, PullReq.parse(params)))
    server.handle(CONFIG_METHODS.withdraw, async (params) => this.keyWithdrawal.handleWithdraw(params))
    server.handle(CONFIG_METHODS.pending, async () => ({ ids: this.keyWithdrawal.pending.ids() }))
  }

  /** Starts the task, which runs until disposed. */
  start (): void {
    this.run().catch((err: unknown) => { this.deps.log.error({ step: 'apply', err }, 'config_task_failed') })
  }

  /** Whether the configuration was confirmed since the start, so that requests may be served. */
  get ready (): boolean {
    return this.confirmed
  }

  /** Whether this process watches the store for its region. */
  get isWatcher (): boolean {
    return this.watching
  }

  /** Whether the store confirmed recently that the configuration in force is the newest. */
  get hasFreshConfirmation (): boolean {
    const { confirmation, heldConfig } = this
    return confirmation !== undefined && confirmation.generation <= heldConfig.generation && this.deps.env.clock.now() - confirmation.at < MAX_CONFIRMATION_AGE_MS
  }

  /** The configuration in force; `undefined` before the first confirmation. */
  current (): ConfigIndex | undefined {
    return this.confirmed ? this.heldConfig.index : undefined
  }

  /** False when a key might be withdrawn without this process knowing it. */
  keysAreFresh (): boolean {
    if (!this.confirmed || this.hasFreshConfirmation) return this.confirmed
    const { env, members } = this.deps
    const { heldConfig: { generation }, confirmation, heldConfirmation } = this
    return keysAreFresh({ generation, confirmation, heldConfirmation, storeRespondedAt: this.lastStoreResponseAt(), others: members.others(), now: env.clock.now() })
  }

  /** Whether a key's withdrawal is pending: it is known here, but not yet part of the configuration in force. */
  isWithdrawn (keyId: string): boolean {
    return this.keyWithdrawal.pending.has(keyId)
  }

  /** Withdraws a key here, at all peers and in the store. */
  async withdrawKey (id: string): Promise<WithdrawalResult> {
    return await this.keyWithdrawal.withdraw(id)
  }

  /** Calls `listener` with the configuration in force, if any, and with each later one, until disposed. */
  onChange (listener: (cfg: ConfigIndex) => void): Disposable {
    this.listeners.add(listener)
    const cfg = this.current()
    if (cfg !== undefined) listener(cfg)
    return { [Symbol.dispose]: () => { this.listeners.delete(listener) } }
  }

  /** The status that this process reports to its peers. */
  status (): ConfigStatus {
    const now = this.deps.env.clock.now()
    const base = { g: this.heldConfig.generation, w: this.keyWithdrawal.pending.fingerprint }
    const respondedAt = this.lastStoreResponseAt()
    const storeAge = Number.isFinite(respondedAt) ? { s: now - respondedAt } : {}
    return { ...base, ...storeAge, ...(this.confirmation === undefined ? {} : { p: this.confirmation.generation, a: now - this.confirmation.at }) }
  }

  /**
   * Applies the status of a peer, which reported it at or after the monotonic time `notBefore`; fetches a newer
   * configuration.
   */
  async applyStatus (peer: Pick<ConfigMember, 'address'>, value: unknown, notBefore: number): Promise<void> {
    const status = ConfigStatus.safeParse(value)
    if (!status.success) return
    const { g, p, a, s, w } = status.data
    if (s !== undefined) this.storeRespondedAt = Math.max(this.storeRespondedAt, notBefore - s)
    if (p !== undefined && a !== undefined) this.noteConfirmation(relayedConfirmation(p, a, notBefore))
    await this.keyWithdrawal.fetchPendingFrom(peer.address, w)
    if (g > this.heldConfig.generation) await this.fetch(peer.address)
  }

  /** Checks once for a newer configuration; resolves with the time until the next check, in ms. */
  async refresh (): Promise<number> {
    const watchers = this.selectWatchers()
    this.watching = watchers.includes(this.deps.members.name)
    if (this.watching) return await this.pollStore(MAX_WATCH_MS) ? 0 : RETRY_DELAY_MS
    const polled = await this.pollWatcher(watchers)
    const now = this.deps.env.clock.now()
    const confirmedAt = this.confirmation !== undefined && this.confirmation.generation <= this.heldConfig.generation ? this.confirmation.at : -Infinity
    if (now - confirmedAt > STORE_POLL_AGE_MS && now >= this.nextStorePollAt) {
      const responded = await this.pollStore(0)
      this.storePollDelayMs = responded ? MIN_STORE_POLL_DELAY_MS : Math.min(MAX_STORE_POLL_DELAY_MS, this.storePollDelayMs * 2)
      this.nextStorePollAt = this.deps.env.clock.now() + this.storePollDelayMs * (1 + this.deps.env.random.next())
    }
    // Intervals are randomised, so that a watcher does not receive the polls of its region all at once.
    return (polled ? MAX_POLL_INTERVAL_MS : RETRY_DELAY_MS) * (1 - POLL_JITTER_RATIO * this.deps.env.random.next())
  }

  async [Symbol.asyncDispose] (): Promise<void> {
    this.stopping = true
    await this.keyWithdrawal[Symbol.asyncDispose]()
  }

  /** Runs the periodic checks until disposed; rejects on an unexpected error, after which it may be called again. */
  async run (): Promise<void> {
    while (!this.stopping) {
      const wait = await this.refresh()
      this.keyWithdrawal.storePending()
      this.deleteChunksIfDue()
      if (wait > 0) await delay(this.deps.env.timers, wait)
    }
  }

  /** Deletes unreferenced chunks when due, if this process is the one entry that rendezvous hashing selects. */
  private deleteChunksIfDue (): void {
    const { env, members, store, log } = this.deps
    if (env.clock.now() < this.nextCollectionAt) return
    this.nextCollectionAt = env.clock.now() + COLLECTION_INTERVAL_MS
    const names = [members.name, ...members.others().filter((member) => member.alive).map((member) => member.name)]
    if (rendezvous('config/collect', names, 1)[0] !== members.name) return
    deleteUnreferencedChunks(store).then(
      (outcome) => { if (outcome.ok) log.info({ chunks: outcome.val }, 'config_chunks_deleted') },
      (err: unknown) => { log.warn({ step: 'store', err }, 'config_collection_failed') }
    )
  }

  /** Selects the region's watchers among the entries that this process estimates to be alive. */
  private selectWatchers (): string[] {
    const { members } = this.deps
    const alive = members.others().filter((member) => member.alive && member.region === members.region).map((member) => member.name)
    return rendezvous(`config/${members.region}`, [...alive, members.name], WATCHERS_PER_REGION)
  }

  /** Polls one watcher, and the next one if that fails. */
  private async pollWatcher (watchers: readonly string[]): Promise<boolean> {
    const others = this.deps.members.others()
    const firstIndex = hash32(this.deps.members.name) % WATCHERS_PER_REGION
    for (let index = 0; index < watchers.length; index++) {
      const name = watchers[(firstIndex + index) % watchers.length]
      const watcher = others.find((member) => member.name === name && member.alive)
      if (watcher === undefined) continue
      const polledAt = this.deps.env.clock.now()
      this.deps.metrics.count('godwitpoint_peer_polls_total')
      const status = await this.peerSource.poll(watcher.address)
      if (status.ok) {
        await this.applyStatus(watcher, status.val, polledAt)
        return true
      }
      this.deps.metrics.countRetry('peer_unreachable')
    }
    return false
  }

  /**
   * Reads the store. Until a configuration is confirmed, a conditional update is used, since a plain read may come
   * from an old copy.
   */
  private async pollStore (waitMs: number): Promise<boolean> {
    const update = this.confirmed ? await this.storeSource.watch(this.heldConfig, waitMs) : await this.storeSource.confirm(this.heldConfig)
    if (update.ok) {
      this.applyUpdate(update.val)
      return true
    }
    this.deps.metrics.countRetry('store_unavailable')
    return false
  }

  /** Monotonic time at which the store last responded to this process or, by their reports, to any peer. */
  private lastStoreResponseAt (): number {
    return Math.max(this.storeRespondedAt, this.storeSource.respondedAt)
  }

  private applyUpdate (update: StoreUpdate): void {
    if (update.fetched !== undefined) this.apply(update.fetched, 'store')
    if (update.confirmation !== undefined) this.noteConfirmation(update.confirmation)
  }

  private async fetch (address: string): Promise<void> {
    if (this.fetching !== undefined) return
    const pull = this.peerSource.fetch(address, this.heldConfig)
    this.fetching = pull
    try {
      const fetched: Result<FetchedConfig, StepError> = await pull.catch((err: unknown) => Err(new StepError('apply', address, String(err))))
      if (fetched.ok) this.apply(fetched.val, address)
      else this.deps.log.warn({ step: 'apply', peer: address, err: fetched.val }, 'config_pull_failed')
    } finally {
      this.fetching = undefined
    }
  }

  private apply (fetched: FetchedConfig, source: string): void {
    try {
      if (!this.heldConfig.apply(fetched.head, fetched.texts)) return
    } catch (err) {
      this.deps.metrics.count('godwitpoint_config_rejected_total')
      this.deps.log.error({ step: 'apply', peer: source, err }, 'config_rejected')
      return
    }
    this.deps.metrics.count('godwitpoint_config_applied_total')
    this.deps.log.info({ generation: this.heldConfig.generation, peer: source }, 'config_applied')
    this.removeAppliedWithdrawals()
    if (this.confirmed) this.notifyListeners()
    else this.confirmInitial()
  }

  private noteConfirmation (confirmation: Confirmation): void {
    for (const entry of [this.confirmation, confirmation]) {
      if (entry !== undefined && entry.generation <= this.heldConfig.generation && entry.at > (this.heldConfirmation?.at ?? -Infinity)) this.heldConfirmation = entry
    }
    this.confirmation = laterConfirmation(this.confirmation, confirmation)
    this.removeAppliedWithdrawals()
    if (!this.confirmed) this.confirmInitial()
  }

  /** Puts the first configuration in use once it is confirmed to be current. */
  private confirmInitial (): void {
    this.confirmed = this.heldConfig.index !== undefined && this.hasFreshConfirmation
    if (this.confirmed) this.notifyListeners()
  }

  private removeAppliedWithdrawals (): void {
    const confirmedAt = this.confirmation !== undefined && this.confirmation.generation === this.heldConfig.generation ? this.confirmation.at : -Infinity
    if (this.heldConfig.index !== undefined) this.keyWithdrawal.pending.removeApplied(this.heldConfig.index, confirmedAt)
  }

  private notifyListeners (): void {
    const cfg = this.current()
    if (cfg !== undefined) for (const listener of this.listeners) listener(cfg)
  }
}
