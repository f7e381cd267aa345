/** Load that other gateways put on targets, as the exchange between gateways tells it. */
import * as z from 'zod'
import type * as exchange from '../exchange/index.js'
import type * as time from '../time/index.js'

/** Age up to which the totals of the relay count, in ms. */
const TOTALS_LIFE_MS = 1_000

/** Time for which calculated totals are reused, in ms: a relay replies to many members. */
const TOTALS_REUSE_MS = 20

/** Load on one target: the target's id, calls in flight, prompt tokens still to be prefilled, and tokens that its calls hold and no other call; 0 is left out. */
export const LoadRow = z.tuple([z.string(), z.int(), z.int(), z.int().optional()])
export type LoadRow = z.infer<typeof LoadRow>

/**
 * `complete`: targets that are not listed have no load; otherwise their load is unchanged. Held tokens are beside the rows, in their order,
 * as gateways of earlier versions accept rows of three fields only; absent when none are held.
 */
const LoadChanges = z.object({ complete: z.boolean(), rows: z.array(z.tuple([z.string(), z.int(), z.int()])), held: z.array(z.int()).optional() })

interface Load {
  readonly running: number
  readonly prefillTokens: number
  readonly heldTokens: number
}

const NO_LOAD: Load = { running: 0, prefillTokens: 0, heldTokens: 0 }

/** A total, and the position at which it last changed. */
interface Total extends Load {
  readonly position: number
}

/** Dependencies of a {@link PeerLoad}. */
export interface PeerLoadDeps {
  readonly clock: time.Clock
  /** Load of this gateway. */
  readonly ownRows: () => readonly LoadRow[]
}

/**
 * Sums the load of all gateways. A relay adds up what its members and the other relays tell it; a member gets the totals
 * of its relay, and subtracts what it has told itself.
 */
export class PeerLoad implements exchange.Topic {
  readonly name = 'load'
  /** Rows of members and of fellow relays, by gateway. */
  private readonly told = new Map<string, { readonly link: exchange.Link, readonly rows: readonly LoadRow[] }>()
  /** Sums of {@link told}, by target. */
  private sums = new Map<string, Load>()
  /** Totals that the relay told, and when, on the monotonic clock. */
  private readonly relayTotals = new Map<string, Load>()
  private relayToldAt = -Infinity
  /** Own rows in the last call to the relay, and in the last one that it replied to. */
  private sentOwn = new Map<string, Load>()
  private confirmedOwn = new Map<string, Load>()
  /** Totals of all gateways with their last changes, for members. */
  private totals = new Map<string, Total>()
  private totalsAt = -Infinity
  private position = 0

  constructor (private readonly deps: PeerLoadDeps) {}

  /** Calls of other gateways in flight at a target. */
  running (target: string): number {
    return this.loadOf(target).running
  }

  /** Prompt tokens of other gateways' calls that a target has still to prefill. */
  pendingPrefillTokens (target: string): number {
    return this.loadOf(target).prefillTokens
  }

  /** Tokens of KV cache that other gateways' calls hold at a target, without shared segments: gateways may hold the same ones. */
  heldTokens (target: string): number {
    return this.loadOf(target).heldTokens
  }

  changesSince (link: exchange.Link, position: number | undefined): exchange.Changes | undefined {
    if (link.kind === 'member') return this.totalsSince(position)
    const own = this.deps.ownRows()
    if (link.kind === 'relay') this.sentOwn = toLoads(own)
    const members = [...this.told.values()].filter((told) => told.link.kind === 'member')
    const rows = members.length === 0 ? own : toRows(addUp([own, ...members.map((told) => told.rows)]))
    return { next: ++this.position, payload: toPayload(true, rows) }
  }

  apply (link: exchange.Link, payload: unknown): boolean {
    const { complete, rows: received, held = [] } = LoadChanges.parse(payload)
    const rows = received.map(([target, running, prefillTokens], index): LoadRow => [target, running, prefillTokens, held[index] ?? 0])
    if (link.kind !== 'relay') {
      this.told.set(link.gateway, { link, rows })
      this.sumUp()
      return true
    }
    if (complete) this.relayTotals.clear()
    for (const row of rows) {
      const load = toLoad(row)
      if (isNone(load)) this.relayTotals.delete(row[0])
      else this.relayTotals.set(row[0], load)
    }
    this.confirmedOwn = this.sentOwn
    this.relayToldAt = this.deps.clock.now()
    return true
  }

