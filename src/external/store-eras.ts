/** The era of the store as this process knows it. */

/** Called with the new era after the store has returned from an older copy of its contents. */
export type RestoreListener = (era: number) => void

/**
 * Latest era of the store, from its responses and from what other gateways tell. After a restore each component writes again
 * what it had stored, and reads again what others store.
 */
export class StoreEras {
  private latest: number | undefined
  private readonly listeners: RestoreListener[] = []

  /** Latest known era; undefined before the first response. */
  get current (): number | undefined {
    return this.latest
  }

  /** Calls `listener` after each later restore; the first era that is known is none. */
  onRestored (listener: RestoreListener): void {
    this.listeners.push(listener)
  }

  /** Notes an era. Returns false for an earlier one than the latest: what came with it is out of date. */
  note (era: number): boolean {
    if (this.latest !== undefined && era <= this.latest) return era === this.latest
    const isRestore = this.latest !== undefined
    this.latest = era
    if (isRestore) for (const listener of this.listeners) listener(era)
    return true
  }
}
