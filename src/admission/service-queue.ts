/** Fair queue of one service on one entry. */
import { AccountHeap } from './account-heap.js'
import { AccountState, type WaitingRequest } from './account-state.js'
import { DrainRate } from './drain-rate.js'
import type { AdmissionReq } from './types.js'

/** Age of the last reply of an account's coordinator entry above which the next one may include late work, in ms. */
const STALE_REPLY_MS = 3_000

/** Bounds of the feedback factor on an account's weight. */
const MIN_FEEDBACK_FACTOR = 0.25
const MAX_FEEDBACK_FACTOR = 4

/** Lead, in seconds of fair service, that halves the weight of an account. */
const FEEDBACK_HALVING_S = 2

/** Maximum lead or lag of an account that is taken into account, in seconds of fair service. */
const MAX_LEAD_S = 10

/** Accounts of the service with their counters, and the selection of the next request. */
export class ServiceQueue {
  readonly accounts = new Map<string, AccountState>()
  /** Accounts whose work or demand is to be reported, those not reported for the longest time first. */
  readonly reportQueue = new Set<AccountState>()
  readonly heap = new AccountHeap()
  readonly drainRate = new DrainRate()
  slots = 1
  running = 0
  waiting = 0
  /** Estimated work of all waiting requests. */
  queuedWork = 0
  /** Highest demand since the last report. */
  peakDemand = 0
  /** Work ÷ weight that an account which always has waiting requests is entitled to so far. */
  fairProgress = 0
  /** Increase of `fairProgress` per ms. */
  fairRatePerMs = 0
  private fairProgressAt = 0
  private virtualTime = 0
  private lastTieBreaker = 0

  constructor (readonly name: string) {}

  /** State of an account, created on first use; `weight` updates its weight. */
  account (name: string, weight?: number): AccountState {
    let account = this.accounts.get(name)
    if (account === undefined) {
      account = new AccountState(this.name, name)
      account.leadFairProgress = this.fairProgress
      this.accounts.set(name, account)
    }
    if (weight !== undefined && weight !== account.weight) {
      account.weight = weight
      if (account.heapIndex >= 0) this.heap.update(account)
    }
    return account
  }

  /** Appends a request; the key of an account that had none waiting is raised to the lowest key of those waiting. */
  push (account: AccountState, request: WaitingRequest, now: number): void {
    this.drainRate.observe(now, this.waiting > 0)
    if (account.waiting.length === 0) this.activate(account, now)
    account.waiting.push(request)
    account.queuedWork += request.req.work
    this.queuedWork += request.req.work
    this.waiting++
    this.heap.update(account)
    this.noteDemand(account)
  }

  /** Removes and returns the next request to start, `undefined` when there is none or no slot is free. */
  shift (now: number): WaitingRequest | undefined {
    const account = this.heap.first
    if (account === undefined || this.running >= this.slots) return undefined
    this.virtualTime = account.key
    const request = account.waiting[0]!
    this.remove(account, request, now)
    this.running++
    account.running++
    account.reserved += request.req.work
    account.tieBreaker = ++this.lastTieBreaker
    if (account.heapIndex >= 0) this.heap.update(account)
    return request
  }

  /** Removes a waiting request. */
  remove (account: AccountState, request: WaitingRequest, now: number): void {
    this.drainRate.observe(now, this.waiting > 0)
    account.waiting.splice(account.waiting.indexOf(request), 1)
    account.queuedWork -= request.req.work
    this.queuedWork -= request.req.work
    this.waiting--
    if (account.waiting.length > 0) return
    account.queuedWork = 0
    this.updateLead(account, now, true)
    this.heap.remove(account)
  }

  /** Counts work that was done; the key does not change as far as the work was expected. */
  charge (account: AccountState, work: number, expectedWork: number): void {
    account.ownWork += work
    account.counter += work / account.weight
    account.progress += work / account.weight
    account.reserved -= expectedWork
    if (account.waiting.length > 0) {
      account.recentWork += work
      if (work !== expectedWork) this.heap.update(account)
    }
    this.scheduleReport(account)
  }

