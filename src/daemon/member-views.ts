/** Views of membership for the propagation of configurations and for the replication of usage. */
import type { ConfigMember, ConfigMembers } from '../config/index.js'
import type { Member, Membership } from '../membership/index.js'
import type { UsagePeers } from './usage-child.js'

/** Entries that may hold a configuration. A listed VM that never responded counts as one, since it may hold old keys. */
export function configMembers (membership: Membership): ConfigMembers {
  return {
    get name () { return membership.self.id },
    get region () { return membership.self.region },
    others: () => [...otherMembers(membership).map((member) => toConfigMember(member, membership)), ...membership.unknownVms().map((vm): ConfigMember => (
      { name: vm.address, incarnation: '', region: '', address: vm.peerAddress, alive: false, terminated: vm.refused, lastContact: -Infinity }
    ))]
  }
}

/** Entries that store replicas of usage counters. */
export function usagePeers (membership: Membership): UsagePeers {
  return {
    alive: () => otherMembers(membership).filter((member) => member.state === 'alive')
      .map(({ incarnation, peerAddress, domain }) => ({ incarnation, address: peerAddress, domain })),
    isTerminated: (incarnation) => membership.terminationEvidence(incarnation) !== undefined
  }
}

function otherMembers (membership: Membership): Member[] {
  const { id } = membership.self
  return membership.members().filter((member) => member.id !== id)
}

function toConfigMember (member: Member, membership: Membership): ConfigMember {
  const { id, incarnation, region, peerAddress, state, lastContactMs } = member
  const terminated = membership.terminationEvidence(incarnation) !== undefined
  return { name: id, incarnation, region, address: peerAddress, alive: state === 'alive' || state === 'leaving', terminated, lastContact: lastContactMs }
}
