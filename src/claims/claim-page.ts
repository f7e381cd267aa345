/** One page of claims: edits that arrive while an update is in flight go together in the next one. */
import type { RetryReason } from '../errors/index.js'
import type { ExpectedVersion, ObjectStore, StoredObject, StoreError } from '../external/index.js'
import { ClaimPage as PageSchema, type ClaimRow } from '../schema/index.js'
import type { Env } from '../time/index.js'

/** Rows by row key. */
export type Rows = Map<string, ClaimRow>

/** A change of a page. */
export interface PageEdit<T> {
  /** Changes `rows`; may run several times, each time on a newer page. */
  apply (rows: Rows): EditEffect<T>
  /** A lasting edit is repeated until the store takes it; another fails when the store is down. */
  readonly lasting: boolean
}

/** What an edit did. */
export interface EditEffect<T> {
  readonly changed: boolean
  readonly value: T
}

/** What pages need from their surroundings. */
export interface ClaimPageDeps {
  readonly env: Env
  readonly store: ObjectStore
  readonly onRetry: (reason: RetryReason) => void
}

/** Writes tried while the store says it is unavailable before an edit that is not lasting fails. */
const UNAVAILABLE_TRIES = 2

/** First and longest delay between failed writes, in ms. */
const BACKOFF_FIRST_MS = 20
const BACKOFF_LAST_MS = 2_000

/** Longest delay after a conflict: the page is known then, and others only need to get out of step, in ms. */
const CONFLICT_BACKOFF_MS = 100

/** A page seen this recently is updated without a read before, in ms. */
const TRUST_MS = 10

/** A lasting edit waits this long for others to go with it, in ms. */
const GROUP_MS = 100

/** A page as this entry knows it, and the edits that wait. */
export class ClaimPage {
  private rows: Rows = new Map()
  private version: ExpectedVersion = 'absent'
  private knownAt = -Infinity
  private queue: Queued[] = []
  private running = false
  private timer: Disposable | undefined
  private wake: (() => void) | undefined
  /** Claims that were granted on this page and are not finished; such a page keeps its version. */
  holders = 0

  constructor (private readonly key: string, private readonly deps: ClaimPageDeps) {}

  /** Whether nothing waits, is in flight or is held. */
  get idle (): boolean {
    return !this.running && this.queue.length === 0 && this.holders === 0
  }

  /** Applies an edit; `undefined` when the store did not confirm it. Aborting gives up. */
  async edit<T> (edit: PageEdit<T>, signal?: AbortSignal): Promise<T | undefined> {
    return await new Promise<T | undefined>((resolve) => {
      const queued = new QueuedEdit(edit, resolve)
      signal?.addEventListener('abort', () => queued.fail(), { once: true })
      this.queue.push(queued)
      if (!edit.lasting) this.start()
      else this.timer ??= this.deps.env.timers.after(GROUP_MS, () => { this.timer = undefined; this.start() })
    })
  }

  private start (): void {
    this.wake?.()
    if (this.running) return
    this.running = true
    this.run().catch(() => { this.running = false })
  }

  private async run (): Promise<void> {
    let failures = 0
    while (this.queue.length > 0) {
      const group = this.queue.filter((edit) => !edit.settled)
      this.queue = []
      const err = group.length === 0 ? undefined : await this.tryCommit(group)
      failures = err === undefined ? 0 : failures + 1
      if (err === undefined) continue
      for (const edit of group) edit.failed(err.kind)
      this.queue = [...group.filter((edit) => !edit.settled), ...this.queue]
      this.deps.onRetry(RETRY_BY_KIND[err.kind])
      await this.pause(this.backoff(failures, err.kind))
    }
    this.running = false
  }

  private async tryCommit (group: readonly Queued[]): Promise<StoreError | undefined> {
    try {
      return await this.commit(group)
    } catch (err) {
      return { kind: 'unavailable', message: `${this.key}: ${err instanceof Error ? err.message : String(err)}` }
    }
  }

  private backoff (failures: number, kind: StoreError['kind']): number {
    const limit = kind === 'conflict' ? CONFLICT_BACKOFF_MS : BACKOFF_LAST_MS
    return Math.min(limit, BACKOFF_FIRST_MS * 2 ** Math.min(failures - 1, 10)) * this.deps.env.random.next()
  }

  /** Waits, or until an edit arrives that cannot wait. */
  private async pause (ms: number): Promise<void> {
    await new Promise<void>((resolve) => {
      const timer = this.deps.env.timers.after(ms, resolve)
      this.wake = () => { timer[Symbol.dispose](); resolve() }
    })
    this.wake = undefined
  }

  /**
   * Applies a group to a copy and writes it. After a lost reply the same conditional update is repeated: when
   * the first took effect the store answers with the current page, where the rows' nonces show the outcome.
   * A plain read alone would not do, since it may come from an old copy.
   */
  private async commit (group: readonly Queued[]): Promise<StoreError | undefined> {
    const stale = await this.refresh()
    if (stale !== undefined) return stale
    const rows: Rows = new Map(this.rows)
    const changed = group.map((edit) => edit.apply(rows)).includes(true)
    if (changed) {
      const value = JSON.stringify({ rows: [...rows.values()] })
      const put = await this.deps.store.put(this.key, value, this.version)
      if (put.err) return this.failedWrite(put.val)
      this.rows = rows
      this.version = put.val.version
      this.knownAt = this.deps.env.clock.now()
    }
    for (const edit of group) edit.succeed()
    return undefined
  }

  private failedWrite (err: StoreError): StoreError {
    if (err.kind === 'conflict') this.take(err.current)
    return err
  }

  /**
   * Reads the page unless it was seen just now: others write it too, and the platform allows several times
   * more reads than writes, so a read is cheaper than an update that conflicts.
   */
  private async refresh (): Promise<StoreError | undefined> {
    if (this.deps.env.clock.now() - this.knownAt <= TRUST_MS) return undefined
    const read = await this.deps.store.get(this.key)
    if (read.err) return read.val
    if (read.val !== undefined && (this.version === 'absent' || read.val.version > this.version)) this.take(read.val)
    this.knownAt = this.deps.env.clock.now()
    return undefined
  }

  private take (current: StoredObject | undefined): void {
    this.rows = new Map(current === undefined ? [] : PageSchema.parse(JSON.parse(current.value)).rows.map((row) => [row.key, row]))
    this.version = current?.version ?? 'absent'
    this.knownAt = this.deps.env.clock.now()
  }
}

const RETRY_BY_KIND: Readonly<Record<StoreError['kind'], RetryReason>> = {
  conflict: 'store_conflict', unavailable: 'store_unavailable', unknown: 'store_reply_lost'
}

interface Queued {
  readonly settled: boolean
  apply (rows: Rows): boolean
  succeed (): void
  failed (kind: StoreError['kind']): void
  fail (): void
}

class QueuedEdit<T> implements Queued {
  settled = false
  private value: T | undefined
  private unavailable = 0

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

  failed (kind: StoreError['kind']): void {
    if (kind === 'unavailable' && !this.edit.lasting && ++this.unavailable >= UNAVAILABLE_TRIES) this.fail()
  }

  fail (): void {
    this.settle(undefined)
  }

  private settle (value: T | undefined): void {
    if (this.settled) return
    this.settled = true
    this.resolve(value)
  }
}
