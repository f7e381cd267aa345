/** What the configuration needs to know of the other entries. */

/** Another entry. */
export interface ConfigMember {
  /** Name of its VM. */
  readonly name: string
  /** Empty for a listed VM that never answered. */
  readonly incarnation: string
  readonly region: string
  /** Peer address. */
  readonly address: string
  /** Whether it is believed to run and to answer. */
  readonly alive: boolean
  /** Whether it is proved to run no more, to have stopped, or to refuse connections. */
  readonly gone: boolean
  /** Monotonic time at which it certainly still ran; `-Infinity` before the first sign of life. */
  readonly lastContact: number
}

/** The fleet as this process sees it. */
export interface ConfigMembers {
  readonly name: string
  readonly region: string
  /** All other entries, those included that the VM list names and that were never heard. */
  others (): readonly ConfigMember[]
}
