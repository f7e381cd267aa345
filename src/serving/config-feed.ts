/**
 * Keeps the configuration up to date. Relays poll the store; members get the configuration and its age from their relay, and
 * read the store themselves when that is too old.
 */
import * as z from 'zod'
import type * as exchange from '../exchange/index.js'
import * as external from '../external/index.js'
import type * as log from '../log/index.js'
import * as time from '../time/index.js'
import type * as metrics from '../metrics/index.js'
import type * as serving from './types.js'
import * as freshness from './freshness.js'
import type * as elapsedClock from './elapsed-clock.js'
import * as routeTable from './route-table.js'

/** Interval between two reads as a share of the propagation bound: one of two reads within the bound may fail. */
const READ_INTERVAL_SHARE = 0.45

/** Time from a failed read to the next one, in ms. */
const RETRY_INTERVAL_MS = 250

/** Looks for a newer configuration in progress at once; further requests that the copy does not allow do without. */
const MAX_CONCURRENT_LOOKS = 3

/**
 * Age beyond the read interval up to which a member waits for its relay, as a share of the propagation bound: the read of the
 * relay, several exchanges and one that is late. With 350 ms, members of busy relays read the store as often as the relays did.
 */
const RELAY_SLACK_SHARE = 0.2

/**
 * Largest configuration that a relay passes on, in characters; members read a larger one from the store, whose link is
 * faster than that of a relay with many members.
 */
const MAX_RELAYED_CHARS = 48 * 1024

/**
 * Version in the store, the operators' version number, the age when this was sent, the text unless it is too large or known
 * already, and the latest era of the store.
 */
const ConfigState = z.object({ version: z.int(), number: z.number(), ageMs: z.number(), text: z.string().optional(), era: z.int().optional() })
type ConfigState = z.infer<typeof ConfigState>

/** Dependencies of the configuration feed. */
export interface ConfigFeedDeps {
  readonly env: time.Env
  readonly elapsed: elapsedClock.ElapsedClock
  readonly store: external.ObjectStore
  readonly eras: external.StoreEras
  readonly key: string
  /** Bound on the time from the acknowledgement of a change until it is in force, in ms. */
  readonly propagationMs: number
  /** Whether this gateway reads for itself; a member of a relay does not. */
  readonly isReader: () => boolean
  /** Decodes the stored text; throws when it is not a valid configuration. */
  readonly decode: (text: string) => serving.ServingConfig
  readonly log: log.Logger
  readonly metrics: metrics.Metrics
}

/** Holds the configuration; an older version never replaces a newer one. */
export class ConfigFeed implements Disposable, exchange.Topic {
  readonly name = 'config'
  readonly freshness: freshness.Freshness
  private table: routeTable.RouteTable | undefined
  private storeVersion = 0
  private text = ''
  /** Operators' version number that the relay has in use. */
  private relayNumber = Infinity
  /** Store version of an older configuration that was ignored last. */
  private ignoredVersion = 0
  /** Version that another gateway uses and that was last read for, and when. */
  private toldVersion = 0
  private toldReadAt = -Infinity
  private readonly intervalMs: number
  private readonly poller: time.Poller
  /** Reads for requests that the current configuration does not allow, in progress. */
  private looking = 0
  private failing = false
  private readonly listeners: Array<(config: serving.ServingConfig) => void> = []

  constructor (private readonly deps: ConfigFeedDeps) {
    this.freshness = new freshness.Freshness(deps.elapsed)
    const intervalMs = READ_INTERVAL_SHARE * deps.propagationMs
    this.intervalMs = intervalMs
    this.poller = new time.Poller({
      timers: deps.env.timers,
      intervalMs,
      mayWaitMs: () => deps.isReader() ? 0 : intervalMs + RELAY_SLACK_SHARE * deps.propagationMs - this.freshness.ageMs,
      retryMs: RETRY_INTERVAL_MS,
      read: async () => await this.read(),
      onError: (err) => deps.log.error({ err }, 'config_read_failed')
    })
    deps.eras.onRestored(() => { if (deps.isReader()) this.readSoon() })
  }

  /** Starts polling. */
  start (): void {
    this.poller.start()
  }

  /** Route table of the newest version that was read; undefined before the first. */
  current (): routeTable.RouteTable | undefined {
    return this.table
  }

  /** Calls `listener` with each new version. */
  onChange (listener: (config: serving.ServingConfig) => void): void {
    this.listeners.push(listener)
  }

  /**
   * Looks for a newer configuration immediately, for a request that the current one does not allow. The read may be stale and
   * costs a tenth of a normal one: it can show a newer version, and confirms nothing. A copy that was confirmed more than
   * `maxAgeMs` ago is read normally.
   */
  async refresh (maxAgeMs: number): Promise<void> {
    if (this.freshness.ageMs > maxAgeMs) await this.poller.readNow()
    else if (this.looking < MAX_CONCURRENT_LOOKS) await this.lookForNewer()
  }

