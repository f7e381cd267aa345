/** Polls engines for changes of the prompt segments in their KV caches. */
import * as bytes from '../bytes/index.js'
import type * as calls from '../call/index.js'
import * as hash from '../hash/index.js'
import type * as log from '../log/index.js'
import type * as time from '../time/index.js'
import type * as upstream from '../upstream/index.js'
import type * as fleet from './fleet.js'
import type * as targetState from './target-state.js'

/** Time for which an engine holds a poll open until there are changes, in ms. */
const LONG_POLL_MS = 1_000

/** Time allowed for the response beyond that, in ms. */
const RESPONSE_GRACE_MS = 600

/** Time from a response to the next poll of the engine, in ms; lets changes accumulate. */
const POLL_PAUSE_MS = 250

/** Time from a failed poll to the next one, in ms. */
const RETRY_PAUSE_MS = 1_000

/** Hold time and allowance of an engine's first poll, in ms; its response is all that the engine has recorded. */
const INITIAL_LONG_POLL_MS = 250
const INITIAL_RESPONSE_GRACE_MS = 3_000

/** First polls in flight at once: after a restart, their responses must not fill the link that calls need. */
const MAX_INITIAL_POLLS = 3

/** Time between two checks for engines that this gateway has to follow and does not follow yet, in ms. */
const FOLLOW_INTERVAL_MS = 500

/**
 * Number of gateways up to which each polls every engine; engines reject more than a few such polls. Of more gateways one
 * polls an engine, and tells the others.
 */
const ALL_FOLLOW_LIMIT = 4

/** Smallest segment that other gateways are told of, in tokens: smaller ones are prefilled faster than they are fetched. */
const MIN_TOLD_TOKENS = 256

/** Largest response, in bytes: some thousand changes. Its decoded value may take 30 times as much memory. */
const MAX_RESPONSE_BYTES = 512 * 1024

/** Dependencies of a {@link CacheFeed}. */
export interface CacheFeedDeps {
  readonly env: time.Env
  readonly fleet: fleet.Fleet
  readonly upstream: upstream.Upstream
  readonly protocol: calls.CacheProtocol
  /** Name of this gateway. */
  readonly selfName: string
  /** Names of the running gateways, this one included. */
  readonly gateways: () => readonly string[]
  readonly log: log.Logger
}

/**
 * Follows engines: polls each for changes of its cache, one poll at a time. Rendezvous hashing assigns gateways to each
 * engine.
 */
export class CacheFeed implements Disposable {
  private timer: Disposable | undefined
  /** First polls in flight. */
  private initialPolls = 0

  constructor (private readonly deps: CacheFeedDeps) {}

  /** Starts to follow the engines that are assigned to this gateway. */
  start (): void {
    this.timer = this.deps.env.timers.every(FOLLOW_INTERVAL_MS, () => this.followTargets())
  }

  [Symbol.dispose] (): void {
    this.timer?.[Symbol.dispose]()
    this.timer = undefined
  }

  private followTargets (): void {
    for (const state of this.deps.fleet.all()) {
      if (this.initialPolls >= MAX_INITIAL_POLLS) return
      if (state.record.stage !== undefined && !state.followed && !state.isBarred(this.deps.env.clock.now()) && this.followersOf(state).includes(this.deps.selfName)) this.startFollowing(state)
    }
  }

  private startFollowing (state: targetState.TargetState): void {
    state.followed = true
    this.initialPolls++
    this.fetchChanges(state, 0, INITIAL_LONG_POLL_MS, INITIAL_RESPONSE_GRACE_MS).then((batch) => {
      this.initialPolls--
      this.applyAndSchedule(state, batch, { epoch: undefined, since: 0 })
      if (this.timer !== undefined) this.followTargets()
    }, (err: unknown) => this.deps.log.error({ err, target: state.record.id }, 'cache_feed_failed'))
  }

