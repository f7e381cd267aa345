/** Records of all entries, termination evidence, and the updates that are still to be disseminated. */
import { hash32 } from '../hash/index.js'
import { supersedes } from './precedence.js'
import type { TerminationEvidence, Member, MemberChange } from './types.js'
import type { MemberRecord } from './wire.js'

/** Maximum number of tracked entries; further ones are ignored. */
const MAX_MEMBERS = 4_096

/** Maximum number of incarnations with termination evidence; the oldest are dropped. */
const MAX_EVIDENCE = 8_192

/** Maximum number of updates sent with one message. */
const UPDATES_PER_MESSAGE = 6

/** An update is sent this many times the binary logarithm of the number of entries. */
const GOSSIP_FACTOR = 2

/** Time after which records of dead and left entries are dropped, in ms; by then every entry has received them. */
const ENDED_RETENTION_MS = 600_000

/** A tracked entry; updated in place. */
export interface TrackedMember {
  record: MemberRecord
  lastContactMs: number
  generation: number
  freeCapacity: number
  changedAt: number
}

/** Tracks the entries that one process knows. */
export class MemberTable {
  private readonly membersById = new Map<string, TrackedMember>()
  private readonly idByIncarnation = new Map<string, string>()
  private readonly evidence = new Map<string, TerminationEvidence>()
  private readonly pendingUpdates = new Map<string, { readonly record: MemberRecord, sendCount: number }>()
  private readonly listeners = new Set<(change: MemberChange) => void>()

  /** Increases with each change of a record. */
  version = 0

  constructor (public self: MemberRecord) {
    this.setRecord(self, 0)
  }

  get size (): number {
    return this.membersById.size
  }

  /** Replaces the record of this process. */
  setSelf (record: MemberRecord, now: number): void {
    this.self = record
    this.setRecord(record, now)
  }

  /**
   * Applies a record and queues it for dissemination unless `disseminate` is false. Returns false when the record does
   * not supersede the known one or the table is full.
   */
  apply (record: MemberRecord, now: number, disseminate = true): boolean {
    const current = this.membersById.get(record.id)
    if (current === undefined) {
      if (this.membersById.size >= MAX_MEMBERS) return false
    } else if (!supersedes(record, current.record)) return false
    this.setRecord(record, now, disseminate)
    return true
  }

  /** Notes that an incarnation certainly still replied at `contactMs`, which refutes `refused` and `unlisted`. */
  noteContact (incarnation: string, contactMs: number): void {
    const member = this.byIncarnation(incarnation)
    if (member === undefined || contactMs <= member.lastContactMs) return
    member.lastContactMs = contactMs
    const current = this.evidence.get(incarnation)
    if (current === 'refused' || current === 'unlisted') this.evidence.delete(incarnation)
  }

  /** Applies what an entry reports about itself. */
  applyReport (incarnation: string, generation: number, freeCapacity: number): void {
    const member = this.byIncarnation(incarnation)
    if (member === undefined) return
    const previous = toMember(member)
    member.freeCapacity = freeCapacity
    if (generation <= member.generation) return
    member.generation = generation
    this.notify({ member: toMember(member), previous })
  }

  /** Notes evidence that an incarnation has terminated. */
  addEvidence (incarnation: string, evidence: TerminationEvidence): void {
    this.evidence.delete(incarnation)
    this.evidence.set(incarnation, evidence)
    const oldest = this.evidence.size > MAX_EVIDENCE ? this.evidence.keys().next().value : undefined
    if (oldest !== undefined) this.evidence.delete(oldest)
  }

  evidenceOf (incarnation: string): TerminationEvidence | undefined {
    return this.evidence.get(incarnation)
  }

  get (id: string): TrackedMember | undefined {
    return this.membersById.get(id)
  }

  byIncarnation (incarnation: string): TrackedMember | undefined {
    const member = this.membersById.get(this.idByIncarnation.get(incarnation) ?? '')
    return member?.record.incarnation === incarnation ? member : undefined
  }

  all (): IterableIterator<TrackedMember> {
    return this.membersById.values()
  }

  records (): MemberRecord[] {
    return [...this.membersById.values()].map((member) => member.record)
  }

  /** Digest of all records; equal on two processes that have the same records. */
  digest (): string {
    let sum = 0
    for (const { record } of this.membersById.values()) sum = (sum + hash32(`${record.incarnation} ${record.version} ${record.state}`)) >>> 0
    return sum.toString(36)
  }

  /** Returns the updates to send with the next message, the least often sent first, and counts them as sent. */
  takeUpdates (): MemberRecord[] {
    const limit = GOSSIP_FACTOR * Math.ceil(Math.log2(this.membersById.size + 1))
    const updates = [...this.pendingUpdates.values()].sort((a, b) => a.sendCount - b.sendCount).slice(0, UPDATES_PER_MESSAGE)
    for (const update of updates) {
      if (++update.sendCount >= limit) this.pendingUpdates.delete(update.record.id)
    }
    return updates.map((update) => update.record)
  }

  /** Drops entries that have been dead or left for {@link ENDED_RETENTION_MS}. */
  dropEnded (now: number): void {
    for (const [id, member] of this.membersById) {
      const ended = member.record.state === 'dead' || member.record.state === 'left'
      if (!ended || now - member.changedAt < ENDED_RETENTION_MS) continue
      this.version++
      this.membersById.delete(id)
      this.idByIncarnation.delete(member.record.incarnation)
    }
  }

  subscribe (listener: (change: MemberChange) => void): Disposable {
    this.listeners.add(listener)
    return { [Symbol.dispose]: () => { this.listeners.delete(listener) } }
  }

  private setRecord (record: MemberRecord, now: number, disseminate = true): void {
    this.version++
    const current = this.membersById.get(record.id)
    const previous = current === undefined ? undefined : toMember(current)
    const isSame = current?.record.incarnation === record.incarnation
    if (current !== undefined && !isSame) this.noteReplaced(current.record, record)
    const member: TrackedMember = {
      record,
      lastContactMs: isSame ? current.lastContactMs : -Infinity,
      generation: isSame ? current.generation : 0,
      freeCapacity: isSame ? current.freeCapacity : 0,
      changedAt: now
    }
    this.membersById.set(record.id, member)
    this.idByIncarnation.set(record.incarnation, record.id)
    if (disseminate) this.pendingUpdates.set(record.id, { record, sendCount: 0 })
    else this.pendingUpdates.delete(record.id)
    if (record.state === 'left') this.addEvidence(record.incarnation, 'left')
    this.notify({ member: toMember(member), previous })
  }

  // A later incarnation at another address is no evidence that the process at the former address has terminated.
  private noteReplaced (former: MemberRecord, next: MemberRecord): void {
    this.idByIncarnation.delete(former.incarnation)
    if (former.peer === next.peer) this.addEvidence(former.incarnation, 'replaced')
  }

  private notify (change: MemberChange): void {
    for (const listener of [...this.listeners]) listener(change)
  }
}

/** Converts a tracked entry to the form that other modules see. */
export function toMember ({ record, lastContactMs, generation, freeCapacity }: TrackedMember): Member {
  const { id, incarnation, address, peer, domain, region, state } = record
  return { id, incarnation, address, peerAddress: peer, domain, region, state, lastContactMs, configGeneration: generation, freeCapacity }
}