  // A member tells its relay only a configuration that the relay lacks: the store may hold an older one after a restore.
  changesSince (link: exchange.Link, position: number | undefined): exchange.Changes | undefined {
    if (this.table === undefined) return undefined
    const { version: number } = this.table.config
    if (link.kind === 'relay' && this.relayNumber >= number) return undefined
    const isKnown = position === this.storeVersion || this.text.length > MAX_RELAYED_CHARS
    const state: ConfigState = { version: this.storeVersion, number, ageMs: Math.ceil(this.freshness.ageMs), era: this.deps.eras.current, ...(isKnown ? {} : { text: this.text }) }
    return { next: this.storeVersion, payload: state }
  }

  apply (link: exchange.Link, payload: unknown, sentAt: number | undefined): boolean {
    const { version, number, ageMs, text, era } = ConfigState.parse(payload)
    if (era !== undefined) this.deps.eras.note(era)
    if (link.kind === 'relay') this.relayNumber = number
    if (number < this.number) {
      this.noteIgnored(version, number)
      return true
    }
    if (version > this.storeVersion || number > this.number) {
      // What the store confirmed before was the older configuration of its copy.
      const isLost = version < this.storeVersion
      if (text === undefined) this.readTold(version)
      if (text === undefined || !this.applyObject({ key: this.deps.key, version, value: text })) return false
      if (isLost) this.freshness.reset()
    }
    if (version === this.storeVersion && sentAt !== undefined) this.freshness.confirm(sentAt - ageMs)
    return true
  }

  linkEnded (link: exchange.Link): void {
    if (link.kind === 'relay') this.relayNumber = Infinity
  }

  [Symbol.dispose] (): void {
    this.poller[Symbol.dispose]()
  }

  private async lookForNewer (): Promise<void> {
    this.looking++
    try {
      const result = await this.deps.store.get(this.deps.key, 'stale_ok')
      if (result.ok && result.val !== undefined && result.val.version > this.storeVersion) this.applyObject(result.val)
    } finally {
      this.looking--
    }
  }

  // A failed read that was started before the copy in use was confirmed tells nothing about the store since then.
  private async read (): Promise<boolean> {
    const readStartedAt = this.freshness.startRead()
    const result = await this.deps.store.get(this.deps.key)
    if (result.ok) this.applyRead(result.val, readStartedAt)
    else if (readStartedAt > this.freshness.confirmedAt) this.noteFailure(result.val.message)
    return !this.failing
  }

  private applyRead (object: external.StoredObject | undefined, readStartedAt: number): void {
    if (object === undefined) {
      this.noteFailure('no configuration is stored yet')
      return
    }
    if (object.version < this.storeVersion) return
    if (object.version > this.storeVersion && !this.applyObject(object)) return
    this.freshness.confirm(readStartedAt)
    if (!this.failing) return
    this.failing = false
    this.deps.log.info({ dependency: 'config', version: this.table?.config.version }, 'dependency_regained')
  }

  /** Operators' version number of the configuration in use; minus infinity before the first. */
  private get number (): number {
    return this.table?.config.version ?? -Infinity
  }

  // The store may have lost what another gateway uses: it is read once for each version, and then at the interval.
  private readTold (version: number): void {
    const now = this.deps.env.clock.now()
    if (version === this.toldVersion && now - this.toldReadAt < this.intervalMs) return
    this.toldVersion = version
    this.toldReadAt = now
    this.readSoon()
  }

  private readSoon (): void {
    this.poller.readNow().catch((err: unknown) => this.deps.log.error({ err }, 'config_read_failed'))
  }

  private applyObject (object: external.StoredObject): boolean {
    try {
      const config = this.deps.decode(object.value)
      if (config.version < this.number) {
        this.noteIgnored(object.version, config.version)
        return false
      }
      const isChanged = config.version !== this.number || object.value !== this.text
      this.storeVersion = object.version
      this.text = object.value
      if (isChanged) this.use(config, object.version)
      return true
    } catch (err) {
      this.noteFailure(err instanceof Error ? err.message : String(err))
      return false
    }
  }

  private use (config: serving.ServingConfig, version: number): void {
    this.table = new routeTable.RouteTable(config)
    this.deps.log.info({ version: config.version, era: external.eraOf(version), revision: external.revisionOf(version), routes: config.routes.length }, 'config_applied')
    for (const listener of this.listeners) listener(config)
  }

  // A store that was restored holds an older configuration until the operators have written theirs again. It confirms
  // nothing: a change that was lost with the store may have withdrawn keys.
  private noteIgnored (storeVersion: number, number: number): void {
    if (storeVersion === this.ignoredVersion) return
    this.ignoredVersion = storeVersion
    this.deps.log.warn({ version: number, current_version: this.number, era: external.eraOf(storeVersion), revision: external.revisionOf(storeVersion) }, 'config_older_ignored')
  }

  private noteFailure (reason: string): void {
    this.deps.metrics.count('godwitpoint_config_read_failures_total')
    if (this.failing) return
    this.failing = true
    this.deps.log.warn({ dependency: 'config', reason, age_ms: Math.round(this.freshness.ageMs) }, 'dependency_lost')
  }
}
