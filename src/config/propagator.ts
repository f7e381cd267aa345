/** Keeps a process's configuration current: two watchers in each region, all others ask a watcher. */
import { Err, StepError, type Result } from '../errors/index.js'
import { hash32, rendezvous } from '../hash/index.js'
import type { Logger } from '../log/index.js'
import type { Metrics } from '../metrics/index.js'
import type { PeerClient, PeerServer } from '../peer/index.js'
import type { ObjectStore } from '../external/index.js'
import { delay, type Env } from '../time/index.js'
import { collectChunks } from './collect.js'
import type { ConfigIndex } from './config-index.js'
import { relayedConfirmation, FRESH_MS, keysAreCurrent, laterConfirmation, type Confirmation } from './freshness.js'
import { HeldConfig } from './held-config.js'
import type { ConfigMember, ConfigMembers } from './members.js'
import { CONFIG_METHODS, ConfigStatus, DeltaReq, PullReq } from './peer-messages.js'
import { answerPull, PeerSource, type FetchedConfig } from './peer-source.js'
import { StoreSource, type StoreUpdate } from './store-source.js'
import { KeyWithdrawal, type WithdrawalResult } from './key-withdrawal.js'

/** Entries of a region that watch the store. */
export const WATCHERS = 2

/** Longest wait of a watch, in ms; a watcher's proof is at most twice as old. */
const WATCH_MS = 700

/** Longest interval between polls of a watcher, in ms, and the part of it that is random. */
const POLL_MS = 1_000
const POLL_JITTER = 0.2

/** Age of the proof from which a process that is no watcher asks the store itself, in ms. */
const ASK_STORE_MS = 2_500

/** Delay before a process asks the store again, in ms; it doubles up to the last one. */
const STORE_FIRST_MS = 1_000
const STORE_LAST_MS = 16_000

/** Interval between deletions of unreferenced chunks, in ms. */
const COLLECT_MS = 3_600_000

/** Pause after a failed round, in ms. */
const RETRY_MS = 500

/** What the task uses. */
export interface ConfigPropagatorDeps {
  readonly env: Env
  readonly store: ObjectStore
  readonly peers: PeerClient
  readonly members: ConfigMembers
  readonly metrics: Metrics
  readonly log: Logger
}

/** The configuration of one process. */
export class ConfigPropagator implements AsyncDisposable {
  private readonly held = new HeldConfig()
  private readonly fromPeer: PeerSource
  private readonly fromStore: StoreSource
  private readonly withdrawal: KeyWithdrawal
  private readonly listeners = new Set<(cfg: ConfigIndex) => void>()
  private confirmation: Confirmation | undefined
  private heldConfirmation: Confirmation | undefined
  private storeAnsweredAt = -Infinity
  private confirmed = false
  private watching = false
  private stopping = false
  private storeDelay = STORE_FIRST_MS
  private storeDue = 0
  private fetching: Promise<unknown> | undefined
  private collectDue: number

  constructor (private readonly deps: ConfigPropagatorDeps) {
    this.collectDue = deps.env.clock.now() + COLLECT_MS
    this.fromPeer = new PeerSource(deps.peers)
    this.fromStore = new StoreSource(deps.env, deps.store, deps.members.name)
    this.withdrawal = new KeyWithdrawal(deps, this.fromPeer)
  }

  /** Answers peers. */
  serve (server: PeerServer): void {
    server.handle(CONFIG_METHODS.poll, async () => this.news())
    server.handle(CONFIG_METHODS.delta, async (params) => ({ delta: this.held.deltaFrom(DeltaReq.parse(params).from) }))
    server.handle(CONFIG_METHODS.pull, async (params) => answerPull(this.held, PullReq.parse(params)))
    server.handle(CONFIG_METHODS.withdraw, async (params) => this.withdrawal.answerWithdraw(params))
    server.handle(CONFIG_METHODS.pending, async () => ({ ids: this.withdrawal.pending.ids() }))
  }

  /** Runs until disposed. */
  start (): void {
    this.run().catch((err: unknown) => { this.deps.log.error({ step: 'apply', err }, 'config_task_failed') })
  }

  /** Whether the configuration was proved current since the start, so that requests may be served. */
  get ready (): boolean {
    return this.confirmed
  }

  /** Whether this process watches the store for its region. */
  get isWatcher (): boolean {
    return this.watching
  }

