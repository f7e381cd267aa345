/** Failure detection and gossip of one process, stepped by its messages and the passing of time. */
import type { Env } from '../time/index.js'
import { ContactAgeCodec } from './contact-ages.js'
import { MemberTable, toMember, type TrackedMember } from './member-table.js'
import { EXTRA_BYTES, type TerminationEvidence, type GossipExtra, type Member, type MemberChange, type MembershipView } from './types.js'
import { supersedes } from './precedence.js'
import type { Ack, MemberRecord, Ping, SelfReport, SyncReq, SyncRes } from './wire.js'

/** Interval between probes, and time allowed for the answer to one, in ms. */
export const PROBE_INTERVAL_MS = 500
export const PROBE_TIMEOUT_MS = 500

/** Entries asked to probe one that did not answer. */
const INDIRECT_PROBES = 2

/** Time a suspected entry has to refute, in ms. */
const SUSPECT_MS = 2_000

/** Further entries pinged at each interval, so that signs of life spread within 3 s at 550 entries. */
const EXTRA_PINGS = 2

/** A process takes a later epoch than a former incarnation it hears of within this time of its start, in ms. */
const JOIN_MS = 10_000

/** Reads in a row without a VM after which it counts as gone, since single reads may come from an old copy. */
const UNLISTED_READS = 2

/** Time without an answer after which an unlisted VM counts as gone, in ms, since the list may drop it before it ends. */
const UNLISTED_SILENT_MS = 3_000

/** Reads after which a VM that is gone is forgotten. */
const FORGET_READS = 1_000

/** Digests by failure domain are sent for this long after a difference, in ms. */
const DIFFERENCE_MS = 2_000

/** Extra values taken from one message. */
const MAX_EXTRAS = 8

/** A VM of the platform's list. */
export interface ListedVm {
  readonly address: string
  readonly peerAddress: string
  readonly state: 'live' | 'leaving'
}

/** A listed VM of which no entry is known. */
export interface UnknownVm extends ListedVm {
  /** Whether its address refused the last connection, so that no process listens there. */
  readonly refused: boolean
}

/** How a call to a peer failed. */
export type ProbeFailure = 'refused' | 'timeout' | 'unreachable' | 'failed'

/** Membership of one process. Sends nothing itself: the caller carries out what the steps return. */
export class Membership implements MembershipView {
  private readonly table: MemberTable
  private readonly extras = new Map<string, GossipExtra>()
  private readonly inFlight = new Set<string>()
  private order: string[] = []
  private listed = new Map<string, ListedVm>()
  /** Reads of the list since an address was last on it. */
  private readonly missedReads = new Map<string, number>()
  private readonly startedAt: number
  /** Addresses of unmet VMs whose last connection was refused. */
  private readonly refusedSeeds = new Set<string>()
  private currentRoster = new ContactAgeCodec([])
  private rosterVersion = -1
  /** When a peer last turned out to know other members. */
  private differedAt = -Infinity
  private generation = 0
  private free = 1

  constructor (private readonly env: Env, self: MemberRecord) {
    this.startedAt = env.clock.now()
    this.table = new MemberTable(self)
  }

  get self (): Member {
    return { ...toMember(this.table.get(this.table.self.id)!), lastContactMs: this.env.clock.now(), configGeneration: this.generation, freeCapacity: this.free }
  }

  /** Order among incarnations of this entry. */
  get epoch (): number {
    return this.table.self.epoch
  }

  members (): readonly Member[] {
    return [...this.table.all()].map((known) => known.record.id === this.table.self.id ? this.self : toMember(known))
  }

  member (id: string): Member | undefined {
    const known = this.table.get(id)
    return known === undefined ? undefined : id === this.table.self.id ? this.self : toMember(known)
  }

  byIncarnation (incarnation: string): Member | undefined {
    const known = this.table.byIncarnation(incarnation)
    return known === undefined ? undefined : this.member(known.record.id)
  }

