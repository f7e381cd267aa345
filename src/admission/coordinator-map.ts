/** Which entry is home to an account or service. */
import { rendezvous } from '../hash/index.js'

/** Home entries of a region. */
const MAX_HOMES = 24

/** An entry that may be a home entry. */
export interface CoordinatorEntry {
  readonly id: string
  readonly peerAddress: string
}

/** Home of each key by rendezvous hashing; results are kept until the entries change. */
export class CoordinatorMap {
  private entries = new Map<string, CoordinatorEntry>()
  private names: string[] = []
  private readonly known = new Map<string, CoordinatorEntry>()

  /** Sets the candidates; the homes are the {@link MAX_HOMES} that rank first. */
  set (candidates: readonly CoordinatorEntry[]): void {
    const names = rendezvous('home', candidates.map((entry) => entry.id), MAX_HOMES).sort()
    const entries = new Map(candidates.map((entry) => [entry.id, entry]))
    const same = names.length === this.names.length && names.every((name, index) => (
      name === this.names[index] && entries.get(name)?.peerAddress === this.entries.get(name)?.peerAddress
    ))
    if (same) return
    this.names = names
    this.entries = entries
    this.known.clear()
  }

  of (key: string): CoordinatorEntry | undefined {
    const known = this.known.get(key)
    if (known !== undefined) return known
    const [name = ''] = rendezvous(key, this.names, 1)
    const home = this.entries.get(name)
    if (home === undefined) return undefined
    if (this.known.size >= MAX_KNOWN) this.known.clear()
    this.known.set(key, home)
    return home
  }
}

/** Keys whose home is kept. */
const MAX_KNOWN = 65_536
