/** Reads the list of targets from the store at intervals. */
import type * as external from '../external/index.js'
import type * as log from '../log/index.js'
import type * as serving from '../serving/index.js'
import * as time from '../time/index.js'
import type * as fleet from './fleet.js'

/** Part of the time within which a leaving target must get no new work that lies between two reads; one of them may fail. */
const INTERVAL_SHARE = 0.4

/** Time to the next read after one failed, in ms. */
const RETRY_INTERVAL_MS = 250

/** What a feed needs from its surroundings. */
export interface FleetFeedDeps {
  readonly env: time.Env
  readonly store: external.ObjectStore
  readonly prefix: string
  /** Time after its acknowledgement from which a leaving target must get no new work, in ms. */
  readonly leavePropagationMs: number
  /** Decodes an entry; undefined when it describes no target. */
  readonly decode: (object: external.StoredObject) => serving.TargetRecord | undefined
  readonly fleet: fleet.Fleet
  readonly log: log.Logger
}

/** Keeps a {@link fleet.Fleet} current. */
export class FleetFeed implements Disposable {
  private readonly poll: time.Poller
  private failing = false
  private asked = 0
  private taken = 0
  private loaded = false

  constructor (private readonly deps: FleetFeedDeps) {
    this.poll = new time.Poller({
      timers: deps.env.timers,
      intervalMs: INTERVAL_SHARE * deps.leavePropagationMs,
      retryMs: RETRY_INTERVAL_MS,
      read: async () => await this.read(),
      onError: (err) => deps.log.error({ err }, 'target_list_failed')
    })
  }

  /** Starts reading. */
  start (): void {
    this.poll.start()
  }

  /** Whether the list was read once. */
  get ready (): boolean {
    return this.loaded
  }

  [Symbol.dispose] (): void {
    this.poll[Symbol.dispose]()
  }

  private async read (): Promise<boolean> {
    const turn = ++this.asked
    const found = await this.deps.store.list(this.deps.prefix)
    if (found.err) this.fail(found.val.message)
    else if (turn > this.taken) this.take(found.val, turn)
    return !this.failing
  }

  private take (objects: readonly external.StoredObject[], turn: number): void {
    this.taken = turn
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

  private fail (reason: string): void {
    this.deps.fleet.noteListFailure()
    if (!this.failing) this.deps.log.warn({ dependency: 'target_list', reason }, 'dependency_lost')
    this.failing = true
  }
}
