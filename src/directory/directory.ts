/** Which gateways there are and which of them callers are told. */
import type * as external from '../external/index.js'
import * as fleet from '../fleet/index.js'
import type * as log from '../log/index.js'
import type * as peer from '../peer/index.js'
import * as time from '../time/index.js'
import * as z from 'zod'

/** Prefix of the objects with which gateways make themselves known. */
export const GATEWAYS_PREFIX = 'godwitpoint-gateways/'

/** Methods of the question whether a gateway is ready, and of the notice that one has started. */
const READY_METHOD = 'gateway.ready'
const STARTED_METHOD = 'gateway.started'

/** Time between two reads of the list, in ms. */
const LIST_MS = 2_000

/** Shortest and longest time between two questions to a gateway, in ms; the longest leaves two within the life of an answer. */
const ASK_MIN_MS = 120
const ASK_MAX_MS = 500

/** Time between two questions to anyone, in ms, while the bounds above allow it: what this costs must not grow with the square of the gateways. */
const ASK_EACH_MS = 15

/** Time allowed for an answer of a gateway, in ms. */
const ANSWER_MS = 400

/** Age up to which an answer counts, in ms. */
const ANSWER_LIFE_MS = 1_300

/** Time for which a gateway that does not answer still counts among those that share the retry budget, in ms. */
const SHARE_LIFE_MS = 12_000

/**
 * Time after the start of a process for which it names all registered gateways while fewer than half are known to serve, in
 * ms: after a loss of all, those that come back first would get all callers, and keep their connections.
 */
const SPREAD_MS = 3_000

/** Gateways named in one answer to a caller. */
const MAX_NAMED = 64

const GatewayRecord = z.object({ name: z.string(), incarnation: z.string(), front: z.string(), peer: z.string(), domain: z.string() })
/** A gateway as it makes itself known. */
export type GatewayRecord = z.infer<typeof GatewayRecord>

const ReadyAnswer = z.object({ incarnation: z.string(), ready: z.boolean(), load: z.array(fleet.LoadRow), cache: fleet.CacheBatch })

/** The position up to which the one that asks knows what engines keep. */
const ReadyQuestion = z.object({ cacheSince: z.int().optional() })

interface KnownGateway {
  record: GatewayRecord
  answeredAt: number
  readonly listedAt: number
  ready: boolean
  /** Position in what the gateway tells of engines. */
  cacheNext: number | undefined
}

/** What a directory needs from its surroundings. */
export interface DirectoryDeps {
  readonly env: time.Env
  readonly store: external.ObjectStore
  readonly peers: peer.Peers
  readonly self: GatewayRecord
  /** Exchanges load with the other gateways. */
  readonly fleet: fleet.Fleet
  /** Whether this gateway serves callers now. */
  readonly ready: () => boolean
  readonly log: log.Logger
}

/** Gateways found through the store and asked directly whether they serve. */
export class Directory implements AsyncDisposable {
  private readonly known = new Map<string, KnownGateway>()
  private readonly tasks: Disposable[] = []
  private asking: Disposable | undefined
  private registered: external.StoredObject | undefined
  private announced = false
  private startedAt = -Infinity

  constructor (private readonly deps: DirectoryDeps) {
    deps.peers.handle(READY_METHOD, async (params) => ({
      incarnation: deps.self.incarnation,
      ready: deps.ready(),
      load: deps.fleet.loadRows(),
      cache: deps.fleet.cacheUpdates.changesSince(ReadyQuestion.parse(params).cacheSince)
    }))
    deps.peers.handle(STARTED_METHOD, async (params) => {
      this.take(GatewayRecord.parse(params), true)
      return {}
    })
  }

  /** Makes this gateway known and starts to ask the others. */
  start (): void {
    const { env: { clock, timers }, log } = this.deps
    this.startedAt = clock.now()
    const list = new time.RepeatingTask(timers, LIST_MS, async () => await this.update(), (err) => log.error({ err }, 'directory_failed'))
    list.runNow()
    this.tasks.push(list)
    this.askInTurn()
  }

  /** Addresses for a caller, this gateway's own included; all known ones when none, or at first too few, are known to serve. */
  addresses (): string[] {
    const ready = [...this.known.values()].filter((one) => one.ready && this.answers(one)).map((one) => one.record.front)
    if (this.deps.ready()) ready.push(this.deps.self.front)
    const registered = [...this.known.values()].map((one) => one.record.front)
    if (ready.length > 0 && !this.mustSpread(ready.length, registered.length)) return this.sample(ready)
    if (this.deps.ready()) registered.push(this.deps.self.front)
    return this.sample(registered)
  }

  // Of more gateways than may be named, each answer names others, so that callers spread over all.
  private sample (addresses: string[]): string[] {
    if (addresses.length <= MAX_NAMED) return addresses
    const { random } = this.deps.env
    for (let index = 0; index < MAX_NAMED; index++) {
      const other = index + Math.floor(random.next() * (addresses.length - index))
      const address = addresses[other]!
      addresses[other] = addresses[index]!
      addresses[index] = address
    }
    return addresses.slice(0, MAX_NAMED)
  }

  private mustSpread (ready: number, others: number): boolean {
    return this.deps.env.clock.now() - this.startedAt < SPREAD_MS && 2 * ready < others + 1
  }

  /** Names of the gateways that answer, this one included; right after they are listed they count as answering. */
  names (): string[] {
    const now = this.deps.env.clock.now()
    const others = [...this.known.values()].filter((one) => this.answers(one) || now - one.listedAt < SPREAD_MS).map((one) => one.record.name)
    return [this.deps.self.name, ...others]
  }

