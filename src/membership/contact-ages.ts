/** Compact form of when each member last gave a sign of life. */
import { hash32 } from '../hash/index.js'
import type { ContactAges } from './wire.js'

/** A member and when it was last heard. */
export interface MemberContact {
  readonly record: { readonly id: string, readonly incarnation: string, readonly domain: string }
  readonly lastContactMs: number
}

/** Unit of the ages sent, in ms. */
const AGE_UNIT_MS = 80

/** One character for each age; the last one stands for longer ages. */
const DIGITS = 'ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789-_'
const OLDEST = DIGITS.length - 1

/** The present members in a fixed order; made anew when they change. */
export class ContactAgeCodec {
  readonly groups = new Map<string, MemberContact[]>()
  /** Digest of the members of each failure domain, and of all. */
  readonly digests: Record<string, string> = {}
  readonly digest: string

  constructor (readonly members: readonly MemberContact[]) {
    for (const member of [...members].sort((a, b) => a.record.id < b.record.id ? -1 : 1)) {
      const group = this.groups.get(member.record.domain)
      if (group === undefined) this.groups.set(member.record.domain, [member])
      else group.push(member)
    }
    for (const [domain, group] of this.groups) this.digests[domain] = digestOf(group.map((member) => member.record.incarnation))
    this.digest = digestOf(this.order().map((member) => member.record.incarnation))
  }

  /**
   * Ages at `now` for a reader with the given digests: of all members in order, when both know the same ones; else by
   * failure domain, and by incarnation where even that differs; nothing when the reader's digests are not known.
   */
  encode (digest: string, digests: Readonly<Record<string, string>> | undefined, now: number): ContactAges | undefined {
    if (digest === this.digest) return agesOf(this.order(), now)
    if (digests === undefined) return undefined
    return Object.fromEntries([...this.groups].map(([domain, group]) => {
      if (digests[domain] === this.digests[domain]) return [domain, agesOf(group, now)]
      return [domain, Object.fromEntries(group.map((member) => [member.record.incarnation, ageOf(member, now)]))]
    }))
  }

  /**
   * Calls `heard` with each member's last sign of life. `readAt` is a time before which the ages were not written,
   * so that a delayed message never makes a member look more recently alive than it was.
   */
  decode (ages: ContactAges, readAt: number, heard: (incarnation: string, at: number) => void): void {
    if (typeof ages === 'string') {
      decodeInOrder(ages, this.order(), readAt, heard)
      return
    }
    for (const [domain, text] of Object.entries(ages)) {
      if (typeof text === 'string') decodeInOrder(text, this.groups.get(domain) ?? [], readAt, heard)
      else for (const [incarnation, digit] of Object.entries(text)) decodeOne(incarnation, digit, readAt, heard)
    }
  }

  private order (): MemberContact[] {
    return [...this.groups.keys()].sort().flatMap((domain) => this.groups.get(domain) ?? [])
  }
}

type HeardFn = (incarnation: string, at: number) => void

function decodeInOrder (ages: string, members: readonly MemberContact[], readAt: number, heard: HeardFn): void {
  if (ages.length !== members.length) return
  for (const [index, member] of members.entries()) decodeOne(member.record.incarnation, ages[index] ?? '', readAt, heard)
}

function decodeOne (incarnation: string, digit: string, readAt: number, heard: HeardFn): void {
  const units = DIGITS.indexOf(digit)
  if (digit !== '' && units >= 0 && units < OLDEST) heard(incarnation, readAt - (units + 1) * AGE_UNIT_MS)
}

function agesOf (members: readonly MemberContact[], now: number): string {
  return members.map((member) => ageOf(member, now)).join('')
}

function ageOf (member: MemberContact, now: number): string {
  const units = Math.floor((now - member.lastContactMs) / AGE_UNIT_MS)
  return DIGITS[Math.min(OLDEST, Math.max(0, units))] ?? '_'
}

function digestOf (incarnations: readonly string[]): string {
  return hash32(incarnations.join('\n')).toString(36)
}
