/** Discovers the gateways and chooses those that are recommended to callers. */
import type * as external from '../external/index.js'
import * as fleet from '../fleet/index.js'
import type * as log from '../log/index.js'
import type * as peer from '../peer/index.js'
import * as time from '../time/index.js'
import * as z from 'zod'

/** Key prefix of the objects with which gateways register. */
export const GATEWAYS_PREFIX = 'godwitpoint-gateways/'

/** Peer methods: a poll for readiness, load and cache changes, and the announcement that a gateway has started. */
const READY_METHOD = 'gateway.ready'
const STARTED_METHOD = 'gateway.started'

/** Time between two reads of the list of gateways, in ms. */
const LIST_INTERVAL_MS = 2_000

/** Limits of the time between two polls of a gateway, in ms; the longest allows two polls within the life of a reply. */
const MIN_POLL_INTERVAL_MS = 120
const MAX_POLL_INTERVAL_MS = 500

/**
 * Average time between two polls that this gateway sends, in ms, within the limits above: the cost of all polls must not
 * grow with the square of the number of gateways.
 */
const POLL_SPACING_MS = 15

/** Time allowed for a reply of a gateway, in ms. */
const REPLY_TIMEOUT_MS = 400

/** Age up to which a reply shows that a gateway is responsive, in ms. */
const REPLY_LIFE_MS = 1_300

/** Time for which a gateway that does not reply still counts among those that share the retry budget, in ms. */
const BUDGET_SHARE_LIFE_MS = 12_000

/**
 * Time after the start of a process for which it recommends all registered gateways while fewer than half are known to
 * serve, in ms: after a failure of all gateways, the first to return would otherwise get all callers, who keep their
 * connections. Also the time for which a newly listed gateway counts as responsive.
 */
const STARTUP_GRACE_MS = 3_000

/** Maximum number of gateways recommended in one response to a caller. */
const MAX_ADVISED = 64

const GatewayRecord = z.object({ name: z.string(), incarnation: z.string(), front: z.string(), peer: z.string(), domain: z.string() })
/** A gateway as it registers itself. */
export type GatewayRecord = z.infer<typeof GatewayRecord>

const ReadyRes = z.object({ incarnation: z.string(), ready: z.boolean(), load: z.array(fleet.LoadRow), cache: fleet.CacheBatch })

/** `cacheSince` is the position up to which the polling gateway knows the cache changes of the engines. */
const ReadyReq = z.object({ cacheSince: z.int().optional() })

interface KnownGateway {
  record: GatewayRecord
  repliedAt: number
  readonly listedAt: number
  ready: boolean
  /** Position in the gateway's cache changes from which the next poll continues. */
  cachePosition: number | undefined
}

/** Dependencies of the directory. */
export interface DirectoryDeps {
  readonly env: time.Env
  readonly store: external.ObjectStore
  readonly peers: peer.Peers
  readonly self: GatewayRecord
  /** Source of the load and cache changes that are sent to the other gateways, and receiver of theirs. */
  readonly fleet: fleet.Fleet
  /** Whether this gateway currently serves callers. */
  readonly ready: () => boolean
  readonly log: log.Logger
}

/** Finds gateways through the store and polls them directly for whether they serve. */
export class Directory implements AsyncDisposable {
  private readonly gateways = new Map<string, KnownGateway>()
  private readonly tasks: Disposable[] = []
  private pollTimer: Disposable | undefined
  private registration: external.StoredObject | undefined
  private announced = false
  private startedAt = -Infinity

  constructor (private readonly deps: DirectoryDeps) {
    deps.peers.handle(READY_METHOD, async (params) => ({
      incarnation: deps.self.incarnation,
      ready: deps.ready(),
      load: deps.fleet.loadRows(),
      cache: deps.fleet.cacheUpdates.changesSince(ReadyReq.parse(params).cacheSince)
    }))
    deps.peers.handle(STARTED_METHOD, async (params) => {
      this.addRecord(GatewayRecord.parse(params), true)
      return {}
    })
  }

  /** Registers this gateway and starts to poll the others. */
  start (): void {
    const { env: { clock, timers }, log } = this.deps
    this.startedAt = clock.now()
    const listTask = new time.RepeatingTask(timers, LIST_INTERVAL_MS, async () => await this.updateList(), (err) => log.error({ err }, 'directory_failed'))
    listTask.runNow()
    this.tasks.push(listTask)
    this.pollAll()
  }

