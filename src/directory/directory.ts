/** Registers this gateway, finds the others in the store, and chooses those that are recommended to callers. */
import type * as errors from '../errors/index.js'
import * as exchange from '../exchange/index.js'
import * as external from '../external/index.js'
import type * as log from '../log/index.js'
import * as time from '../time/index.js'
import * as validation from '../validation/index.js'

/** Key prefix of the objects with which gateways register. */
export const GATEWAYS_PREFIX = 'godwitpoint-gateways/'

/** Time between two checks whether the list of gateways has to be read, in ms. */
const CHECK_INTERVAL_MS = 500

/** Time between two reads of the list by a relay, in ms, and by a member, to which its relay tells changes. */
const RELAY_READ_INTERVAL_MS = 2_000
const MEMBER_READ_INTERVAL_MS = 20_000

/** Time for which a gateway that does not reply still counts among those that share the retry budget, in ms. */
const BUDGET_SHARE_LIFE_MS = 12_000

/**
 * Time after the start of a process for which it recommends all registered gateways while fewer than half are known to
 * serve, in ms: after a failure of all gateways, the first to return would otherwise get all callers, who keep their
 * connections.
 */
const STARTUP_GRACE_MS = 3_000

/** Maximum number of gateways recommended in one response to a caller. */
const MAX_ADVISED = 64

/** Longest stored record that is read, in characters; its names are logged. */
const MAX_RECORD_CHARS = 1_024

/** Part of the key of a malformed record that is logged, in characters. */
const MAX_LOGGED_KEY_CHARS = 100

/** Malformed records whose version is remembered, so that each is logged once. */
const MAX_REMEMBERED_MALFORMED = 100

/** Dependencies of the directory. */
export interface DirectoryDeps {
  readonly env: time.Env
  readonly store: external.ObjectStore
  readonly eras: external.StoreEras
  readonly self: exchange.GatewayRecord
  readonly roster: exchange.Roster
  /** Whether this gateway is a relay. */
  readonly isRelay: () => boolean
  /** Whether this gateway currently serves callers. */
  readonly ready: () => boolean
  readonly log: log.Logger
}

/** Finds gateways through the store, and recommends those of the roster that serve. */
export class Directory implements AsyncDisposable {
  private task: time.RepeatingTask | undefined
  private registration: external.StoredObject | undefined
  private listedBefore = false
  private startedAt = -Infinity
  private readAt = -Infinity
  /** Versions of malformed records that were logged. */
  private readonly malformed = new Set<number>()

  constructor (private readonly deps: DirectoryDeps) {}

  /** Registers this gateway and starts to read the list. */
  start (): void {
    const { env: { clock, timers }, log } = this.deps
    this.startedAt = clock.now()
    this.task = new time.RepeatingTask(timers, CHECK_INTERVAL_MS, async () => await this.updateList(), (err) => log.error({ err }, 'directory_failed'))
    this.task.runNow()
  }

  /**
   * Addresses for a caller, including this gateway's own; all registered ones when none, or shortly after the start too
   * few, are known to serve.
   */
  addresses (): string[] {
    const { roster, self } = this.deps
    const ready = this.deps.ready()
    const readyAddresses = roster.ready().map((record) => record.front)
    const registeredAddresses = roster.all().map((record) => record.front)
    if (ready) readyAddresses.push(self.front)
    if (readyAddresses.length > 0 && !this.adviseAllAtStart(readyAddresses.length, registeredAddresses.length)) return this.sampleAddresses(readyAddresses)
    if (ready) registeredAddresses.push(self.front)
    return this.sampleAddresses(registeredAddresses)
  }

  /** Whether this gateway is registered; it has read the list then. */
  get isRegistered (): boolean {
    return this.registration !== undefined
  }

  /** Whether the list named this gateway before this process registered, so that the others counted it already. */
  get wasListed (): boolean {
    return this.listedBefore
  }

  /** Names of the gateways that are up, including this one. */
  gatewayNames (): string[] {
    return [this.deps.self.name, ...this.deps.roster.upWithin(0).map((record) => record.name)]
  }

  /** Number of gateways that may be sending requests to targets, including this one. */
  get gatewayCount (): number {
    return 1 + this.deps.roster.upWithin(BUDGET_SHARE_LIFE_MS).length
  }

  /** Stops reading and deregisters this gateway. */
  async [Symbol.asyncDispose] (): Promise<void> {
    this.task?.[Symbol.dispose]()
    if (this.registration === undefined) return
    let result = await this.deregister(this.registration)
    if (result.err && result.val.kind === 'conflict') {
      // The store may have been restored: the registration has another version then, or was lost.
      const current = await this.readOwn()
      if (current.ok && (current.val === undefined || !this.isOwn(current.val))) return
      result = current.ok ? await this.deregister(current.val!) : current
    }
    if (result.err) this.deps.log.warn({ reason: result.val.message }, 'deregister_failed')
  }

