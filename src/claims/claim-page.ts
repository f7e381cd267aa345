/** One page of claims. Edits that arrive while an update is in flight are committed together in the next one. */
import type { RetryReason } from '../errors/index.js'
import type { ExpectedVersion, ObjectStore, StoredObject, StoreError } from '../external/index.js'
import { ClaimPage as PageSchema, type ClaimRow } from '../schema/index.js'
import type { Env } from '../time/index.js'

/** Rows by row key. */
export type Rows = Map<string, ClaimRow>

/** An edit of a page. */
export interface PageEdit<T> {
  /** Edits `rows`; may be called several times, each time with a newer version of the page. */
  apply (rows: Rows): EditEffect<T>
  /** Whether the edit is retried until the store accepts it; otherwise it fails when the store is unavailable. */
  readonly retryUntilStored: boolean
}

/** Result of an edit. */
export interface EditEffect<T> {
  readonly changed: boolean
  readonly value: T
}

/** Dependencies of claim pages. */
export interface ClaimPageDeps {
  readonly env: Env
  readonly store: ObjectStore
  readonly onRetry: (reason: RetryReason) => void
}

/** Failed writes to an unavailable store after which an edit fails unless it is retried until stored. */
const MAX_UNAVAILABLE_WRITES = 2

/** First and longest delay after failed writes, before jitter, in ms. */
const INITIAL_BACKOFF_MS = 20
const MAX_BACKOFF_MS = 2_000

/**
 * Longest delay after a conflict, in ms; the conflict returns the current page, so the delay only has to
 * desynchronize the writers.
 */
const MAX_CONFLICT_BACKOFF_MS = 100

/** Age up to which a copy of a page is updated without reading it first, in ms. */
const PAGE_FRESH_MS = 10

/** Time for which an edit that is retried until stored waits for others to be committed with it, in ms. */
const BATCH_DELAY_MS = 100

/** This entry's copy of a page, and the pending edits. */
export class ClaimPage {
  private rows: Rows = new Map()
  private version: ExpectedVersion = 'absent'
  private refreshedAt = -Infinity
  private queue: PendingEdit[] = []
  private running = false
  private batchTimer: Disposable | undefined
  private endPause: (() => void) | undefined
  /** Unfinished claims on this page; the page is not evicted while there are any, so that its version stays known. */
  openClaims = 0

  constructor (private readonly key: string, private readonly deps: ClaimPageDeps) {}

  /** Whether the page has no pending edit, no update in flight and no open claim. */
  get isIdle (): boolean {
    return !this.running && this.queue.length === 0 && this.openClaims === 0
  }

  /**
   * Applies an edit and resolves with its value, or with `undefined` when the store did not confirm it or `signal`
   * aborted first.
   */
  async edit<T> (edit: PageEdit<T>, signal?: AbortSignal): Promise<T | undefined> {
    return await new Promise<T | undefined>((resolve) => {
      const queued = new QueuedEdit(edit, resolve)
      signal?.addEventListener('abort', () => queued.giveUp(), { once: true })
      this.queue.push(queued)
      if (!edit.retryUntilStored) this.startCommits()
      else this.batchTimer ??= this.deps.env.timers.after(BATCH_DELAY_MS, () => { this.batchTimer = undefined; this.startCommits() })
    })
  }

  private startCommits (): void {
    this.endPause?.()
    if (this.running) return
    this.running = true
    this.commitQueued().catch(() => { this.running = false })
  }

  private async commitQueued (): Promise<void> {
    let failures = 0
    while (this.queue.length > 0) {
      const batch = this.queue.filter((edit) => !edit.settled)
      this.queue = []
      const err = batch.length === 0 ? undefined : await this.tryCommit(batch)
      failures = err === undefined ? 0 : failures + 1
      if (err === undefined) continue
      for (const edit of batch) edit.noteWriteFailure(err.kind)
      this.queue = [...batch.filter((edit) => !edit.settled), ...this.queue]
      this.deps.onRetry(RETRY_BY_KIND[err.kind])
      await this.pause(this.backoffMs(failures, err.kind))
    }
    this.running = false
  }

