/** Reads the configuration from the store and proves that it is current. */
import { Err, Ok, StepError, type Result } from '../errors/index.js'
import type { ExpectedVersion, ObjectStore, StoredObject, StoreError } from '../external/index.js'
import { ConfigHead } from '../schema/index.js'
import { withTimeout, type Env } from '../time/index.js'
import { confirmHead } from './collect.js'
import type { Confirmation } from './freshness.js'
import type { HeldConfig } from './held-config.js'
import type { FetchedConfig } from './peer-source.js'
import { chunkKey, HEAD_KEY } from './publish.js'

/** Time allowed for one store call, in ms. */
const STORE_CALL_MS = 1_000

/** Prefix of the objects that watchers write to learn a present version of the store. */
const PROBE_PREFIX = 'probe/config/'

/** What a round with the store showed. */
export interface StoreUpdate {
  /** The head, when it is newer than the one in force. */
  readonly fetched: FetchedConfig | undefined
  readonly confirmation: Confirmation | undefined
}

/** Calls the store for one process. */
export class StoreSource {
  /** Monotonic time at which the store last answered a call, or at which one that had reached it was given up. */
  answeredAt = -Infinity
  private probeVersion: ExpectedVersion = 'absent'
  private watched = 0

  constructor (private readonly env: Env, private readonly store: ObjectStore, private readonly name: string) {}

  /** Reads the head and confirms it by a conditional update that changes nothing. */
  async confirm (held: HeldConfig): Promise<Result<StoreUpdate, StepError>> {
    const at = this.env.clock.now()
    const head = await this.limited(confirmHead(this.store), 2 * STORE_CALL_MS)
    if (head.err) return head
    if (head.val === undefined) return Ok({ fetched: undefined, confirmation: undefined })
    this.watched = Math.max(this.watched, head.val.version)
    return await this.take(head.val, held, at)
  }

  /**
   * Waits up to `waitMs` for a new head. A watch may lag, so its answer proves nothing by itself: an own write
   * before it gives a version of the store, and an answer that is complete up to that version shows the head as
   * it was at the time of the write or later.
   */
  async watch (held: HeldConfig, waitMs: number): Promise<Result<StoreUpdate, StepError>> {
    const at = this.env.clock.now()
    const probe = await this.limited(this.store.put(PROBE_PREFIX + this.name, '', this.probeVersion), STORE_CALL_MS)
    const probed = this.probedVersion(probe)
    if (probed === undefined && probe.err) return probe
    const batch = await this.limited(this.store.watch(HEAD_KEY, this.watched, waitMs), waitMs + STORE_CALL_MS)
    if (batch.err) return batch
    const object = batch.val.changes.find((change) => change.key === HEAD_KEY)
    const isProof = probed !== undefined && batch.val.version >= probed
    if (object === undefined) {
      this.watched = Math.max(this.watched, batch.val.version)
      return Ok({ fetched: undefined, confirmation: isProof ? { generation: held.generation, at } : undefined })
    }
    const news = await this.take(object, held, at)
    // A head whose chunks could not be read is to be seen again.
    if (news.ok) this.watched = Math.max(this.watched, batch.val.version)
    return news.map((taken) => isProof ? taken : { ...taken, confirmation: undefined })
  }

  /** The version of an own write; a refused or lost one only tells which version to expect next. */
  private probedVersion (probe: Result<StoredObject, StepError | ConflictError>): number | undefined {
    if (probe.ok) {
      this.probeVersion = probe.val.version
      return probe.val.version
    }
    if (probe.val instanceof ConflictError) this.probeVersion = probe.val.current?.version ?? 'absent'
    return undefined
  }

  private async take (object: StoredObject, held: HeldConfig, at: number): Promise<Result<StoreUpdate, StepError>> {
    const head = ConfigHead.parse(JSON.parse(object.value))
    const confirmation = { generation: head.generation, at }
    if (head.generation <= held.generation) return Ok({ fetched: undefined, confirmation })
    const texts = new Map<string, string>()
    for (const { digest } of held.missing(head)) {
      const chunk = await this.limited(this.store.get(chunkKey(digest)), STORE_CALL_MS)
      if (chunk.err) return chunk
      if (chunk.val === undefined) return Err(new StepError('apply', 'store', `chunk ${digest} of generation ${head.generation} is missing`))
      texts.set(digest, chunk.val.value)
    }
    return Ok({ fetched: { head, texts }, confirmation })
  }

  private async limited<T> (call: Promise<Result<T, StoreError>>, ms: number): Promise<Result<T, StepError>> {
    // A store that answers late, or that took a call and lets it wait, may hold a withdrawal that this process does not know
    // of; only one that cannot be reached answers nobody.
    const noted = call.then((late) => {
      if (late.ok || late.val.kind !== 'unavailable') this.answeredAt = this.env.clock.now()
      return late
    })
    const answer = await withTimeout<Result<T, StoreError>>(this.env.timers, ms, noted, () => Err({ kind: 'unknown', message: `no answer within ${ms} ms` }))
    if (answer.ok) return answer
    return Err(answer.val.kind === 'conflict' ? new ConflictError(answer.val) : new StepError('store', 'store', answer.val.message))
  }
}

class ConflictError extends StepError {
  readonly current: StoredObject | undefined

  constructor (err: StoreError) {
    super('store', 'store', err.message)
    this.current = err.current
  }
}