  /** Whether the store proved lately that the configuration in force is the newest. */
  get hasFreshProof (): boolean {
    const { confirmation: proof, held } = this
    return proof !== undefined && proof.generation <= held.generation && this.deps.env.clock.now() - proof.at < FRESH_MS
  }

  /** The configuration in force; `undefined` before it was confirmed once. */
  current (): ConfigIndex | undefined {
    return this.confirmed ? this.held.index : undefined
  }

  /** False when a withdrawn key might not be known here. */
  keysAreCurrent (): boolean {
    if (!this.confirmed || this.hasFreshProof) return this.confirmed
    const { env, members } = this.deps
    const { held: { generation }, confirmation, heldConfirmation } = this
    return keysAreCurrent({ generation, confirmation, heldConfirmation, storeAnsweredAt: this.lastStoreAnswer(), others: members.others(), now: env.clock.now() })
  }

  /** Whether a key was withdrawn that the configuration in force still shows. */
  isWithdrawn (keyId: string): boolean {
    return this.withdrawal.pending.has(keyId)
  }

  /** Stops a key from working here and on all peers, and in the store. */
  async withdrawKey (id: string): Promise<WithdrawalResult> {
    return await this.withdrawal.withdraw(id)
  }

  /** Calls `listener` with the configuration in force and each later one, until disposed. */
  onChange (listener: (cfg: ConfigIndex) => void): Disposable {
    this.listeners.add(listener)
    const cfg = this.current()
    if (cfg !== undefined) listener(cfg)
    return { [Symbol.dispose]: () => { this.listeners.delete(listener) } }
  }

  /** What this process states about its configuration. */
  news (): ConfigStatus {
    const now = this.deps.env.clock.now()
    const news = { g: this.held.generation, w: this.withdrawal.pending.fingerprint }
    const answeredAt = this.lastStoreAnswer()
    const answered = Number.isFinite(answeredAt) ? { s: now - answeredAt } : {}
    return { ...news, ...answered, ...(this.confirmation === undefined ? {} : { p: this.confirmation.generation, a: now - this.confirmation.at }) }
  }

  /** Takes what a peer states; it did not say so before `notBefore`. */
  async hear (peer: Pick<ConfigMember, 'address'>, value: unknown, notBefore: number): Promise<void> {
    const news = ConfigStatus.safeParse(value)
    if (!news.success) return
    const { g, p, a, s, w } = news.data
    if (s !== undefined) this.storeAnsweredAt = Math.max(this.storeAnsweredAt, notBefore - s)
    if (p !== undefined && a !== undefined) this.noteConfirmation(relayedConfirmation(p, a, notBefore))
    await this.withdrawal.compare(peer.address, w)
    if (g > this.held.generation) await this.fetch(peer.address)
  }

  /** Makes one round; resolves with the time until the next one, in ms. */
  async step (): Promise<number> {
    const first = this.watchers()
    this.watching = first.includes(this.deps.members.name)
    if (this.watching) return await this.askStore(WATCH_MS) ? 0 : RETRY_MS
    const heard = await this.askWatcher(first)
    const now = this.deps.env.clock.now()
    const provedAt = this.confirmation !== undefined && this.confirmation.generation <= this.held.generation ? this.confirmation.at : -Infinity
    if (now - provedAt > ASK_STORE_MS && now >= this.storeDue) {
      const answered = await this.askStore(0)
      this.storeDelay = answered ? STORE_FIRST_MS : Math.min(STORE_LAST_MS, this.storeDelay * 2)
      this.storeDue = this.deps.env.clock.now() + this.storeDelay * (1 + this.deps.env.random.next())
    }
    // Polls are spread, so that a watcher does not get those of its whole region at once.
    return (heard ? POLL_MS : RETRY_MS) * (1 - POLL_JITTER * this.deps.env.random.next())
  }

  async [Symbol.asyncDispose] (): Promise<void> {
    this.stopping = true
    await this.withdrawal[Symbol.asyncDispose]()
  }

  /** Runs until disposed; rejects on a fault, after which it may be run again. */
  async run (): Promise<void> {
    while (!this.stopping) {
      const wait = await this.step()
      this.withdrawal.tick()
      this.collect()
      if (wait > 0) await delay(this.deps.env.timers, wait)
    }
  }

