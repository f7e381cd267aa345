/** Work factors of targets as gateways tell them to each other, a topic of the exchange. */
import * as z from 'zod'
import type * as exchange from '../exchange/index.js'
import type * as time from '../time/index.js'
import * as validation from '../validation/index.js'
import * as workFactor from './work-factor.js'

const PERCENT = 100

/** A report is told when it deviates by this much from what the others assume. */
const MIN_TOLD_DEVIATION = 0.15

/** Age from which on a report is not told any more, in ms: it has decayed. */
const MAX_TOLD_AGE_MS = 1_000

/** Rows in one message. */
const MAX_ROWS = 400

/** Targets that are remembered; the one whose last report is oldest is forgotten first. */
const MAX_TARGETS = 1_000

/** A target, its work factor in percent, and the age of that report in ms. */
const SlowdownRow = z.tuple([z.string(), z.number().positive(), z.number().nonnegative()])
const SlowdownRows = validation.list(SlowdownRow)

/** A report of a target as others are told. */
interface ToldFactor {
  /** What the other gateways assume after this report. */
  readonly assumed: workFactor.WorkFactor
  readonly factor: number
  /** When the target reported it, in ms on the monotonic clock. */
  readonly at: number
  readonly position: number
  /** Gateway whose link told it; undefined for this gateway. */
  readonly link: exchange.Link | undefined
}

/** Dependencies of {@link Slowdowns}. */
export interface SlowdownsDeps {
  readonly clock: Pick<time.Clock, 'now'>
  /** Applies a report that another gateway got at `at` (ms, monotonic). */
  readonly apply: (target: string, factor: number, at: number) => void
}

/** The newest work factor of each target that deviates from what is assumed. */
export class Slowdowns implements exchange.Topic {
  readonly name = 'slowdowns'
  private readonly told = new Map<string, ToldFactor>()
  private position = 0

  constructor (private readonly deps: SlowdownsDeps) {}

  /** Notes what a target reported to this gateway at `at` (ms, monotonic). */
  note (target: string, factor: number, at: number): void {
    const assumed = this.told.get(target)?.assumed.at(at) ?? 1
    if (Math.abs(factor - assumed) >= MIN_TOLD_DEVIATION) this.set(target, factor, at, undefined)
  }

  changesSince (link: exchange.Link, position: number | undefined): exchange.Changes | undefined {
    const now = this.deps.clock.now()
    const rows: Array<z.infer<typeof SlowdownRow>> = []
    for (const [target, { factor, at, position: changedAt, link: source }] of this.told) {
      if (now - at > MAX_TOLD_AGE_MS) this.told.delete(target)
      else if (changedAt > (position ?? -1) && isFor(link, source) && rows.length < MAX_ROWS) rows.push([target, Math.round(factor * PERCENT), Math.round(now - at)])
    }
    return rows.length === 0 && position !== undefined ? undefined : { next: this.position, payload: rows }
  }

  // The newest report of a target wins, so that order and repetition of messages make no difference.
  apply (link: exchange.Link, payload: unknown): boolean {
    const now = this.deps.clock.now()
    for (const [target, percent, ageMs] of SlowdownRows.parse(payload)) {
      const at = now - ageMs
      if (ageMs > MAX_TOLD_AGE_MS || at <= (this.told.get(target)?.at ?? -Infinity)) continue
      this.deps.apply(target, percent / PERCENT, at)
      this.set(target, percent / PERCENT, at, link)
    }
    return true
  }

  linkEnded (): void {}

  private set (target: string, factor: number, at: number, link: exchange.Link | undefined): void {
    const assumed = new workFactor.WorkFactor()
    assumed.note(factor, at)
    this.told.delete(target)
    this.told.set(target, { assumed, factor, at, position: ++this.position, link })
    if (this.told.size > MAX_TARGETS) this.told.delete(this.told.keys().next().value!)
  }
}

// A relay passes on what members tell; what other relays tell goes to members only.
function isFor (link: exchange.Link, source: exchange.Link | undefined): boolean {
  if (source === undefined) return true
  return source.gateway !== link.gateway && (source.kind === 'member' || link.kind === 'member')
}
