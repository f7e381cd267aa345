/** The exchange between gateways: keeps the links, and passes on the changes of all topics over them. */
import * as z from 'zod'
import type * as log from '../log/index.js'
import type * as peer from '../peer/index.js'
import type * as time from '../time/index.js'
import * as validation from '../validation/index.js'
import * as relayPlan from './relay-plan.js'
import type * as roster from './roster.js'
import * as types from './types.js'

const SYNC_METHOD = 'exchange.sync'
const PROBE_METHOD = 'exchange.probe'

/** Time between two calls over a link, in ms: load must be recent where calls are placed. */
const SYNC_INTERVAL_MS = 100

/** Time allowed for a reply, in ms. */
const REPLY_TIMEOUT_MS = 400

/** Time without a message after which a link has ended, in ms. */
const LINK_TIMEOUT_MS = 700

/** Time for which a gateway that is not a relay by its own account is not called as one, in ms. */
const NO_RELAY_MS = 1_000

const TopicChanges = validation.record(z.string(), z.object({ next: z.int(), payload: z.unknown() }))
const Positions = validation.record(z.string(), z.int())

/** A call over a link: `as` is what the caller is to the callee. */
const SyncReq = z.object({
  from: types.GatewayRecord,
  beat: z.int(),
  ready: z.boolean(),
  as: z.enum(['member', 'fellow']),
  topics: TopicChanges,
  confirmed: Positions
})
type SyncReq = z.infer<typeof SyncReq>

/** `linked` is false when the callee is no relay and was called as one. */
const SyncRes = z.object({ from: types.GatewayRecord, beat: z.int(), ready: z.boolean(), linked: z.boolean(), topics: TopicChanges, confirmed: Positions })
type SyncRes = z.infer<typeof SyncRes>

interface LinkState {
  readonly link: types.Link
  heardAt: number
  /** Beat of the other end's last message. */
  beat: number
  /** Position of this gateway's changes that the other end has, by topic. */
  confirmed: Readonly<Record<string, number>>
  /** Position of the other end's changes that this gateway has, by topic. */
  readonly received: Record<string, number>
  calling: boolean
}

/** Dependencies of an exchange. */
export interface ExchangeDeps {
  readonly env: time.Env
  /** Clock that also counts the time for which the VM was suspended. */
  readonly elapsed: Pick<time.Clock, 'now'>
  readonly peers: peer.Peers
  readonly self: types.GatewayRecord
  readonly roster: roster.Roster
  /** The roster among them. */
  readonly topics: readonly types.Topic[]
  /** Whether this gateway serves callers. */
  readonly ready: () => boolean
  readonly log: log.Logger
}

/** Exchanges the topics with the relay of this gateway, or with its members and the other relays. */
export class Exchange implements Disposable {
  private readonly links = new Map<string, LinkState>()
  private readonly noRelayUntil = new Map<string, number>()
  private timer: Disposable | undefined
  private plan: relayPlan.RelayPlan = { relay: undefined, fellows: [] }
  private beat = 0
  /** Gateway that is being probed before it becomes the relay, and the last one that replied. */
  private probing: string | undefined
  private probed: string | undefined

  constructor (private readonly deps: ExchangeDeps) {
    deps.peers.handle(PROBE_METHOD, async () => ({}))
    deps.peers.handle(SYNC_METHOD, async (params) => this.receive(SyncReq.parse(params)))
  }

  /** Starts to call. */
  start (): void {
    this.timer = this.deps.env.timers.every(SYNC_INTERVAL_MS, () => this.tick())
    this.tick()
  }

  [Symbol.dispose] (): void {
    this.timer?.[Symbol.dispose]()
    this.timer = undefined
    for (const state of [...this.links.values()]) this.end(state)
  }

  /** Whether this gateway is a relay. */
  get isRelay (): boolean {
    return this.plan.relay === undefined
  }

  /** Peer addresses of the other relays; empty at a member. */
  fellowAddresses (): string[] {
    return this.plan.fellows.flatMap((name) => this.deps.roster.record(name)?.peer ?? [])
  }

