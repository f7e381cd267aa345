/** Feeds membership from peers and the platform's list of VMs, and names entries to callers. */
import type { EntryAdvice, EntryAdvisor } from '../entry/index.js'
import type { Logger } from '../log/index.js'
import type { Metrics } from '../metrics/index.js'
import {
  Ack, ADVICE_TTL_MS, Membership, adviseEntries, Ping, PING_METHOD, PROBE_INTERVAL_MS, PROBE_METHOD, PROBE_TIMEOUT_MS, ProbeReq, ProbeRes,
  SYNC_METHOD, SyncReq, SyncRes, type MemberRecord
} from '../membership/index.js'
import type { Peers } from '../peer/index.js'
import type { VmDirectory } from '../external/index.js'
import type { Env } from '../time/index.js'

/** Interval between reads of the VM list, in ms. */
const LIST_INTERVAL_MS = 1_000

/** Interval between comparisons of all records with a random entry, in ms; they repair what gossip missed. */
const SYNC_INTERVAL_MS = 30_000

const SYNC_TIMEOUT_MS = 2_000

/** Entries told directly that this one has ended; gossip tells the others. */
const LEFT_PEERS = 8

/** What the child works with. */
export interface MembershipDeps {
  readonly env: Env
  readonly log: Logger
  readonly metrics: Metrics
  readonly peers: Peers
  readonly vms: VmDirectory
  /** Port of other entries on listed VMs that state none. */
  readonly peerPort: number
  /** Generation of the configuration in force and free part of the capacity. */
  readonly local: () => { readonly generation: number, readonly free: number }
  /** Called once when the platform lists this VM as leaving. */
  readonly onVmLeaving: () => void
}

/** Timers and peer methods of membership. */
export class MembershipChild implements EntryAdvisor, AsyncDisposable {
  readonly membership: Membership
  private readonly timers: Disposable[] = []
  private toldLeaving = false

  constructor (private readonly deps: MembershipDeps, self: MemberRecord) {
    this.membership = new Membership(deps.env, self)
  }

  /** Reads the VM list once, joins the entries on it and goes on. */
  async start (): Promise<void> {
    const { peers, env } = this.deps
    peers.handle(PING_METHOD, async (params) => this.membership.handlePing(Ping.parse(params)))
    peers.handle(PROBE_METHOD, async (params) => await this.probe(ProbeReq.parse(params)))
    peers.handle(SYNC_METHOD, async (params) => this.membership.handleSync(SyncReq.parse(params)))
    await this.readList()
    this.tick()
    this.every(PROBE_INTERVAL_MS, () => this.tick())
    this.every(LIST_INTERVAL_MS, () => { this.readList().catch((err: unknown) => this.failed('vm_list_failed', err)) })
    this.every(SYNC_INTERVAL_MS, () => { this.sync().catch((err: unknown) => this.failed('membership_sync_failed', err)) })
    env.timers.after(PROBE_INTERVAL_MS, () => { this.sync().catch((err: unknown) => this.failed('membership_sync_failed', err)) })
  }

  advise (domain: string | undefined): EntryAdvice {
    const { env } = this.deps
    const entries = adviseEntries({
      members: this.membership.members(),
      self: this.membership.self,
      domain,
      now: env.clock.now(),
      isVmLeaving: (address) => this.membership.isVmLeaving(address)
    }, env.random)
    return { entries, ttl_ms: ADVICE_TTL_MS }
  }

  /** Tells some entries at once that this one has ended. */
  async announceLeft (): Promise<void> {
    this.membership.announce('left')
    await Promise.all(this.membership.randomPeers(LEFT_PEERS).map(async (peer) => await this.ping(peer)))
  }

  async [Symbol.asyncDispose] (): Promise<void> {
    for (const timer of this.timers.splice(0)) timer[Symbol.dispose]()
  }