  /**
   * Addresses for a caller, including this gateway's own; all registered ones when none, or shortly after the start too
   * few, are known to serve.
   */
  addresses (): string[] {
    const readyAddresses = [...this.gateways.values()].filter((gateway) => gateway.ready && this.isResponsive(gateway)).map((gateway) => gateway.record.front)
    if (this.deps.ready()) readyAddresses.push(this.deps.self.front)
    const registeredAddresses = [...this.gateways.values()].map((gateway) => gateway.record.front)
    if (readyAddresses.length > 0 && !this.adviseAllAtStart(readyAddresses.length, registeredAddresses.length)) return this.sampleAddresses(readyAddresses)
    if (this.deps.ready()) registeredAddresses.push(this.deps.self.front)
    return this.sampleAddresses(registeredAddresses)
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

  /** Names of the responsive gateways, including this one; newly listed ones count as responsive for a while. */
  gatewayNames (): string[] {
    const now = this.deps.env.clock.now()
    const others = [...this.gateways.values()].filter((gateway) => this.isResponsive(gateway) || now - gateway.listedAt < STARTUP_GRACE_MS).map((gateway) => gateway.record.name)
    return [this.deps.self.name, ...others]
  }

  /** Peer addresses of the other gateways. */
  peerAddresses (): string[] {
    return [...this.gateways.values()].map((gateway) => gateway.record.peer)
  }

  /** Number of gateways that may be sending requests to targets, including this one. */
  get gatewayCount (): number {
    const now = this.deps.env.clock.now()
    return 1 + [...this.gateways.values()].filter((gateway) => now - gateway.repliedAt < BUDGET_SHARE_LIFE_MS).length
  }

  /** Stops polling and deregisters this gateway. */
  async [Symbol.asyncDispose] (): Promise<void> {
    for (const task of this.tasks) task[Symbol.dispose]()
    this.pollTimer?.[Symbol.dispose]()
    const registration = this.registration
    if (registration === undefined) return
    const result = await this.deps.store.delete(registration.key, registration.version)
    if (result.err) this.deps.log.warn({ reason: result.val.message }, 'deregister_failed')
  }

  private async updateList (): Promise<void> {
    // Once this gateway has announced itself, a stale list is enough: gateways that start announce themselves to it.
    const objects = await this.readList(this.announced ? 'stale_ok' : 'default')
    if (objects === undefined || this.announced) return
    if (this.registration === undefined && !await this.register(objects)) return
    // Gateways that register concurrently are in this list, or find this one in theirs.
    if (await this.readList('default') === undefined) return
    this.announced = true
    for (const { record } of this.gateways.values()) this.announceTo(record)
  }

  private async readList (mode: external.ReadMode): Promise<readonly external.StoredObject[] | undefined> {
    const list = await this.deps.store.list(GATEWAYS_PREFIX, mode)
    if (list.err) return undefined
    const names = new Set<string>()
    for (const object of list.val) {
      const parsed = GatewayRecord.safeParse(JSON.parse(object.value))
      if (!parsed.success) continue
      names.add(parsed.data.name)
      this.noteOwnRegistration(parsed.data, object)
      this.addRecord(parsed.data, false)
    }
    for (const [name, gateway] of [...this.gateways]) {
      if (!names.has(name) && !this.isResponsive(gateway)) this.gateways.delete(name)
    }
    return list.val
  }

  private noteOwnRegistration (record: GatewayRecord, object: external.StoredObject): void {
    const { self } = this.deps
    if (record.name === self.name && record.incarnation === self.incarnation && this.registration === undefined) this.registration = object
  }

  private addRecord (record: GatewayRecord, announcedByItself: boolean): void {
    const existing = this.gateways.get(record.name)
    if (record.name === this.deps.self.name || existing?.record.incarnation === record.incarnation) return
    const now = this.deps.env.clock.now()
    // A stale list may hold an earlier incarnation than the one that replies.
    if (existing !== undefined && !announcedByItself && this.isResponsive(existing)) return
    this.gateways.set(record.name, { record, repliedAt: now - REPLY_LIFE_MS, listedAt: now, ready: false, cachePosition: undefined })
    this.deps.log.info({ gateway: record.name, front: record.front }, 'gateway_listed')
    this.poll(this.gateways.get(record.name)!)
  }

  private async register (objects: readonly external.StoredObject[]): Promise<boolean> {
    const { self, store } = this.deps
    const key = GATEWAYS_PREFIX + self.name
    const previous = objects.find((object) => object.key === key)
    const put = await store.put(key, JSON.stringify(self), previous?.version ?? 'absent')
    if (put.ok) this.registration = put.val
    return put.ok
  }

  private announceTo (record: GatewayRecord): void {
    this.deps.peers.call<unknown>(record.peer, STARTED_METHOD, this.deps.self, REPLY_TIMEOUT_MS).then(
      (reply) => { if (reply.err) this.deps.log.info({ gateway: record.name, reason: reply.val.message }, 'gateway_not_told') },
      (err: unknown) => this.deps.log.error({ err, gateway: record.name }, 'gateway_tell_failed')
    )
  }

  private isResponsive (gateway: KnownGateway): boolean {
    return this.deps.env.clock.now() - gateway.repliedAt < REPLY_LIFE_MS
  }

  private pollAll (): void {
    for (const gateway of this.gateways.values()) this.poll(gateway)
    const intervalMs = Math.min(MAX_POLL_INTERVAL_MS, Math.max(MIN_POLL_INTERVAL_MS, POLL_SPACING_MS * this.gateways.size))
    this.pollTimer = this.deps.env.timers.after(intervalMs, () => this.pollAll())
  }

  private poll ({ record, cachePosition }: KnownGateway): void {
    this.deps.peers.call<unknown>(record.peer, READY_METHOD, { cacheSince: cachePosition }, REPLY_TIMEOUT_MS).then(
      (reply) => { if (reply.ok) this.applyReply(record, reply.val) },
      (err: unknown) => this.deps.log.error({ err, gateway: record.name }, 'gateway_ask_failed')
    )
  }

  private applyReply (record: GatewayRecord, reply: unknown): void {
    const parsed = ReadyRes.safeParse(reply)
    const gateway = this.gateways.get(record.name)
    if (!parsed.success || gateway?.record.incarnation !== parsed.data.incarnation) return
    if (gateway.ready !== parsed.data.ready) this.deps.log.info({ gateway: record.name, ready: parsed.data.ready }, 'gateway_state')
    gateway.ready = parsed.data.ready
    gateway.repliedAt = this.deps.env.clock.now()
    this.deps.fleet.peerLoad.apply(record.name, parsed.data.load, gateway.repliedAt)
    // Polls overlap: the reply to an earlier poll repeats changes that a later one has delivered.
    if (gateway.cachePosition !== undefined && parsed.data.cache.next <= gateway.cachePosition) return
    gateway.cachePosition = parsed.data.cache.next
    this.deps.fleet.applyCacheRows(parsed.data.cache.rows)
  }
}
