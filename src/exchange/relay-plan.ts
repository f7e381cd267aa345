/**
 * Chooses the relays among the gateways. With a few gateways each is a relay and exchanges with all others. With more, a
 * few in each failure domain are: members exchange with one relay, and relays with each other, so that the messages of a
 * member do not grow with the number of gateways, and those of a relay grow with its square root.
 */
import * as hash from '../hash/index.js'

/** Number of gateways up to which all are relays. */
export const ALL_RELAYS_LIMIT = 8

/** Members that a relay serves at most, itself included. */
const MEMBERS_PER_RELAY = 16

/** A gateway that may be a relay. */
export interface RelayCandidate {
  readonly name: string
  readonly domain: string
}

/** The part of one gateway. */
export interface RelayPlan {
  /** Relay of this gateway; undefined when it is a relay itself. */
  readonly relay: string | undefined
  /** The other relays; empty for a member. */
  readonly fellows: readonly string[]
}

/** Plans the part of `self` among it and the other usable gateways. */
export function planRelays (self: RelayCandidate, others: readonly RelayCandidate[]): RelayPlan {
  const all = [self, ...others]
  const relays = all.length <= ALL_RELAYS_LIMIT ? all : [...groupByDomain(all).values()].flatMap(chooseRelays)
  const fellows = relays.map((relay) => relay.name).filter((name) => name !== self.name)
  if (fellows.length < relays.length) return { relay: undefined, fellows }
  const ownDomain = relays.filter((relay) => relay.domain === self.domain).map((relay) => relay.name)
  return { relay: hash.rendezvous(self.name, ownDomain, 1)[0], fellows: [] }
}

function chooseRelays (gateways: readonly RelayCandidate[]): RelayCandidate[] {
  const count = Math.ceil(gateways.length / MEMBERS_PER_RELAY)
  const names = new Set(hash.rendezvous('relay', gateways.map((gateway) => gateway.name), count))
  return gateways.filter((gateway) => names.has(gateway.name))
}

function groupByDomain (gateways: readonly RelayCandidate[]): Map<string, RelayCandidate[]> {
  const groups = new Map<string, RelayCandidate[]>()
  for (const gateway of gateways) {
    const group = groups.get(gateway.domain) ?? []
    group.push(gateway)
    groups.set(gateway.domain, group)
  }
  return groups
}
