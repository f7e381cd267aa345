/** Assigns a coordinator entry to each account and service. */
import { rendezvous } from '../hash/index.js'

/** Maximum number of coordinator entries in a region. */
const MAX_COORDINATORS = 24

/** An entry that may be a coordinator. */
export interface CoordinatorEntry {
  readonly id: string
  readonly peerAddress: string
}

/** Coordinator of each key by rendezvous hashing; results are cached until the set of coordinators changes. */
export class CoordinatorMap {
  private entries = new Map<string, CoordinatorEntry>()
  private coordinatorIds: string[] = []
  private readonly cache = new Map<string, CoordinatorEntry>()

  /** Sets the candidates; the {@link MAX_COORDINATORS} that rank first by rendezvous hashing become coordinators. */
  setCandidates (candidates: readonly CoordinatorEntry[]): void {
    const coordinatorIds = rendezvous('home', candidates.map((entry) => entry.id), MAX_COORDINATORS).sort()
    const entries = new Map(candidates.map((entry) => [entry.id, entry]))
    const isUnchanged = coordinatorIds.length === this.coordinatorIds.length && coordinatorIds.every((id, index) => (
      id === this.coordinatorIds[index] && entries.get(id)?.peerAddress === this.entries.get(id)?.peerAddress
    ))
    if (isUnchanged) return
    this.coordinatorIds = coordinatorIds
    this.entries = entries
    this.cache.clear()
  }

  /** Coordinator of an account or service key, `undefined` when there are no candidates. */
  coordinatorOf (key: string): CoordinatorEntry | undefined {
    const cached = this.cache.get(key)
    if (cached !== undefined) return cached
    const [id = ''] = rendezvous(key, this.coordinatorIds, 1)
    const coordinator = this.entries.get(id)
    if (coordinator === undefined) return undefined
    if (this.cache.size >= MAX_CACHED_KEYS) this.cache.clear()
    this.cache.set(key, coordinator)
    return coordinator
  }
}

/** Maximum number of keys whose coordinator is cached. */
const MAX_CACHED_KEYS = 65_536
