/** Failure detection and gossip of one process, driven by messages and periodic calls. */
import type { Env } from '../time/index.js'
import { ContactAgeCodec } from './contact-ages.js'
import { MemberTable, toMember, type TrackedMember } from './member-table.js'
import { EXTRA_BYTES, type TerminationEvidence, type GossipExtra, type Member, type MemberChange, type MembershipView } from './types.js'
import { supersedes } from './precedence.js'
import type { Ack, MemberRecord, Ping, SelfReport, SyncReq, SyncRes } from './wire.js'

/** Interval between probes, and timeout of one probe, in ms. */
export const PROBE_INTERVAL_MS = 500
export const PROBE_TIMEOUT_MS = 500

/** Number of entries that probe one indirectly after it did not reply. */
const INDIRECT_PROBES = 2

/** Time for which a suspected entry can refute the suspicion before it counts as dead, in ms. */
const SUSPECT_TIMEOUT_MS = 2_000

/** Additional entries pinged at each interval, so that last contacts reach all of 550 entries within 3 s. */
const EXTRA_PINGS = 2

/**
 * Time after its start within which a process raises its epoch above that of a former incarnation that it learns of,
 * in ms.
 */
const JOIN_PERIOD_MS = 10_000

/** Consecutive reads of the list without a VM after which it counts as unlisted, since single reads may be stale. */
const MIN_UNLISTED_READS = 2

/**
 * Time without contact after which an unlisted VM counts as terminated, in ms, since the list may drop a VM before it
 * ends.
 */
const UNLISTED_NO_CONTACT_MS = 3_000

/** Missed reads of the list after which the count of an unlisted VM is dropped. */
const MAX_MISSED_READS = 1_000

/** Time for which digests by failure domain are sent after a difference was detected, in ms. */
const DOMAIN_DIGESTS_MS = 2_000

/** Maximum number of extra values accepted from one message. */
const MAX_EXTRAS = 8

/** A VM on the platform's list. */
export interface ListedVm {
  readonly address: string
  readonly peerAddress: string
  readonly state: 'live' | 'leaving'
}

/** A listed VM of which no entry is known. */
export interface UnknownVm extends ListedVm {
  /** Whether its address refused the last connection, which shows that no process listens there. */
  readonly refused: boolean
}

/** How a call to a peer failed. */
export type ProbeFailure = 'refused' | 'timeout' | 'unreachable' | 'failed'

/** Membership state of one process. Sends nothing itself: the caller sends the messages that the methods return. */
export class Membership implements MembershipView {
  private readonly table: MemberTable
  private readonly extras = new Map<string, GossipExtra>()
  private readonly inFlight = new Set<string>()
  private probeOrder: string[] = []
  private listedVms = new Map<string, ListedVm>()
  /** Consecutive reads of the list without an address that was on it. */
  private readonly missedReads = new Map<string, number>()
  private readonly startedAt: number
  /** Peer addresses without a present entry that refused the last connection. */
  private readonly refusedPeers = new Set<string>()
  private cachedCodec = new ContactAgeCodec([])
  private codecVersion = -1
  /** When a peer's members last turned out to differ from the members known here. */
  private digestsDifferedAt = -Infinity
  private configGeneration = 0
  private freeCapacity = 1

  constructor (private readonly env: Env, self: MemberRecord) {
    this.startedAt = env.clock.now()
    this.table = new MemberTable(self)
  }

  get self (): Member {
    return { ...toMember(this.table.get(this.table.self.id)!), lastContactMs: this.env.clock.now(), configGeneration: this.configGeneration, freeCapacity: this.freeCapacity }
  }

  /** Position of this process among the incarnations of its entry. */
  get epoch (): number {
    return this.table.self.epoch
  }

  members (): readonly Member[] {
    return [...this.table.all()].map((member) => member.record.id === this.table.self.id ? this.self : toMember(member))
  }

  member (id: string): Member | undefined {
    const member = this.table.get(id)
    return member === undefined ? undefined : id === this.table.self.id ? this.self : toMember(member)
  }

  byIncarnation (incarnation: string): Member | undefined {
    const member = this.table.byIncarnation(incarnation)
    return member === undefined ? undefined : this.member(member.record.id)
  }

  terminationEvidence (incarnation: string): TerminationEvidence | undefined {
    return this.table.evidenceOf(incarnation)
  }

