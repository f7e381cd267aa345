/** Work that each entry has done by service, carried between entries by membership, so that planners see the fleet's. */
import * as z from 'zod'
import type { Admission } from '../admission/index.js'
import { hash32 } from '../hash/index.js'
import type { MembershipView } from '../membership/index.js'
import type { UsageCounters } from '../usage/index.js'

/** Name under which membership carries the value. */
const GOSSIP_NAME = 'work'

/** Model services stated by one entry; more do not fit in the 256 bytes that membership carries. */
const MAX_SERVICES = 3

/** Incarnations remembered; totals of entries that are gone still count, since differences are what is used. */
const MAX_INCARNATIONS = 4_096

/** A service by hash, its prompt and output tokens, the sum of squares in thousands of tokens squared, and what waits. */
const WorkRow = z.object({ s: z.string(), p: z.number(), o: z.number(), q: z.number(), w: z.number() })
const WorkNews = z.array(WorkRow).max(MAX_SERVICES)
type WorkNews = z.infer<typeof WorkNews>

/** Cumulative work of a service over all entries, and requests that wait. */
export interface FleetTotals {
  readonly prefillTokens: number
  readonly decodeTokens: number
  readonly promptSquares: number
  readonly waiting: number
}

/** Sums what the entries state. */
export class FleetWork {
  private readonly others = new Map<string, WorkNews>()

  constructor (private readonly membership: MembershipView, private readonly counters: UsageCounters, private readonly admission: Pick<Admission, 'rows'>) {
    membership.addExtra(GOSSIP_NAME, {
      read: () => this.own(),
      accept: (from, value) => {
        const news = WorkNews.safeParse(value)
        if (news.success) this.accept(from.incarnation, news.data)
      }
    })
  }

  /** Totals of a service over all entries heard of. */
  totals (service: string): FleetTotals {
    const id = shortId(service)
    const rows = [this.own(), ...this.others.values()].flat().filter((row) => row.s === id)
    const present = new Set(this.membership.members().filter((member) => member.state !== 'dead' && member.state !== 'left').map((member) => member.incarnation))
    const live = [this.own(), ...[...this.others].filter(([incarnation]) => present.has(incarnation)).map(([, news]) => news)].flat()
    return {
      prefillTokens: sum(rows.map((row) => row.p)),
      decodeTokens: sum(rows.map((row) => row.o)),
      promptSquares: sum(rows.map((row) => row.q)) * 1_000,
      waiting: sum(live.filter((row) => row.s === id).map((row) => row.w))
    }
  }

  private accept (incarnation: string, news: WorkNews): void {
    const before = this.others.get(incarnation)
    // Totals only grow; a smaller one is an older message.
    if (before !== undefined && sum(before.map((row) => row.p + row.o)) > sum(news.map((row) => row.p + row.o))) return
    this.others.set(incarnation, news)
    const oldest = this.others.keys().next()
    if (this.others.size > MAX_INCARNATIONS && oldest.done !== true) this.others.delete(oldest.value)
  }

  private own (): WorkNews {
    const waiting = new Map<string, number>()
    for (const row of this.admission.rows()) waiting.set(row.service, (waiting.get(row.service) ?? 0) + row.backlog)
    return this.counters.totals().filter((row) => row.promptTokens > 0).slice(0, MAX_SERVICES).map((row) => ({
      s: shortId(row.service), p: row.promptTokens, o: row.outputTokens, q: Math.round(row.promptSquares / 1_000), w: waiting.get(row.service) ?? 0
    }))
  }
}

function shortId (service: string): string {
  return hash32(service).toString(36)
}

function sum (values: readonly number[]): number {
  return values.reduce((total, value) => total + value, 0)
}
