/** In-memory versioned object store with faults that tests inject. */
import { Err, Ok, type Result } from '../errors/index.js'
import { StoreEras, revisionOf, storeVersion } from '../external/index.js'
import type { ExpectedVersion, ObjectStore, ReadMode, StoredObject, StoreError, WatchBatch } from '../external/index.js'
import { delay, type Timers } from '../time/index.js'

/** Largest value, in characters. */
const MAX_VALUE_CHARS = 1_000_000

/** Number of calls by kind, as the platform counts them. */
export interface StoreCalls {
  reads: number
  writes: number
  watches: number
}

/** Faults of the store. */
export interface StoreFaults {
  /** Every call fails and has no effect. */
  down: boolean
  /** Duration of a call, in ms. */
  delayMs: number
  /** Number of next writes that are executed but whose reply is lost. */
  loseReplies: number
  /** Reads are served from a copy made when this was set. */
  stale: boolean
}

/** Contents of a store at some moment, to which it can be restored. */
export interface StoreCopy {
  readonly objects: ReadonlyMap<string, StoredObject>
  readonly revision: number
}

/** Versioned objects with conditional updates and watches. */
export class MemoryStore implements ObjectStore {
  readonly calls: StoreCalls = { reads: 0, writes: 0, watches: 0 }
  readonly faults: StoreFaults = { down: false, delayMs: 2, loseReplies: 0, stale: false }
  private readonly objects = new Map<string, StoredObject>()
  private readonly deletedVersions = new Map<string, number>()
  private readonly watchChecks = new Set<() => void>()
  private staleCopy: Map<string, StoredObject> | undefined
  private staleOkCopy: Map<string, StoredObject> | undefined
  private staleCopyVersion = 0
  private revision = 0
  private eraNumber = 0
  /** Eras as the components know them that use this store directly. */
  readonly eras = new StoreEras()

  constructor (private readonly timers: Timers) {}

  async get (key: string, mode: ReadMode = 'default'): Promise<Result<StoredObject | undefined, StoreError>> {
    this.calls.reads++
    return await this.respond(() => Ok(this.objectsFor(mode).get(key)))
  }

  async list (prefix: string, mode: ReadMode = 'default'): Promise<Result<readonly StoredObject[], StoreError>> {
    this.calls.reads++
    return await this.respond(() => Ok(this.objectsUnder(prefix, mode)))
  }

  async put (key: string, value: string, expected: ExpectedVersion): Promise<Result<StoredObject, StoreError>> {
    this.calls.writes++
    return await this.write(() => this.putNow(key, value, expected))
  }

  async delete (key: string, expected: number): Promise<Result<void, StoreError>> {
    this.calls.writes++
    return await this.write<void>(() => this.deleteNow(key, expected))
  }

  async watch (prefix: string, version: number, waitMs: number): Promise<Result<WatchBatch, StoreError>> {
    this.calls.watches++
    const first = await this.respond(() => Ok(this.changesSince(prefix, version)))
    if (first.err || first.val.changes.length + first.val.deleted.length > 0) return first
    await this.waitForChange(prefix, version, waitMs)
    return await this.respond(() => Ok(this.changesSince(prefix, version)))
  }

  /** The current object, for assertions; not counted as a call. */
  peek (key: string): StoredObject | undefined {
    return this.objects.get(key)
  }

  /** The current keys under a prefix, for assertions; not counted as a call. */
  keys (prefix: string): string[] {
    return [...this.objects.keys()].filter((key) => key.startsWith(prefix)).sort()
  }

  /** Starts or stops serving only reads of mode `stale_ok` from a copy of the current state. */
  setStaleOkReadsStale (stale: boolean): void {
    this.staleOkCopy = stale ? new Map(this.objects) : undefined
  }

  /** Starts or stops serving all reads and watches from a copy of the current state. */
  setReadsStale (stale: boolean): void {
    this.faults.stale = stale
    this.staleCopy = stale ? new Map(this.objects) : undefined
    this.staleCopyVersion = this.version
  }

  /** Times that the store was restored. */
  get era (): number {
    return this.eraNumber
  }

  /** Copy of the present contents. */
  copy (): StoreCopy {
    return { objects: new Map(this.objects), revision: this.revision }
  }

