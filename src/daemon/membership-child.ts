/** Feeds membership with messages of peers and the platform's VM list, and recommends entries to callers. */
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
const VM_LIST_INTERVAL_MS = 1_000

/** Interval between comparisons of all records with a random entry, in ms; they repair records that gossip missed. */
const SYNC_INTERVAL_MS = 30_000

/** Time allowed for one comparison call, in ms. */
const SYNC_TIMEOUT_MS = 2_000

/** Entries notified directly that this one has ended; gossip informs the others. */
const LEFT_NOTICE_PEERS = 8

/** Dependencies of a {@link MembershipChild}. */
export interface MembershipChildDeps {
  readonly env: Env
  readonly log: Logger
  readonly metrics: Metrics
  readonly peers: Peers
  readonly vms: VmDirectory
  /** Peer port assumed for listed VMs without a peer address. */
  readonly peerPort: number
  /** Reads the generation of the configuration in force and the free fraction of the capacity. */
  readonly localStatus: () => { readonly generation: number, readonly free: number }
  /** Called once when the platform lists this VM as leaving. */
  readonly onVmLeaving: () => void
}

/** Runs the timers and peer methods of membership. */
export class MembershipChild implements EntryAdvisor, AsyncDisposable {
  readonly membership: Membership
  private readonly timers: Disposable[] = []
  private vmLeavingReported = false

  constructor (private readonly deps: MembershipChildDeps, self: MemberRecord) {
    this.membership = new Membership(deps.env, self)
  }

  /** Reads the VM list once, pings the entries on it and starts the timers. */
  async start (): Promise<void> {
    const { peers, env } = this.deps
    peers.handle(PING_METHOD, async (params) => this.membership.handlePing(Ping.parse(params)))
    peers.handle(PROBE_METHOD, async (params) => await this.handleProbe(ProbeReq.parse(params)))
    peers.handle(SYNC_METHOD, async (params) => this.membership.handleSync(SyncReq.parse(params)))
    await this.readVmList()
    this.tick()
    this.startTimer(PROBE_INTERVAL_MS, () => this.tick())
    this.startTimer(VM_LIST_INTERVAL_MS, () => { this.readVmList().catch((err: unknown) => this.logFailure('vm_list_failed', err)) })
    this.startTimer(SYNC_INTERVAL_MS, () => { this.sync().catch((err: unknown) => this.logFailure('membership_sync_failed', err)) })
    env.timers.after(PROBE_INTERVAL_MS, () => { this.sync().catch((err: unknown) => this.logFailure('membership_sync_failed', err)) })
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

  /** Notifies some entries directly that this one has ended. */
  async announceLeft (): Promise<void> {
    this.membership.announce('left')
    await Promise.all(this.membership.randomPeers(LEFT_NOTICE_PEERS).map(async (peer) => await this.ping(peer)))
  }

  async [Symbol.asyncDispose] (): Promise<void> {
    for (const timer of this.timers.splice(0)) timer[Symbol.dispose]()
  }

  private startTimer (periodMs: number, run: () => void): void {
    this.timers.push(this.deps.env.timers.every(periodMs, run))
  }

  private logFailure (event: string, err: unknown): void {
    this.deps.log.warn({ step: 'join', err }, event)
  }

  private tick (): void {
    const { generation, free } = this.deps.localStatus()
    this.membership.setLocalReport(generation, free)
    for (const peer of this.membership.startPings()) this.ping(peer).catch((err: unknown) => this.logFailure('ping_failed', err))
  }

  private async ping (peer: string): Promise<void> {
    const { env, peers, metrics } = this.deps
    const sentAt = env.clock.now()
    const reply = await peers.call<unknown>(peer, PING_METHOD, this.membership.buildPing(peer), PROBE_TIMEOUT_MS)
    const ack = reply.ok ? Ack.safeParse(reply.val) : undefined
    if (ack?.success === true) {
      this.membership.handleAck(peer, ack.data, sentAt)
      return
    }
    const reason = reply.err ? reply.val.kind : 'failed'
    metrics.count('godwitpoint_ping_failures_total', `reason="${reason}"`)
    const indirectProbe = this.membership.handlePingFailure(peer, reason)
    if (indirectProbe === undefined) return
    const requestedAt = env.clock.now()
    const reached = await Promise.all(indirectProbe.helpers.map(async (helper) => await this.requestProbe(helper, peer, indirectProbe.incarnation)))
    this.membership.handleProbeResult(peer, indirectProbe.incarnation, reached.includes(true), requestedAt)
  }

  private async requestProbe (helper: string, peer: string, incarnation: string): Promise<boolean> {
    const reply = await this.deps.peers.call<unknown>(helper, PROBE_METHOD, { peer, incarnation } satisfies ProbeReq, 2 * PROBE_TIMEOUT_MS)
    const parsed = reply.ok ? ProbeRes.safeParse(reply.val) : undefined
    return parsed?.success === true && parsed.data.answered
  }

  // Probes a member on behalf of another entry; a reply counts only when it comes from the requested incarnation.
  private async handleProbe (req: ProbeReq): Promise<ProbeRes> {
    const { env, peers } = this.deps
    const sentAt = env.clock.now()
    const reply = await peers.call<unknown>(req.peer, PING_METHOD, this.membership.buildPing(req.peer), PROBE_TIMEOUT_MS)
    const ack = reply.ok ? Ack.safeParse(reply.val) : undefined
    if (ack?.success !== true) return { answered: false }
    this.membership.handleAck(req.peer, ack.data, sentAt)
    return { answered: ack.data.from.record.incarnation === req.incarnation }
  }

  private async sync (): Promise<void> {
    const [peer] = this.membership.randomPeers(1)
    if (peer === undefined) return
    const reply = await this.requestSync(peer, false)
    if (reply?.records === undefined) return
    this.membership.handleSyncRes(reply)
    await this.requestSync(peer, true)
  }

  private async requestSync (peer: string, full: boolean): Promise<SyncRes | undefined> {
    const reply = await this.deps.peers.call<unknown>(peer, SYNC_METHOD, this.membership.buildSyncReq(full), SYNC_TIMEOUT_MS)
    const parsed = reply.ok ? SyncRes.safeParse(reply.val) : undefined
    return parsed?.success === true ? parsed.data : undefined
  }

  private async readVmList (): Promise<void> {
    const requestedAt = this.deps.env.clock.now()
    const listed = await this.deps.vms.list()
    if (listed.err) {
      this.deps.metrics.count('godwitpoint_vm_list_failures_total')
      return
    }
    const vms = listed.val.map((vm) => ({ address: vm.address, state: vm.state, peerAddress: vm.peer_address ?? this.peerAddressOf(vm.address) }))
    if (!this.membership.applyVmList(vms, requestedAt) || this.vmLeavingReported) return
    this.vmLeavingReported = true
    this.deps.onVmLeaving()
  }

  private peerAddressOf (address: string): string {
    return `${address.slice(0, address.lastIndexOf(':'))}:${this.deps.peerPort}`
  }
}