  terminationEvidence (incarnation: string): TerminationEvidence | undefined {
    return this.table.proofOf(incarnation)
  }

  subscribe (listener: (change: MemberChange) => void): Disposable {
    return this.table.subscribe(listener)
  }

  addExtra (name: string, extra: GossipExtra): void {
    this.extras.set(name, extra)
  }

  /** Sets what this process states about itself. */
  setLocal (generation: number, free: number): void {
    this.generation = Math.max(this.generation, generation)
    this.free = Math.min(1, Math.max(0, free))
  }

  /** Announces that this process is leaving, or with `left` that it ends now. */
  announce (state: 'leaving' | 'left'): void {
    const self = this.table.self
    this.table.setSelf({ ...self, state, version: self.version + 1 }, this.env.clock.now())
  }

  /** Whether a VM is listed as leaving. */
  isVmLeaving (address: string): boolean {
    return this.listed.get(address)?.state === 'leaving'
  }

  /** Listed VMs of which no entry is known. */
  unmet (): UnknownVm[] {
    const met = new Set(this.table.records().map((record) => record.peer))
    return [...this.listed.values()].filter((vm) => !met.has(vm.peerAddress))
      .map((vm) => ({ ...vm, refused: this.refusedSeeds.has(vm.peerAddress) }))
  }

  /** Peer addresses to ping now; to be called each {@link PROBE_INTERVAL_MS}. */
  tick (): string[] {
    const now = this.env.clock.now()
    this.expireSuspects(now)
    this.table.forget(now)
    const targets = new Set([this.nextProbe(), ...this.nextSeeds(), ...this.randomPeers(EXTRA_PINGS, (peer) => !this.inFlight.has(peer))])
    targets.delete(undefined)
    for (const peer of targets) this.inFlight.add(peer!)
    return [...targets] as string[]
  }

  /** The message for a ping; it tells the entry at `peer` when it is held for suspect or dead. */
  ping (peer: string): Ping {
    const doubted = [...this.table.all()].filter(({ record }) => record.peer === peer && (record.state === 'suspect' || record.state === 'dead'))
    const updates = [...doubted.map((known) => known.record), ...this.table.takeUpdates()]
    const { digest, digests } = this.roster()
    const now = this.env.clock.now()
    return { from: this.selfReport(), updates, digest, ...(now - this.differedAt <= DIFFERENCE_MS ? { digests } : {}) }
  }

  /** Answers a ping of another entry. */
  pinged (ping: Ping): Ack {
    const now = this.env.clock.now()
    this.receive(ping.from, ping.updates, -Infinity)
    const held = this.table.get(ping.from.record.id)?.record
    const doubted = held !== undefined && supersedes(held, ping.from.record) ? [held] : []
    return { from: this.selfReport(), updates: [...doubted, ...this.table.takeUpdates()], heard: this.roster().encode(ping.digest, ping.digests, now) }
  }

  /** Takes the answer to a ping sent at `sentAt`. */
  acked (peer: string, ack: Ack, sentAt: number): void {
    this.inFlight.delete(peer)
    this.refusedSeeds.delete(peer)
    this.refuteFormer(peer, ack.from.record)
    this.receive(ack.from, ack.updates, sentAt)
    this.table.heard(ack.from.record.incarnation, sentAt)
    if (typeof ack.heard !== 'string') this.differedAt = this.env.clock.now()
    if (ack.heard !== undefined) this.roster().decode(ack.heard, sentAt, (incarnation, at) => this.table.heard(incarnation, at))
  }

  /** Takes a failed ping; returns the incarnation to be probed and the entries to be asked for it. */
  pingFailed (peer: string, failure: ProbeFailure): { readonly incarnation: string, readonly helpers: readonly string[] } | undefined {
    const target = this.atAddress(peer)
    if (target === undefined) {
      this.inFlight.delete(peer)
      this.noteSeed(peer, failure)
      return undefined
    }
    if (failure === 'refused') this.table.prove(target.record.incarnation, 'refused')
    return { incarnation: target.record.incarnation, helpers: this.randomPeers(INDIRECT_PROBES, (other) => other !== peer) }
  }