  private tick (): void {
    this.expireLinks()
    this.plan = this.planLinks()
    const { relay, fellows } = this.plan
    if (relay !== undefined) {
      this.callRelay(relay)
      return
    }
    // Of two relays the one whose name comes first calls; the other one calls when it hears nothing.
    for (const name of fellows) {
      if (this.deps.self.name < name || !this.hears(name)) this.callAs('fellow', name)
    }
    if (this.probing === undefined) this.probeUnreachable()
  }

  // Two gateways whose links were cut each take the other one for gone, so neither would call again. Where members exist, one
  // that was cut off would act as a relay of the first that it finds, and what others tell of them would depend on its link.
  private probeUnreachable (): void {
    if (this.deps.roster.all().length >= relayPlan.ALL_RELAYS_LIMIT) return
    const record = this.deps.roster.nextToProbe()
    if (record === undefined) return
    this.probing = record.name
    this.deps.peers.call<unknown>(record.peer, PROBE_METHOD, {}, REPLY_TIMEOUT_MS).then((reply) => {
      if (reply.ok) this.deps.roster.noteReachable(record)
    }, (err: unknown) => this.deps.log.error({ err, gateway: record.name }, 'exchange_failed')).finally(() => { this.probing = undefined })
  }

  private planLinks (): relayPlan.RelayPlan {
    const now = this.now()
    const usable = this.deps.roster.usable().filter((record) => now >= (this.noRelayUntil.get(record.name) ?? -Infinity))
    const plan = relayPlan.planRelays(this.deps.self, usable)
    for (const state of [...this.links.values()]) {
      if (state.link.kind === 'fellow' && !plan.fellows.includes(state.link.gateway)) this.end(state)
    }
    return plan
  }

  // The present relay stays in use until the preferred one has replied to a probe.
  private callRelay (preferred: string): void {
    const present = [...this.links.values()].find((state) => state.link.kind === 'relay' && this.hears(state.link.gateway))?.link.gateway
    if (present === undefined || present === preferred || this.probed === preferred) {
      this.probed = undefined
      this.callAs('member', preferred)
      return
    }
    this.callAs('member', present)
    this.probe(preferred)
  }

  private probe (name: string): void {
    const record = this.deps.roster.record(name)
    if (record === undefined || this.probing !== undefined) return
    this.probing = name
    this.deps.peers.call<unknown>(record.peer, PROBE_METHOD, {}, REPLY_TIMEOUT_MS).then((reply) => {
      if (reply.ok) this.probed = name
      else this.deps.roster.suspect(name)
    }, (err: unknown) => this.deps.log.error({ err, gateway: name }, 'exchange_failed')).finally(() => { this.probing = undefined })
  }

  private hears (name: string): boolean {
    const state = this.links.get(name)
    return state !== undefined && this.now() - state.heardAt < LINK_TIMEOUT_MS
  }

  private callAs (as: 'member' | 'fellow', name: string): void {
    const record = this.deps.roster.record(name)
    if (record === undefined) return
    const kind = as === 'member' ? 'relay' : 'fellow'
    const state = this.linkTo(record, kind)
    if (state.calling) return
    state.calling = true
    this.call(state, record, as).catch((err: unknown) => this.deps.log.error({ err, gateway: name }, 'exchange_failed')).finally(() => { state.calling = false })
  }

  private async call (state: LinkState, record: types.GatewayRecord, as: 'member' | 'fellow'): Promise<void> {
    const sentAt = this.deps.elapsed.now()
    const req: SyncReq = { from: this.deps.self, beat: ++this.beat, ready: this.deps.ready(), as, ...this.outgoing(state) }
    const reply = await this.deps.peers.call<unknown>(record.peer, SYNC_METHOD, req, REPLY_TIMEOUT_MS)
    if (this.links.get(record.name) !== state) return
    const res = reply.ok ? SyncRes.safeParse(reply.val) : undefined
    if (res?.success === true) this.applyReply(state, res.data, sentAt)
    else this.noteFailure(state, reply.err ? reply.val : { kind: 'failed', message: 'malformed reply' })
  }

