/** Polls the list of targets in the store. */
import type * as external from '../external/index.js'
import type * as log from '../log/index.js'
import type * as serving from '../serving/index.js'
import * as time from '../time/index.js'
import type * as fleet from './fleet.js'

/** Interval between two reads, as a share of `leavePropagationMs`: one read within that bound may fail. */
const READ_INTERVAL_SHARE = 0.4

/** Time to the next read after a failed one, in ms. */
const RETRY_INTERVAL_MS = 250

/** Dependencies of a {@link FleetFeed}. */
export interface FleetFeedDeps {
  readonly env: time.Env
  readonly store: external.ObjectStore
  /** Prefix of the keys of target records. */
  readonly prefix: string
  /** Propagation bound, in ms: from this time after its acknowledgement on, a leaving target must get no new work. */
  readonly leavePropagationMs: number
  /** Decodes a stored object; undefined when it describes no target. */
  readonly decode: (object: external.StoredObject) => serving.TargetRecord | undefined
  readonly fleet: fleet.Fleet
  readonly log: log.Logger
}

/** Keeps a {@link fleet.Fleet} up to date. */
export class FleetFeed implements Disposable {
  private readonly poller: time.Poller
  private failing = false
  private readsStarted = 0
  private lastAppliedRead = 0
  private loaded = false

  constructor (private readonly deps: FleetFeedDeps) {
    this.poller = new time.Poller({
      timers: deps.env.timers,
      intervalMs: READ_INTERVAL_SHARE * deps.leavePropagationMs,
      retryMs: RETRY_INTERVAL_MS,
      read: async () => await this.read(),
      onError: (err) => deps.log.error({ err }, 'target_list_failed')
    })
  }

  /** Starts reading. */
  start (): void {
    this.poller.start()
  }

  /** Whether the list was read at least once. */
  get ready (): boolean {
    return this.loaded
  }

  [Symbol.dispose] (): void {
    this.poller[Symbol.dispose]()
  }

  // Reads may overlap: a list is dropped when one whose read started later was applied already.
  private async read (): Promise<boolean> {
    const readNumber = ++this.readsStarted
    const listed = await this.deps.store.list(this.deps.prefix)
    if (listed.err) this.noteFailure(listed.val.message)
    else if (readNumber > this.lastAppliedRead) this.applyList(listed.val, readNumber)
    return !this.failing
  }

  private applyList (objects: readonly external.StoredObject[], readNumber: number): void {
    this.lastAppliedRead = readNumber
    const records: serving.TargetRecord[] = []
    for (const object of objects) {
      const record = this.deps.decode(object)
      if (record !== undefined) records.push(record)
    }
    this.deps.fleet.apply(records)
    this.loaded = true
    if (this.failing) this.deps.log.info({ dependency: 'target_list', targets: records.length }, 'dependency_regained')
    this.failing = false
  }

  private noteFailure (reason: string): void {
    this.deps.fleet.noteListFailure()
    if (!this.failing) this.deps.log.warn({ dependency: 'target_list', reason }, 'dependency_lost')
    this.failing = true
  }
}
