/** Entries stepped together in virtual time: their admission, exchange and home sums, without sockets. */
import {
  FairAdmission, ShareExchange, ShareCoordinator, SHARE_INTERVAL_MS, type AdmissionReq, type CoordinatorEntry, type OutgoingReport, type QueueLimits, type ShareAnswer
} from '../../src/admission/index.js'
import { VirtualTime } from '../../src/time/index.js'

export const SERVICE = 'llm'

/** Work of one request and the time it takes in a slot. */
export const WORK = 100
export const RUN_MS = 500
const STEPS = 5

export interface SimOptions {
  readonly entries: number
  readonly slots: number
  readonly limits?: QueueLimits
  /** Delays of the copies of a report and their answers; none loses it. */
  readonly delivery?: (from: number, to: number, seq: number) => readonly number[]
  /** Whether entries exchange totals at all. */
  readonly exchange?: boolean
  /** First come, first served at each entry: all requests wait in one queue. */
  readonly fcfs?: boolean
}

export interface SimEntry {
  readonly index: number
  readonly admission: FairAdmission
  readonly exchange: ShareExchange
  readonly home: ShareCoordinator
  readonly sent: OutgoingReport[]
  alive: boolean
}

/** A deployment of entries for one service. */
export class ShareSim {
  readonly time = new VirtualTime()
  readonly entries: SimEntry[] = []
  /** Work done by account. */
  readonly served = new Map<string, number>()
  readonly refusals = new Map<string, number>()
  /** Factor on the time an account's requests take for the same work. */
  readonly pace = new Map<string, number>()
  private sequence = 0

  constructor (private readonly options: SimOptions) {
    for (let index = 0; index < options.entries; index++) this.entries.push(this.start(index, 0))
    this.setHomes()
  }

  start (index: number, epoch: number): SimEntry {
    const incarnation = `e${index}-${epoch}`
    const admission = new FairAdmission(this.time.env(index + 1), this.options.limits)
    const exchange = new ShareExchange(admission, { id: `e${index}`, incarnation, epoch })
    const home = new ShareCoordinator(incarnation)
    const entry: SimEntry = { index, admission, exchange, home, sent: [], alive: true }
    home.slots.setTotal(SERVICE, this.options.slots)
    exchange.setTotal(SERVICE, this.options.slots)
    if (this.options.exchange !== false) this.time.after(index * 50, () => this.time.every(SHARE_INTERVAL_MS, () => this.step(entry)))
    return entry
  }

  /** Tells every live entry which ones are home entries; `seenBy` limits the view for a partition. */
  setHomes (seenBy: (viewer: number, other: number) => boolean = () => true): void {
    for (const viewer of this.entries) {
      const homes: CoordinatorEntry[] = this.entries.filter((other) => other.alive && seenBy(viewer.index, other.index))
        .map((other) => ({ id: `e${other.index}`, peerAddress: String(other.index) }))
      viewer.exchange.setHomes(homes, homes.length)
    }
  }

  /** Keeps `width` requests of an account at an entry, each followed by another, until `stopAt`. */
  load (account: string, entryIndex: number, width: number, stopAt = Infinity, req: Partial<AdmissionReq> = {}): void {
    for (let index = 0; index < width; index++) this.loop(account, entryIndex, stopAt, req).catch(() => {})
  }

  /** Work ÷ weight an account got since `before`. */
  gain (account: string, before: ReadonlyMap<string, number>, weight = 1): number {
    return ((this.served.get(account) ?? 0) - (before.get(account) ?? 0)) / weight
  }

  snapshot (): ReadonlyMap<string, number> {
    return new Map(this.served)
  }

  private async loop (account: string, entryIndex: number, stopAt: number, req: Partial<AdmissionReq>): Promise<void> {
    while (this.time.now() < stopAt) {
      const entry = this.entries[entryIndex]!
      if (!entry.alive || !await this.one(account, entry, req)) await this.sleep(100)
    }
  }

  private async one (account: string, entry: SimEntry, extra: Partial<AdmissionReq>): Promise<boolean> {
    const req: AdmissionReq = { id: `r${++this.sequence}`, service: SERVICE, account: this.options.fcfs === true ? 'all' : account, weight: 1, work: WORK, deadlineAt: this.time.now() + 600_000, ...extra }
    const entered = await entry.admission.enter(req, new AbortController().signal)
    if (entered.err) {
      this.refusals.set(entered.val.reason, (this.refusals.get(entered.val.reason) ?? 0) + 1)
      return false
    }
    for (let step = 0; step < STEPS; step++) {
      await this.sleep(RUN_MS * req.work / WORK / STEPS * (this.pace.get(account) ?? 1))
      if (!entry.alive) return false
      entered.val.charge(req.work / STEPS)
      this.served.set(account, (this.served.get(account) ?? 0) + req.work / STEPS)
    }
    entered.val.release()
    return true
  }

  private step (entry: SimEntry): void {
    if (!entry.alive) return
    entry.sent.length = 0
    for (const outgoing of entry.exchange.step(this.time.now())) {
      entry.sent.push(outgoing)
      this.deliver(entry, outgoing)
    }
    entry.home.sweep(this.time.now())
  }

  private deliver (entry: SimEntry, { home, report }: OutgoingReport): void {
    const to = Number(home.peerAddress)
    const delays = entry.index === to ? [0] : this.options.delivery?.(entry.index, to, report.seq) ?? [1.5]
    for (const delay of delays) {
      this.time.after(delay, () => {
        const target = this.entries[to]!
        const answer = target.alive ? target.home.apply(report, this.time.now()) : undefined
        if (answer !== undefined) this.time.after(delay, () => this.answer(entry, report, answer))
      })
    }
  }

  private answer (entry: SimEntry, report: OutgoingReport['report'], answer: ShareAnswer): void {
    if (entry.alive) entry.exchange.answered(report, answer, this.time.now())
  }

  private async sleep (ms: number): Promise<void> {
    await new Promise<void>((resolve) => { this.time.after(ms, resolve) })
  }
}