  private applyReply (state: LinkState, res: SyncRes, sentAt: number): void {
    const { gateway, incarnation, kind } = state.link
    this.deps.roster.hear(res.from, res.beat, res.ready, res.linked && kind === 'fellow')
    if (!res.linked) this.noRelayUntil.set(gateway, this.now() + NO_RELAY_MS)
    if (!res.linked || res.from.incarnation !== incarnation) {
      this.end(state)
      return
    }
    if (kind === 'relay') this.endFormerRelays(gateway)
    this.incoming(state, res, sentAt)
  }

  // A gateway that is slow for a moment keeps its link; one whose process is gone does not.
  private noteFailure (state: LinkState, err: peer.PeerError): void {
    if (err.kind !== 'refused' && this.now() - state.heardAt < LINK_TIMEOUT_MS) return
    this.deps.log.info({ gateway: state.link.gateway, reason: err.message }, 'gateway_unresponsive')
    this.deps.roster.suspect(state.link.gateway)
    this.end(state)
  }

  private endFormerRelays (present: string): void {
    for (const state of [...this.links.values()]) {
      if (state.link.kind === 'relay' && state.link.gateway !== present) this.end(state)
    }
  }

  private receive (req: SyncReq): SyncRes {
    const linked = req.as === 'member' || this.isRelay
    this.deps.roster.hear(req.from, req.beat, req.ready, req.as === 'fellow' && linked)
    const head = { from: this.deps.self, beat: ++this.beat, ready: this.deps.ready(), linked }
    if (!linked) return { ...head, topics: {}, confirmed: {} }
    this.noRelayUntil.delete(req.from.name)
    const state = this.linkTo(req.from, req.as)
    this.incoming(state, req, undefined)
    return { ...head, ...this.outgoing(state) }
  }

  // A gateway that is known under another incarnation, or as something else, gets a new link.
  private linkTo (record: types.GatewayRecord, kind: types.LinkKind): LinkState {
    const known = this.links.get(record.name)
    if (known !== undefined && known.link.incarnation === record.incarnation && known.link.kind === kind) return known
    if (known !== undefined) this.end(known)
    const link: types.Link = { gateway: record.name, incarnation: record.incarnation, kind }
    const state: LinkState = { link, heardAt: this.now(), beat: -1, confirmed: {}, received: {}, calling: false }
    this.links.set(record.name, state)
    return state
  }

  private outgoing (state: LinkState): Pick<SyncReq, 'topics' | 'confirmed'> {
    const topics: Record<string, types.Changes> = {}
    for (const topic of this.deps.topics) {
      const changes = topic.changesSince(state.link, state.confirmed[topic.name])
      if (changes !== undefined) topics[topic.name] = changes
    }
    return { topics, confirmed: { ...state.received } }
  }

  // Malformed changes of one topic do not stop the others.
  private incoming (state: LinkState, message: Pick<SyncReq, 'beat' | 'topics' | 'confirmed'>, sentAt: number | undefined): void {
    state.heardAt = this.now()
    state.beat = message.beat
    state.confirmed = message.confirmed
    for (const topic of this.deps.topics) {
      const changes = message.topics[topic.name]
      if (changes === undefined) continue
      try {
        if (topic.apply(state.link, changes.payload, sentAt)) state.received[topic.name] = changes.next
      } catch (err) {
        this.deps.log.warn({ gateway: state.link.gateway, topic: topic.name, err }, 'exchange_malformed')
      }
    }
  }

  private expireLinks (): void {
    const now = this.now()
    for (const state of [...this.links.values()]) {
      if (now - state.heardAt >= LINK_TIMEOUT_MS && !state.calling) this.end(state)
    }
  }

  private end (state: LinkState): void {
    if (this.links.get(state.link.gateway) !== state) return
    this.links.delete(state.link.gateway)
    this.deps.roster.lose(state.link, state.beat)
    for (const topic of this.deps.topics) topic.linkEnded(state.link)
  }

  private now (): number {
    return this.deps.env.clock.now()
  }
}
