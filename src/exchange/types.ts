/** Types of the exchange between gateways. */
import * as z from 'zod'

/** A gateway as it registers itself. */
export const GatewayRecord = z.object({
  name: z.string(),
  /** Differs for each start of the process. */
  incarnation: z.string(),
  /** `ip:port` for callers. */
  front: z.string(),
  /** `ip:port` for other gateways. */
  peer: z.string(),
  /** Failure domain. */
  domain: z.string()
})
export type GatewayRecord = z.infer<typeof GatewayRecord>

/** What the other end of a link is to this gateway: its relay, one of its members, or a fellow relay. */
export type LinkKind = 'relay' | 'member' | 'fellow'

/** A link to another gateway. */
export interface Link {
  /** Name of the other gateway. */
  readonly gateway: string
  readonly incarnation: string
  readonly kind: LinkKind
}

/** Changes of a topic, and the position after them. */
export interface Changes {
  readonly next: number
  readonly payload: unknown
}

/** Something that gateways tell each other. Positions count a topic's changes at the gateway that sends them. */
export interface Topic {
  readonly name: string
  /** Changes since a position that the other end has confirmed; undefined as position: it has confirmed none yet. */
  changesSince (link: Link, position: number | undefined): Changes | undefined
  /**
   * Applies changes from the other end; throws when they are malformed. Returns false when they are to be sent again, as this
   * gateway cannot use them yet. `sentAt` is when this gateway sent the call that
   * they reply to, in ms on its elapsed clock; undefined for changes in a call, whose time in transit is not known.
   */
  apply (link: Link, payload: unknown, sentAt: number | undefined): boolean
  /** Forgets what depends on a link that has ended. */
  linkEnded (link: Link): void
}
