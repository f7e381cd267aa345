/** Reports this entry's work to the home entries and applies their answers. */
import type { AccountState } from './account-state.js'
import type { FairAdmission } from './fair-admission.js'
import type { ServiceQueue } from './service-queue.js'
import { CoordinatorMap, type CoordinatorEntry } from './coordinator-map.js'
import type { ShareAnswer, ShareReport, ShareRow, SlotRow } from './share-wire.js'

/** Interval between reports, in ms. */
export const SHARE_INTERVAL_MS = 1_000

/** Bytes of account rows sent at each interval, over all home entries. */
const ROW_BYTES = 4_096

/** Bytes of a row besides the account's name: brackets, commas and three numbers. */
const ROW_OVERHEAD_BYTES = 30

/** Accounts considered for one interval; the others wait their turn. */
const CANDIDATES = 1_024

/** Idle accounts whose work was answered are forgotten after this long, in ms. */
const IDLE_LIFE_MS = 300_000

/** Accounts checked for idleness at each interval. */
const SWEEP_ACCOUNTS = 512

/** After this long without an answer about a service's slots they are divided evenly, in ms. */
const SLOTS_LIFE_MS = 10_000

/** Work totals are rounded to this; more digits would only lengthen messages. */
const PRECISION = 0.125

/** Digits kept of weights and rates. */
const DIGITS = 6

/** Identity of the reporting process. */
export interface Reporter {
  readonly id: string
  readonly incarnation: string
  readonly epoch: number
}

/** A report and the home entry it goes to. */
export interface OutgoingReport {
  readonly home: CoordinatorEntry
  readonly report: ShareReport
}

/** Exchange state of one entry; stepped once per {@link SHARE_INTERVAL_MS}. */
export class ShareExchange {
  private readonly homes = new CoordinatorMap()
  private readonly divisions = new Map<string, Division>()
  private seq = 0
  private steppedAt: number | undefined
  private liveEntries = 1
  private sweepAt: Iterator<AccountState> | undefined

  constructor (private readonly admission: FairAdmission, private readonly self: Reporter) {}

  /** Sets the slots of a service over all entries; until an answer arrives this entry takes an even part. */
  setTotal (service: string, total: number): void {
    const division = this.divisions.get(service) ?? { total, answeredAt: -Infinity, level: Infinity }
    division.total = total
    this.divisions.set(service, division)
    if (division.answeredAt === -Infinity) this.divideEvenly(service, division)
  }

  /** Sets the home entries of the region, this process included. */
  setHomes (homes: readonly CoordinatorEntry[], liveEntries: number): void {
    this.homes.set(homes)
    this.liveEntries = Math.max(1, liveEntries)
    for (const [service, division] of this.divisions) {
      if (division.answeredAt === -Infinity) this.divideEvenly(service, division)
    }
  }

  /** Makes the reports of one interval. */
  step (now: number): OutgoingReport[] {
    const elapsed = now - (this.steppedAt ?? now - SHARE_INTERVAL_MS)
    this.steppedAt = now
    const reports = new Map<CoordinatorEntry, ReportDraft>()
    const candidates = this.candidates()
    for (const account of this.select(candidates)) {
      const home = this.homes.of(`${account.service}/${account.name}`)
      if (home !== undefined) draftOf(reports, home).add(account)
      relist(this.admission.queueOf(account.service), account)
    }
    for (const service of this.divisions.keys()) {
      const home = this.homes.of(service)
      const row = this.slotRow(this.admission.queueOf(service), elapsed, now)
      if (home !== undefined) draftOf(reports, home).slots.push(row)
    }
    this.expireDivisions(now)
    this.forgetIdle(now)
    return [...reports].map(([home, draft]) => ({ home, report: { ...this.self, seq: ++this.seq, ...draft.content() } }))
  }

  /** Applies the answer to a report. */
  answered (report: ShareReport, answer: ShareAnswer, now: number): void {
    for (const [service, rows] of Object.entries(report.rows ?? {})) this.acknowledge(this.admission.queueOf(service), rows)
    for (const [service, rows] of Object.entries(answer.rows ?? {})) {
      const queue = this.admission.queueOf(service)
      for (const [name, others, demand, begun] of rows) {
        const account = queue.accounts.get(name)
        if (account !== undefined) learn(queue, account, { home: answer.home, others, demand, begun: begun === 1 }, now)
      }
    }
    for (const [service, slots, fairRate, level = Infinity] of answer.slots ?? []) {
      const division = this.divisions.get(service)
      if (division === undefined) continue
      division.answeredAt = now
      division.level = level
      this.admission.queueOf(service).setFairRate(fairRate, now)
      this.admission.setSlots(service, slots)
    }
  }

  private candidates (): AccountState[] {
    const found: AccountState[] = []
    const each = Math.ceil(CANDIDATES / Math.max(1, this.admission.services.size))
    for (const queue of this.admission.services.values()) {
      let count = 0
      for (const account of queue.listed) {
        if (count++ >= each) break
        found.push(account)
      }
    }
    return found
  }

