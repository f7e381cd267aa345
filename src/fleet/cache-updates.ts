/** Cache changes of engines, as the gateways that follow an engine tell them to the others. */
import * as z from 'zod'
import type * as calls from '../call/index.js'
import type * as exchange from '../exchange/index.js'
import * as validation from '../validation/index.js'

/** Changes retained for others; a gateway that asks too late misses the oldest, which costs some wrong estimates. */
const RETAINED_CHANGES = 8_192

/** Changes in one message: those of all gateways together must leave room for calls on a slow link. */
const MAX_CHANGES_PER_MESSAGE = 400

/** Changes looked at for one message. */
const MAX_SCANNED_CHANGES = 4_000

/** Cache changes of one target. */
const CacheRow = z.object({
  target: z.string(),
  /** Whether the target restarted with an empty cache before the listed changes. */
  restarted: z.boolean(),
  /** Id of a segment, and its tokens that are cached now. */
  changes: validation.list(z.tuple([z.string(), z.number()]))
})
export type CacheRow = z.infer<typeof CacheRow>
const CacheRows = validation.list(CacheRow)

/** Link of what this gateway found out itself. */
const OWN = ''

/** One change of a target's cache. */
interface CacheUpdate {
  readonly target: string
  /** Undefined for a restart. */
  readonly change: calls.CacheChange | undefined
  /** Gateway whose link told it; {@link OWN} for this gateway. */
  readonly source: string
  /** Whether it came from a fellow relay or from the relay: those are told to members only. */
  readonly fromAbove: boolean
}

/** The newest changes, a topic of the exchange; positions count all changes from 0. */
export class CacheUpdates implements exchange.Topic {
  readonly name = 'cache'
  private updates: CacheUpdate[] = []
  /** Position of the oldest retained change. */
  private firstPosition = 0

  /** `applyRows` applies what other gateways tell. */
  constructor (private readonly applyRows: (rows: readonly CacheRow[]) => void) {}

  /** Records changes of a target that this gateway follows. */
  add (target: string, changes: readonly calls.CacheChange[]): void {
    for (const change of changes) this.push({ target, change, source: OWN, fromAbove: false })
  }

  /** Records that a target that this gateway follows restarted with an empty cache. */
  addRestart (target: string): void {
    this.push({ target, change: undefined, source: OWN, fromAbove: false })
  }

  // A new link starts at the newest change: a gateway that has just started does not catch up.
  changesSince (link: exchange.Link, position: number | undefined): exchange.Changes | undefined {
    const end = this.firstPosition + this.updates.length
    if (position === undefined) return { next: end, payload: [] }
    if (position >= end) return undefined
    const rows = new Map<string, CacheRow>()
    let index = Math.max(0, position - this.firstPosition)
    const last = Math.min(this.updates.length, index + MAX_SCANNED_CHANGES)
    for (let count = 0; index < last && count < MAX_CHANGES_PER_MESSAGE; index++) {
      const update = this.updates[index]!
      if (update.source === link.gateway || (update.fromAbove && link.kind !== 'member')) continue
      addToRows(rows, update)
      count++
    }
    return { next: this.firstPosition + index, payload: [...rows.values()] }
  }

  apply (link: exchange.Link, payload: unknown): boolean {
    const rows = CacheRows.parse(payload)
    this.applyRows(rows)
    const fromAbove = link.kind !== 'member'
    for (const { target, restarted, changes } of rows) {
      if (restarted) this.push({ target, change: undefined, source: link.gateway, fromAbove })
      for (const [id, tokens] of changes) this.push({ target, change: { id, tokens }, source: link.gateway, fromAbove })
    }
    return true
  }

  linkEnded (): void {}

  private push (update: CacheUpdate): void {
    this.updates.push(update)
    if (this.updates.length < 2 * RETAINED_CHANGES) return
    this.firstPosition += this.updates.length - RETAINED_CHANGES
    this.updates = this.updates.slice(-RETAINED_CHANGES)
  }
}

function addToRows (rows: Map<string, CacheRow>, { target, change }: CacheUpdate): void {
  if (change === undefined) {
    rows.set(target, { target, restarted: true, changes: [] })
    return
  }
  const row = rows.get(target) ?? { target, restarted: false, changes: [] }
  rows.set(target, row)
  row.changes.push([change.id, change.tokens])
}
