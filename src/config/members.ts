/** Membership as the configuration uses it. */

/** Another entry. */
export interface ConfigMember {
  /** Name of its VM. */
  readonly name: string
  /** Empty for a listed VM that never responded. */
  readonly incarnation: string
  readonly region: string
  /** Peer address. */
  readonly address: string
  /** Whether it is estimated to run and to respond. */
  readonly alive: boolean
  /** Whether it is known not to run: it terminated, it stopped, or it refuses connections. */
  readonly terminated: boolean
  /** Monotonic time of the last contact, at which it certainly ran; `-Infinity` before the first contact. */
  readonly lastContact: number
}

/** The entries, as this process knows them. */
export interface ConfigMembers {
  /** Name of the own VM. */
  readonly name: string
  readonly region: string
  /** All other entries, including listed VMs that never responded. */
  others (): readonly ConfigMember[]
}