  linkEnded (link: exchange.Link): void {
    if (link.kind === 'relay') {
      this.relayTotals.clear()
      this.relayToldAt = -Infinity
    } else if (this.told.delete(link.gateway)) this.sumUp()
  }

  private get hasRelay (): boolean {
    return this.deps.clock.now() - this.relayToldAt < TOTALS_LIFE_MS
  }

  private loadOf (target: string): Load {
    if (!this.hasRelay) return this.sums.get(target) ?? NO_LOAD
    const total = this.relayTotals.get(target) ?? NO_LOAD
    const own = this.confirmedOwn.get(target) ?? NO_LOAD
    return {
      running: Math.max(0, total.running - own.running),
      prefillTokens: Math.max(0, total.prefillTokens - own.prefillTokens),
      heldTokens: Math.max(0, total.heldTokens - own.heldTokens)
    }
  }

  private sumUp (): void {
    this.sums = addUp([...this.told.values()].map((told) => told.rows))
  }

  private totalsSince (position: number | undefined): exchange.Changes {
    this.refreshTotals()
    const rows: LoadRow[] = []
    for (const [target, total] of this.totals) {
      if (total.position > (position ?? 0)) rows.push(toRow(target, total))
    }
    return { next: this.position, payload: toPayload(position === undefined, rows) }
  }

  private refreshTotals (): void {
    const now = this.deps.clock.now()
    if (now - this.totalsAt < TOTALS_REUSE_MS) return
    this.totalsAt = now
    const current = this.hasRelay ? this.relayTotals : addUp([this.deps.ownRows(), ...[...this.told.values()].map((told) => told.rows)])
    this.position++
    for (const [target, load] of current) {
      const known = this.totals.get(target)
      if (known?.running !== load.running || known.prefillTokens !== load.prefillTokens || known.heldTokens !== load.heldTokens) this.totals.set(target, { ...load, position: this.position })
    }
    for (const [target, total] of this.totals) {
      if (!current.has(target) && !isNone(total)) this.totals.set(target, { ...NO_LOAD, position: this.position })
    }
  }
}

function addUp (lists: ReadonlyArray<readonly LoadRow[]>): Map<string, Load> {
  const sums = new Map<string, Load>()
  for (const rows of lists) {
    for (const row of rows) {
      const load = toLoad(row)
      const sum = sums.get(row[0]) ?? NO_LOAD
      sums.set(row[0], { running: sum.running + load.running, prefillTokens: sum.prefillTokens + load.prefillTokens, heldTokens: sum.heldTokens + load.heldTokens })
    }
  }
  return sums
}

function toLoads (rows: readonly LoadRow[]): Map<string, Load> {
  return new Map(rows.map((row) => [row[0], toLoad(row)]))
}

function toRows (loads: ReadonlyMap<string, Load>): LoadRow[] {
  return [...loads].map(([target, load]) => toRow(target, load))
}

function toPayload (complete: boolean, rows: readonly LoadRow[]): z.infer<typeof LoadChanges> {
  const held = rows.map(([, , , heldTokens = 0]) => heldTokens)
  const payload = { complete, rows: rows.map(([target, running, prefillTokens]): [string, number, number] => [target, running, prefillTokens]) }
  return held.every((tokens) => tokens === 0) ? payload : { ...payload, held }
}

function toLoad ([, running, prefillTokens, heldTokens = 0]: LoadRow): Load {
  return { running, prefillTokens, heldTokens }
}

function toRow (target: string, { running, prefillTokens, heldTokens }: Load): LoadRow {
  return heldTokens === 0 ? [target, running, prefillTokens] : [target, running, prefillTokens, heldTokens]
}

function isNone ({ running, prefillTokens, heldTokens }: Load): boolean {
  return running === 0 && prefillTokens === 0 && heldTokens === 0
}