  subscribe (listener: (change: MemberChange) => void): Disposable {
    return this.table.subscribe(listener)
  }

  addExtra (name: string, extra: GossipExtra): void {
    this.extras.set(name, extra)
  }

  /** Sets what this process reports about itself. */
  setLocalReport (generation: number, freeCapacity: number): void {
    this.configGeneration = Math.max(this.configGeneration, generation)
    this.freeCapacity = Math.min(1, Math.max(0, freeCapacity))
  }

  /** Announces that this process is leaving, or with `left` that it is ending now. */
  announce (state: 'leaving' | 'left'): void {
    const self = this.table.self
    this.table.setSelf({ ...self, state, version: self.version + 1 }, this.env.clock.now())
  }

  /** Whether a VM is listed as leaving. */
  isVmLeaving (address: string): boolean {
    return this.listedVms.get(address)?.state === 'leaving'
  }

  /** Listed VMs of which no entry is known. */
  unknownVms (): UnknownVm[] {
    const knownPeers = new Set(this.table.records().map((record) => record.peer))
    return [...this.listedVms.values()].filter((vm) => !knownPeers.has(vm.peerAddress))
      .map((vm) => ({ ...vm, refused: this.refusedPeers.has(vm.peerAddress) }))
  }

  /** Returns the peer addresses to ping now; must be called every {@link PROBE_INTERVAL_MS}. */
  startPings (): string[] {
    const now = this.env.clock.now()
    this.expireSuspects(now)
    this.table.dropEnded(now)
    const targets = new Set([this.nextProbe(), ...this.nextPeersToContact(), ...this.randomPeers(EXTRA_PINGS, (peer) => !this.inFlight.has(peer))])
    targets.delete(undefined)
    for (const peer of targets) this.inFlight.add(peer!)
    return [...targets] as string[]
  }

  /**
   * Builds the ping for `peer`; includes the record of the entry there when it is suspected or considered dead, so
   * that it can refute that.
   */
  buildPing (peer: string): Ping {
    const suspected = [...this.table.all()].filter(({ record }) => record.peer === peer && (record.state === 'suspect' || record.state === 'dead'))
    const updates = [...suspected.map((member) => member.record), ...this.table.takeUpdates()]
    const { digest, digests } = this.contactCodec()
    const now = this.env.clock.now()
    return { from: this.selfReport(), updates, digest, ...(now - this.digestsDifferedAt <= DOMAIN_DIGESTS_MS ? { digests } : {}) }
  }

  /** Handles a ping of another entry and returns the reply. */
  handlePing (ping: Ping): Ack {
    const now = this.env.clock.now()
    this.applyMessage(ping.from, ping.updates, -Infinity)
    const knownRecord = this.table.get(ping.from.record.id)?.record
    const refutable = knownRecord !== undefined && supersedes(knownRecord, ping.from.record) ? [knownRecord] : []
    return { from: this.selfReport(), updates: [...refutable, ...this.table.takeUpdates()], heard: this.contactCodec().encode(ping.digest, ping.digests, now) }
  }

  /** Handles the reply to a ping that was sent at `sentAt`. */
  handleAck (peer: string, ack: Ack, sentAt: number): void {
    this.inFlight.delete(peer)
    this.refusedPeers.delete(peer)
    this.markReplacedAt(peer, ack.from.record)
    this.applyMessage(ack.from, ack.updates, sentAt)
    this.table.noteContact(ack.from.record.incarnation, sentAt)
    if (typeof ack.heard !== 'string') this.digestsDifferedAt = this.env.clock.now()
    if (ack.heard !== undefined) this.contactCodec().decode(ack.heard, sentAt, (incarnation, contactMs) => this.table.noteContact(incarnation, contactMs))
  }

  /**
   * Handles a failed ping; returns the incarnation to probe indirectly and the entries that are to do so, if a present
   * entry has the address.
   */
  handlePingFailure (peer: string, failure: ProbeFailure): { readonly incarnation: string, readonly helpers: readonly string[] } | undefined {
    const target = this.presentMemberAt(peer)
    if (target === undefined) {
      this.inFlight.delete(peer)
      this.noteUnknownPeerFailure(peer, failure)
      return undefined
    }
    if (failure === 'refused') this.table.addEvidence(target.record.incarnation, 'refused')
    return { incarnation: target.record.incarnation, helpers: this.randomPeers(INDIRECT_PROBES, (other) => other !== peer) }
  }

