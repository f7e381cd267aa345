/** Into how many shares a bucket is divided, and whether this gateway's share is refilled. */

/** Time for which a gateway that is no longer known still owns its share, beyond a window, in ms: others read the list later. */
const REMOVAL_DELAY_MS = 2_000

/** Time for which all listed gateways must be in contact with a new one before its share is refilled, in ms. */
const CONTACT_MS = 500

/** Time after which all others have read the registration of a new gateway from the store, in ms. */
const LISTED_MS = 4_000

/** The gateways, as one of them knows them. */
export interface Membership {
  /** Gateways that are listed or up, including this one. */
  readonly known: number
  /** Other gateways that are in contact. */
  readonly inContact: number
  /** Whether this gateway has read the list and is registered. */
  readonly registered: boolean
  /** Whether the list named this gateway before this process registered. */
  readonly wasListed: boolean
}

/** The highest number of gateways in the recent past, so that two gateways never own the same share. */
export class ShareCount {
  /** Counts that may be the highest again once those before them have expired. */
  private counts: CountUntil[] = []
  private registeredAt: number | undefined
  private contactSince: number | undefined
  private isRefilled = false

  constructor (private readonly windowMs: number) {}

  /** Number of shares; 1 at least. */
  get count (): number {
    return this.counts[0]?.count ?? 1
  }

  /** Whether the other gateways count this one, so that it may refill its share. */
  get refills (): boolean {
    return this.isRefilled
  }

  /** Notes the gateways that are known now; called periodically. */
  note ({ known, inContact, registered, wasListed }: Membership, now: number): void {
    this.counts = this.counts.filter((entry) => entry.until > now && entry.count > known)
    this.counts.push({ count: known, until: now + this.windowMs + REMOVAL_DELAY_MS })
    if (!registered) return
    this.registeredAt ??= now
    this.contactSince = inContact >= known - 1 ? this.contactSince ?? now : undefined
    const isInContact = this.contactSince !== undefined && now - this.contactSince >= CONTACT_MS
    if (wasListed || isInContact || now - this.registeredAt >= LISTED_MS) this.isRefilled = true
  }
}

interface CountUntil {
  readonly count: number
  readonly until: number
}
