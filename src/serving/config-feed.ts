/** Keeps the configuration current by reading it from the store. */
import type * as external from '../external/index.js'
import type * as log from '../log/index.js'
import * as time from '../time/index.js'
import type * as metrics from '../metrics/index.js'
import type * as serving from './types.js'
import * as freshness from './freshness.js'
import type * as elapsedClock from './elapsed-clock.js'
import * as routeTable from './route-table.js'

/** Part of the time in which a change has to be in force that lies between two reads; one of them may fail. */
const INTERVAL_SHARE = 0.45

/** Time to the next read after one failed, in ms. */
const RETRY_INTERVAL_MS = 250

/** What a feed needs from its surroundings. */
export interface ConfigFeedDeps {
  readonly env: time.Env
  readonly elapsed: elapsedClock.ElapsedClock
  readonly store: external.ObjectStore
  readonly key: string
  /** Time after its acknowledgement at which a change has to be in force, in ms. */
  readonly propagationMs: number
  /** Decodes the stored text; throws when it is not a configuration. */
  readonly decode: (text: string) => serving.ServingConfig
  readonly log: log.Logger
  readonly metrics: metrics.Metrics
}

/** Reads the configuration at intervals; a version never goes back. */
export class ConfigFeed implements Disposable {
  readonly freshness: freshness.Freshness
  private table: routeTable.RouteTable | undefined
  private storeVersion = 0
  private readonly poll: time.Poller
  private failing = false
  private readonly listeners: Array<(config: serving.ServingConfig) => void> = []

  constructor (private readonly deps: ConfigFeedDeps) {
    this.freshness = new freshness.Freshness(deps.elapsed)
    this.poll = new time.Poller({
      timers: deps.env.timers,
      intervalMs: INTERVAL_SHARE * deps.propagationMs,
      retryMs: RETRY_INTERVAL_MS,
      read: async () => await this.read(),
      onError: (err) => deps.log.error({ err }, 'config_read_failed')
    })
  }

  /** Starts reading. */
  start (): void {
    this.poll.start()
  }

  /** The newest version that was read. */
  current (): routeTable.RouteTable | undefined {
    return this.table
  }

  /** Calls `listener` with each new version. */
  onChange (listener: (config: serving.ServingConfig) => void): void {
    this.listeners.push(listener)
  }

  /** Reads at once; for a request that the known configuration does not allow. */
  async refresh (): Promise<void> {
    await this.poll.readNow()
  }

  [Symbol.dispose] (): void {
    this.poll[Symbol.dispose]()
  }

  private async read (): Promise<boolean> {
    const askedAt = this.freshness.startRead()
    const found = await this.deps.store.get(this.deps.key)
    if (found.err) this.noteFailure(found.val.message)
    else this.take(found.val, askedAt)
    return !this.failing
  }

  private take (object: external.StoredObject | undefined, askedAt: number): void {
    if (object === undefined) {
      this.noteFailure('there is no configuration yet')
      return
    }
    if (object.version < this.storeVersion) return
    if (object.version > this.storeVersion && !this.apply(object)) return
    this.freshness.confirm(askedAt)
    if (!this.failing) return
    this.failing = false
    this.deps.log.info({ dependency: 'config', version: this.table?.config.version }, 'dependency_regained')
  }

  private apply (object: external.StoredObject): boolean {
    try {
      const config = this.deps.decode(object.value)
      if (this.table !== undefined && config.version < this.table.config.version) {
        this.deps.log.warn({ version: config.version, held: this.table.config.version }, 'config_older_ignored')
        return false
      }
      this.storeVersion = object.version
      this.table = new routeTable.RouteTable(config)
      this.deps.log.info({ version: config.version, revision: object.version, routes: config.routes.length }, 'config_applied')
      for (const listener of this.listeners) listener(config)
      return true
    } catch (err) {
      this.noteFailure(err instanceof Error ? err.message : String(err))
      return false
    }
  }

  private noteFailure (reason: string): void {
    this.deps.metrics.count('godwitpoint_config_read_failures_total')
    if (this.failing) return
    this.failing = true
    this.deps.log.warn({ dependency: 'config', reason, age_ms: Math.round(this.freshness.ageMs) }, 'dependency_lost')
  }
}
