/** Sums the work of the accounts for which this process is the home entry. */
import type { SumRow, ShareAnswer, ShareReport, ShareRow, SlotAnswer } from './share-wire.js'
import { SlotCoordinator } from './slot-coordinator.js'

/** Demand reported by an entry counts while the entry was heard from within this time, in ms. */
const DEMAND_LIFE_MS = 5_000

/** A row younger than this at its home entry counts as just begun, in ms. */
const NEW_ROW_MS = 5_000

/** Time after which an entry that reports nothing of an account is dropped from its sum, in ms. */
const CONTRIBUTION_LIFE_MS = 600_000

/** Accounts checked for expiry at each sweep. */
const SWEEP_ROWS = 256

/** Entries and accounts remembered; new ones beyond are not summed. */
const MAX_REPORTERS = 4_096
const MAX_ROWS = 262_144

/** Sums by service and account; updated in place by reports. */
export class ShareCoordinator {
  readonly slots = new SlotCoordinator()
  private readonly rows = new Map<string, AccountSum>()
  private readonly reporters = new Map<string, Reporter>()
  /** Time of the last report of each incarnation. */
  private readonly heard = new Map<string, number>()
  private sweepAt: Iterator<[string, AccountSum]> | undefined

  constructor (private readonly incarnation: string) {}

  /**
   * Counts a report and answers it. A report that is older than one already counted, by epoch or sequence
   * number, changes nothing; `undefined` tells that the reporter was replaced by a later incarnation.
   */
  apply (report: ShareReport, now: number): ShareAnswer | undefined {
    const known = this.reporters.get(report.id)
    if (known !== undefined && report.epoch < known.epoch) return undefined
    const isNew = known?.incarnation !== report.incarnation
    if (isNew && known !== undefined) this.forgetDemand(known.incarnation)
    if (known === undefined && this.reporters.size >= MAX_REPORTERS) return undefined
    const fresh = isNew || report.seq > known.seq
    if (fresh) this.reporters.set(report.id, { incarnation: report.incarnation, epoch: report.epoch, seq: report.seq, heardAt: now })
    this.heard.set(report.incarnation, now)
    const slots = this.answerSlots(report, fresh, now)
    return { home: this.incarnation, rows: this.answerRows(report, fresh, now), ...(slots.length > 0 ? { slots } : {}) }
  }

  /** Stops counting the demand and slots of an incarnation that is gone; its work stays in the sums. */
  forgetDemand (incarnation: string): void {
    this.heard.delete(incarnation)
    this.slots.drop(incarnation)
  }

  /** Drops what was not reported for long; called about once a second. */
  sweep (now: number): void {
    this.sweepAt ??= this.rows.entries()
    for (let count = 0; count < SWEEP_ROWS; count++) {
      const next = this.sweepAt.next()
      if (next.done === true) {
        this.sweepAt = undefined
        break
      }
      const [key, row] = next.value
      if (row.expire(now)) this.rows.delete(key)
    }
    for (const [id, reporter] of this.reporters) {
      if (now - reporter.heardAt <= CONTRIBUTION_LIFE_MS) continue
      this.reporters.delete(id)
      this.forgetDemand(reporter.incarnation)
    }
  }

  /** Accounts summed. */
  get size (): number {
    return this.rows.size
  }

  private answerRows (report: ShareReport, fresh: boolean, now: number): ShareAnswer['rows'] {
    if (report.rows === undefined) return undefined
    return Object.fromEntries(Object.entries(report.rows).map(([service, rows]) => (
      [service, rows.flatMap((row) => this.answerRow(service, row, report.incarnation, fresh, now) ?? [])]
    )))
  }

  private answerRow (service: string, row: ShareRow, incarnation: string, fresh: boolean, now: number): [SumRow] | undefined {
    const [account] = row
    const key = `${service}/${account}`
    let sum = this.rows.get(key)
    if (sum === undefined) {
      if (this.rows.size >= MAX_ROWS) return undefined
      sum = new AccountSum(now)
      this.rows.set(key, sum)
    }
    if (fresh) sum.add(incarnation, row, now)
    const others = sum.others(incarnation, (entry) => now - (this.heard.get(entry) ?? -Infinity) <= DEMAND_LIFE_MS)
    return [[account, others.work, others.demand, now - sum.createdAt < NEW_ROW_MS ? 1 : 0]]
  }

  private answerSlots (report: ShareReport, fresh: boolean, now: number): SlotAnswer[] {
    if (!fresh) return []
    return (report.slots ?? []).map((row) => this.slots.claim(report.incarnation, row, now)).filter((answer) => answer !== undefined)
  }
}

interface Reporter {
  readonly incarnation: string
  readonly epoch: number
  readonly seq: number
  readonly heardAt: number
}

interface Contribution {
  /** Total last reported. */
  total: number
  /** Part of it counted by this home entry. */
  counted: number
  demand: number
  at: number
}

class AccountSum {
  private readonly entries = new Map<string, Contribution>()
  private work = 0

  constructor (readonly createdAt: number) {}

  // Work up to `base` was counted by another home entry, so that a new home entry does not count it again.
  add (incarnation: string, [, total, demand, base]: ShareRow, now: number): void {
    const known = this.entries.get(incarnation) ?? { total: 0, counted: 0, demand: 0, at: now }
    const isRestarted = total < known.total
    const step = Math.max(0, total - Math.max(base, isRestarted ? 0 : known.total))
    known.total = total
    known.counted += step
    known.demand = demand
    known.at = now
    this.work += step
    this.entries.set(incarnation, known)
  }

  others (incarnation: string, isLive: (entry: string) => boolean): { readonly work: number, readonly demand: number } {
    let demand = 0
    for (const [entry, contribution] of this.entries) {
      if (entry !== incarnation && contribution.demand > 0 && isLive(entry)) demand += contribution.demand
    }
    return { work: Math.max(0, this.work - (this.entries.get(incarnation)?.counted ?? 0)), demand }
  }

  /** Drops old contributions; true when none is left. */
  expire (now: number): boolean {
    for (const [entry, contribution] of this.entries) {
      if (now - contribution.at <= CONTRIBUTION_LIFE_MS) continue
      this.work -= contribution.counted
      this.entries.delete(entry)
    }
    return this.entries.size === 0
  }
}
