/** Reports this entry's work to the coordinator entries and applies their replies. */
import type { AccountState } from './account-state.js'
import type { FairAdmission } from './fair-admission.js'
import type { ServiceQueue } from './service-queue.js'
import { CoordinatorMap, type CoordinatorEntry } from './coordinator-map.js'
import type { ShareReply, ShareReport, ShareRow, SlotRow } from './share-wire.js'

/** Interval between reports, in ms. */
export const SHARE_INTERVAL_MS = 1_000

/** Maximum size of the account rows sent per interval to all coordinator entries together, in bytes. */
const MAX_ROW_BYTES = 4_096

/** Size of a row without the account's name, in bytes: brackets, commas and three numbers. */
const ROW_OVERHEAD_BYTES = 30

/** Maximum number of accounts considered per interval; the others stay in the report queue. */
const MAX_CANDIDATES = 1_024

/** Time after which an idle account whose work was acknowledged is removed, in ms. */
const IDLE_LIFE_MS = 300_000

/** Maximum number of accounts checked for idleness per interval. */
const SWEEP_ACCOUNTS = 512

/** Age of the last slot reply for a service above which its slots are divided evenly between the entries, in ms. */
const SLOT_REPLY_LIFE_MS = 10_000

/** Work totals are rounded to multiples of this, in work units; more digits would only lengthen messages. */
const WORK_PRECISION = 0.125

/** Significant digits of reported weights and rates. */
const SIGNIFICANT_DIGITS = 6

/** Identity of the reporting process. */
export interface Reporter {
  readonly id: string
  readonly incarnation: string
  readonly epoch: number
}

/** A report and the coordinator entry that it is sent to. */
export interface OutgoingReport {
  readonly coordinator: CoordinatorEntry
  readonly report: ShareReport
}

/** Exchange state of one entry; reports are created once per {@link SHARE_INTERVAL_MS}. */
export class ShareExchange {
  private readonly coordinators = new CoordinatorMap()
  private readonly allocations = new Map<string, SlotAllocation>()
  private seq = 0
  private lastStepAt: number | undefined
  private liveEntries = 1
  private sweepIterator: Iterator<AccountState> | undefined

  constructor (private readonly admission: FairAdmission, private readonly self: Reporter) {}

  /** Sets the slots of a service over all entries; until a reply arrives this entry uses an even part of them. */
  setTotalSlots (service: string, totalSlots: number): void {
    const allocation = this.allocations.get(service) ?? { totalSlots, repliedAt: -Infinity, slotsPerWeight: Infinity }
    allocation.totalSlots = totalSlots
    this.allocations.set(service, allocation)
    if (allocation.repliedAt === -Infinity) this.allocateEvenly(service, allocation)
  }

  /** Sets the candidate coordinators of the region, this process included, and the number of live entries. */
  setCoordinators (coordinators: readonly CoordinatorEntry[], liveEntries: number): void {
    this.coordinators.setCandidates(coordinators)
    this.liveEntries = Math.max(1, liveEntries)
    for (const [service, allocation] of this.allocations) {
      if (allocation.repliedAt === -Infinity) this.allocateEvenly(service, allocation)
    }
  }

  /** Creates the reports of one interval. */
  createReports (now: number): OutgoingReport[] {
    const elapsedMs = now - (this.lastStepAt ?? now - SHARE_INTERVAL_MS)
    this.lastStepAt = now
    const drafts = new Map<CoordinatorEntry, ReportDraft>()
    const candidates = this.reportCandidates()
    for (const account of this.selectWithinByteLimit(candidates)) {
      const coordinator = this.coordinators.coordinatorOf(`${account.service}/${account.name}`)
      if (coordinator !== undefined) draftOf(drafts, coordinator).add(account)
      moveToEnd(this.admission.queueOf(account.service), account)
    }
    for (const service of this.allocations.keys()) {
      const coordinator = this.coordinators.coordinatorOf(service)
      const row = this.slotRow(this.admission.queueOf(service), elapsedMs, now)
      if (coordinator !== undefined) draftOf(drafts, coordinator).slots.push(row)
    }
    this.expireAllocations(now)
    this.removeIdleAccounts(now)
    return [...drafts].map(([coordinator, draft]) => ({ coordinator, report: { ...this.self, seq: ++this.seq, ...draft.toReportFields() } }))
  }

