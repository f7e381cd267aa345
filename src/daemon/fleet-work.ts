/** Work of each entry by service, exchanged between entries by membership, so that planners see the work of the fleet. */
import * as z from 'zod'
import type { Admission } from '../admission/index.js'
import { hash32 } from '../hash/index.js'
import type { MembershipView } from '../membership/index.js'
import type { UsageCounters } from '../usage/index.js'
import * as validation from '../validation/index.js'

/** Name of the extra value that membership sends. */
const EXTRA_NAME = 'work'

/** Maximum number of model services that one entry reports; more do not fit in the 256 bytes of an extra value. */
const MAX_SERVICES = 3

/** Maximum number of incarnations tracked; terminated ones still count, since only differences of totals are used. */
const MAX_INCARNATIONS = 4_096

/**
 * Work of one service: `s` is the hash of its name, `p` and `o` the prompt and output tokens, `q` the sum of squared
 * prompt lengths in thousands of tokens squared, and `w` the number of waiting requests.
 */
const WorkRow = z.object({ s: z.string(), p: z.number(), o: z.number(), q: z.number(), w: z.number() })
const WorkReport = validation.list(WorkRow, { max: MAX_SERVICES })
type WorkReport = z.infer<typeof WorkReport>

/** Cumulative work of a service over all entries, and the number of waiting requests. */
export interface FleetTotals {
  readonly prefillTokens: number
  readonly decodeTokens: number
  readonly promptSquares: number
  readonly waiting: number
}

/** Sums the work that the entries report. */
export class FleetWork {
  private readonly reports = new Map<string, WorkReport>()

  constructor (private readonly membership: MembershipView, private readonly counters: UsageCounters, private readonly admission: Pick<Admission, 'rows'>) {
    membership.addExtra(EXTRA_NAME, {
      read: () => this.ownReport(),
      accept: (from, value) => {
        const report = WorkReport.safeParse(value)
        if (report.success) this.applyReport(from.incarnation, report.data)
      }
    })
  }

  /** Totals of a service over all entries that have reported; waiting requests are those of live entries. */
  totals (service: string): FleetTotals {
    const id = serviceId(service)
    const rows = [this.ownReport(), ...this.reports.values()].flat().filter((row) => row.s === id)
    const liveIncarnations = new Set(this.membership.members().filter((member) => member.state !== 'dead' && member.state !== 'left').map((member) => member.incarnation))
    const liveRows = [this.ownReport(), ...[...this.reports].filter(([incarnation]) => liveIncarnations.has(incarnation)).map(([, report]) => report)].flat()
    return {
      prefillTokens: sum(rows.map((row) => row.p)),
      decodeTokens: sum(rows.map((row) => row.o)),
      promptSquares: sum(rows.map((row) => row.q)) * 1_000,
      waiting: sum(liveRows.filter((row) => row.s === id).map((row) => row.w))
    }
  }

  private applyReport (incarnation: string, report: WorkReport): void {
    const previous = this.reports.get(incarnation)
    // Totals only grow, so a smaller one comes from an older message.
    if (previous !== undefined && sum(previous.map((row) => row.p + row.o)) > sum(report.map((row) => row.p + row.o))) return
    this.reports.set(incarnation, report)
    const oldest = this.reports.keys().next()
    if (this.reports.size > MAX_INCARNATIONS && oldest.done !== true) this.reports.delete(oldest.value)
  }

  private ownReport (): WorkReport {
    const waiting = new Map<string, number>()
    for (const row of this.admission.rows()) waiting.set(row.service, (waiting.get(row.service) ?? 0) + row.backlog)
    return this.counters.totals().filter((row) => row.promptTokens > 0).slice(0, MAX_SERVICES).map((row) => ({
      s: serviceId(row.service), p: row.promptTokens, o: row.outputTokens, q: Math.round(row.promptSquares / 1_000), w: waiting.get(row.service) ?? 0
    }))
  }
}

function serviceId (service: string): string {
  return hash32(service).toString(36)
}

function sum (values: readonly number[]): number {
  return values.reduce((total, value) => total + value, 0)
}
