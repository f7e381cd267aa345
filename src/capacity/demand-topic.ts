/** Work of all gateways, as the exchange between gateways tells it. */
import * as z from 'zod'
import type * as exchange from '../exchange/index.js'
import type * as time from '../time/index.js'
import * as validation from '../validation/index.js'
import type * as demandMeter from './demand-meter.js'
import * as segmentSample from './segment-sample.js'
import * as work from './work.js'

/** Shortest time between two changes of a gateway's own row, in ms: several fall into one window of the rates. */
const ROW_INTERVAL_MS = 500

/** Shortest time between two messages with sampled segments over a link, in ms; they change slowly. */
const SEGMENTS_INTERVAL_MS = 5_000

/** Rows that are known at most; beyond this, that which has not changed for longest is dropped. */
const MAX_ROWS = 1_000

/** A service and its counters, in the order of {@link work.WORK_FIELDS}. */
const ServiceRow = validation.tupleWithRest(z.string(), z.int().nonnegative())
type ServiceRow = z.infer<typeof ServiceRow>

/** Counters of one incarnation of a gateway; a service without calls is not listed. */
const GatewayRow = z.object({ gateway: z.string(), incarnation: z.string(), services: validation.list(ServiceRow) })
type GatewayRow = z.infer<typeof GatewayRow>

const SegmentRows = validation.record(z.string(), validation.list(segmentSample.SegmentRow))
type SegmentRows = z.infer<typeof SegmentRows>

/** Rows that changed, and the sampled segments by service when they are due; from a member to its relay, and between relays. */
const DemandChanges = z.object({ rows: validation.list(GatewayRow), segments: SegmentRows.optional() })
type DemandChanges = z.infer<typeof DemandChanges>

/** Counters of all gateways as a relay knows them, and the estimated tokens of the shared segments in use; from a relay to a member. */
const ServiceTotal = z.object({ row: ServiceRow, segmentTokens: z.number() })
const DemandTotals = z.object({ totals: validation.list(ServiceTotal) })
type DemandTotals = z.infer<typeof DemandTotals>

interface KnownRow {
  readonly gateway: string
  readonly incarnation: string
  readonly services: Map<string, work.Work>
  /** Whether other relays learn of it from this gateway. */
  isOwnOrMember: boolean
  /** Position of the last change. */
  position: number
}

/** Totals that the present relay told. */
interface RelayTotals {
  readonly link: exchange.Link
  readonly work: Map<string, work.Work>
  readonly segmentTokens: Map<string, number>
}

/** Dependencies of a {@link DemandTopic}. */
export interface DemandTopicDeps {
  readonly clock: time.Clock
  readonly gateway: string
  readonly incarnation: string
  readonly meter: Pick<demandMeter.DemandMeter, 'serviceNames' | 'workOf' | 'own'>
  /** Whether this gateway is a relay. */
  readonly isRelay: () => boolean
}

/**
 * Adds up the work of all gateways at the relays; a member follows the sums of its relay, since it may hold the lease for target
 * orders too. Rows are cumulative by gateway and incarnation, so that one which arrives twice, late or by another relay counts once.
 */
export class DemandTopic implements exchange.Topic {
  readonly name = 'demand'
  private readonly rows = new Map<string, KnownRow>()
  /** Work that rows have added since they were first seen, by service. */
  private readonly totals = new Map<string, work.Work>()
  /** Sampled segments of members and of fellow relays, by gateway. */
  private readonly told = new Map<string, { readonly kind: exchange.LinkKind, readonly segments: SegmentRows }>()
  private readonly segmentsSentAt = new Map<string, number>()
  private readonly totalsSentAt = new Map<string, number>()
  private relayTotals: RelayTotals | undefined
  private position = 0
  private refreshedAt = -Infinity

  constructor (private readonly deps: DemandTopicDeps) {
    this.add({ gateway: deps.gateway, incarnation: deps.incarnation, services: [] }, true)
  }

  /** Work of a service at all known gateways since this process learned of them. */
  total (service: string): work.Work {
    this.refreshOwn()
    return this.totals.get(service) ?? work.NO_WORK
  }

  /** Whether the work of all gateways reaches this one: it is a relay, or its relay tells it. */
  get hearsAll (): boolean {
    return this.deps.isRelay() || this.relayTotals !== undefined
  }

  /** Estimated tokens of the shared segments of a service that all known gateways used recently. */
  segmentTokens (service: string): number {
    if (!this.deps.isRelay()) return this.relayTotals?.segmentTokens.get(service) ?? 0
    const told = [...this.told.values()].map((entry) => entry.segments[service] ?? [])
    return segmentSample.estimateTokens(segmentSample.mergeSamples([this.deps.meter.own(service).segments, ...told]))
  }

  changesSince (link: exchange.Link, position: number | undefined): exchange.Changes | undefined {
    this.refreshOwn()
    if (link.kind === 'member') return this.totalsSince(link, position)
    const rows = [...this.rows.values()].filter((row) => row.isOwnOrMember && row.position > (position ?? 0)).map(toMessage)
    const segments = this.dueSegments(link)
    return rows.length === 0 && segments === undefined ? undefined : { next: this.position, payload: { rows, segments } satisfies DemandChanges }
  }