  /** Returns to earlier contents: what was written since is lost, revisions are given out again, and the era rises. */
  restore ({ objects, revision }: StoreCopy): void {
    this.eraNumber++
    this.revision = revision
    this.objects.clear()
    for (const object of objects.values()) this.objects.set(object.key, { ...object, version: storeVersion(this.era, revisionOf(object.version)) })
    this.deletedVersions.clear()
    this.notifyWatches()
  }

  /** The store as a client of its own uses it, which notes the era of each reply in `eras`. */
  client (eras: StoreEras): ObjectStore {
    const noteEra = async <T>(reply: Promise<Result<T, StoreError>>): Promise<Result<T, StoreError>> => {
      const result = await reply
      if (result.ok || result.val.kind === 'conflict') eras.note(this.era)
      return result
    }
    return {
      get: async (key, mode) => await noteEra(this.get(key, mode)),
      list: async (prefix, mode) => await noteEra(this.list(prefix, mode)),
      put: async (key, value, expected) => await noteEra(this.put(key, value, expected)),
      delete: async (key, expected) => await noteEra(this.delete(key, expected)),
      watch: async (prefix, version, waitMs) => await noteEra(this.watch(prefix, version, waitMs))
    }
  }

  private get version (): number {
    return storeVersion(this.era, this.revision)
  }

  private nextVersion (): number {
    this.revision++
    return this.version
  }

  private objectsFor (mode: ReadMode): Map<string, StoredObject> {
    return (mode === 'stale_ok' ? this.staleOkCopy : undefined) ?? this.staleCopy ?? this.objects
  }

  private objectsUnder (prefix: string, mode: ReadMode): StoredObject[] {
    return [...this.objectsFor(mode).values()].filter((object) => object.key.startsWith(prefix))
  }

  private async respond<T> (read: () => Result<T, StoreError>): Promise<Result<T, StoreError>> {
    await delay(this.timers, this.faults.delayMs)
    if (this.faults.down) return Err({ kind: 'unavailable', message: 'store is down' })
    this.eras.note(this.era)
    return read()
  }

  private async write<T> (apply: () => Result<T, StoreError>): Promise<Result<T, StoreError>> {
    await delay(this.timers, this.faults.delayMs / 2)
    if (this.faults.down) return Err({ kind: 'unavailable', message: 'store is down' })
    const outcome = apply()
    const { era } = this
    const replyLost = this.faults.loseReplies > 0
    if (replyLost) this.faults.loseReplies--
    await delay(this.timers, this.faults.delayMs / 2)
    if (!replyLost) this.eras.note(era)
    return replyLost ? Err({ kind: 'unknown', message: 'reply lost' }) : outcome
  }

  private putNow (key: string, value: string, expected: ExpectedVersion): Result<StoredObject, StoreError> {
    if (value.length > MAX_VALUE_CHARS) return Err({ kind: 'unavailable', message: 'value too large' })
    const current = this.objects.get(key)
    if ((current?.version ?? 'absent') !== expected) return Err({ kind: 'conflict', message: 'version conflict', current })
    const object = { key, version: this.nextVersion(), value }
    this.objects.set(key, object)
    this.deletedVersions.delete(key)
    this.notifyWatches()
    return Ok(object)
  }

  private deleteNow (key: string, expected: number): Result<void, StoreError> {
    const current = this.objects.get(key)
    if (current?.version !== expected) return Err({ kind: 'conflict', message: 'version conflict', current })
    this.objects.delete(key)
    this.deletedVersions.set(key, this.nextVersion())
    this.notifyWatches()
    return Ok(undefined)
  }

  private changesSince (prefix: string, version: number): WatchBatch {
    const changes = this.objectsUnder(prefix, 'default').filter((object) => object.version > version)
    const deleted = [...this.deletedVersions].filter(([key, at]) => key.startsWith(prefix) && at > version).map(([key]) => key)
    return { changes, deleted, version: Math.max(version, this.staleCopy === undefined ? this.version : this.staleCopyVersion) }
  }

  private async waitForChange (prefix: string, version: number, waitMs: number): Promise<void> {
    await new Promise<void>((resolve) => {
      const finish = (): void => {
        timer[Symbol.dispose]()
        this.watchChecks.delete(check)
        resolve()
      }
      const check = (): void => {
        const batch = this.changesSince(prefix, version)
        if (batch.changes.length + batch.deleted.length > 0) finish()
      }
      const timer = this.timers.after(waitMs, finish)
      this.watchChecks.add(check)
    })
  }

  private notifyWatches (): void {
    for (const check of [...this.watchChecks]) check()
  }
}
