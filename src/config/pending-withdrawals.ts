/** Key withdrawals that are not yet part of the configuration in force. */
import { hash32 } from '../hash/index.js'
import type { ConfigIndex } from './config-index.js'

/** Bound of the pending withdrawals; a further one is rejected, so that none is dropped. */
export const MAX_PENDING_WITHDRAWALS = 4_096

/** Ids of the keys that are refused although the configuration in force does not show them as withdrawn. */
export class PendingWithdrawals {
  /** Monotonic time at which this process learned of each withdrawal, by key id. */
  private readonly pending = new Map<string, number>()
  /** XOR of the hashes of the ids. */
  private hashXor = 0

  /** Adds a key; returns false when there are too many. */
  add (id: string, now: number): boolean {
    if (this.pending.has(id)) return true
    if (this.pending.size >= MAX_PENDING_WITHDRAWALS) return false
    this.pending.set(id, now)
    this.hashXor ^= hash32(id)
    return true
  }

  has (id: string): boolean {
    return this.pending.has(id)
  }

  ids (): string[] {
    return [...this.pending.keys()]
  }

  /** Age of a pending withdrawal, in ms; `undefined` when it is not pending. */
  age (id: string, now: number): number | undefined {
    const addedAt = this.pending.get(id)
    return addedAt === undefined ? undefined : now - addedAt
  }

  /** Identifies the set of keys; 0 when it is empty. */
  get fingerprint (): number {
    return this.hashXor
  }

  /**
   * Removes keys that the configuration shows as withdrawn. A key that it lacks may have been created in a later
   * generation; it is removed once the configuration is confirmed at a time after the withdrawal.
   */
  removeApplied (cfg: ConfigIndex, confirmedAt: number): void {
    for (const [id, addedAt] of this.pending) {
      const key = cfg.key(id)
      if (key === undefined ? confirmedAt > addedAt : key.withdrawn) this.remove(id)
    }
  }

  private remove (id: string): void {
    this.pending.delete(id)
    this.hashXor ^= hash32(id)
  }
}
