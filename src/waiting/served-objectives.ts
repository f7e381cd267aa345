/** Shortest latency objective of the calls that a service serves. */

/** Time after which an objective of which no call was served is forgotten: after one to two of these periods, in ms. */
const PERIOD_MS = 2_000

interface Shortest {
  periodStart: number
  currentMs: number
  previousMs: number
}

/** Shortest objectives of the present and the last period, by service. */
export class ServedObjectives {
  private readonly services = new Map<string, Shortest>()

  /** Notes a call that is sent. */
  note (service: string, objectiveMs: number, now: number): void {
    const shortest = this.current(service, now)
    if (objectiveMs < shortest.currentMs) shortest.currentMs = objectiveMs
  }

  /** The shortest objective, in ms; infinite when no call was served. */
  shortestMs (service: string, now: number): number {
    const { currentMs, previousMs } = this.current(service, now)
    return Math.min(currentMs, previousMs)
  }

  private current (service: string, now: number): Shortest {
    let shortest = this.services.get(service)
    if (shortest === undefined) {
      shortest = { periodStart: now, currentMs: Infinity, previousMs: Infinity }
      this.services.set(service, shortest)
    }
    const periods = Math.floor((now - shortest.periodStart) / PERIOD_MS)
    if (periods > 0) {
      shortest.previousMs = periods === 1 ? shortest.currentMs : Infinity
      shortest.currentMs = Infinity
      shortest.periodStart += periods * PERIOD_MS
    }
    return shortest
  }
}