  /** Takes the outcome of the indirect probes that were sent at `sentAt`. */
  probed (peer: string, incarnation: string, answered: boolean, sentAt: number): void {
    this.inFlight.delete(peer)
    if (answered) {
      this.table.heard(incarnation, sentAt)
      return
    }
    const known = this.table.byIncarnation(incarnation)
    if (known === undefined || known.lastContactMs >= sentAt) return
    const { record } = known
    if (record.state === 'alive' || record.state === 'leaving') this.table.apply({ ...record, state: 'suspect' }, this.env.clock.now())
  }

  /** Takes the platform's list of VMs, asked for at `askedAt`; returns whether this VM is leaving. */
  vmList (vms: readonly ListedVm[], askedAt: number): boolean {
    this.listed = new Map(vms.map((vm) => [vm.address, vm]))
    this.countMissed()
    const addresses = new Set(vms.map((vm) => vm.peerAddress))
    for (const peer of this.refusedSeeds) {
      if (!addresses.has(peer)) this.refusedSeeds.delete(peer)
    }
    for (const known of this.table.all()) this.checkListed(known, askedAt)
    return this.isVmLeaving(this.table.self.address)
  }

  /** The request that compares all records with a peer; with records once the digests are known to differ. */
  syncReq (full: boolean): SyncReq {
    return { digest: this.table.digest(), ...(full ? { records: this.table.records() } : {}) }
  }

  /** Answers a comparison. Compared records are not spread further: every entry compares its own. */
  synced (req: SyncReq): SyncRes {
    const isSame = req.digest === this.table.digest()
    const records = isSame ? undefined : this.table.records()
    this.takeRecords(req.records ?? [], false)
    return { digest: this.table.digest(), ...(records === undefined ? {} : { records }) }
  }

  /** Takes the answer to a comparison. */
  syncAnswered (res: SyncRes): void {
    this.takeRecords(res.records ?? [], false)
  }

  /** Peer addresses of up to `count` random entries that may answer. */
  randomPeers (count: number, isEligible: (peer: string) => boolean = () => true): string[] {
    const peers = this.others().map((known) => known.record.peer).filter(isEligible)
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
    return { record: this.table.self, generation: this.generation, free: Math.round(this.free * 100) / 100, extras }
  }

  private receive (from: SelfReport, updates: readonly MemberRecord[], notBefore: number): void {
    this.takeRecords([from.record, ...updates])
    const { incarnation } = from.record
    this.table.learn(incarnation, from.generation, from.free)
    const known = this.table.byIncarnation(incarnation)
    if (known === undefined) return
    for (const [name, value] of Object.entries(from.extras).slice(0, MAX_EXTRAS)) {
      this.extras.get(name)?.accept(toMember(known), value, notBefore)
    }
  }

  private takeRecords (records: readonly MemberRecord[], spread = true): void {
    const now = this.env.clock.now()
    for (const record of records) {
      if (record.id === this.table.self.id) this.defend(record, now)
      else this.table.apply(record, now, spread)
    }
  }

  // A starting process whose clock is behind must not be taken for its predecessor; a running one that hears of a
  // later incarnation was replaced and must not contend with it.
  // A higher version refutes a suspicion.
  private defend (record: MemberRecord, now: number): void {
    const self = this.table.self
    if (self.state === 'left') return
    if (record.incarnation !== self.incarnation) {
      const isJoining = now - this.startedAt < JOIN_MS
      if (isJoining && record.epoch >= self.epoch) this.table.setSelf({ ...self, epoch: record.epoch + 1 }, now)
    } else if ((record.state === 'suspect' || record.state === 'dead') && record.version >= self.version) {
      this.table.setSelf({ ...self, version: record.version + 1 }, now)
    }
  }