  /** Handles the result of the indirect probes that were sent at `sentAt`. */
  handleProbeResult (peer: string, incarnation: string, answered: boolean, sentAt: number): void {
    this.inFlight.delete(peer)
    if (answered) {
      this.table.noteContact(incarnation, sentAt)
      return
    }
    const member = this.table.byIncarnation(incarnation)
    if (member === undefined || member.lastContactMs >= sentAt) return
    const { record } = member
    if (record.state === 'alive' || record.state === 'leaving') this.table.apply({ ...record, state: 'suspect' }, this.env.clock.now())
  }

  /** Applies the platform's list of VMs, requested at `requestedAt`; returns whether this VM is leaving. */
  applyVmList (vms: readonly ListedVm[], requestedAt: number): boolean {
    this.listedVms = new Map(vms.map((vm) => [vm.address, vm]))
    this.countMissedReads()
    const addresses = new Set(vms.map((vm) => vm.peerAddress))
    for (const peer of this.refusedPeers) {
      if (!addresses.has(peer)) this.refusedPeers.delete(peer)
    }
    for (const member of this.table.all()) this.checkUnlisted(member, requestedAt)
    return this.isVmLeaving(this.table.self.address)
  }

  /** Builds the request that compares all records with a peer; `full` adds the records, for digests known to differ. */
  buildSyncReq (full: boolean): SyncReq {
    return { digest: this.table.digest(), ...(full ? { records: this.table.records() } : {}) }
  }

  /**
   * Handles a comparison and returns the reply. Records received here are not gossiped further: every entry compares
   * its own.
   */
  handleSync (req: SyncReq): SyncRes {
    const isSame = req.digest === this.table.digest()
    const records = isSame ? undefined : this.table.records()
    this.applyRecords(req.records ?? [], false)
    return { digest: this.table.digest(), ...(records === undefined ? {} : { records }) }
  }

  /** Handles the reply to a comparison. */
  handleSyncRes (res: SyncRes): void {
    this.applyRecords(res.records ?? [], false)
  }

  /** Returns the peer addresses of up to `count` random entries that are neither dead nor left. */
  randomPeers (count: number, isEligible: (peer: string) => boolean = () => true): string[] {
    const peers = this.presentMembers().map((member) => member.record.peer).filter(isEligible)
    for (let index = 0; index < Math.min(count, peers.length); index++) {
      const other = index + Math.floor(this.env.random.next() * (peers.length - index))
      const swapped = peers[index]!
      peers[index] = peers[other]!
      peers[other] = swapped
    }
    return peers.slice(0, count)
  }

  private selfReport (): SelfReport {
    const extras: Record<string, unknown> = {}
    for (const [name, extra] of this.extras) {
      const value = extra.read()
      if (value !== undefined && JSON.stringify(value).length <= EXTRA_BYTES) extras[name] = value
    }
    return { record: this.table.self, generation: this.configGeneration, free: Math.round(this.freeCapacity * 100) / 100, extras }
  }

  private applyMessage (from: SelfReport, updates: readonly MemberRecord[], notBefore: number): void {
    this.applyRecords([from.record, ...updates])
    const { incarnation } = from.record
    this.table.applyReport(incarnation, from.generation, from.free)
    const member = this.table.byIncarnation(incarnation)
    if (member === undefined) return
    for (const [name, value] of Object.entries(from.extras).slice(0, MAX_EXTRAS)) {
      this.extras.get(name)?.accept(toMember(member), value, notBefore)
    }
  }

  private applyRecords (records: readonly MemberRecord[], disseminate = true): void {
    const now = this.env.clock.now()
    for (const record of records) {
      if (record.id === this.table.self.id) this.handleSelfRecord(record, now)
      else this.table.apply(record, now, disseminate)
    }
  }

  // A starting process whose clock is behind must not be mistaken for its predecessor, so it raises its epoch; a process
  // that has run for a while and learns of a later incarnation was replaced and must not contend with it.
  // A higher version refutes a suspicion.
  private handleSelfRecord (record: MemberRecord, now: number): void {
    const self = this.table.self
    if (self.state === 'left') return
    if (record.incarnation !== self.incarnation) {
      const isJoining = now - this.startedAt < JOIN_PERIOD_MS
      if (isJoining && record.epoch >= self.epoch) this.table.setSelf({ ...self, epoch: record.epoch + 1 }, now)
    } else if ((record.state === 'suspect' || record.state === 'dead') && record.version >= self.version) {
      this.table.setSelf({ ...self, version: record.version + 1 }, now)
    }
  }