  /** Applies the reply to a report. */
  applyReply (report: ShareReport, reply: ShareReply, now: number): void {
    for (const [service, rows] of Object.entries(report.rows ?? {})) this.acknowledge(this.admission.queueOf(service), rows)
    for (const [service, rows] of Object.entries(reply.rows ?? {})) {
      const queue = this.admission.queueOf(service)
      for (const [name, othersWork, demand, isNewSum] of rows) {
        const account = queue.accounts.get(name)
        if (account !== undefined) applySum(queue, account, { coordinator: reply.home, othersWork, demand, isNewSum: isNewSum === 1 }, now)
      }
    }
    for (const [service, slots, fairRatePerMs, slotsPerWeight = Infinity] of reply.slots ?? []) {
      const allocation = this.allocations.get(service)
      if (allocation === undefined) continue
      allocation.repliedAt = now
      allocation.slotsPerWeight = slotsPerWeight
      this.admission.queueOf(service).setFairRate(fairRatePerMs, now)
      this.admission.setSlots(service, slots)
    }
  }

  private reportCandidates (): AccountState[] {
    const candidates: AccountState[] = []
    const maxPerService = Math.ceil(MAX_CANDIDATES / Math.max(1, this.admission.services.size))
    for (const queue of this.admission.services.values()) {
      let count = 0
      for (const account of queue.reportQueue) {
        if (count++ >= maxPerService) break
        candidates.push(account)
      }
    }
    return candidates
  }

  // At most half of the bytes go to the accounts with the highest priority; the rest goes to those that were not reported
  // for the longest time, so that each account is reported in turn.
  private selectWithinByteLimit (candidates: readonly AccountState[]): AccountState[] {
    const selected = new Set<AccountState>()
    let bytes = 0
    const selectUpTo = (accounts: readonly AccountState[], maxBytes: number): void => {
      for (const account of accounts) {
        const rowBytes = account.name.length + ROW_OVERHEAD_BYTES
        if (selected.has(account)) continue
        if (bytes + rowBytes > maxBytes) return
        bytes += rowBytes
        selected.add(account)
      }
    }
    if (candidates.length * ROW_OVERHEAD_BYTES > MAX_ROW_BYTES) {
      selectUpTo([...candidates].sort((a, b) => reportPriority(b) - reportPriority(a)), MAX_ROW_BYTES / 2)
    }
    selectUpTo(candidates, MAX_ROW_BYTES)
    return [...selected]
  }

  private slotRow (queue: ServiceQueue, elapsedMs: number, now: number): SlotRow {
    const slotsPerWeight = this.allocations.get(queue.name)?.slotsPerWeight ?? Infinity
    let weight = 0
    let backloggedWeight = 0
    let backloggedWork = 0
    for (const account of queue.reportQueue) {
      const recentWork = account.recentWork
      account.recentWork = 0
      if (account.demand === 0) continue
      const localWeight = account.weight * account.demand / (account.demand + account.remoteDemand)
      const correctedWeight = localWeight * queue.feedbackFactor(account, now)
      const usableWeight = account.demand / slotsPerWeight
      weight += slotsPerWeight === Infinity ? correctedWeight : Math.min(correctedWeight, usableWeight)
      // Accounts whose demand is met do not count in the fair rate: they would lower what the others are entitled to.
      if (account.waiting.length === 0 || usableWeight <= correctedWeight) continue
      backloggedWeight += localWeight
      backloggedWork += recentWork
    }
    const demand = Math.max(queue.peakDemand, queue.waiting + queue.running)
    const workPerMs = backloggedWeight > 0 ? backloggedWork / Math.max(1, elapsedMs) : 0
    queue.peakDemand = 0
    return [queue.name, roundDigits(weight), demand, roundDigits(backloggedWeight), roundDigits(workPerMs)]
  }

