/** Reads the configuration from the store and confirms that it is current. */
import { Err, Ok, StepError, type Result } from '../errors/index.js'
import type { ExpectedVersion, ObjectStore, StoredObject, StoreError } from '../external/index.js'
import { ConfigHead } from '../schema/index.js'
import { withTimeout, type Env } from '../time/index.js'
import { confirmHead } from './chunk-collection.js'
import type { Confirmation } from './freshness.js'
import type { HeldConfig } from './held-config.js'
import type { FetchedConfig } from './peer-source.js'
import { chunkKey, HEAD_KEY } from './publish.js'

/** Timeout of one store call, in ms. */
const STORE_CALL_TIMEOUT_MS = 1_000

/** Key prefix of the probe objects, which are written to learn a current version of the store. */
const PROBE_PREFIX = 'probe/config/'

/** Outcome of a confirmation or a watch. */
export interface StoreUpdate {
  /** The published configuration, when it is newer than the one in force. */
  readonly fetched: FetchedConfig | undefined
  readonly confirmation: Confirmation | undefined
}

/** Calls the store for one process. */
export class StoreSource {
  /** Monotonic time at which the store last responded, or at which a call that may have reached it timed out. */
  respondedAt = -Infinity
  /** Version at which the next write of the probe object expects it. */
  private expectedProbeVersion: ExpectedVersion = 'absent'
  /** Version of the store up to which this process has seen all changes of the head. */
  private watchedVersion = 0

  constructor (private readonly env: Env, private readonly store: ObjectStore, private readonly name: string) {}

  /** Reads the head and confirms it by a conditional update that leaves its value as it is. */
  async confirm (heldConfig: HeldConfig): Promise<Result<StoreUpdate, StepError>> {
    const startedAt = this.env.clock.now()
    const head = await this.withCallTimeout(confirmHead(this.store), 2 * STORE_CALL_TIMEOUT_MS)
    if (head.err) return head
    if (head.val === undefined) return Ok({ fetched: undefined, confirmation: undefined })
    this.watchedVersion = Math.max(this.watchedVersion, head.val.version)
    return await this.readHead(head.val, heldConfig, startedAt)
  }

  /**
   * Waits up to `waitMs` for a new head. A watch may lag, so its response alone confirms nothing: the probe object is
   * written first, which gives a version of the store, and a response that covers this version shows the head as it
   * was at the time of that write or later.
   */
  async watch (heldConfig: HeldConfig, waitMs: number): Promise<Result<StoreUpdate, StepError>> {
    const startedAt = this.env.clock.now()
    const probe = await this.withCallTimeout(this.store.put(PROBE_PREFIX + this.name, '', this.expectedProbeVersion), STORE_CALL_TIMEOUT_MS)
    const writtenVersion = this.recordProbe(probe)
    if (writtenVersion === undefined && probe.err) return probe
    const batch = await this.withCallTimeout(this.store.watch(HEAD_KEY, this.watchedVersion, waitMs), waitMs + STORE_CALL_TIMEOUT_MS)
    if (batch.err) return batch
    const headObject = batch.val.changes.find((change) => change.key === HEAD_KEY)
    const coversProbe = writtenVersion !== undefined && batch.val.version >= writtenVersion
    if (headObject === undefined) {
      this.watchedVersion = Math.max(this.watchedVersion, batch.val.version)
      return Ok({ fetched: undefined, confirmation: coversProbe ? { generation: heldConfig.generation, at: startedAt } : undefined })
    }
    const result = await this.readHead(headObject, heldConfig, startedAt)
    // If the chunks could not be read, the next watch must return the head again.
    if (result.ok) this.watchedVersion = Math.max(this.watchedVersion, batch.val.version)
    return result.map((update) => coversProbe ? update : { ...update, confirmation: undefined })
  }

  /** Returns the version of a successful probe write. A conflict tells only the version to expect at the next write. */
  private recordProbe (probe: Result<StoredObject, StepError | ConflictError>): number | undefined {
    if (probe.ok) {
      this.expectedProbeVersion = probe.val.version
      return probe.val.version
    }
    if (probe.val instanceof ConflictError) this.expectedProbeVersion = probe.val.current?.version ?? 'absent'
    return undefined
  }

  private async readHead (object: StoredObject, heldConfig: HeldConfig, startedAt: number): Promise<Result<StoreUpdate, StepError>> {
    const head = ConfigHead.parse(JSON.parse(object.value))
    const confirmation = { generation: head.generation, at: startedAt }
    if (head.generation <= heldConfig.generation) return Ok({ fetched: undefined, confirmation })
    const texts = new Map<string, string>()
    for (const { digest } of heldConfig.missingChunks(head)) {
      const chunk = await this.withCallTimeout(this.store.get(chunkKey(digest)), STORE_CALL_TIMEOUT_MS)
      if (chunk.err) return chunk
      if (chunk.val === undefined) return Err(new StepError('apply', 'store', `chunk ${digest} of generation ${head.generation} is missing`))
      texts.set(digest, chunk.val.value)
    }
    return Ok({ fetched: { head, texts }, confirmation })
  }

  private async withCallTimeout<T> (call: Promise<Result<T, StoreError>>, timeoutMs: number): Promise<Result<T, StepError>> {
    // A store that responds late, or that received a call and does not respond, may hold a withdrawal that this process
    // does not know; only a store that cannot be reached counts as responding to nobody.
    const tracked = call.then((result) => {
      if (result.ok || result.val.kind !== 'unavailable') this.respondedAt = this.env.clock.now()
      return result
    })
    const outcome = await withTimeout<Result<T, StoreError>>(this.env.timers, timeoutMs, tracked, () => Err({ kind: 'unknown', message: `store call timed out after ${timeoutMs} ms` }))
    if (outcome.ok) return outcome
    return Err(outcome.val.kind === 'conflict' ? new ConflictError(outcome.val) : new StepError('store', 'store', outcome.val.message))
  }
}

class ConflictError extends StepError {
  readonly current: StoredObject | undefined

  constructor (err: StoreError) {
    super('store', 'store', err.message)
    this.current = err.current
  }
}
