/** Sums of figures of all gateways, by key, as the exchange between gateways tells them. */
import * as z from 'zod'
import type * as time from '../time/index.js'
import * as validation from '../validation/index.js'
import type * as types from './types.js'

/** Age up to which the totals of the relay count, in ms. */
const TOTALS_LIFE_MS = 1_000

/** Time for which calculated totals are reused, in ms: a relay replies to many members. */
const TOTALS_REUSE_MS = 20

/** Figures of a row; further ones are beside it, as gateways of earlier versions accept rows of three fields only. */
const ROW_FIGURES = 2

/** A key and its figures; missing ones are 0. */
export type SumRow = readonly [key: string, ...figures: number[]]

/** `complete`: keys that are not listed have zeros; otherwise their figures are unchanged. `further`: figures beside the rows, in their order. */
const SumChanges = z.object({ complete: z.boolean(), rows: validation.list(z.tuple([z.string(), z.int(), z.int()])), further: validation.list(validation.list(z.int())).optional() })
type SumChanges = z.infer<typeof SumChanges>

/** The figures of a key. */
export type Figures = readonly number[]

/** A total, and the position at which it last changed. */
interface Total {
  readonly figures: Figures
  readonly position: number
}

/** Dependencies of a {@link PeerSums}. */
export interface PeerSumsDeps {
  readonly clock: time.Clock
  /** Figures of this gateway. */
  readonly ownRows: () => readonly SumRow[]
}

/**
 * Sums the figures of all gateways. A relay adds up what its members and the other relays tell it; a member gets the totals
 * of its relay, and subtracts what it has told itself.
 */
export class PeerSums implements types.Topic {
  /** Rows of members and of fellow relays, by gateway. */
  private readonly told = new Map<string, { readonly link: types.Link, readonly rows: readonly SumRow[] }>()
  /** Sums of {@link told}, by key. */
  private sums = new Map<string, Figures>()
  /** Totals that the relay told, and when, on the monotonic clock. */
  private readonly relayTotals = new Map<string, Figures>()
  private relayToldAt = -Infinity
  /** Own rows in the last call to the relay, and in the last one that it replied to. */
  private sentOwn = new Map<string, Figures>()
  private confirmedOwn = new Map<string, Figures>()
  /** Totals of all gateways with their last changes, for members. */
  private totals = new Map<string, Total>()
  private totalsAt = -Infinity
  private position = 0

  constructor (readonly name: string, private readonly deps: PeerSumsDeps) {}

  /** Sum of the other gateways' figure at `index`. */
  other (key: string, index: number): number {
    if (!this.hasRelay) return this.sums.get(key)?.[index] ?? 0
    const total = this.relayTotals.get(key)?.[index] ?? 0
    const own = this.confirmedOwn.get(key)?.[index] ?? 0
    return Math.max(0, total - own)
  }

  changesSince (link: types.Link, position: number | undefined): types.Changes | undefined {
    if (link.kind === 'member') return this.totalsSince(position)
    const own = this.deps.ownRows()
    if (link.kind === 'relay') this.sentOwn = toFigures(own)
    const members = [...this.told.values()].filter((told) => told.link.kind === 'member')
    const rows = members.length === 0 ? own : toRows(addUp([own, ...members.map((told) => told.rows)]))
    return { next: ++this.position, payload: encode(true, rows) }
  }

  apply (link: types.Link, payload: unknown): boolean {
    const { complete, rows } = decode(payload)
    if (link.kind !== 'relay') {
      this.told.set(link.gateway, { link, rows })
      this.sumUp()
      return true
    }
    if (complete) this.relayTotals.clear()
    for (const [key, ...figures] of rows) {
      if (isZero(figures)) this.relayTotals.delete(key)
      else this.relayTotals.set(key, figures)
    }
    this.confirmedOwn = this.sentOwn
    this.relayToldAt = this.deps.clock.now()
    return true
  }

  linkEnded (link: types.Link): void {
    if (link.kind === 'relay') {
      this.relayTotals.clear()
      this.relayToldAt = -Infinity
    } else if (this.told.delete(link.gateway)) this.sumUp()
  }

  private get hasRelay (): boolean {
    return this.deps.clock.now() - this.relayToldAt < TOTALS_LIFE_MS
  }

  private sumUp (): void {
    this.sums = addUp([...this.told.values()].map((told) => told.rows))
  }

  private totalsSince (position: number | undefined): types.Changes {
    this.refreshTotals()
    const rows: SumRow[] = []
    for (const [key, total] of this.totals) {
      if (total.position > (position ?? 0)) rows.push([key, ...total.figures])
    }
    return { next: this.position, payload: encode(position === undefined, rows) }
  }

  private refreshTotals (): void {
    const now = this.deps.clock.now()
    if (now - this.totalsAt < TOTALS_REUSE_MS) return
    this.totalsAt = now
    const current = this.hasRelay ? this.relayTotals : addUp([this.deps.ownRows(), ...[...this.told.values()].map((told) => told.rows)])
    this.position++
    for (const [key, figures] of current) {
      const known = this.totals.get(key)
      if (known === undefined || !isEqual(known.figures, figures)) this.totals.set(key, { figures, position: this.position })
    }
    for (const [key, total] of this.totals) {
      if (!current.has(key) && !isZero(total.figures)) this.totals.set(key, { figures: [], position: this.position })
    }
  }
}

function encode (complete: boolean, rows: readonly SumRow[]): SumChanges {
  const further = rows.map(([, ...figures]) => figures.slice(ROW_FIGURES))
  const payload: SumChanges = { complete, rows: rows.map(([key, first = 0, second = 0]) => [key, first, second]) }
  return further.every(isZero) ? payload : { ...payload, further }
}

function decode (payload: unknown): { readonly complete: boolean, readonly rows: readonly SumRow[] } {
  const { complete, rows, further = [] } = SumChanges.parse(payload)
  return { complete, rows: rows.map((row, index): SumRow => [...row, ...further[index] ?? []]) }
}

function addUp (lists: ReadonlyArray<readonly SumRow[]>): Map<string, Figures> {
  const sums = new Map<string, number[]>()
  for (const rows of lists) {
    for (const [key, ...figures] of rows) {
      const sum = sums.get(key)
      if (sum === undefined) sums.set(key, figures)
      else for (const [index, figure] of figures.entries()) sum[index] = (sum[index] ?? 0) + figure
    }
  }
  return sums
}

function toFigures (rows: readonly SumRow[]): Map<string, Figures> {
  return new Map(rows.map(([key, ...figures]) => [key, figures]))
}

function toRows (sums: ReadonlyMap<string, Figures>): SumRow[] {
  return [...sums].map(([key, figures]) => [key, ...figures])
}

function isZero (figures: Figures): boolean {
  return figures.every((figure) => figure === 0)
}

function isEqual (a: Figures, b: Figures): boolean {
  const longer = a.length > b.length ? a : b
  return longer.every((_, index) => (a[index] ?? 0) === (b[index] ?? 0))
}
