/** State of one client account on one service, as an entry keeps it. */
import type { Refusal, Result } from '../errors/index.js'
import type { AdmissionReq, Ticket } from './types.js'

/** A request in a queue. */
export interface WaitingRequest {
  readonly req: AdmissionReq
  /** Resolves the caller's wait. */
  readonly settle: (outcome: Result<Ticket, Refusal>) => void
  /** Removes the deadline timer and the abort listener. */
  cancel: () => void
  settled: boolean
}

/** Queue, work counters and exchange state of one account; mutated in place. */
export class AccountState {
  readonly waiting: WaitingRequest[] = []
  weight = 1
  running = 0
  /** Estimated work of the waiting requests, in work units. */
  queuedWork = 0
  /** Work done by this entry since the state was created, in work units. */
  ownWork = 0
  /** Work done since the last report while requests were waiting. */
  recentWork = 0
  /** Virtual counter: work ÷ weight on all entries, plus the lifts applied on activation. */
  counter = 0
  /** Work ÷ weight on all entries, without lifts. */
  progress = 0
  /** Expected work of running requests that is not done yet. */
  reserved = 0
  /** Index in the heap, -1 while no request waits. */
  heapIndex = -1
  /** Orders accounts with the same key; raised whenever the account is activated or served. */
  tieBreaker = 0
  /** Lead over the fair progress in work ÷ weight, and the values of both progresses at the last update. */
  lead = 0
  leadProgress = 0
  leadFairProgress = 0
  /** Own work that a coordinator entry has acknowledged. */
  acknowledgedWork = 0
  /** Whether the account is in the report queue. */
  reportPending = false
  /** Requests waiting or running at other entries, from the last reply. */
  remoteDemand = 0
  /** Incarnation of the coordinator entry that last replied, the work of other entries in that reply, and its time. */
  coordinator = ''
  othersWork = 0
  repliedAt = -Infinity
  /** Whether the next reply may include work done elsewhere while the account had no requests here. */
  mayGetLateWork = false
  /** Amount by which the counter was raised when the account became active. */
  lift = 0
  lastActiveAt = 0

  constructor (readonly service: string, readonly name: string) {}

  /** Scheduling key: the lowest is served next. Expected work counts as soon as a request starts. */
  get key (): number {
    return this.counter + this.reserved / this.weight
  }

  /** Requests waiting or running on this entry. */
  get demand (): number {
    return this.waiting.length + this.running
  }
}

/** Whether `a` is served before `b`. */
export function isServedBefore (a: AccountState, b: AccountState): boolean {
  const keyA = a.key
  const keyB = b.key
  return keyA < keyB || (keyA === keyB && a.tieBreaker < b.tieBreaker)
}