  /** One entry of the fleet deletes unreferenced chunks now and then. */
  private collect (): void {
    const { env, members, store, log } = this.deps
    if (env.clock.now() < this.collectDue) return
    this.collectDue = env.clock.now() + COLLECT_MS
    const names = [members.name, ...members.others().filter((member) => member.alive).map((member) => member.name)]
    if (rendezvous('config/collect', names, 1)[0] !== members.name) return
    collectChunks(store).then(
      (outcome) => { if (outcome.ok) log.info({ chunks: outcome.val }, 'config_chunks_deleted') },
      (err: unknown) => { log.warn({ step: 'store', err }, 'config_collection_failed') }
    )
  }

  /** Names of the region's watchers, as far as this process knows who is alive. */
  private watchers (): string[] {
    const { members } = this.deps
    const alive = members.others().filter((member) => member.alive && member.region === members.region).map((member) => member.name)
    return rendezvous(`config/${members.region}`, [...alive, members.name], WATCHERS)
  }

  /** Asks one watcher, then the other. */
  private async askWatcher (names: readonly string[]): Promise<boolean> {
    const others = this.deps.members.others()
    const start = hash32(this.deps.members.name) % WATCHERS
    for (let index = 0; index < names.length; index++) {
      const name = names[(start + index) % names.length]
      const watcher = others.find((member) => member.name === name && member.alive)
      if (watcher === undefined) continue
      const askedAt = this.deps.env.clock.now()
      this.deps.metrics.count('godwitpoint_peer_polls_total')
      const news = await this.fromPeer.poll(watcher.address)
      if (news.ok) {
        await this.hear(watcher, news.val, askedAt)
        return true
      }
      this.deps.metrics.countRetry('peer_unreachable')
    }
    return false
  }

  /** The first answer is confirmed by a conditional update, since a plain read may come from an old copy. */
  private async askStore (waitMs: number): Promise<boolean> {
    const news = this.confirmed ? await this.fromStore.watch(this.held, waitMs) : await this.fromStore.confirm(this.held)
    if (news.ok) {
      this.take(news.val)
      return true
    }
    this.deps.metrics.countRetry('store_unavailable')
    return false
  }

  /** Time at which the store last answered this process or one that it heard of. */
  private lastStoreAnswer (): number {
    return Math.max(this.storeAnsweredAt, this.fromStore.answeredAt)
  }

  private take (news: StoreUpdate): void {
    if (news.fetched !== undefined) this.apply(news.fetched, 'store')
    if (news.confirmation !== undefined) this.noteConfirmation(news.confirmation)
  }

  private async fetch (address: string): Promise<void> {
    if (this.fetching !== undefined) return
    const run = this.fromPeer.fetch(address, this.held)
    this.fetching = run
    try {
      const fetched: Result<FetchedConfig, StepError> = await run.catch((err: unknown) => Err(new StepError('apply', address, String(err))))
      if (fetched.ok) this.apply(fetched.val, address)
      else this.deps.log.warn({ step: 'apply', peer: address, err: fetched.val }, 'config_pull_failed')
    } finally {
      this.fetching = undefined
    }
  }

  private apply (fetched: FetchedConfig, source: string): void {
    try {
      if (!this.held.apply(fetched.head, fetched.texts)) return
    } catch (err) {
      this.deps.metrics.count('godwitpoint_config_rejected_total')
      this.deps.log.error({ step: 'apply', peer: source, err }, 'config_rejected')
      return
    }
    this.deps.metrics.count('godwitpoint_config_applied_total')
    this.deps.log.info({ generation: this.held.generation, peer: source }, 'config_applied')
    this.settle()
    if (this.confirmed) this.announce()
    else this.confirmFirst()
  }

  private noteConfirmation (confirmation: Confirmation): void {
    for (const entry of [this.confirmation, confirmation]) {
      if (entry !== undefined && entry.generation <= this.held.generation && entry.at > (this.heldConfirmation?.at ?? -Infinity)) this.heldConfirmation = entry
    }
    this.confirmation = laterConfirmation(this.confirmation, confirmation)
    this.settle()
    if (!this.confirmed) this.confirmFirst()
  }

  /** The first configuration is used only once it is proved not to be an old one. */
  private confirmFirst (): void {
    this.confirmed = this.held.index !== undefined && this.hasFreshProof
    if (this.confirmed) this.announce()
  }

  private settle (): void {
    const proved = this.confirmation !== undefined && this.confirmation.generation === this.held.generation ? this.confirmation.at : -Infinity
    if (this.held.index !== undefined) this.withdrawal.pending.settle(this.held.index, proved)
  }

  private announce (): void {
    const cfg = this.current()
    if (cfg !== undefined) for (const listener of this.listeners) listener(cfg)
  }
}
