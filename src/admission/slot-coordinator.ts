/** Divides the slots of the services for which this process is the home entry. */
import type { SlotAnswer, SlotRow } from './share-wire.js'
import { divideSlots, type SlotDivision } from './water-filling.js'

/** A claim not renewed for this long is dropped, in ms. */
const CLAIM_LIFE_MS = 3_500

/** A division is reused for this long, in ms, so that its cost does not grow with the square of the entries. */
const REUSE_MS = 200

/** Claims and divisions by service; updated in place. */
export class SlotCoordinator {
  private readonly services = new Map<string, ServiceClaims>()
  private readonly totals = new Map<string, number>()

  /** Sets how many requests of a service may run at once over all entries. */
  setTotal (service: string, total: number): void {
    this.totals.set(service, total)
    this.services.get(service)?.expire()
  }

  /** Takes an entry's claim and answers its slots; services without a known total get no answer. */
  claim (entry: string, row: SlotRow, now: number): SlotAnswer | undefined {
    const [service] = row
    const total = this.totals.get(service)
    if (total === undefined) return undefined
    const claims = this.services.get(service) ?? new ServiceClaims()
    this.services.set(service, claims)
    return claims.take(entry, row, total, now)
  }

  /** Forgets an entry that is gone. */
  drop (entry: string): void {
    for (const claims of this.services.values()) claims.drop(entry)
  }
}

class ServiceClaims {
  private readonly claims = new Map<string, { readonly row: SlotRow, readonly at: number }>()
  private division: SlotDivision = { slots: new Map(), level: Infinity }
  private fairRate = 0
  private dividedAt = -Infinity

  take (entry: string, row: SlotRow, total: number, now: number): SlotAnswer {
    const isNew = !this.claims.has(entry)
    this.claims.set(entry, { row, at: now })
    if (isNew || now - this.dividedAt >= REUSE_MS) this.divide(total, now)
    const { slots, level } = this.division
    const own = slots.get(entry) ?? 0
    return level === Infinity ? [row[0], own, this.fairRate] : [row[0], own, this.fairRate, level]
  }

  drop (entry: string): void {
    if (this.claims.delete(entry)) this.expire()
  }

  expire (): void {
    this.dividedAt = -Infinity
  }

  private divide (total: number, now: number): void {
    for (const [entry, claim] of this.claims) {
      if (now - claim.at > CLAIM_LIFE_MS) this.claims.delete(entry)
    }
    const claims = [...this.claims]
    this.division = divideSlots(claims.map(([entry, { row: [, weight, demand] }]) => ({ entry, weight, demand })), total)
    const weight = claims.reduce((sum, [, claim]) => sum + claim.row[3], 0)
    const rate = claims.reduce((sum, [, claim]) => sum + claim.row[4], 0)
    this.fairRate = weight > 0 ? rate / weight : 0
    this.dividedAt = now
  }
}
