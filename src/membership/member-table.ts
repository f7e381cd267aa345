/** Records of all entries, what proves that one is gone, and what is still to be spread. */
import { hash32 } from '../hash/index.js'
import { supersedes } from './precedence.js'
import type { TerminationEvidence, Member, MemberChange } from './types.js'
import type { MemberRecord } from './wire.js'

/** Entries known at most; more are ignored. */
const MAX_MEMBERS = 4_096

/** Proofs kept, oldest dropped first. */
const MAX_PROOFS = 8_192

/** Records sent with one message. */
const UPDATES_PER_MESSAGE = 6

/** Each record is sent this many times the binary logarithm of the number of entries. */
const SPREAD_FACTOR = 2

/** Records of dead and left entries are dropped after this long, in ms; by then every entry has heard of them. */
const FORGET_MS = 600_000

/** One known entry; updated in place. */
export interface TrackedMember {
  record: MemberRecord
  lastContactMs: number
  generation: number
  free: number
  changedAt: number
}

/** The table of one process. */
export class MemberTable {
  private readonly known = new Map<string, TrackedMember>()
  private readonly incarnations = new Map<string, string>()
  private readonly proofs = new Map<string, TerminationEvidence>()
  private readonly spreading = new Map<string, { readonly record: MemberRecord, sent: number }>()
  private readonly listeners = new Set<(change: MemberChange) => void>()

  /** Grows with each change of a record. */
  version = 0

  constructor (public self: MemberRecord) {
    this.put(self, 0)
  }

  get size (): number {
    return this.known.size
  }

  /** Replaces the record of this process. */
  setSelf (record: MemberRecord, now: number): void {
    this.self = record
    this.put(record, now)
  }

  /** Takes a record and spreads it unless told not to; false when a later one is known. */
  apply (record: MemberRecord, now: number, spread = true): boolean {
    const current = this.known.get(record.id)
    if (current === undefined) {
      if (this.known.size >= MAX_MEMBERS) return false
    } else if (!supersedes(record, current.record)) return false
    this.put(record, now, spread)
    return true
  }

  /** Notes that an incarnation certainly answered at `at`. */
  heard (incarnation: string, at: number): void {
    const known = this.byIncarnation(incarnation)
    if (known === undefined || at <= known.lastContactMs) return
    known.lastContactMs = at
    const proof = this.proofs.get(incarnation)
    if (proof === 'refused' || proof === 'unlisted') this.proofs.delete(incarnation)
  }

  /** Takes what an entry states about itself. */
  learn (incarnation: string, generation: number, free: number): void {
    const known = this.byIncarnation(incarnation)
    if (known === undefined) return
    const previous = toMember(known)
    known.free = free
    if (generation <= known.generation) return
    known.generation = generation
    this.notify({ member: toMember(known), previous })
  }

  /** Notes a proof that an incarnation is gone. */
  prove (incarnation: string, proof: TerminationEvidence): void {
    this.proofs.delete(incarnation)
    this.proofs.set(incarnation, proof)
    const oldest = this.proofs.size > MAX_PROOFS ? this.proofs.keys().next().value : undefined
    if (oldest !== undefined) this.proofs.delete(oldest)
  }

  proofOf (incarnation: string): TerminationEvidence | undefined {
    return this.proofs.get(incarnation)
  }

  get (id: string): TrackedMember | undefined {
    return this.known.get(id)
  }

  byIncarnation (incarnation: string): TrackedMember | undefined {
    const known = this.known.get(this.incarnations.get(incarnation) ?? '')
    return known?.record.incarnation === incarnation ? known : undefined
  }

  all (): IterableIterator<TrackedMember> {
    return this.known.values()
  }

  records (): MemberRecord[] {
    return [...this.known.values()].map((known) => known.record)
  }

  /** Equal when two processes have the same records. */
  digest (): string {
    let sum = 0
    for (const { record } of this.known.values()) sum = (sum + hash32(`${record.incarnation} ${record.version} ${record.state}`)) >>> 0
    return sum.toString(36)
  }

  /** Records to send with the next message, least often sent first. */
  takeUpdates (): MemberRecord[] {
    const limit = SPREAD_FACTOR * Math.ceil(Math.log2(this.known.size + 1))
    const due = [...this.spreading.values()].sort((a, b) => a.sent - b.sent).slice(0, UPDATES_PER_MESSAGE)
    for (const item of due) {
      if (++item.sent >= limit) this.spreading.delete(item.record.id)
    }
    return due.map((item) => item.record)
  }

  /** Drops entries that ended long ago. */
  forget (now: number): void {
    for (const [id, known] of this.known) {
      const ended = known.record.state === 'dead' || known.record.state === 'left'
      if (!ended || now - known.changedAt < FORGET_MS) continue
      this.version++
      this.known.delete(id)
      this.incarnations.delete(known.record.incarnation)
    }
  }

  subscribe (listener: (change: MemberChange) => void): Disposable {
    this.listeners.add(listener)
    return { [Symbol.dispose]: () => { this.listeners.delete(listener) } }
  }

  private put (record: MemberRecord, now: number, spread = true): void {
    this.version++
    const current = this.known.get(record.id)
    const previous = current === undefined ? undefined : toMember(current)
    const isSame = current?.record.incarnation === record.incarnation
    if (current !== undefined && !isSame) this.replaced(current.record, record)
    const known: TrackedMember = {
      record,
      lastContactMs: isSame ? current.lastContactMs : -Infinity,
      generation: isSame ? current.generation : 0,
      free: isSame ? current.free : 0,
      changedAt: now
    }
    this.known.set(record.id, known)
    this.incarnations.set(record.incarnation, record.id)
    if (spread) this.spreading.set(record.id, { record, sent: 0 })
    else this.spreading.delete(record.id)
    if (record.state === 'left') this.prove(record.incarnation, 'left')
    this.notify({ member: toMember(known), previous })
  }

  // A later incarnation on another address proves nothing about the process on the former one.
  private replaced (old: MemberRecord, next: MemberRecord): void {
    this.incarnations.delete(old.incarnation)
    if (old.peer === next.peer) this.prove(old.incarnation, 'replaced')
  }

  private notify (change: MemberChange): void {
    for (const listener of [...this.listeners]) listener(change)
  }
}

/** The form other modules see. */
export function toMember ({ record, lastContactMs, generation, free }: TrackedMember): Member {
  const { id, incarnation, address, peer, domain, region, state } = record
  return { id, incarnation, address, peerAddress: peer, domain, region, state, lastContactMs, configGeneration: generation, freeCapacity: free }
}
