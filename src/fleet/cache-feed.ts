/** Polls engines for changes of the prompt segments in their KV caches. */
import type * as calls from '../call/index.js'
import * as hash from '../hash/index.js'
import * as cachePoll from './cache-poll.js'
import type * as fleet from './fleet.js'
import type * as targetState from './target-state.js'

/** Time for which an engine holds a poll open until there are changes, in ms. */
const LONG_POLL_MS = 1_000

/** Time allowed for the response beyond that, in ms. */
const RESPONSE_GRACE_MS = 600

/** Time from a response to the next poll of the engine, in ms; lets changes accumulate. */
const POLL_PAUSE_MS = 250

/** Time from a failed poll to the next one, in ms; doubles with each malformed response in succession, up to the maximum. */
const RETRY_PAUSE_MS = 1_000
const MAX_RETRY_PAUSE_MS = 30_000

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

/** Dependencies of a {@link CacheFeed}. */
export interface CacheFeedDeps extends cachePoll.CachePollDeps {
  readonly fleet: fleet.Fleet
  /** Name of this gateway. */
  readonly selfName: string
  /** Names of the running gateways, this one included. */
  readonly gateways: () => readonly string[]
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

  private async startFollowing (state: targetState.TargetState): Promise<void> {
    state.followed = true
    this.initialPolls++
    await this.poll(state, START, INITIAL_LONG_POLL_MS, INITIAL_RESPONSE_GRACE_MS)
    this.initialPolls--
    if (this.timer !== undefined) this.followTargets()
  }

  private pollAgain (state: targetState.TargetState, position: Position): void {
    if (this.timer === undefined || state.removed || !this.followersOf(state).includes(this.deps.selfName)) {
      state.followed = false
      return
    }
    const refusedMs = state.refusesForMs(this.deps.env.clock.now())
    if (refusedMs > 0) this.deps.env.timers.after(refusedMs, () => this.pollAgain(state, position))
    else this.poll(state, position, LONG_POLL_MS, RESPONSE_GRACE_MS)
  }

  /** Polls once, applies the response and schedules the next poll; never rejects. */
  private async poll (state: targetState.TargetState, position: Position, holdMs: number, graceMs: number): Promise<void> {
    const outcome = await cachePoll.pollCache(this.deps, state, { since: position.since, holdMs, graceMs })
    try {
      const next = this.positionAfter(state, outcome, position)
      this.deps.env.timers.after(pauseAfter(outcome, next), () => this.pollAgain(state, next))
    } catch (err) {
      this.deps.log.error({ err, target: state.record.id }, 'cache_feed_failed')
    }
  }

  private positionAfter (state: targetState.TargetState, outcome: cachePoll.CachePollOutcome, position: Position): Position {
    switch (outcome.kind) {
      case 'changes': return this.apply(state, outcome.changes, position)
      case 'failed': return position
      case 'malformed': {
        const malformedResponses = position.malformedResponses + 1
        this.deps.log.warn({ target: state.record.id, reason: outcome.reason, in_succession: malformedResponses }, 'cache_changes_malformed')
        return { ...position, malformedResponses }
      }
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
    return { epoch: batch.epoch, since: batch.next, malformedResponses: 0 }
  }
}

/** Up to where the changes of an engine were applied; `epoch` is undefined before the first response. */
interface Position {
  readonly epoch: number | string | undefined
  readonly since: number
  /** Malformed responses since the last one that could be applied. */
  readonly malformedResponses: number
}

const START: Position = { epoch: undefined, since: 0, malformedResponses: 0 }

/** Time from a poll to the next one, in ms. */
function pauseAfter (outcome: cachePoll.CachePollOutcome, { malformedResponses }: Position): number {
  switch (outcome.kind) {
    case 'changes': return POLL_PAUSE_MS
    case 'failed': return RETRY_PAUSE_MS
    case 'malformed': return Math.min(MAX_RETRY_PAUSE_MS, RETRY_PAUSE_MS * 2 ** (malformedResponses - 1))
  }
}