  private async tryCommit (batch: readonly PendingEdit[]): Promise<StoreError | undefined> {
    try {
      return await this.commit(batch)
    } catch (err) {
      return { kind: 'unavailable', message: `${this.key}: ${err instanceof Error ? err.message : String(err)}` }
    }
  }

  private backoffMs (failures: number, kind: StoreError['kind']): number {
    const maxMs = kind === 'conflict' ? MAX_CONFLICT_BACKOFF_MS : MAX_BACKOFF_MS
    return Math.min(maxMs, INITIAL_BACKOFF_MS * 2 ** Math.min(failures - 1, 10)) * this.deps.env.random.next()
  }

  /** Waits for `ms`, or until an edit arrives that must be committed at once or a batch is due. */
  private async pause (ms: number): Promise<void> {
    await new Promise<void>((resolve) => {
      const timer = this.deps.env.timers.after(ms, resolve)
      this.endPause = () => { timer[Symbol.dispose](); resolve() }
    })
    this.endPause = undefined
  }

  /**
   * Applies a batch to a copy of the rows and writes it. After a lost reply the same conditional update is sent again:
   * if the first one took effect, the store responds with the current page, whose nonces show the outcome. A plain read
   * is not enough, since it may be stale.
   */
  private async commit (batch: readonly PendingEdit[]): Promise<StoreError | undefined> {
    const readError = await this.readUnlessFresh()
    if (readError !== undefined) return readError
    const rows: Rows = new Map(this.rows)
    const changed = batch.map((edit) => edit.apply(rows)).includes(true)
    if (changed) {
      const value = JSON.stringify({ rows: [...rows.values()] })
      const written = await this.deps.store.put(this.key, value, this.version)
      if (written.err) return this.noteFailedWrite(written.val)
      this.rows = rows
      this.version = written.val.version
      this.refreshedAt = this.deps.env.clock.now()
    }
    for (const edit of batch) edit.succeed()
    return undefined
  }

  private noteFailedWrite (err: StoreError): StoreError {
    if (err.kind === 'conflict') this.applyObject(err.current)
    return err
  }

  /**
   * Reads the page unless the copy is fresh. Other entries write the page too, and the platform allows several times
   * more reads than writes, so a read is cheaper than an update that conflicts.
   */
  private async readUnlessFresh (): Promise<StoreError | undefined> {
    if (this.deps.env.clock.now() - this.refreshedAt <= PAGE_FRESH_MS) return undefined
    const read = await this.deps.store.get(this.key)
    if (read.err) return read.val
    if (read.val !== undefined && (this.version === 'absent' || read.val.version > this.version)) this.applyObject(read.val)
    this.refreshedAt = this.deps.env.clock.now()
    return undefined
  }

  private applyObject (current: StoredObject | undefined): void {
    this.rows = new Map(current === undefined ? [] : PageSchema.parse(JSON.parse(current.value)).rows.map((row) => [row.key, row]))
    this.version = current?.version ?? 'absent'
    this.refreshedAt = this.deps.env.clock.now()
  }
}

const RETRY_BY_KIND: Readonly<Record<StoreError['kind'], RetryReason>> = {
  conflict: 'store_conflict', unavailable: 'store_unavailable', unknown: 'store_reply_lost'
}

interface PendingEdit {
  readonly settled: boolean
  apply (rows: Rows): boolean
  succeed (): void
  noteWriteFailure (kind: StoreError['kind']): void
  giveUp (): void
}

class QueuedEdit<T> implements PendingEdit {
  settled = false
  private value: T | undefined
  private unavailableWrites = 0

  constructor (private readonly edit: PageEdit<T>, private readonly resolve: (value: T | undefined) => void) {}

  apply (rows: Rows): boolean {
    if (this.settled) return false
    const effect = this.edit.apply(rows)
    this.value = effect.value
    return effect.changed
  }

  succeed (): void {
    this.settle(this.value)
  }

  noteWriteFailure (kind: StoreError['kind']): void {
    if (kind === 'unavailable' && !this.edit.retryUntilStored && ++this.unavailableWrites >= MAX_UNAVAILABLE_WRITES) this.giveUp()
  }

  giveUp (): void {
    this.settle(undefined)
  }

  private settle (value: T | undefined): void {
    if (this.settled) return
    this.settled = true
    this.resolve(value)
  }
}