  /** Ends a running request; `unusedWork` is the expected work that was not done. */
  finish (account: AccountState, req: AdmissionReq, unusedWork: number, now: number): void {
    this.drainRate.addFinished(req.work)
    this.drainRate.observe(now, this.waiting > 0)
    this.running--
    account.running--
    account.reserved = account.running === 0 ? 0 : account.reserved - unusedWork
    account.lastActiveAt = now
    if (account.heapIndex >= 0) this.heap.update(account)
    this.scheduleReport(account)
  }

  /** Counts work of an account that other entries did. */
  addRemoteWork (account: AccountState, work: number): void {
    const increment = account.mayGetLateWork ? this.lateIncrement(account, work) : work / account.weight
    account.mayGetLateWork = false
    account.counter += increment
    account.progress += increment
    if (account.heapIndex >= 0) this.heap.update(account)
  }

  /** Estimated work that runs before a new request of the account, in work units. */
  workAhead (account: AccountState): number {
    const lowestKey = this.heap.first?.key ?? this.virtualTime
    const startKey = account.waiting.length > 0 ? account.key : Math.max(account.key, lowestKey)
    const endKey = startKey + account.queuedWork / account.weight
    let workAhead = account.queuedWork
    for (const other of this.heap.items) {
      if (other !== account) workAhead += Math.min(other.queuedWork, Math.max(0, endKey - other.key) * other.weight)
    }
    return workAhead
  }

  /** Account with the longest queue for its weight. */
  longestQueued (): AccountState | undefined {
    let longest: AccountState | undefined
    for (const account of this.heap.items) {
      if (longest === undefined || account.waiting.length / account.weight > longest.waiting.length / longest.weight) longest = account
    }
    return longest
  }

  /** Applies the fair rate from a reply of the service's coordinator entry, in work ÷ weight per ms. */
  setFairRate (ratePerMs: number, now: number): void {
    this.advanceFairProgress(now)
    this.fairRatePerMs = ratePerMs
  }

  /** Factor on the weight of an account: below 1 when it leads the fair progress, above 1 when it lags. */
  feedbackFactor (account: AccountState, now: number): number {
    if (this.fairRatePerMs <= 0) return 1
    this.updateLead(account, now, account.waiting.length > 0)
    const leadS = account.lead / (this.fairRatePerMs * 1_000)
    return Math.min(MAX_FEEDBACK_FACTOR, Math.max(MIN_FEEDBACK_FACTOR, 2 ** (-leadS / FEEDBACK_HALVING_S)))
  }

  /** Adds an account to the report queue. */
  scheduleReport (account: AccountState): void {
    if (account.reportPending) return
    account.reportPending = true
    this.reportQueue.add(account)
  }

  private noteDemand (account: AccountState): void {
    this.peakDemand = Math.max(this.peakDemand, this.waiting + this.running)
    this.scheduleReport(account)
  }

  private activate (account: AccountState, now: number): void {
    const lift = (this.heap.first?.key ?? this.virtualTime) - account.key
    if (lift > 0) account.counter += lift
    account.tieBreaker = ++this.lastTieBreaker
    account.mayGetLateWork = now - account.repliedAt > STALE_REPLY_MS
    account.lift = Math.max(0, lift)
    this.updateLead(account, now, false)
  }

  // Work done elsewhere while the account had no requests here is partly covered by the lift already. It may raise the
  // key at most to the highest waiting one; otherwise accounts that were idle would gain an advantage over this one.
  private lateIncrement (account: AccountState, work: number): number {
    const highestKey = this.heap.items.reduce((max, other) => Math.max(max, other.key), account.key)
    return Math.min(Math.max(0, work / account.weight - account.lift), highestKey - account.key)
  }

  // An account without waiting requests can increase its lead, but cannot fall behind: it requests less than its share.
  private updateLead (account: AccountState, now: number, hasWaited: boolean): void {
    this.advanceFairProgress(now)
    const change = account.progress - account.leadProgress - (this.fairProgress - account.leadFairProgress)
    account.leadProgress = account.progress
    account.leadFairProgress = this.fairProgress
    const maxLead = MAX_LEAD_S * 1_000 * this.fairRatePerMs
    const minLead = hasWaited ? -maxLead : Math.min(0, account.lead)
    account.lead = Math.min(maxLead, Math.max(minLead, account.lead + change))
  }

  private advanceFairProgress (now: number): void {
    this.fairProgress += this.fairRatePerMs * (now - this.fairProgressAt)
    this.fairProgressAt = now
  }
}