  // Half of the bytes go to the accounts that waited longest, so that each is reported in turn.
  private select (candidates: readonly AccountState[]): AccountState[] {
    const selected = new Set<AccountState>()
    let bytes = 0
    const take = (from: readonly AccountState[], limit: number): void => {
      for (const account of from) {
        const size = account.name.length + ROW_OVERHEAD_BYTES
        if (selected.has(account)) continue
        if (bytes + size > limit) return
        bytes += size
        selected.add(account)
      }
    }
    if (candidates.length * ROW_OVERHEAD_BYTES > ROW_BYTES) {
      take([...candidates].sort((a, b) => urgency(b) - urgency(a)), ROW_BYTES / 2)
    }
    take(candidates, ROW_BYTES)
    return [...selected]
  }

  private slotRow (queue: ServiceQueue, elapsed: number, now: number): SlotRow {
    const level = this.divisions.get(queue.name)?.level ?? Infinity
    let weight = 0
    let backlogged = 0
    let work = 0
    for (const account of queue.listed) {
      const recent = account.recentWork
      account.recentWork = 0
      if (account.demand === 0) continue
      const part = account.weight * account.demand / (account.demand + account.remoteDemand)
      const wanted = part * queue.feedback(account, now)
      const usable = account.demand / level
      weight += level === Infinity ? wanted : Math.min(wanted, usable)
      // An account that gets all it asks for must not lower what the others are due.
      if (account.waiting.length === 0 || usable <= wanted) continue
      backlogged += part
      work += recent
    }
    const demand = Math.max(queue.peakDemand, queue.waiting + queue.running)
    const rate = backlogged > 0 ? work / Math.max(1, elapsed) : 0
    queue.peakDemand = 0
    return [queue.name, shorten(weight), demand, shorten(backlogged), shorten(rate)]
  }

  private acknowledge (queue: ServiceQueue, rows: readonly ShareRow[]): void {
    for (const [name, total] of rows) {
      const account = queue.accounts.get(name)
      if (account === undefined) continue
      account.acked = Math.max(account.acked, total)
      if (account.demand > 0 || account.own - account.acked >= PRECISION) continue
      account.listed = false
      account.remoteDemand = 0
      queue.listed.delete(account)
    }
  }

  private expireDivisions (now: number): void {
    for (const [service, division] of this.divisions) {
      if (now - division.answeredAt > SLOTS_LIFE_MS) this.divideEvenly(service, division)
    }
  }

  private divideEvenly (service: string, division: Division): void {
    this.admission.setSlots(service, Math.ceil(division.total / this.liveEntries))
  }

  private forgetIdle (now: number): void {
    this.sweepAt ??= this.allAccounts()
    for (let count = 0; count < SWEEP_ACCOUNTS; count++) {
      const next = this.sweepAt.next()
      if (next.done === true) {
        this.sweepAt = undefined
        return
      }
      const account = next.value
      const idle = account.demand === 0 && !account.listed && now - account.lastActiveAt > IDLE_LIFE_MS
      if (idle) this.admission.queueOf(account.service).accounts.delete(account.name)
    }
  }

  private * allAccounts (): Generator<AccountState> {
    for (const queue of this.admission.services.values()) yield * queue.accounts.values()
  }
}

interface Division {
  total: number
  answeredAt: number
  level: number
}

interface Learnt {
  readonly home: string
  readonly others: number
  readonly demand: number
  readonly begun: boolean
}

class ReportDraft {
  readonly slots: SlotRow[] = []
  private readonly rows = new Map<string, ShareRow[]>()

  add (account: AccountState): void {
    const row: ShareRow = [account.name, round(account.own), account.demand, round(account.acked)]
    const rows = this.rows.get(account.service)
    if (rows === undefined) this.rows.set(account.service, [row])
    else rows.push(row)
  }

  content (): Pick<ShareReport, 'rows' | 'slots'> {
    return {
      ...(this.rows.size > 0 ? { rows: Object.fromEntries(this.rows) } : {}),
      ...(this.slots.length > 0 ? { slots: this.slots } : {})
    }
  }
}

function draftOf (drafts: Map<CoordinatorEntry, ReportDraft>, home: CoordinatorEntry): ReportDraft {
  const draft = drafts.get(home) ?? new ReportDraft()
  drafts.set(home, draft)
  return draft
}

// The first figure of a home entry is only a starting point, unless its count began after that of the former home.
function learn (queue: ServiceQueue, account: AccountState, learnt: Learnt, now: number): void {
  const sameHome = account.home === learnt.home
  const base = sameHome ? account.others : account.home !== '' && learnt.begun ? 0 : learnt.others
  account.home = learnt.home
  account.others = learnt.others
  account.remoteDemand = learnt.demand
  account.answeredAt = now
  queue.addRemote(account, Math.max(0, learnt.others - base))
}

function urgency (account: AccountState): number {
  return account.waiting.length > 0 ? Infinity : account.own - account.acked
}

function relist (queue: ServiceQueue, account: AccountState): void {
  queue.listed.delete(account)
  queue.listed.add(account)
}

function round (value: number): number {
  return Math.round(value / PRECISION) * PRECISION
}

function shorten (value: number): number {
  return Number(value.toPrecision(DIGITS))
}
