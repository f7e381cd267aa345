/** Decides which of two records about an entry is in force. */
import type { MemberRecord } from './wire.js'

const STATE_PRECEDENCE: Readonly<Record<MemberRecord['state'], number>> = { alive: 0, leaving: 1, suspect: 2, dead: 3, left: 4 }

/** Whether `next` replaces `current`: a later incarnation, a higher version, or a worse state of the same version. */
export function supersedes (next: MemberRecord, current: MemberRecord): boolean {
  if (next.incarnation !== current.incarnation) {
    return next.epoch > current.epoch || (next.epoch === current.epoch && next.incarnation > current.incarnation)
  }
  if (current.state === 'left') return false
  if (next.state === 'left' || next.version > current.version) return true
  return next.version === current.version && STATE_PRECEDENCE[next.state] > STATE_PRECEDENCE[current.state]
}