  apply (link: exchange.Link, payload: unknown): boolean {
    if (link.kind === 'relay') {
      this.applyTotals(link, DemandTotals.parse(payload))
      return true
    }
    const { rows, segments } = DemandChanges.parse(payload)
    for (const row of rows) {
      if (row.gateway !== this.deps.gateway) this.add(row, link.kind === 'member')
    }
    if (segments !== undefined) this.told.set(link.gateway, { kind: link.kind, segments })
    return true
  }

  linkEnded (link: exchange.Link): void {
    this.told.delete(link.gateway)
    this.segmentsSentAt.delete(link.gateway)
    this.totalsSentAt.delete(link.gateway)
    if (link.kind === 'relay' && this.relayTotals?.link.gateway === link.gateway) this.relayTotals = undefined
  }

  private totalsSince (link: exchange.Link, position: number | undefined): exchange.Changes | undefined {
    const now = this.deps.clock.now()
    if (position === this.position || now - (this.totalsSentAt.get(link.gateway) ?? -Infinity) < ROW_INTERVAL_MS) return undefined
    this.totalsSentAt.set(link.gateway, now)
    const totals = [...this.totals].map(([service, counters]) => ({ row: toServiceRow(service, counters), segmentTokens: this.segmentTokens(service) }))
    return { next: this.position, payload: { totals } satisfies DemandTotals }
  }

  // What another relay had added up before is not new.
  private applyTotals (link: exchange.Link, { totals }: DemandTotals): void {
    const isKnown = this.relayTotals?.link.gateway === link.gateway && this.relayTotals.link.incarnation === link.incarnation
    const known = isKnown ? this.relayTotals! : { link, work: new Map<string, work.Work>(), segmentTokens: new Map<string, number>() }
    this.relayTotals = known
    for (const { row, segmentTokens } of totals) {
      const [service] = row
      const counters = fromServiceRow(row)
      const before = known.work.get(service)
      if (before !== undefined && !this.deps.isRelay()) this.addToTotal(service, work.workSince(counters, before))
      known.work.set(service, counters)
      known.segmentTokens.set(service, segmentTokens)
    }
  }

  private addToTotal (service: string, increase: work.Work): void {
    this.totals.set(service, work.addWork(this.totals.get(service) ?? work.NO_WORK, increase))
  }

  private refreshOwn (): void {
    const now = this.deps.clock.now()
    if (now - this.refreshedAt < ROW_INTERVAL_MS) return
    this.refreshedAt = now
    const services = [...this.deps.meter.serviceNames()].map((service) => toServiceRow(service, this.deps.meter.workOf(service)))
    this.add({ gateway: this.deps.gateway, incarnation: this.deps.incarnation, services }, true)
  }

  // Counters only grow, so lower ones are older. What a row had when it was first seen was done at an unknown time before.
  private add (row: GatewayRow, isOwnOrMember: boolean): void {
    const key = `${row.gateway}/${row.incarnation}`
    const known = this.rows.get(key)
    const services = new Map(row.services.map((service) => [service[0], fromServiceRow(service)]))
    if (known === undefined) {
      this.rows.set(key, { gateway: row.gateway, incarnation: row.incarnation, services, isOwnOrMember, position: ++this.position })
      this.dropOldest()
      return
    }
    let changed = false
    for (const [service, counters] of services) changed = this.raise(known, service, counters) || changed
    if (!changed) return
    known.isOwnOrMember = isOwnOrMember
    known.position = ++this.position
    this.rows.delete(key)
    this.rows.set(key, known)
  }

  private raise (known: KnownRow, service: string, counters: work.Work): boolean {
    const before = known.services.get(service) ?? work.NO_WORK
    const increase = work.workSince(counters, before)
    if (work.WORK_FIELDS.every((field) => increase[field] === 0)) return false
    known.services.set(service, work.addWork(before, increase))
    // The totals of the relay include it.
    if (this.deps.isRelay()) this.addToTotal(service, increase)
    return true
  }

  private dropOldest (): void {
    if (this.rows.size > MAX_ROWS) this.rows.delete(this.rows.keys().next().value!)
  }

  // Relays tell each other their own and those of their members, so that each is told once.
  private dueSegments (link: exchange.Link): SegmentRows | undefined {
    const now = this.deps.clock.now()
    if (now - (this.segmentsSentAt.get(link.gateway) ?? -Infinity) < SEGMENTS_INTERVAL_MS) return undefined
    const members = [...this.told.values()].filter((entry) => entry.kind === 'member')
    const services = new Set([...this.deps.meter.serviceNames(), ...members.flatMap((entry) => Object.keys(entry.segments))])
    if (services.size === 0) return undefined
    this.segmentsSentAt.set(link.gateway, now)
    return Object.fromEntries([...services].map((service) => {
      return [service, segmentSample.mergeSamples([this.deps.meter.own(service).segments, ...members.map((entry) => entry.segments[service] ?? [])])]
    }))
  }
}

function toMessage (row: KnownRow): GatewayRow {
  return { gateway: row.gateway, incarnation: row.incarnation, services: [...row.services].map(([service, counters]) => toServiceRow(service, counters)) }
}

function toServiceRow (service: string, counters: work.Work): ServiceRow {
  return [service, ...work.WORK_FIELDS.map((field) => Math.round(counters[field]))]
}

function fromServiceRow ([, ...values]: ServiceRow): work.Work {
  return Object.fromEntries(work.WORK_FIELDS.map((field, index) => [field, values[index] ?? 0])) as unknown as work.Work
}