  private acknowledge (queue: ServiceQueue, rows: readonly ShareRow[]): void {
    for (const [name, reportedWork] of rows) {
      const account = queue.accounts.get(name)
      if (account === undefined) continue
      account.acknowledgedWork = Math.max(account.acknowledgedWork, reportedWork)
      if (account.demand > 0 || account.ownWork - account.acknowledgedWork >= WORK_PRECISION) continue
      account.reportPending = false
      account.remoteDemand = 0
      queue.reportQueue.delete(account)
    }
  }

  private expireAllocations (now: number): void {
    for (const [service, allocation] of this.allocations) {
      if (now - allocation.repliedAt > SLOT_REPLY_LIFE_MS) this.allocateEvenly(service, allocation)
    }
  }

  private allocateEvenly (service: string, allocation: SlotAllocation): void {
    this.admission.setSlots(service, Math.ceil(allocation.totalSlots / this.liveEntries))
  }

  private removeIdleAccounts (now: number): void {
    this.sweepIterator ??= this.allAccounts()
    for (let count = 0; count < SWEEP_ACCOUNTS; count++) {
      const next = this.sweepIterator.next()
      if (next.done === true) {
        this.sweepIterator = undefined
        return
      }
      const account = next.value
      const isIdle = account.demand === 0 && !account.reportPending && now - account.lastActiveAt > IDLE_LIFE_MS
      if (isIdle) this.admission.queueOf(account.service).accounts.delete(account.name)
    }
  }

  private * allAccounts (): Generator<AccountState> {
    for (const queue of this.admission.services.values()) yield * queue.accounts.values()
  }
}

interface SlotAllocation {
  totalSlots: number
  repliedAt: number
  slotsPerWeight: number
}

interface CoordinatorSum {
  readonly coordinator: string
  readonly othersWork: number
  readonly demand: number
  readonly isNewSum: boolean
}

class ReportDraft {
  readonly slots: SlotRow[] = []
  private readonly rows = new Map<string, ShareRow[]>()

  add (account: AccountState): void {
    const row: ShareRow = [account.name, roundWork(account.ownWork), account.demand, roundWork(account.acknowledgedWork)]
    const rows = this.rows.get(account.service)
    if (rows === undefined) this.rows.set(account.service, [row])
    else rows.push(row)
  }

  toReportFields (): Pick<ShareReport, 'rows' | 'slots'> {
    return {
      ...(this.rows.size > 0 ? { rows: Object.fromEntries(this.rows) } : {}),
      ...(this.slots.length > 0 ? { slots: this.slots } : {})
    }
  }
}

function draftOf (drafts: Map<CoordinatorEntry, ReportDraft>, coordinator: CoordinatorEntry): ReportDraft {
  const draft = drafts.get(coordinator) ?? new ReportDraft()
  drafts.set(coordinator, draft)
  return draft
}

// The first sum from a coordinator entry is only a baseline, unless that entry took over from another one and started
// its sum just now.
function applySum (queue: ServiceQueue, account: AccountState, sum: CoordinatorSum, now: number): void {
  const isSameCoordinator = account.coordinator === sum.coordinator
  const baseline = isSameCoordinator ? account.othersWork : account.coordinator !== '' && sum.isNewSum ? 0 : sum.othersWork
  account.coordinator = sum.coordinator
  account.othersWork = sum.othersWork
  account.remoteDemand = sum.demand
  account.repliedAt = now
  queue.addRemoteWork(account, Math.max(0, sum.othersWork - baseline))
}

// Accounts with waiting requests first, then those with the most unacknowledged work.
function reportPriority (account: AccountState): number {
  return account.waiting.length > 0 ? Infinity : account.ownWork - account.acknowledgedWork
}

function moveToEnd (queue: ServiceQueue, account: AccountState): void {
  queue.reportQueue.delete(account)
  queue.reportQueue.add(account)
}

function roundWork (value: number): number {
  return Math.round(value / WORK_PRECISION) * WORK_PRECISION
}

function roundDigits (value: number): number {
  return Number(value.toPrecision(SIGNIFICANT_DIGITS))
}