  private pollTarget (state: targetState.TargetState, position: Position): void {
    if (this.timer === undefined || state.removed || !this.followersOf(state).includes(this.deps.selfName)) {
      state.followed = false
      return
    }
    const refusedMs = state.refusesForMs(this.deps.env.clock.now())
    if (refusedMs > 0) {
      this.deps.env.timers.after(refusedMs, () => this.pollTarget(state, position))
      return
    }
    this.fetchChanges(state, position.since, LONG_POLL_MS, RESPONSE_GRACE_MS).then(
      (batch) => this.applyAndSchedule(state, batch, position),
      (err: unknown) => this.deps.log.error({ err, target: state.record.id }, 'cache_feed_failed')
    )
  }

  private applyAndSchedule (state: targetState.TargetState, batch: calls.CacheChanges | undefined, position: Position): void {
    const next = batch === undefined ? position : this.apply(state, batch, position)
    this.deps.env.timers.after(batch === undefined ? RETRY_PAUSE_MS : POLL_PAUSE_MS, () => this.pollTarget(state, next))
  }

  // A poll that fails in an unexpected way counts as one without a response, so that the engine is polled again.
  private async fetchChanges (state: targetState.TargetState, since: number, waitMs: number, graceMs: number): Promise<calls.CacheChanges | undefined> {
    const { protocol, log } = this.deps
    try {
      const body = await this.fetchBody(state, protocol.encodeCacheQuery(state.record, since, waitMs), waitMs + graceMs)
      return body === undefined ? undefined : protocol.decodeCacheChanges(body)
    } catch (err) {
      log.error({ err, target: state.record.id }, 'cache_feed_failed')
      return undefined
    }
  }

  private followersOf (state: targetState.TargetState): string[] {
    const gateways = this.deps.gateways()
    return gateways.length <= ALL_FOLLOW_LIMIT ? [...gateways] : hash.rendezvous(state.record.id, gateways, 1)
  }

  // A new epoch means that the engine restarted with an empty cache. After a gap in the changes, the estimate stands
  // until a report contradicts it: most of it is still cached.
  private apply (state: targetState.TargetState, batch: calls.CacheChanges, position: Position): Position {
    const restarted = position.epoch !== undefined && batch.epoch !== position.epoch
    if (restarted) state.cache.clear()
    const told = batch.changes.filter((change) => Math.max(change.tokens, state.cache.tokensOf(change.id)) >= MIN_TOLD_TOKENS)
    const now = this.deps.env.clock.now()
    for (const change of batch.changes) state.cache.applyReport(change.id, change.tokens, now)
    // The response to the first poll is not told to others: what the engine has recorded so far is not new to other gateways.
    if (position.epoch !== undefined && this.deps.gateways().length > ALL_FOLLOW_LIMIT) {
      if (restarted) this.deps.fleet.cacheUpdates.addRestart(state.record.id)
      this.deps.fleet.cacheUpdates.add(state.record.id, told)
    }
    return { epoch: batch.epoch, since: batch.next }
  }

  /** The body of a complete response with status 200, whose load report is applied; undefined for any other outcome. */
  private async fetchBody (state: targetState.TargetState, req: calls.CacheQuery, timeoutMs: number): Promise<Uint8Array | undefined> {
    return await new Promise((resolve) => {
      const collector = new bytes.ByteCollector(MAX_RESPONSE_BYTES)
      let ok = false
      const timer = this.deps.env.timers.after(timeoutMs, () => { request.abort(); resolve(undefined) })
      const settle = (body: Uint8Array | undefined): void => {
        timer[Symbol.dispose]()
        resolve(body)
      }
      const request = this.deps.upstream.send({ address: state.record.address, ...req, body: new Uint8Array(0), nonIdempotent: false }, {
        onHead: (status, headers) => {
          ok = status === 200
          const load = ok ? this.deps.protocol.decodeLoad(headers) : undefined
          if (load !== undefined) state.applyReportedLoad(load, this.deps.env.clock.now())
        },
        onData: (chunk) => {
          if (collector.add(chunk)) return
          request.abort()
          settle(undefined)
        },
        onEnd: () => settle(ok ? collector.take() : undefined),
        onError: () => settle(undefined)
      })
    })
  }
}

/** Up to where the changes of an engine were applied; `epoch` is undefined before the first response. */
interface Position {
  readonly epoch: number | string | undefined
  readonly since: number
}
