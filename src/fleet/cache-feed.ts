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

/** Time between two looks for engines that are not followed yet, in ms. */
const LOOK_MS = 500

/** Gateways that ask an engine: engines turn away more than a few such questions. The first of them tells the others. */
const FOLLOWERS = 4

/** Largest answer, in bytes. */
const MAX_BYTES = 4 * 1024 * 1024

/** What a feed needs from its surroundings. */
export interface CacheFeedParts {
  readonly env: time.Env
  readonly fleet: fleet.Fleet
  readonly upstream: upstream.Upstream
  readonly protocol: calls.CacheProtocol
  /** Name of this gateway. */
  readonly self: string
  /** Names of the gateways that run, this one included. */
  readonly gateways: () => readonly string[]
  readonly log: log.Logger
}

/** Asks engines for changes, one question at a time; each engine is asked by a few gateways. */
export class CacheFeed implements Disposable {
  private timer: Disposable | undefined

  constructor (private readonly parts: CacheFeedParts) {}

  /** Starts to follow this gateway's share of the engines. */
  start (): void {
    this.timer = this.parts.env.timers.every(LOOK_MS, () => {
      for (const state of this.parts.fleet.all()) if (state.record.stage !== undefined && !state.followed && this.followers(state).includes(this.parts.self)) this.follow(state)
    })
  }

  [Symbol.dispose] (): void {
    this.timer?.[Symbol.dispose]()
    this.timer = undefined
  }

  private follow (state: targetState.TargetState): void {
    state.followed = true
    this.ask(state, { epoch: undefined, since: 0 })
  }

  private ask (state: targetState.TargetState, from: Position): void {
    if (this.timer === undefined || state.gone || !this.followers(state).includes(this.parts.self)) {
      state.followed = false
      return
    }
    const { env, protocol } = this.parts
    this.fetch(state.record.address, protocol.encodeCacheQuery(state.record, from.since, WAIT_MS)).then((body) => {
      const batch = body === undefined ? undefined : protocol.decodeCacheChanges(body)
      const next = batch === undefined ? from : this.apply(state, batch, from)
      env.timers.after(batch === undefined ? RETRY_MS : GATHER_MS, () => this.ask(state, next))
    }, (err: unknown) => this.parts.log.error({ err, target: state.record.id }, 'cache_feed_failed'))
  }

  private followers (state: targetState.TargetState): string[] {
    return hash.rendezvous(state.record.id, this.parts.gateways(), FOLLOWERS)
  }

  // A new epoch means that the engine has started again with nothing kept. After a gap, what is believed stands until
  // it is contradicted: most of it is still kept.
  private apply (state: targetState.TargetState, batch: calls.CacheChanges, from: Position): Position {
    const restarted = from.epoch !== undefined && batch.epoch !== from.epoch
    if (restarted) state.cache.clear()
    for (const change of batch.changes) state.cache.stated(change.id, change.tokens)
    if (this.tellsOthers(state)) {
      if (restarted) this.parts.fleet.cacheNews.restarted(state.record.id)
      this.parts.fleet.cacheNews.add(state.record.id, batch.changes)
    }
    return { epoch: batch.epoch, since: batch.next }
  }

  private tellsOthers (state: targetState.TargetState): boolean {
    return this.parts.gateways().length > FOLLOWERS && this.followers(state)[0] === this.parts.self
  }

  /** The body of a whole answer with status 200. */
  private async fetch (address: string, req: calls.CacheQuery): Promise<Uint8Array | undefined> {
    return await new Promise((resolve) => {
      const chunks: Uint8Array[] = []
      let bytes = 0
      let ok = false
      const timer = this.parts.env.timers.after(WAIT_MS + ANSWER_MS, () => { sending.abort(); resolve(undefined) })
      const done = (body: Uint8Array | undefined): void => {
        timer[Symbol.dispose]()
        resolve(body)
      }
      const sending = this.parts.upstream.send({ address, ...req, body: new Uint8Array(0), once: false }, {
        head: (status) => { ok = status === 200 },
        data: (chunk) => {
          bytes += chunk.length
          if (bytes <= MAX_BYTES) chunks.push(chunk)
        },
        end: () => done(ok && bytes <= MAX_BYTES ? Buffer.concat(chunks) : undefined),
        fail: () => done(undefined)
      })
    })
  }
}

interface Position {
  readonly epoch: number | string | undefined
  readonly since: number
}