  private every (periodMs: number, run: () => void): void {
    this.timers.push(this.deps.env.timers.every(periodMs, run))
  }

  private failed (event: string, err: unknown): void {
    this.deps.log.warn({ step: 'join', err }, event)
  }

  private tick (): void {
    const { generation, free } = this.deps.local()
    this.membership.setLocalReport(generation, free)
    for (const peer of this.membership.startPings()) this.ping(peer).catch((err: unknown) => this.failed('ping_failed', err))
  }

  private async ping (peer: string): Promise<void> {
    const { env, peers, metrics } = this.deps
    const sentAt = env.clock.now()
    const answer = await peers.call<unknown>(peer, PING_METHOD, this.membership.buildPing(peer), PROBE_TIMEOUT_MS)
    const ack = answer.ok ? Ack.safeParse(answer.val) : undefined
    if (ack?.success === true) {
      this.membership.handleAck(peer, ack.data, sentAt)
      return
    }
    const reason = answer.err ? answer.val.kind : 'failed'
    metrics.count('godwitpoint_ping_failures_total', `reason="${reason}"`)
    const next = this.membership.handlePingFailure(peer, reason)
    if (next === undefined) return
    const askedAt = env.clock.now()
    const answers = await Promise.all(next.helpers.map(async (helper) => await this.askProbe(helper, peer, next.incarnation)))
    this.membership.handleProbeResult(peer, next.incarnation, answers.includes(true), askedAt)
  }

  private async askProbe (helper: string, peer: string, incarnation: string): Promise<boolean> {
    const answer = await this.deps.peers.call<unknown>(helper, PROBE_METHOD, { peer, incarnation } satisfies ProbeReq, 2 * PROBE_TIMEOUT_MS)
    const parsed = answer.ok ? ProbeRes.safeParse(answer.val) : undefined
    return parsed?.success === true && parsed.data.answered
  }

  // Probes for another entry; the answer counts only when it comes from the incarnation asked for.
  private async probe (req: ProbeReq): Promise<ProbeRes> {
    const { env, peers } = this.deps
    const sentAt = env.clock.now()
    const answer = await peers.call<unknown>(req.peer, PING_METHOD, this.membership.buildPing(req.peer), PROBE_TIMEOUT_MS)
    const ack = answer.ok ? Ack.safeParse(answer.val) : undefined
    if (ack?.success !== true) return { answered: false }
    this.membership.handleAck(req.peer, ack.data, sentAt)
    return { answered: ack.data.from.record.incarnation === req.incarnation }
  }

  private async sync (): Promise<void> {
    const [peer] = this.membership.randomPeers(1)
    if (peer === undefined) return
    const first = await this.compare(peer, false)
    if (first?.records === undefined) return
    this.membership.handleSyncRes(first)
    await this.compare(peer, true)
  }

  private async compare (peer: string, full: boolean): Promise<SyncRes | undefined> {
    const answer = await this.deps.peers.call<unknown>(peer, SYNC_METHOD, this.membership.buildSyncReq(full), SYNC_TIMEOUT_MS)
    const parsed = answer.ok ? SyncRes.safeParse(answer.val) : undefined
    return parsed?.success === true ? parsed.data : undefined
  }

  private async readList (): Promise<void> {
    const askedAt = this.deps.env.clock.now()
    const listed = await this.deps.vms.list()
    if (listed.err) {
      this.deps.metrics.count('godwitpoint_vm_list_failures_total')
      return
    }
    const vms = listed.val.map((vm) => ({ address: vm.address, state: vm.state, peerAddress: vm.peer_address ?? this.peerAddressOf(vm.address) }))
    if (!this.membership.applyVmList(vms, askedAt) || this.toldLeaving) return
    this.toldLeaving = true
    this.deps.onVmLeaving()
  }

  private peerAddressOf (address: string): string {
    return `${address.slice(0, address.lastIndexOf(':'))}:${this.deps.peerPort}`
  }
}
