/**
 * Decaying sums that all gateways add to, a topic of the exchange. Each gateway tells the complete state of its own sums, so
 * that repeated messages change nothing. A relay adds up, and tells each link the total without what came from it.
 */
import * as z from 'zod'
import type * as exchange from '../exchange/index.js'
import type * as time from '../time/index.js'
import * as decayingSums from './decaying-sums.js'

/** Time between two messages over a link, in ms: sums change slowly, and relays pay for each message. */
const TELL_INTERVAL_MS = 1_000

/** Keys kept of this gateway, and of each link; further ones are ignored until others have decayed. */
const MAX_KEYS = 1_000

/** Sums of one key: the key, and the numbers. */
const SumsRow = z.tuple([z.string().max(600)], z.number().nonnegative())
type SumsRow = z.infer<typeof SumsRow>

/** `position` rises with each message of a sender; `complete`: keys that are not listed have no sums, otherwise they are unchanged. */
const SumsChanges = z.object({ position: z.int(), complete: z.boolean(), rows: z.array(SumsRow) })

/** Sums of a key from one source, and this gateway's position of their last change. */
interface KeySums {
  sums: decayingSums.DecayingSums
  position: number
}

/** What one gateway told over its link. */
interface Told {
  readonly link: exchange.Link
  /** Position of the sender's last message that was applied. */
  position: number
  readonly rows: Map<string, KeySums>
}

/** Dependencies of {@link SharedSums}. */
export interface SharedSumsDeps {
  readonly name: string
  readonly clock: Pick<time.Clock, 'now'>
  readonly halfLifeMs: number
  /** Number of sums of a key. */
  readonly size: number
}

/** Sums by key, of all gateways. */
export class SharedSums implements exchange.Topic {
  readonly name: string
  private readonly own = new Map<string, KeySums>()
  private readonly told = new Map<string, Told>()
  /** When each link was last told something, in ms on the monotonic clock. */
  private readonly toldAt = new Map<string, number>()
  private position = 0

  constructor (private readonly deps: SharedSumsDeps) {
    this.name = deps.name
  }

  /** Adds to the sums of a key. Later ones count fully, earlier ones less. */
  add (key: string, values: readonly number[]): void {
    const known = this.own.get(key)
    if (known === undefined && !this.hasRoom(this.own)) return
    const sums = known?.sums ?? this.emptySums()
    sums.add(values, this.now())
    this.own.set(key, { sums, position: ++this.position })
  }

  /** Sums of a key over all gateways as of now; zeros when nothing is known. */
  total (key: string): number[] {
    return this.totalOf(key, (told) => told !== undefined)
  }

  changesSince (link: exchange.Link, position: number | undefined): exchange.Changes | undefined {
    const now = this.now()
    if (position !== undefined && now - (this.toldAt.get(link.gateway) ?? -Infinity) < TELL_INTERVAL_MS) return undefined
    const isTold = (told: Told): boolean => told.link.gateway !== link.gateway && (told.link.kind === 'member' || link.kind === 'member')
    const rows: SumsRow[] = []
    for (const key of this.keysChangedSince(position ?? -1, isTold)) rows.push([key, ...this.totalOf(key, isTold).map(Math.round)])
    if (rows.length === 0 && position !== undefined) return undefined
    this.toldAt.set(link.gateway, now)
    return { next: this.position, payload: { position: this.position, complete: position === undefined, rows } }
  }

  // A message that was overtaken by a later one is dropped: the later one has all that had not been confirmed.
  apply (link: exchange.Link, payload: unknown): boolean {
    const { position, complete, rows } = SumsChanges.parse(payload)
    const known = this.told.get(link.gateway)
    const current = known !== undefined && known.link.incarnation === link.incarnation && known.link.kind === link.kind ? known : undefined
    if (current !== undefined && position < current.position) return true
    // What a former relay told is in the totals of the new one, or in what members and fellows tell.
    if (link.kind !== 'relay' || current === undefined) this.forgetRelays()
    const told: Told = { link, position, rows: complete || current === undefined ? new Map() : current.rows }
    for (const [key, ...values] of rows) this.applyRow(told, key, values)
    this.told.set(link.gateway, told)
    return true
  }

  // What the last relay told stays until it has decayed or another relay replaces it: it is all that is known of the others.
  linkEnded (link: exchange.Link): void {
    this.toldAt.delete(link.gateway)
    if (link.kind !== 'relay') this.told.delete(link.gateway)
  }

  private applyRow (told: Told, key: string, values: readonly number[]): void {
    if (values.length !== this.deps.size || (!told.rows.has(key) && !this.hasRoom(told.rows))) return
    const sums = this.emptySums()
    sums.add(values, this.now())
    told.rows.set(key, { sums, position: ++this.position })
  }

  private forgetRelays (): void {
    for (const [gateway, told] of this.told) if (told.link.kind === 'relay') this.told.delete(gateway)
  }

  private keysChangedSince (position: number, isTold: (told: Told) => boolean): Set<string> {
    const keys = new Set<string>()
    for (const [key, row] of this.own) if (row.position > position) keys.add(key)
    for (const told of this.told.values()) {
      if (!isTold(told)) continue
      for (const [key, row] of told.rows) if (row.position > position) keys.add(key)
    }
    return keys
  }

  private totalOf (key: string, isTold: (told: Told) => boolean): number[] {
    const now = this.now()
    const total = new Array<number>(this.deps.size).fill(0)
    this.own.get(key)?.sums.addTo(total, now)
    for (const told of this.told.values()) if (isTold(told)) told.rows.get(key)?.sums.addTo(total, now)
    return total
  }

  /** Whether one more key may be kept; drops those of which nothing is left. */
  private hasRoom (rows: Map<string, KeySums>): boolean {
    if (rows.size < MAX_KEYS) return true
    for (const [key, { sums }] of rows) if (sums.isSpent(this.now())) rows.delete(key)
    return rows.size < MAX_KEYS
  }

  private emptySums (): decayingSums.DecayingSums {
    return new decayingSums.DecayingSums(this.deps.size, this.deps.halfLifeMs)
  }

  private now (): number {
    return this.deps.clock.now()
  }
}
