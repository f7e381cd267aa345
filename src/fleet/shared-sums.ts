/**
 * Decaying sums that all gateways add to, a topic of the exchange. Each gateway tells the complete state of its own sums, so
 * that repeated messages change nothing. A relay adds up, and tells each link the total without what came from it.
 */
import * as z from 'zod'
import type * as exchange from '../exchange/index.js'
import type * as time from '../time/index.js'
import * as validation from '../validation/index.js'
import * as decayingSums from './decaying-sums.js'

/** Time between two messages over a link, in ms: sums change slowly, and relays pay for each message. */
const TELL_INTERVAL_MS = 1_000

/** Keys kept of this gateway, and of each link; further ones are ignored until others have decayed. */
const MAX_KEYS = 1_000

/** Time for which calculated totals are reused, in ms: a relay tells them to many members. */
const TOTALS_REUSE_MS = 200

/** Sums of one key: the key, and the numbers. */
const SumsRow = validation.tupleWithRest(z.string().max(600), z.number().nonnegative())
type SumsRow = z.infer<typeof SumsRow>

/** `position` rises with each message of a sender; `complete`: keys that are not listed have no sums, otherwise they are unchanged. */
const SumsChanges = z.object({ position: z.int(), complete: z.boolean(), rows: validation.list(SumsRow) })

/** What one gateway told over its link. */
interface Told {
  readonly link: exchange.Link
  /** Position of the sender's last message that was applied. */
  position: number
  readonly rows: Map<string, decayingSums.DecayingSums>
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
  private readonly own = new Map<string, decayingSums.DecayingSums>()
  private readonly told = new Map<string, Told>()
  /** When each link was last told something, in ms on the monotonic clock. */
  private readonly toldAt = new Map<string, number>()
  /** Positions of the last change of each key, by any gateway, and by this one and its members. */
  private readonly changedAt = new Map<string, number>()
  private readonly ownChangedAt = new Map<string, number>()
  /** Totals over all gateways as members are told, and over this one and its members as other gateways are, as of `totalsAt`. */
  private totals = new Map<string, number[]>()
  private ownTotals = new Map<string, number[]>()
  private totalsAt = -Infinity
  private position = 0

  constructor (private readonly deps: SharedSumsDeps) {
    this.name = deps.name
  }

  /** Adds to the sums of a key. Later ones count fully, earlier ones less. */
  add (key: string, values: readonly number[]): void {
    const known = this.own.get(key)
    if (known === undefined && !this.hasRoom(this.own)) return
    const sums = known ?? this.emptySums()
    sums.add(values, this.now())
    this.own.set(key, sums)
    this.noteChange(key, true)
  }

  /** Sums of a key over all gateways as of now; zeros when nothing is known. */
  total (key: string): number[] {
    return this.sumOf(key, this.told.values())
  }

  changesSince (link: exchange.Link, position: number | undefined): exchange.Changes | undefined {
    const now = this.now()
    if (position !== undefined && now - (this.toldAt.get(link.gateway) ?? -Infinity) < TELL_INTERVAL_MS) return undefined
    if (now - this.totalsAt >= TOTALS_REUSE_MS) this.forgetTotals(now)
    const members = [...this.told.values()].filter((told) => told.link.kind === 'member')
    const rows: SumsRow[] = []
    for (const [key, changedAt] of link.kind === 'member' ? this.changedAt : this.ownChangedAt) {
      if (changedAt <= (position ?? -1)) continue
      const sums = link.kind === 'member' ? this.totalWithout(key, link) : this.cached(this.ownTotals, key, members)
      if (sums.some((sum) => sum >= 1)) rows.push([key, ...sums.map(Math.round)])
    }
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
    told.rows.set(key, sums)
    this.noteChange(key, told.link.kind === 'member')
  }

  private noteChange (key: string, isOwnPart: boolean): void {
    this.changedAt.set(key, ++this.position)
    if (isOwnPart) this.ownChangedAt.set(key, this.position)
    this.totals.delete(key)
    this.ownTotals.delete(key)
  }

  private forgetRelays (): void {
    for (const [gateway, told] of this.told) if (told.link.kind === 'relay') this.told.delete(gateway)
  }

  /** Total as a member is told: without its own part. */
  private totalWithout (key: string, link: exchange.Link): number[] {
    const part = new Array<number>(this.deps.size).fill(0)
    this.told.get(link.gateway)?.rows.get(key)?.addTo(part, this.now())
    return this.cached(this.totals, key, this.told.values()).map((sum, index) => Math.max(0, sum - part[index]!))
  }

  private cached (totals: Map<string, number[]>, key: string, sources: Iterable<Told>): number[] {
    const known = totals.get(key)
    if (known !== undefined) return known
    const total = this.sumOf(key, sources)
    totals.set(key, total)
    return total
  }

  private forgetTotals (now: number): void {
    this.totals = new Map()
    this.ownTotals = new Map()
    this.totalsAt = now
  }

  private sumOf (key: string, sources: Iterable<Told>): number[] {
    const now = this.now()
    const sum = new Array<number>(this.deps.size).fill(0)
    this.own.get(key)?.addTo(sum, now)
    for (const told of sources) told.rows.get(key)?.addTo(sum, now)
    return sum
  }

  /** Whether one more key may be kept; drops those of which nothing is left. */
  private hasRoom (rows: Map<string, decayingSums.DecayingSums>): boolean {
    if (rows.size < MAX_KEYS) return true
    for (const [key, sums] of rows) if (sums.isSpent(this.now())) rows.delete(key)
    for (const key of this.changedAt.keys()) {
      if (this.own.has(key) || [...this.told.values()].some((told) => told.rows.has(key))) continue
      this.changedAt.delete(key)
      this.ownChangedAt.delete(key)
    }
    return rows.size < MAX_KEYS
  }

  private emptySums (): decayingSums.DecayingSums {
    return new decayingSums.DecayingSums(this.deps.size, this.deps.halfLifeMs)
  }

  private now (): number {
    return this.deps.clock.now()
  }
}