  // The process at the address of a known entry replied under another name.
  private markReplacedAt (peer: string, record: MemberRecord): void {
    const former = this.presentMemberAt(peer)
    if (former === undefined || former.record.id === record.id || record.peer !== peer) return
    this.table.addEvidence(former.record.incarnation, 'replaced')
    this.table.apply({ ...former.record, state: 'dead' }, this.env.clock.now())
  }

  private expireSuspects (now: number): void {
    for (const member of this.table.all()) {
      if (member.record.state !== 'suspect') continue
      if (now - member.changedAt >= SUSPECT_TIMEOUT_MS) this.table.apply({ ...member.record, state: 'dead' }, now)
    }
  }

  private checkUnlisted (member: TrackedMember, requestedAt: number): void {
    const { record } = member
    const isUnlisted = (this.missedReads.get(record.address) ?? 0) >= MIN_UNLISTED_READS
    if (!isUnlisted || record.id === this.table.self.id || requestedAt - member.lastContactMs < UNLISTED_NO_CONTACT_MS) return
    if (this.table.evidenceOf(record.incarnation) !== 'left') this.table.addEvidence(record.incarnation, 'unlisted')
    if (record.state !== 'left') this.table.apply({ ...record, state: 'dead' }, this.env.clock.now())
  }

  private countMissedReads (): void {
    for (const address of this.listedVms.keys()) this.missedReads.set(address, 0)
    for (const [address, missed] of this.missedReads) {
      if (missed > MAX_MISSED_READS) this.missedReads.delete(address)
      else if (!this.listedVms.has(address)) this.missedReads.set(address, missed + 1)
    }
  }

  private nextProbe (): string | undefined {
    for (let remaining = this.probeOrder.length + 1; remaining > 0; remaining--) {
      if (this.probeOrder.length === 0) this.probeOrder = this.randomPeers(this.table.size)
      const peer = this.probeOrder.pop()
      if (peer !== undefined && !this.inFlight.has(peer) && this.presentMembers().some((member) => member.record.peer === peer)) return peer
    }
    return undefined
  }

  private noteUnknownPeerFailure (peer: string, failure: ProbeFailure): void {
    if (failure !== 'refused') {
      this.refusedPeers.delete(peer)
      return
    }
    this.refusedPeers.add(peer)
    for (const { record } of this.table.all()) {
      if (record.peer === peer && record.state === 'dead' && this.table.evidenceOf(record.incarnation) === undefined) this.table.addEvidence(record.incarnation, 'refused')
    }
  }

  // Listed VMs without a present entry, and dead entries whose VM is not known to be unlisted, are contacted one at a time.
  private nextPeersToContact (): string[] {
    const presentPeers = new Set(this.presentMembers().map((member) => member.record.peer))
    const dead = [...this.table.all()].filter(({ record }) => record.state === 'dead' && this.table.evidenceOf(record.incarnation) !== 'unlisted')
    const peers = [...this.listedVms.values()].map((vm) => vm.peerAddress).concat(dead.map((member) => member.record.peer))
      .filter((peer) => peer !== this.table.self.peer && !presentPeers.has(peer) && !this.inFlight.has(peer))
    if (peers.length === 0) return []
    return [peers[Math.floor(this.env.random.next() * peers.length)]!]
  }

  private presentMembers (): TrackedMember[] {
    return [...this.table.all()].filter(({ record }) => record.id !== this.table.self.id && isPresent(record))
  }

  private presentMemberAt (peer: string): TrackedMember | undefined {
    return this.presentMembers().find((member) => member.record.peer === peer)
  }

  private contactCodec (): ContactAgeCodec {
    if (this.codecVersion !== this.table.version) {
      this.codecVersion = this.table.version
      this.cachedCodec = new ContactAgeCodec([...this.table.all()].filter(({ record }) => isPresent(record)))
    }
    this.table.get(this.table.self.id)!.lastContactMs = this.env.clock.now()
    return this.cachedCodec
  }
}

function isPresent (record: MemberRecord): boolean {
  return record.state !== 'dead' && record.state !== 'left'
}