  // The address of a known entry answers as a process with another name.
  private refuteFormer (peer: string, record: MemberRecord): void {
    const known = this.atAddress(peer)
    if (known === undefined || known.record.id === record.id || record.peer !== peer) return
    this.table.prove(known.record.incarnation, 'replaced')
    this.table.apply({ ...known.record, state: 'dead' }, this.env.clock.now())
  }

  private expireSuspects (now: number): void {
    for (const known of this.table.all()) {
      if (known.record.state !== 'suspect') continue
      if (now - known.changedAt >= SUSPECT_MS) this.table.apply({ ...known.record, state: 'dead' }, now)
    }
  }

  private checkListed (known: TrackedMember, askedAt: number): void {
    const { record } = known
    const isGone = (this.missedReads.get(record.address) ?? 0) >= UNLISTED_READS
    if (!isGone || record.id === this.table.self.id || askedAt - known.lastContactMs < UNLISTED_SILENT_MS) return
    if (this.table.proofOf(record.incarnation) !== 'left') this.table.prove(record.incarnation, 'unlisted')
    if (record.state !== 'left') this.table.apply({ ...record, state: 'dead' }, this.env.clock.now())
  }

  private countMissed (): void {
    for (const address of this.listed.keys()) this.missedReads.set(address, 0)
    for (const [address, missed] of this.missedReads) {
      if (missed > FORGET_READS) this.missedReads.delete(address)
      else if (!this.listed.has(address)) this.missedReads.set(address, missed + 1)
    }
  }

  private nextProbe (): string | undefined {
    for (let turns = this.order.length + 1; turns > 0; turns--) {
      if (this.order.length === 0) this.order = this.randomPeers(this.table.size)
      const peer = this.order.pop()
      if (peer !== undefined && !this.inFlight.has(peer) && this.others().some((known) => known.record.peer === peer)) return peer
    }
    return undefined
  }

  private noteSeed (peer: string, failure: ProbeFailure): void {
    if (failure !== 'refused') {
      this.refusedSeeds.delete(peer)
      return
    }
    this.refusedSeeds.add(peer)
    for (const { record } of this.table.all()) {
      if (record.peer === peer && record.state === 'dead' && this.table.proofOf(record.incarnation) === undefined) this.table.prove(record.incarnation, 'refused')
    }
  }

  // Listed VMs that are no live entry yet, and entries held for dead, are tried again one at a time.
  private nextSeeds (): string[] {
    const live = new Set(this.others().map((known) => known.record.peer))
    const dead = [...this.table.all()].filter(({ record }) => record.state === 'dead' && this.table.proofOf(record.incarnation) !== 'unlisted')
    const seeds = [...this.listed.values()].map((vm) => vm.peerAddress).concat(dead.map((known) => known.record.peer))
      .filter((peer) => peer !== this.table.self.peer && !live.has(peer) && !this.inFlight.has(peer))
    if (seeds.length === 0) return []
    return [seeds[Math.floor(this.env.random.next() * seeds.length)]!]
  }

  private others (): TrackedMember[] {
    return [...this.table.all()].filter(({ record }) => record.id !== this.table.self.id && isPresent(record))
  }

  private atAddress (peer: string): TrackedMember | undefined {
    return this.others().find((known) => known.record.peer === peer)
  }

  private roster (): ContactAgeCodec {
    if (this.rosterVersion !== this.table.version) {
      this.rosterVersion = this.table.version
      this.currentRoster = new ContactAgeCodec([...this.table.all()].filter(({ record }) => isPresent(record)))
    }
    this.table.get(this.table.self.id)!.lastContactMs = this.env.clock.now()
    return this.currentRoster
  }
}

function isPresent (record: MemberRecord): boolean {
  return record.state !== 'dead' && record.state !== 'left'
}