  private async deregister (registration: external.StoredObject): Promise<errors.Result<void, external.StoreError>> {
    return await this.deps.store.delete(registration.key, registration.version)
  }

  // Of more gateways than may be recommended, each response gets a random sample, so that callers spread over all.
  private sampleAddresses (addresses: string[]): string[] {
    if (addresses.length <= MAX_ADVISED) return addresses
    const { random } = this.deps.env
    for (let index = 0; index < MAX_ADVISED; index++) {
      const otherIndex = index + Math.floor(random.next() * (addresses.length - index))
      const address = addresses[otherIndex]!
      addresses[otherIndex] = addresses[index]!
      addresses[index] = address
    }
    return addresses.slice(0, MAX_ADVISED)
  }

  private adviseAllAtStart (readyCount: number, otherCount: number): boolean {
    return this.deps.env.clock.now() - this.startedAt < STARTUP_GRACE_MS && 2 * readyCount < otherCount + 1
  }

  private async updateList (): Promise<void> {
    const now = this.deps.env.clock.now()
    if (this.registration !== undefined && this.isOutdated(this.registration)) await this.registerAgain()
    const intervalMs = this.deps.isRelay() ? RELAY_READ_INTERVAL_MS : MEMBER_READ_INTERVAL_MS
    if (this.registration !== undefined && now - this.readAt < intervalMs) return
    // Once this gateway is registered a stale list is enough: gateways that register later find it.
    const objects = await this.readList(this.registration === undefined ? 'default' : 'stale_ok')
    if (objects === undefined || this.registration !== undefined || !await this.register(objects)) return
    // Gateways that register concurrently are in this list, or find this one in theirs.
    await this.readList('default')
  }

  // The restored store may hold this registration, an earlier one under this name, or none.
  private async registerAgain (): Promise<void> {
    const stored = await this.readOwn()
    if (stored.err) return
    const isKept = stored.val !== undefined && this.isOwn(stored.val)
    if (isKept) this.registration = stored.val
    else if (!await this.put(stored.val)) return
    this.deps.log.info({ era: this.deps.eras.current, kept: isKept }, 'gateway_registered_again')
  }

  private async readOwn (): Promise<errors.Result<external.StoredObject | undefined, external.StoreError>> {
    return await this.deps.store.get(GATEWAYS_PREFIX + this.deps.self.name)
  }

  /** Whether a registration was written in an earlier era of the store, and may be lost. */
  private isOutdated (registration: external.StoredObject): boolean {
    return external.eraOf(registration.version) < (this.deps.eras.current ?? 0)
  }

  private isOwn (object: external.StoredObject): boolean {
    const record = decodeRecord(object.value)
    return record?.name === this.deps.self.name && record.incarnation === this.deps.self.incarnation
  }

  private async readList (mode: external.ReadMode): Promise<readonly external.StoredObject[] | undefined> {
    const list = await this.deps.store.list(GATEWAYS_PREFIX, mode)
    if (list.err) return undefined
    this.readAt = this.deps.env.clock.now()
    const records = list.val.flatMap((object) => this.decode(object) ?? [])
    this.deps.roster.addListed(records)
    this.deps.roster.keepListed(new Set(records.map((record) => record.name)))
    return list.val
  }

  private decode (object: external.StoredObject): exchange.GatewayRecord | undefined {
    const record = decodeRecord(object.value)
    const { self } = this.deps
    if (record === undefined) this.noteMalformed(object)
    else if (record.name === self.name && record.incarnation === self.incarnation) this.registration ??= object
    else if (record.name === self.name) this.listedBefore = true
    return record
  }

  private noteMalformed ({ key, version }: external.StoredObject): void {
    if (this.malformed.has(version)) return
    if (this.malformed.size >= MAX_REMEMBERED_MALFORMED) this.malformed.delete(this.malformed.values().next().value!)
    this.malformed.add(version)
    this.deps.log.warn({ key: key.slice(0, MAX_LOGGED_KEY_CHARS) }, 'gateway_record_malformed')
  }

  private async register (objects: readonly external.StoredObject[]): Promise<boolean> {
    const key = GATEWAYS_PREFIX + this.deps.self.name
    return await this.put(objects.find((object) => object.key === key))
  }

  private async put (previous: external.StoredObject | undefined): Promise<boolean> {
    const { self, store } = this.deps
    const put = await store.put(GATEWAYS_PREFIX + self.name, JSON.stringify(self), previous?.version ?? 'absent')
    if (put.ok) this.registration = put.val
    return put.ok
  }
}

/** Other writers may put anything there: undefined for an object that is no record of a gateway. */
function decodeRecord (text: string): exchange.GatewayRecord | undefined {
  return text.length > MAX_RECORD_CHARS ? undefined : validation.decodeJson(exchange.GatewayRecord, text)
}
