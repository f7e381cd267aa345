/** Simulates the admission, share exchange and share coordinators of several entries in virtual time, without sockets. */
import {
  FairAdmission, ShareExchange, ShareCoordinator, SHARE_INTERVAL_MS, type AdmissionReq, type CoordinatorEntry, type OutgoingReport, type QueueLimits, type ShareReply
} from '../../src/admission/index.js'
import { VirtualTime } from '../../src/time/index.js'

export const SERVICE = 'llm'

/** Work of one request, in work units, and the time that it takes in a slot, in ms. */
export const REQUEST_WORK = 100
export const REQUEST_MS = 500
const STEPS_PER_REQUEST = 5

export interface SimOptions {
  readonly entries: number
  readonly slots: number
  readonly limits?: QueueLimits
  /** Delays of the delivered copies of a report and of their replies, in ms; an empty list drops the report. */
  readonly delivery?: (from: number, to: number, seq: number) => readonly number[]
  /** Whether entries exchange work totals; true when absent. */
  readonly exchange?: boolean
  /** First come, first served on each entry: all requests wait in one queue. */
  readonly fcfs?: boolean
}

export interface SimEntry {
  readonly index: number
  readonly admission: FairAdmission
  readonly exchange: ShareExchange
  readonly coordinator: ShareCoordinator
  readonly sent: OutgoingReport[]
  alive: boolean
}

/** Several entries that serve one service. */
export class ShareSim {
  readonly time = new VirtualTime()
  readonly entries: SimEntry[] = []
  /** Work done by account. */
  readonly served = new Map<string, number>()
  readonly refusals = new Map<string, number>()
  /** Factor by account on the time that its requests take for the same work. */
  readonly slowdown = new Map<string, number>()
  private sequence = 0

  constructor (private readonly options: SimOptions) {
    for (let index = 0; index < options.entries; index++) this.entries.push(this.createEntry(index, 0))
    this.setCoordinators()
  }

  createEntry (index: number, epoch: number): SimEntry {
    const incarnation = `e${index}-${epoch}`
    const admission = new FairAdmission(this.time.env(index + 1), this.options.limits)
    const exchange = new ShareExchange(admission, { id: `e${index}`, incarnation, epoch })
    const coordinator = new ShareCoordinator(incarnation)
    const entry: SimEntry = { index, admission, exchange, coordinator, sent: [], alive: true }
    coordinator.slots.setTotalSlots(SERVICE, this.options.slots)
    exchange.setTotalSlots(SERVICE, this.options.slots)
    if (this.options.exchange !== false) this.time.after(index * 50, () => this.time.every(SHARE_INTERVAL_MS, () => this.exchangeReports(entry)))
    return entry
  }

  /** Sets the coordinator candidates of each entry; `canReach` limits them to simulate a partition. */
  setCoordinators (canReach: (viewer: number, other: number) => boolean = () => true): void {
    for (const viewer of this.entries) {
      const coordinators: CoordinatorEntry[] = this.entries.filter((other) => other.alive && canReach(viewer.index, other.index))
        .map((other) => ({ id: `e${other.index}`, peerAddress: String(other.index) }))
      viewer.exchange.setCoordinators(coordinators, coordinators.length)
    }
  }

  /** Keeps `concurrency` requests of an account at an entry, each followed by the next, until `stopAt`. */
  load (account: string, entryIndex: number, concurrency: number, stopAt = Infinity, overrides: Partial<AdmissionReq> = {}): void {
    for (let index = 0; index < concurrency; index++) this.repeatRequests(account, entryIndex, stopAt, overrides).catch(() => {})
  }

  /** Work ÷ weight that an account received since the snapshot `before`. */
  gain (account: string, before: ReadonlyMap<string, number>, weight = 1): number {
    return ((this.served.get(account) ?? 0) - (before.get(account) ?? 0)) / weight
  }

  snapshot (): ReadonlyMap<string, number> {
    return new Map(this.served)
  }

  private async repeatRequests (account: string, entryIndex: number, stopAt: number, overrides: Partial<AdmissionReq>): Promise<void> {
    while (this.time.now() < stopAt) {
      const entry = this.entries[entryIndex]!
      if (!entry.alive || !await this.runRequest(account, entry, overrides)) await this.sleep(100)
    }
  }

  private async runRequest (account: string, entry: SimEntry, overrides: Partial<AdmissionReq>): Promise<boolean> {
    const req: AdmissionReq = { id: `r${++this.sequence}`, service: SERVICE, account: this.options.fcfs === true ? 'all' : account, weight: 1, work: REQUEST_WORK, deadlineAt: this.time.now() + 600_000, ...overrides }
    const outcome = await entry.admission.enter(req, new AbortController().signal)
    if (outcome.err) {
      this.refusals.set(outcome.val.reason, (this.refusals.get(outcome.val.reason) ?? 0) + 1)
      return false
    }
    for (let step = 0; step < STEPS_PER_REQUEST; step++) {
      await this.sleep(REQUEST_MS * req.work / REQUEST_WORK / STEPS_PER_REQUEST * (this.slowdown.get(account) ?? 1))
      if (!entry.alive) return false
      outcome.val.charge(req.work / STEPS_PER_REQUEST)
      this.served.set(account, (this.served.get(account) ?? 0) + req.work / STEPS_PER_REQUEST)
    }
    outcome.val.release()
    return true
  }

  private exchangeReports (entry: SimEntry): void {
    if (!entry.alive) return
    entry.sent.length = 0
    for (const outgoing of entry.exchange.createReports(this.time.now())) {
      entry.sent.push(outgoing)
      this.deliver(entry, outgoing)
    }
    entry.coordinator.sweep(this.time.now())
  }

  private deliver (entry: SimEntry, { coordinator, report }: OutgoingReport): void {
    const to = Number(coordinator.peerAddress)
    const delays = entry.index === to ? [0] : this.options.delivery?.(entry.index, to, report.seq) ?? [1.5]
    for (const delay of delays) {
      this.time.after(delay, () => {
        const target = this.entries[to]!
        const reply = target.alive ? target.coordinator.apply(report, this.time.now()) : undefined
        if (reply !== undefined) this.time.after(delay, () => this.applyReply(entry, report, reply))
      })
    }
  }

  private applyReply (entry: SimEntry, report: OutgoingReport['report'], reply: ShareReply): void {
    if (entry.alive) entry.exchange.applyReply(report, reply, this.time.now())
  }

  private async sleep (ms: number): Promise<void> {
    await new Promise<void>((resolve) => { this.time.after(ms, resolve) })
  }
}
