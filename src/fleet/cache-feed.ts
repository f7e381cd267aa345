/** Follows what engines say about the parts of prompts that they keep. */
import type * as calls from '../call/index.js'
import * as hash from '../hash/index.js'
import type * as log from '../log/index.js'
import type * as time from '../time/index.js'
import type * as upstream from '../upstream/index.js'
import type * as fleet from './fleet.js'
import type * as targetState from './target-state.js'

/** Time for which an engine keeps a question waiting until there are changes, in ms. */
const WAIT_MS = 1_000

/** Time allowed beyond that, in ms. */
const ANSWER_MS = 600

/** Least time between two questions to an engine, so that changes are gathered, in ms. */
const GATHER_MS = 250

/** Time after which an engine that did not answer is asked again, in ms. */
const RETRY_MS = 1_000

/** The same for the first question to an engine, whose answer is all that the engine remembers. */
const FIRST_WAIT_MS = 250
const FIRST_ANSWER_MS = 3_000

/** First questions under way at once: after a restart their answers must not fill the link that calls need. */
const MAX_FIRST = 3

/** Time between two looks for engines that are not followed yet, in ms. */
const LOOK_MS = 500

/** Gateways that ask an engine: engines turn away more than a few such questions. The first of them tells the others. */
const FOLLOWERS = 4

/** Largest answer, in bytes. */
const MAX_BYTES = 4 * 1024 * 1024

/** What a feed needs from its surroundings. */
export interface CacheFeedDeps {
  readonly env: time.Env
  readonly fleet: fleet.Fleet
  readonly upstream: upstream.Upstream
  readonly protocol: calls.CacheProtocol
  /** Name of this gateway. */
  readonly selfName: string
  /** Names of the gateways that run, this one included. */
  readonly gateways: () => readonly string[]
  readonly log: log.Logger
}

/** Asks engines for changes, one question at a time; each engine is asked by a few gateways. */
export class CacheFeed implements Disposable {
  private timer: Disposable | undefined
  private first = 0

  constructor (private readonly deps: CacheFeedDeps) {}

  /** Starts to follow this gateway's share of the engines. */
  start (): void {
    this.timer = this.deps.env.timers.every(LOOK_MS, () => this.followTargets())
  }

  [Symbol.dispose] (): void {
    this.timer?.[Symbol.dispose]()
    this.timer = undefined
  }

  private followTargets (): void {
    for (const state of this.deps.fleet.all()) {
      if (this.first >= MAX_FIRST) return
      if (state.record.stage !== undefined && !state.followed && this.followers(state).includes(this.deps.selfName)) this.follow(state)
    }
  }

  private follow (state: targetState.TargetState): void {
    state.followed = true
    this.first++
    this.fetch(state, 0, FIRST_WAIT_MS, FIRST_ANSWER_MS).then((batch) => {
      this.first--
      this.proceed(state, batch, { epoch: undefined, since: 0 })
      if (this.timer !== undefined) this.followTargets()
    }, (err: unknown) => this.deps.log.error({ err, target: state.record.id }, 'cache_feed_failed'))
  }

  private pollTarget (state: targetState.TargetState, from: Position): void {
    if (this.timer === undefined || state.removed || !this.followers(state).includes(this.deps.selfName)) {
      state.followed = false
      return
    }
    this.fetch(state, from.since, WAIT_MS, ANSWER_MS).then(
      (batch) => this.proceed(state, batch, from),
      (err: unknown) => this.deps.log.error({ err, target: state.record.id }, 'cache_feed_failed')
    )
  }

  private proceed (state: targetState.TargetState, batch: calls.CacheChanges | undefined, from: Position): void {
    const next = batch === undefined ? from : this.apply(state, batch, from)
    this.deps.env.timers.after(batch === undefined ? RETRY_MS : GATHER_MS, () => this.pollTarget(state, next))
  }

  private async fetch (state: targetState.TargetState, since: number, waitMs: number, answerMs: number): Promise<calls.CacheChanges | undefined> {
    const { protocol } = this.deps
    const body = await this.read(state.record.address, protocol.encodeCacheQuery(state.record, since, waitMs), waitMs + answerMs)
    return body === undefined ? undefined : protocol.decodeCacheChanges(body)
  }

  private followers (state: targetState.TargetState): string[] {
    return hash.rendezvous(state.record.id, this.deps.gateways(), FOLLOWERS)
  }

  // A new epoch means that the engine has started again with nothing kept. After a gap, what is believed stands until
  // it is contradicted: most of it is still kept.
  private apply (state: targetState.TargetState, batch: calls.CacheChanges, from: Position): Position {
    const restarted = from.epoch !== undefined && batch.epoch !== from.epoch
    if (restarted) state.cache.clear()
    for (const change of batch.changes) state.cache.applyReport(change.id, change.tokens)
    // What an engine remembers at the first question is no news to the others.
    if (from.epoch !== undefined && this.tellsOthers(state)) {
      if (restarted) this.deps.fleet.cacheUpdates.addRestart(state.record.id)
      this.deps.fleet.cacheUpdates.add(state.record.id, batch.changes)
    }
    return { epoch: batch.epoch, since: batch.next }
  }

  private tellsOthers (state: targetState.TargetState): boolean {
    return this.deps.gateways().length > FOLLOWERS && this.followers(state)[0] === this.deps.selfName
  }

  /** The body of a whole answer with status 200. */
  private async read (address: string, req: calls.CacheQuery, timeoutMs: number): Promise<Uint8Array | undefined> {
    return await new Promise((resolve) => {
      const chunks: Uint8Array[] = []
      let bytes = 0
      let ok = false
      const timer = this.deps.env.timers.after(timeoutMs, () => { sending.abort(); resolve(undefined) })
      const done = (body: Uint8Array | undefined): void => {
        timer[Symbol.dispose]()
        resolve(body)
      }
      const sending = this.deps.upstream.send({ address, ...req, body: new Uint8Array(0), nonIdempotent: false }, {
        onHead: (status) => { ok = status === 200 },
        onData: (chunk) => {
          bytes += chunk.length
          if (bytes <= MAX_BYTES) chunks.push(chunk)
        },
        onEnd: () => done(ok && bytes <= MAX_BYTES ? Buffer.concat(chunks) : undefined),
        onError: () => done(undefined)
      })
    })
  }
}

interface Position {
  readonly epoch: number | string | undefined
  readonly since: number
}
