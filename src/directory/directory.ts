/** Which gateways there are and which of them callers are told. */
import type * as external from '../external/index.js'
import * as fleet from '../fleet/index.js'
import type * as log from '../log/index.js'
import type * as peer from '../peer/index.js'
import type * as time from '../time/index.js'
import * as z from 'zod'

/** Prefix of the objects with which gateways make themselves known. */
export const GATEWAYS_PREFIX = 'godwitpoint-gateways/'

/** Method of the question whether a gateway is ready. */
const READY_METHOD = 'gateway.ready'

/** Time between two reads of the list, and between two questions to a gateway, in ms. */
const LIST_MS = 2_000
const ASK_MS = 120

/** Time allowed for an answer of a gateway, in ms. */
const ANSWER_MS = 400

/** Age up to which an answer counts, in ms. */
const ANSWER_LIFE_MS = 1_300

/** Time for which a gateway that does not answer still counts among those that share the retry budget, in ms. */
const SHARE_LIFE_MS = 12_000

/** Gateways named in one answer to a caller. */
const MAX_NAMED = 64

const GatewayRecord = z.object({ name: z.string(), incarnation: z.string(), front: z.string(), peer: z.string(), domain: z.string() })
/** A gateway as it makes itself known. */
export type GatewayRecord = z.infer<typeof GatewayRecord>

const ReadyAnswer = z.object({ incarnation: z.string(), ready: z.boolean(), load: z.array(fleet.LoadRow) })

interface Known {
  record: GatewayRecord
  answeredAt: number
  ready: boolean
}

/** What a directory needs from its surroundings. */
export interface DirectoryParts {
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
  private readonly known = new Map<string, Known>()
  private readonly timers: Disposable[] = []
  private registered: external.StoredObject | undefined
  private busy = false

  constructor (private readonly parts: DirectoryParts) {
    parts.peers.handle(READY_METHOD, async () => ({ incarnation: parts.self.incarnation, ready: parts.ready(), load: parts.fleet.loadRows() }))
  }

  /** Makes this gateway known and starts to ask the others. */
  start (): void {
    const { timers } = this.parts.env
    const update = (): void => {
      if (this.busy) return
      this.busy = true
      this.update().catch((err: unknown) => this.parts.log.error({ err }, 'directory_failed')).finally(() => { this.busy = false })
    }
    update()
    this.timers.push(timers.every(LIST_MS, update), timers.every(ASK_MS, () => this.askAll()))
  }

  /** Addresses for a caller, this gateway's own included; all known ones when none is known to serve. */
  addresses (): string[] {
    const now = this.parts.env.clock.now()
    const ready = [...this.known.values()].filter((one) => one.ready && now - one.answeredAt < ANSWER_LIFE_MS).map((one) => one.record.front)
    if (this.parts.ready()) ready.push(this.parts.self.front)
    if (ready.length > 0) return ready.slice(0, MAX_NAMED)
    return [...this.known.values()].map((one) => one.record.front).slice(0, MAX_NAMED)
  }

  /** Addresses at which the other gateways are asked. */
  peerAddresses (): string[] {
    return [...this.known.values()].map((one) => one.record.peer)
  }

  /** Gateways that may be sending requests, this one included. */
  get size (): number {
    const now = this.parts.env.clock.now()
    return 1 + [...this.known.values()].filter((one) => now - one.answeredAt < SHARE_LIFE_MS).length
  }

  /** Takes this gateway out of the list. */
  async [Symbol.asyncDispose] (): Promise<void> {
    for (const timer of this.timers) timer[Symbol.dispose]()
    const registered = this.registered
    if (registered === undefined) return
    const done = await this.parts.store.delete(registered.key, registered.version)
    if (done.err) this.parts.log.warn({ reason: done.val.message }, 'deregister_failed')
  }

  private async update (): Promise<void> {
    const listed = await this.parts.store.list(GATEWAYS_PREFIX)
    if (listed.err) return
    const names = new Set<string>()
    for (const object of listed.val) {
      const parsed = GatewayRecord.safeParse(JSON.parse(object.value))
      if (!parsed.success) continue
      names.add(parsed.data.name)
      this.take(parsed.data, object)
    }
    for (const name of [...this.known.keys()]) {
      if (!names.has(name)) this.known.delete(name)
    }
    await this.register(listed.val)
  }

  private take (record: GatewayRecord, object: external.StoredObject): void {
    if (record.name === this.parts.self.name) {
      if (record.incarnation === this.parts.self.incarnation) this.registered = object
      return
    }
    const known = this.known.get(record.name)
    if (known?.record.incarnation === record.incarnation) return
    this.known.set(record.name, { record, answeredAt: this.parts.env.clock.now() - ANSWER_LIFE_MS, ready: false })
    this.parts.log.info({ gateway: record.name, front: record.front }, 'gateway_listed')
    this.ask(record)
  }

  private async register (listed: readonly external.StoredObject[]): Promise<void> {
    if (this.registered !== undefined) return
    const { self, store } = this.parts
    const key = GATEWAYS_PREFIX + self.name
    const last = listed.find((object) => object.key === key)
    const put = await store.put(key, JSON.stringify(self), last?.version ?? 'absent')
    if (put.ok) this.registered = put.val
  }

  private askAll (): void {
    for (const { record } of this.known.values()) this.ask(record)
  }

  private ask (record: GatewayRecord): void {
    this.parts.peers.call<unknown>(record.peer, READY_METHOD, {}, ANSWER_MS).then(
      (answer) => { if (answer.ok) this.answered(record, answer.val) },
      (err: unknown) => this.parts.log.error({ err, gateway: record.name }, 'gateway_ask_failed')
    )
  }

  private answered (record: GatewayRecord, answer: unknown): void {
    const parsed = ReadyAnswer.safeParse(answer)
    const known = this.known.get(record.name)
    if (!parsed.success || known?.record.incarnation !== parsed.data.incarnation) return
    if (known.ready !== parsed.data.ready) this.parts.log.info({ gateway: record.name, ready: parsed.data.ready }, 'gateway_state')
    known.ready = parsed.data.ready
    known.answeredAt = this.parts.env.clock.now()
    this.parts.fleet.peers.take(record.name, parsed.data.load, known.answeredAt)
  }
}
