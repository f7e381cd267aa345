/** Which entries callers are told to use. */
import type { Random } from '../time/index.js'
import type { Member } from './types.js'

/** Time callers may keep an answer, in ms. */
export const ADVICE_TTL_MS = 15_000

/** Only entries heard from within this time are named, in ms. */
export const ADVISED_WITHIN_MS = 3_000

/** Entries named in one answer. */
const MAX_NAMED = 24

/** Least weight of a named entry, so that an entry which looks full is still tried now and then. */
const MIN_WEIGHT = 0.05

/** An entry named to callers. */
export interface AdvisedEntry {
  readonly address: string
  readonly domain: string
  readonly weight: number
}

/** What the choice depends on. */
export interface AdviceInput {
  readonly members: readonly Member[]
  readonly self: Member
  /** Failure domain of the caller; that of this entry when unknown. */
  readonly domain: string | undefined
  readonly now: number
  /** Whether the platform says that the VM at an address is leaving. */
  readonly isVmLeaving: (address: string) => boolean
}

/**
 * Entries that certainly answered lately and are not leaving: those of the caller's failure domain first, then
 * those of the region, each in random order weighted by free capacity. An entry that sees no other names itself.
 */
export function adviseEntries (input: AdviceInput, random: Random): AdvisedEntry[] {
  const { self, now } = input
  const usable = input.members.filter((member) => (
    member.state === 'alive' && now - member.lastContactMs <= ADVISED_WITHIN_MS && !input.isVmLeaving(member.address)
  ))
  const named = usable.length > 0 ? usable : [self]
  const domain = input.domain ?? self.domain
  const region = named.find((member) => member.domain === domain)?.region ?? self.region
  return named
    .map((member) => ({ member, distance: member.domain === domain ? 0 : member.region === region ? 1 : 2, rank: random.next() ** (1 / weightOf(member)) }))
    .sort((a, b) => a.distance - b.distance || b.rank - a.rank)
    .slice(0, MAX_NAMED)
    .map(({ member }) => ({ address: member.address, domain: member.domain, weight: weightOf(member) }))
}

function weightOf (member: Member): number {
  return Math.max(MIN_WEIGHT, member.freeCapacity)
}
