/** Divides the slots of the services for which this process is the coordinator entry. */
import type { SlotReply, SlotRow } from './share-wire.js'
import { divideSlots, type SlotDivision } from './water-filling.js'

/** Age at which a claim that was not renewed is dropped, in ms. */
const CLAIM_LIFE_MS = 3_500

/** Time for which a division is reused, in ms; dividing on each claim would cost the square of the number of entries. */
const DIVISION_REUSE_MS = 200

/** Claims and slot divisions by service. */
export class SlotCoordinator {
  private readonly services = new Map<string, ServiceClaims>()
  private readonly totalSlots = new Map<string, number>()

  /** Sets how many requests of a service may run concurrently over all entries. */
  setTotalSlots (service: string, totalSlots: number): void {
    this.totalSlots.set(service, totalSlots)
    this.services.get(service)?.invalidateDivision()
  }

  /** Applies an entry's claim and returns its slots; `undefined` for services without a known total. */
  applyClaim (entry: string, row: SlotRow, now: number): SlotReply | undefined {
    const [service] = row
    const totalSlots = this.totalSlots.get(service)
    if (totalSlots === undefined) return undefined
    const claims = this.services.get(service) ?? new ServiceClaims()
    this.services.set(service, claims)
    return claims.applyClaim(entry, row, totalSlots, now)
  }

  /** Drops the claims of a terminated entry. */
  dropEntry (entry: string): void {
    for (const claims of this.services.values()) claims.dropEntry(entry)
  }
}

class ServiceClaims {
  private readonly claims = new Map<string, { readonly row: SlotRow, readonly claimedAt: number }>()
  private division: SlotDivision = { slots: new Map(), slotsPerWeight: Infinity }
  private fairRatePerMs = 0
  private dividedAt = -Infinity

  applyClaim (entry: string, row: SlotRow, totalSlots: number, now: number): SlotReply {
    const isNew = !this.claims.has(entry)
    this.claims.set(entry, { row, claimedAt: now })
    if (isNew || now - this.dividedAt >= DIVISION_REUSE_MS) this.divide(totalSlots, now)
    const { slots, slotsPerWeight } = this.division
    const ownSlots = slots.get(entry) ?? 0
    return slotsPerWeight === Infinity ? [row[0], ownSlots, this.fairRatePerMs] : [row[0], ownSlots, this.fairRatePerMs, slotsPerWeight]
  }

  dropEntry (entry: string): void {
    if (this.claims.delete(entry)) this.invalidateDivision()
  }

  invalidateDivision (): void {
    this.dividedAt = -Infinity
  }

  private divide (totalSlots: number, now: number): void {
    for (const [entry, claim] of this.claims) {
      if (now - claim.claimedAt > CLAIM_LIFE_MS) this.claims.delete(entry)
    }
    const claims = [...this.claims]
    this.division = divideSlots(claims.map(([entry, { row: [, weight, demand] }]) => ({ entry, weight, demand })), totalSlots)
    const backloggedWeight = claims.reduce((sum, [, claim]) => sum + claim.row[3], 0)
    const workPerMs = claims.reduce((sum, [, claim]) => sum + claim.row[4], 0)
    this.fairRatePerMs = backloggedWeight > 0 ? workPerMs / backloggedWeight : 0
    this.dividedAt = now
  }
}
