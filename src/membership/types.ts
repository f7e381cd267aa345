/** What a process knows of the other entries, and how other modules read it. */

/**
 * State of an entry as seen here. `leaving` is announced by the entry itself and it still serves;
 * `left` is its last announcement; `dead` is concluded by others and may be refuted.
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
   * Time on this process's monotonic clock at which the entry certainly still answered some entry. Message
   * delays make it earlier, never later; `-Infinity` before the first answer.
   */
  readonly lastContactMs: number
  /** Generation of the configuration the entry had when it last answered; 0 when unknown. */
  readonly configGeneration: number
  /** Free part of the entry's capacity in [0, 1] when it last answered. */
  readonly freeCapacity: number
}

/**
 * Why an incarnation certainly runs no more: its address answers as a later incarnation, the platform
 * dropped its VM from the list, it announced its end, or its address refuses connections. A refused
 * connection does not prove that a paused process cannot send.
 */
export type TerminationEvidence = 'replaced' | 'unlisted' | 'left' | 'refused'

/** A change of one entry as seen here; `previous` is absent for a new entry. */
export interface MemberChange {
  readonly member: Member
  readonly previous: Member | undefined
}

/** Small values that other modules send with every probe and answer. */
export interface GossipExtra {
  /** The value to send now; JSON of at most {@link EXTRA_BYTES}. */
  read (): unknown
  /**
   * Takes a peer's value. `notBefore` is a time on this process's clock before which the value was not
   * read by the peer; `-Infinity` when the delay of the message is unknown.
   */
  accept (from: Member, value: unknown, notBefore: number): void
}

/** Largest JSON size of one extra value, in bytes; larger values are not sent. */
export const EXTRA_BYTES = 256

/** Read access to the known entries. */
export interface MembershipView {
  /** This process. */
  readonly self: Member
  /** All known entries, this process and dead ones included. */
  members (): readonly Member[]
  /** The latest known incarnation of an entry. */
  member (id: string): Member | undefined
  /** The entry of an incarnation, while that incarnation is its latest known one. */
  byIncarnation (incarnation: string): Member | undefined
  /** Proof that an incarnation is gone; `undefined` when there is none. */
  terminationEvidence (incarnation: string): TerminationEvidence | undefined
  /** Calls `listener` after each change of state, incarnation or generation, until disposed. */
  subscribe (listener: (change: MemberChange) => void): Disposable
  /** Sends `extra` under `name` with every probe and answer; a name has one owner. */
  addExtra (name: string, extra: GossipExtra): void
}
