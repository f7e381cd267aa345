/** Calls that wait at other gateways, as the exchange between gateways tells it. */
import * as z from 'zod'
import type * as exchange from '../exchange/index.js'
import type * as time from '../time/index.js'
import * as validation from '../validation/index.js'
import type * as types from './types.js'
import * as urgency from './urgency.js'

/** Age up to which rows count, in ms: some exchanges. */
const ROWS_LIFE_MS = 1_000

/** Rows of one message; further ones, the least urgent, are left out. */
const MAX_ROWS = 64

/** Longest name of a pool that is accepted, in characters. */
const MAX_POOL_CHARS = 300

/** Positions of messages without and with rows: each message is complete, and an empty one is not repeated once confirmed. */
const EMPTY_POSITION = 0
const ROWS_POSITION = 1

/** Name of a pool, urgency level, and the number and the work of the calls that wait for it. */
export const WaitingRow = z.tuple([z.string().max(MAX_POOL_CHARS), z.int().min(0).max(urgency.LEVELS - 1), z.int().nonnegative(), z.int().nonnegative()])
export type WaitingRow = z.infer<typeof WaitingRow>

const WaitingRows = validation.list(WaitingRow, { max: MAX_ROWS })

interface Told {
  readonly kind: exchange.LinkKind
  readonly rows: readonly WaitingRow[]
  readonly at: number
}

/** Dependencies of a {@link PeerWaiting}. */
export interface PeerWaitingDeps {
  readonly clock: time.Clock
  /** Rows of this gateway. */
  readonly ownRows: () => readonly WaitingRow[]
}

/**
 * Sums what waits at all gateways. A relay tells each member what waits at all gateways but that member, and the other
 * relays what waits at it and its members.
 */
export class PeerWaiting implements exchange.Topic {
  readonly name = 'waiting'
  private readonly told = new Map<string, Told>()

  constructor (private readonly deps: PeerWaitingDeps) {}

  /** Work that waits elsewhere for a pool. */
  others (pool: string): types.OthersWaiting {
    const rows = this.recent(() => true).filter((row) => row[0] === pool)
    return {
      workAbove: (level) => sumOf(rows, (row) => row[1] < level),
      workAt: (level) => sumOf(rows, (row) => row[1] === level)
    }
  }

  changesSince (link: exchange.Link, position: number | undefined): exchange.Changes | undefined {
    const told = this.recent((gateway, { kind }) => gateway !== link.gateway && (link.kind === 'member' ? true : link.kind === 'fellow' && kind === 'member'))
    const rows = addUp([...this.deps.ownRows(), ...told])
    if (rows.length > 0) return { next: ROWS_POSITION, payload: rows.slice(0, MAX_ROWS) }
    return (position ?? EMPTY_POSITION) === EMPTY_POSITION ? undefined : { next: EMPTY_POSITION, payload: [] }
  }

  apply (link: exchange.Link, payload: unknown): boolean {
    const rows = WaitingRows.parse(payload)
    if (rows.length === 0) this.told.delete(link.gateway)
    else this.told.set(link.gateway, { kind: link.kind, rows, at: this.deps.clock.now() })
    return true
  }

  linkEnded (link: exchange.Link): void {
    this.told.delete(link.gateway)
  }

  private recent (counts: (gateway: string, told: Told) => boolean): WaitingRow[] {
    if (this.told.size === 0) return []
    const now = this.deps.clock.now()
    return [...this.told].filter(([gateway, told]) => now - told.at < ROWS_LIFE_MS && counts(gateway, told)).flatMap(([, told]) => told.rows)
  }
}

function sumOf (rows: readonly WaitingRow[], counts: (row: WaitingRow) => boolean): number {
  return rows.reduce((sum, row) => counts(row) ? sum + row[3] : sum, 0)
}

/** Rows by pool and level, the most urgent ones first. */
function addUp (rows: readonly WaitingRow[]): WaitingRow[] {
  const sums = new Map<string, WaitingRow>()
  for (const [pool, level, calls, work] of rows) {
    const key = `${level} ${pool}`
    const sum = sums.get(key)
    sums.set(key, [pool, level, calls + (sum?.[2] ?? 0), work + (sum?.[3] ?? 0)])
  }
  return [...sums.values()].sort((a, b) => a[1] - b[1])
}
