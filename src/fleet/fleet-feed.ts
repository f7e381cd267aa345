/** Reads the list of targets from the store at intervals. */
import type * as external from '../external/index.js'
import type * as log from '../log/index.js'
import type * as serving from '../serving/index.js'
import type * as time from '../time/index.js'
import type * as fleet from './fleet.js'

/** Time between two reads, in ms: half of the time within which a leaving target must get no new work. */
const READ_INTERVAL_MS = 800

/** Time to the next read after one failed, in ms. */
const RETRY_INTERVAL_MS = 250

/** Reads under way at once: one that hangs does not hold up the next. */
const MAX_READS = 3

/** What a feed needs from its surroundings. */
export interface FleetFeedParts {
  readonly env: time.Env
  readonly store: external.ObjectStore
  readonly prefix: string
  /** Decodes an entry; undefined when it describes no target. */
  readonly decode: (object: external.StoredObject) => serving.TargetRecord | undefined
  readonly fleet: fleet.Fleet
  readonly log: log.Logger
}

/** Keeps a {@link fleet.Fleet} current. */
export class FleetFeed implements Disposable {
  private timer: Disposable | undefined
  private reads = 0
  private failing = false
  private asked = 0
  private taken = 0
  private loaded = false

  constructor (private readonly parts: FleetFeedParts) {}

  /** Starts reading. */
  start (): void {
    this.tick(READ_INTERVAL_MS)
  }

  /** Whether the list was read once. */
  get ready (): boolean {
    return this.loaded
  }

  [Symbol.dispose] (): void {
    this.timer?.[Symbol.dispose]()
    this.timer = undefined
  }

  private tick (delayMs: number): void {
    this.timer = this.parts.env.timers.after(delayMs, () => this.tick(this.failing ? RETRY_INTERVAL_MS : READ_INTERVAL_MS))
    if (this.reads < MAX_READS) this.read().catch((err: unknown) => this.parts.log.error({ err }, 'target_list_failed'))
  }

  private async read (): Promise<void> {
    const turn = ++this.asked
    this.reads++
    try {
      const found = await this.parts.store.list(this.parts.prefix)
      if (found.err) this.fail(found.val.message)
      else if (turn > this.taken) this.take(found.val, turn)
    } finally {
      this.reads--
    }
  }

  private take (objects: readonly external.StoredObject[], turn: number): void {
    this.taken = turn
    const records: serving.TargetRecord[] = []
    for (const object of objects) {
      const record = this.parts.decode(object)
      if (record !== undefined) records.push(record)
    }
    this.parts.fleet.apply(records)
    this.loaded = true
    if (this.failing) this.parts.log.info({ dependency: 'target_list', targets: records.length }, 'dependency_regained')
    this.failing = false
  }

  private fail (reason: string): void {
    this.parts.fleet.listFailed()
    if (!this.failing) this.parts.log.warn({ dependency: 'target_list', reason }, 'dependency_lost')
    this.failing = true
  }
}
