/** Sums the work of the accounts for which this process is the coordinator entry. */
import type { SumRow, ShareReply, ShareReport, ShareRow, SlotReply } from './share-wire.js'
import { SlotCoordinator } from './slot-coordinator.js'

/** Age of an entry's last report up to which its demand counts, in ms. */
const DEMAND_LIFE_MS = 5_000

/** Age up to which a sum counts as new, in ms: it then holds only work that no former coordinator entry acknowledged. */
const NEW_SUM_MS = 5_000

/** Time without a report of an account after which an entry's contribution is dropped from the sum, in ms. */
const CONTRIBUTION_LIFE_MS = 600_000

/** Maximum number of accounts checked for expiry in one sweep. */
const SWEEP_ACCOUNTS = 256

/** Maximum numbers of entries and accounts tracked; further ones are not summed. */
const MAX_REPORTERS = 4_096
const MAX_ACCOUNTS = 262_144

/** Sums by service and account, updated by reports of the entries. */
export class ShareCoordinator {
  readonly slots = new SlotCoordinator()
  private readonly sums = new Map<string, AccountSum>()
  private readonly reporters = new Map<string, Reporter>()
  /** Time of the last report of each incarnation. */
  private readonly lastReportAt = new Map<string, number>()
  private sweepIterator: Iterator<[string, AccountSum]> | undefined

  constructor (private readonly incarnation: string) {}

  /**
   * Applies a report and returns the reply. A report that is older than one already applied, by epoch or sequence
   * number, changes nothing; `undefined` means that a later incarnation of the reporter is known, or that too many
   * entries report.
   */
  apply (report: ShareReport, now: number): ShareReply | undefined {
    const previous = this.reporters.get(report.id)
    if (previous !== undefined && report.epoch < previous.epoch) return undefined
    const isNewIncarnation = previous?.incarnation !== report.incarnation
    if (isNewIncarnation && previous !== undefined) this.dropDemand(previous.incarnation)
    if (previous === undefined && this.reporters.size >= MAX_REPORTERS) return undefined
    const isNewReport = isNewIncarnation || report.seq > previous.seq
    if (isNewReport) this.reporters.set(report.id, { incarnation: report.incarnation, epoch: report.epoch, seq: report.seq, lastReportAt: now })
    this.lastReportAt.set(report.incarnation, now)
    const slots = this.replySlots(report, isNewReport, now)
    return { home: this.incarnation, rows: this.replyRows(report, isNewReport, now), ...(slots.length > 0 ? { slots } : {}) }
  }

  /** Drops the demand and slot claims of a terminated incarnation; its work stays in the sums. */
  dropDemand (incarnation: string): void {
    this.lastReportAt.delete(incarnation)
    this.slots.dropEntry(incarnation)
  }

  /** Drops expired contributions and reporters; called about once a second. */
  sweep (now: number): void {
    this.sweepIterator ??= this.sums.entries()
    for (let count = 0; count < SWEEP_ACCOUNTS; count++) {
      const next = this.sweepIterator.next()
      if (next.done === true) {
        this.sweepIterator = undefined
        break
      }
      const [key, sum] = next.value
      if (sum.removeExpired(now)) this.sums.delete(key)
    }
    for (const [id, reporter] of this.reporters) {
      if (now - reporter.lastReportAt <= CONTRIBUTION_LIFE_MS) continue
      this.reporters.delete(id)
      this.dropDemand(reporter.incarnation)
    }
  }

  /** Number of sums, one for each service and account. */
  get accountCount (): number {
    return this.sums.size
  }

  private replyRows (report: ShareReport, isNewReport: boolean, now: number): ShareReply['rows'] {
    if (report.rows === undefined) return undefined
    return Object.fromEntries(Object.entries(report.rows).map(([service, rows]) => (
      [service, rows.flatMap((row) => this.replyRow(service, row, report.incarnation, isNewReport, now) ?? [])]
    )))
  }

  private replyRow (service: string, row: ShareRow, incarnation: string, isNewReport: boolean, now: number): [SumRow] | undefined {
    const [account] = row
    const key = `${service}/${account}`
    let sum = this.sums.get(key)
    if (sum === undefined) {
      if (this.sums.size >= MAX_ACCOUNTS) return undefined
      sum = new AccountSum(now)
      this.sums.set(key, sum)
    }
    if (isNewReport) sum.applyRow(incarnation, row, now)
    const others = sum.othersOf(incarnation, (entry) => now - (this.lastReportAt.get(entry) ?? -Infinity) <= DEMAND_LIFE_MS)
    return [[account, others.work, others.demand, now - sum.createdAt < NEW_SUM_MS ? 1 : 0]]
  }

  private replySlots (report: ShareReport, isNewReport: boolean, now: number): SlotReply[] {
    if (!isNewReport) return []
    return (report.slots ?? []).map((row) => this.slots.applyClaim(report.incarnation, row, now)).filter((reply) => reply !== undefined)
  }
}

interface Reporter {
  readonly incarnation: string
  readonly epoch: number
  readonly seq: number
  readonly lastReportAt: number
}

interface Contribution {
  /** Cumulative work last reported. */
  reportedWork: number
  /** Part of it that this coordinator entry has counted. */
  countedWork: number
  demand: number
  reportedAt: number
}

class AccountSum {
  private readonly contributions = new Map<string, Contribution>()
  private work = 0

  constructor (readonly createdAt: number) {}

  // Work up to `countedElsewhere` was counted by a former coordinator entry; a new one must not count it again.
  applyRow (incarnation: string, [, reportedWork, demand, countedElsewhere]: ShareRow, now: number): void {
    const contribution = this.contributions.get(incarnation) ?? { reportedWork: 0, countedWork: 0, demand: 0, reportedAt: now }
    const isRestarted = reportedWork < contribution.reportedWork
    const increment = Math.max(0, reportedWork - Math.max(countedElsewhere, isRestarted ? 0 : contribution.reportedWork))
    contribution.reportedWork = reportedWork
    contribution.countedWork += increment
    contribution.demand = demand
    contribution.reportedAt = now
    this.work += increment
    this.contributions.set(incarnation, contribution)
  }

  othersOf (incarnation: string, isLive: (entry: string) => boolean): { readonly work: number, readonly demand: number } {
    let demand = 0
    for (const [entry, contribution] of this.contributions) {
      if (entry !== incarnation && contribution.demand > 0 && isLive(entry)) demand += contribution.demand
    }
    return { work: Math.max(0, this.work - (this.contributions.get(incarnation)?.countedWork ?? 0)), demand }
  }

  /** Drops expired contributions; true when none is left. */
  removeExpired (now: number): boolean {
    for (const [entry, contribution] of this.contributions) {
      if (now - contribution.reportedAt <= CONTRIBUTION_LIFE_MS) continue
      this.work -= contribution.countedWork
      this.contributions.delete(entry)
    }
    return this.contributions.size === 0
  }
}
