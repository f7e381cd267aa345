/** Compact encoding of the age of each member's last contact. */
import { hash32 } from '../hash/index.js'
import type { ContactAges } from './wire.js'

/** A member and the time of its last contact. */
export interface MemberContact {
  readonly record: { readonly id: string, readonly incarnation: string, readonly domain: string }
  readonly lastContactMs: number
}

/** Unit of the encoded ages, in ms. */
const AGE_UNIT_MS = 80

/** One character for each age; the last one stands for all longer ages. */
const AGE_DIGITS = 'ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789-_'
const MAX_AGE_UNITS = AGE_DIGITS.length - 1

/** Encodes and decodes ages for a fixed set of members; a new codec is made when the members change. */
export class ContactAgeCodec {
  readonly membersByDomain = new Map<string, MemberContact[]>()
  /** Digest of the members of each failure domain; `digest` is that of all members. */
  readonly digests: Record<string, string> = {}
  readonly digest: string

  constructor (readonly members: readonly MemberContact[]) {
    for (const member of [...members].sort((a, b) => a.record.id < b.record.id ? -1 : 1)) {
      const group = this.membersByDomain.get(member.record.domain)
      if (group === undefined) this.membersByDomain.set(member.record.domain, [member])
      else group.push(member)
    }
    for (const [domain, group] of this.membersByDomain) this.digests[domain] = digestOf(group.map((member) => member.record.incarnation))
    this.digest = digestOf(this.orderedMembers().map((member) => member.record.incarnation))
  }

  /**
   * Encodes the ages at `now` for a receiver with the given digests: of all members in order when both sides know the same
   * ones; otherwise grouped by failure domain, and by incarnation where the domain's digest differs too; `undefined` when
   * the receiver's digests by failure domain are needed but not known.
   */
  encode (digest: string, digests: Readonly<Record<string, string>> | undefined, now: number): ContactAges | undefined {
    if (digest === this.digest) return encodeAges(this.orderedMembers(), now)
    if (digests === undefined) return undefined
    return Object.fromEntries([...this.membersByDomain].map(([domain, group]) => {
      if (digests[domain] === this.digests[domain]) return [domain, encodeAges(group, now)]
      return [domain, Object.fromEntries(group.map((member) => [member.record.incarnation, encodeAge(member, now)]))]
    }))
  }

  /**
   * Calls `onContact` with the time of each member's last contact. `writtenAt` is a time before which the ages were not
   * encoded, so that a delayed message never makes a contact look more recent than it was.
   */
  decode (ages: ContactAges, writtenAt: number, onContact: (incarnation: string, contactMs: number) => void): void {
    if (typeof ages === 'string') {
      decodeInOrder(ages, this.orderedMembers(), writtenAt, onContact)
      return
    }
    for (const [domain, text] of Object.entries(ages)) {
      if (typeof text === 'string') decodeInOrder(text, this.membersByDomain.get(domain) ?? [], writtenAt, onContact)
      else for (const [incarnation, digit] of Object.entries(text)) decodeAge(incarnation, digit, writtenAt, onContact)
    }
  }

  private orderedMembers (): MemberContact[] {
    return [...this.membersByDomain.keys()].sort().flatMap((domain) => this.membersByDomain.get(domain) ?? [])
  }
}

type ContactFn = (incarnation: string, contactMs: number) => void

function decodeInOrder (ages: string, members: readonly MemberContact[], writtenAt: number, onContact: ContactFn): void {
  if (ages.length !== members.length) return
  for (const [index, member] of members.entries()) decodeAge(member.record.incarnation, ages[index] ?? '', writtenAt, onContact)
}

function decodeAge (incarnation: string, digit: string, writtenAt: number, onContact: ContactFn): void {
  const units = AGE_DIGITS.indexOf(digit)
  if (digit !== '' && units >= 0 && units < MAX_AGE_UNITS) onContact(incarnation, writtenAt - (units + 1) * AGE_UNIT_MS)
}

function encodeAges (members: readonly MemberContact[], now: number): string {
  return members.map((member) => encodeAge(member, now)).join('')
}

function encodeAge (member: MemberContact, now: number): string {
  const units = Math.floor((now - member.lastContactMs) / AGE_UNIT_MS)
  return AGE_DIGITS[Math.min(MAX_AGE_UNITS, Math.max(0, units))] ?? '_'
}

function digestOf (incarnations: readonly string[]): string {
  return hash32(incarnations.join('\n')).toString(36)
}
