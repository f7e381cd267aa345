/** Recommends entries to callers. */
import type { Random } from '../time/index.js'
import type { Member } from './types.js'

/** Time for which callers may use the advice, in ms. */
export const ADVICE_TTL_MS = 15_000

/** Age of the last contact up to which an entry is recommended, in ms. */
export const ADVISED_WITHIN_MS = 3_000

/** Maximum number of entries recommended at once. */
const MAX_ADVISED = 24

/** Smallest weight of a recommended entry, so that an entry that appears full still gets some calls. */
const MIN_WEIGHT = 0.05

/** An entry recommended to callers. */
export interface AdvisedEntry {
  readonly address: string
  readonly domain: string
  readonly weight: number
}

/** Input of {@link adviseEntries}. */
export interface AdviceInput {
  readonly members: readonly Member[]
  readonly self: Member
  /** Failure domain of the caller; `undefined` means that of this entry. */
  readonly domain: string | undefined
  readonly now: number
  /** Whether the platform lists the VM at an address as leaving. */
  readonly isVmLeaving: (address: string) => boolean
}

/**
 * Chooses entries that certainly replied recently and are not leaving: those of the caller's failure domain first, then
 * those of its region, then all others, each group in random order weighted by free capacity. When there is none, this
 * entry recommends itself.
 */
export function adviseEntries (input: AdviceInput, random: Random): AdvisedEntry[] {
  const { self, now } = input
  const usable = input.members.filter((member) => (
    member.state === 'alive' && now - member.lastContactMs <= ADVISED_WITHIN_MS && !input.isVmLeaving(member.address)
  ))
  const candidates = usable.length > 0 ? usable : [self]
  const domain = input.domain ?? self.domain
  const region = candidates.find((member) => member.domain === domain)?.region ?? self.region
  return candidates
    .map((member) => ({ member, distance: member.domain === domain ? 0 : member.region === region ? 1 : 2, sortKey: random.next() ** (1 / weightOf(member)) }))
    .sort((a, b) => a.distance - b.distance || b.sortKey - a.sortKey)
    .slice(0, MAX_ADVISED)
    .map(({ member }) => ({ address: member.address, domain: member.domain, weight: weightOf(member) }))
}

function weightOf (member: Member): number {
  return Math.max(MIN_WEIGHT, member.freeCapacity)
}
