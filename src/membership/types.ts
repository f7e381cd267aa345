/** What a process knows of the other entries, as other modules see it. */

/**
 * State of an entry as known here. `leaving` is announced by the entry itself, which still serves; `left` is its last
 * announcement; `dead` is inferred by others and may be refuted.
 */
export type MemberState = 'alive' | 'suspect' | 'leaving' | 'left' | 'dead'

/** One incarnation of an entry. */
export interface Member {
  /** Name of the VM from its settings. */
  readonly id: string
  /** Unique for each start of a process. */
  readonly incarnation: string
  /** `ip:port` for callers. */
  readonly address: string
  /** `ip:port` for other entries. */
  readonly peerAddress: string
  /** Failure domain. */
  readonly domain: string
  readonly region: string
  readonly state: MemberState
  /**
   * Time on this process's monotonic clock at which the entry certainly still replied to some entry, in ms. Message
   * delays make it earlier, never later; `-Infinity` before the first reply.
   */
  readonly lastContactMs: number
  /** Generation of the entry's configuration in its last report; 0 when unknown. */
  readonly configGeneration: number
  /** Free fraction of the entry's capacity in its last report, in [0, 1]. */
  readonly freeCapacity: number
}

/**
 * Why an incarnation is considered terminated: a later incarnation replies at its address, the platform removed its VM
 * from the list, it announced its end, or its address refuses connections. A refused connection does not prove that a
 * paused process cannot send.
 */
export type TerminationEvidence = 'replaced' | 'unlisted' | 'left' | 'refused'

/** A change of one entry as known here; `previous` is `undefined` for a new entry. */
export interface MemberChange {
  readonly member: Member
  readonly previous: Member | undefined
}

/** A small value that another module sends with every ping and its reply. */
export interface GossipExtra {
  /** Returns the value to send now; its JSON may have at most {@link EXTRA_BYTES}. */
  read (): unknown
  /**
   * Receives a peer's value. `notBefore` is a time on this process's monotonic clock before which the peer did not read
   * the value; `-Infinity` when the delay of the message is unknown.
   */
  accept (from: Member, value: unknown, notBefore: number): void
}

/** Largest JSON size of one extra value, in bytes; larger values are not sent. */
export const EXTRA_BYTES = 256

/** Read access to the known entries. */
export interface MembershipView {
  /** This process. */
  readonly self: Member
  /** All known entries, including this process and dead ones. */
  members (): readonly Member[]
  /** The latest known incarnation of an entry. */
  member (id: string): Member | undefined
  /** The entry with this incarnation, if that is its latest known one. */
  byIncarnation (incarnation: string): Member | undefined
  /** Evidence that an incarnation has terminated; `undefined` when there is none. */
  terminationEvidence (incarnation: string): TerminationEvidence | undefined
  /** Calls `listener` after each change of state, incarnation or generation, until disposed. */
  subscribe (listener: (change: MemberChange) => void): Disposable
  /** Sends `extra` under `name` with every ping and its reply; each name has one owner. */
  addExtra (name: string, extra: GossipExtra): void
}