  /** Addresses at which the other gateways are asked. */
  peerAddresses (): string[] {
    return [...this.known.values()].map((one) => one.record.peer)
  }

  /** Gateways that may be sending requests, this one included. */
  get size (): number {
    const now = this.deps.env.clock.now()
    return 1 + [...this.known.values()].filter((one) => now - one.answeredAt < SHARE_LIFE_MS).length
  }

  /** Takes this gateway out of the list. */
  async [Symbol.asyncDispose] (): Promise<void> {
    for (const task of this.tasks) task[Symbol.dispose]()
    this.asking?.[Symbol.dispose]()
    const registered = this.registered
    if (registered === undefined) return
    const done = await this.deps.store.delete(registered.key, registered.version)
    if (done.err) this.deps.log.warn({ reason: done.val.message }, 'deregister_failed')
  }

  private async update (): Promise<void> {
    // Once this gateway has made itself known, an old state will do: those that start tell it so.
    const listed = await this.readList(this.announced ? 'stale_ok' : 'default')
    if (listed === undefined || this.announced) return
    if (this.registered === undefined && !await this.register(listed)) return
    // Gateways that register at the same moment are in this list, or find this one in theirs.
    if (await this.readList('default') === undefined) return
    this.announced = true
    for (const { record } of this.known.values()) this.tell(record)
  }

  private async readList (mode: external.ReadMode): Promise<readonly external.StoredObject[] | undefined> {
    const listed = await this.deps.store.list(GATEWAYS_PREFIX, mode)
    if (listed.err) return undefined
    const names = new Set<string>()
    for (const object of listed.val) {
      const parsed = GatewayRecord.safeParse(JSON.parse(object.value))
      if (!parsed.success) continue
      names.add(parsed.data.name)
      this.noteOwn(parsed.data, object)
      this.take(parsed.data, false)
    }
    for (const [name, known] of [...this.known]) {
      if (!names.has(name) && !this.answers(known)) this.known.delete(name)
    }
    return listed.val
  }

  private noteOwn (record: GatewayRecord, object: external.StoredObject): void {
    const { self } = this.deps
    if (record.name === self.name && record.incarnation === self.incarnation && this.registered === undefined) this.registered = object
  }

  private take (record: GatewayRecord, toldByItself: boolean): void {
    const known = this.known.get(record.name)
    if (record.name === this.deps.self.name || known?.record.incarnation === record.incarnation) return
    const now = this.deps.env.clock.now()
    // An old list may name the start before the one that answers.
    if (known !== undefined && !toldByItself && this.answers(known)) return
    this.known.set(record.name, { record, answeredAt: now - ANSWER_LIFE_MS, listedAt: now, ready: false, cacheNext: undefined })
    this.deps.log.info({ gateway: record.name, front: record.front }, 'gateway_listed')
    this.ask(this.known.get(record.name)!)
  }

  private async register (listed: readonly external.StoredObject[]): Promise<boolean> {
    const { self, store } = this.deps
    const key = GATEWAYS_PREFIX + self.name
    const last = listed.find((object) => object.key === key)
    const put = await store.put(key, JSON.stringify(self), last?.version ?? 'absent')
    if (put.ok) this.registered = put.val
    return put.ok
  }

  private tell (record: GatewayRecord): void {
    this.deps.peers.call<unknown>(record.peer, STARTED_METHOD, this.deps.self, ANSWER_MS).then(
      (answer) => { if (answer.err) this.deps.log.info({ gateway: record.name, reason: answer.val.message }, 'gateway_not_told') },
      (err: unknown) => this.deps.log.error({ err, gateway: record.name }, 'gateway_tell_failed')
    )
  }

  private answers (known: KnownGateway): boolean {
    return this.deps.env.clock.now() - known.answeredAt < ANSWER_LIFE_MS
  }

  private askInTurn (): void {
    for (const known of this.known.values()) this.ask(known)
    const intervalMs = Math.min(ASK_MAX_MS, Math.max(ASK_MIN_MS, ASK_EACH_MS * this.known.size))
    this.asking = this.deps.env.timers.after(intervalMs, () => this.askInTurn())
  }

  private ask ({ record, cacheNext }: KnownGateway): void {
    this.deps.peers.call<unknown>(record.peer, READY_METHOD, { cacheSince: cacheNext }, ANSWER_MS).then(
      (answer) => { if (answer.ok) this.answered(record, answer.val) },
      (err: unknown) => this.deps.log.error({ err, gateway: record.name }, 'gateway_ask_failed')
    )
  }

  private answered (record: GatewayRecord, answer: unknown): void {
    const parsed = ReadyAnswer.safeParse(answer)
    const known = this.known.get(record.name)
    if (!parsed.success || known?.record.incarnation !== parsed.data.incarnation) return
    if (known.ready !== parsed.data.ready) this.deps.log.info({ gateway: record.name, ready: parsed.data.ready }, 'gateway_state')
    known.ready = parsed.data.ready
    known.answeredAt = this.deps.env.clock.now()
    this.deps.fleet.peerLoad.apply(record.name, parsed.data.load, known.answeredAt)
    // Questions overlap: an answer to an earlier one repeats what a later one has brought.
    if (known.cacheNext !== undefined && parsed.data.cache.next <= known.cacheNext) return
    known.cacheNext = parsed.data.cache.next
    this.deps.fleet.applyCacheRows(parsed.data.cache.rows)
  }
}
