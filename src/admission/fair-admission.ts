/** Admission control of one entry: bounded fair queues, early rejection, and the slots that running requests hold. */
import { Err, Ok, Refusal, type RefusalReason, type Result } from '../errors/index.js'
import type { Env } from '../time/index.js'
import type { AccountState, WaitingRequest } from './account-state.js'
import { ServiceQueue } from './service-queue.js'
import type { Admission, AdmissionReq, QueueLimits, Ticket, WorkRow } from './types.js'

/** Maximum number of waiting requests per account and service, per service, and per entry. */
export const QUEUE_LIMITS: QueueLimits = { account: 64, service: 512, entry: 4_096 }

/** Bounds of the retry-after hint in a refusal, and the hint while the drain rate is unknown, in ms. */
const RETRY_AFTER_MIN_MS = 500
const RETRY_AFTER_MAX_MS = 30_000
const RETRY_AFTER_DEFAULT_MS = 1_000

/** Serves the waiting account with the least work for its weight, counted over all entries, first. */
export class FairAdmission implements Admission {
  readonly services = new Map<string, ServiceQueue>()
  waiting = 0
  running = 0

  constructor (private readonly env: Env, private readonly limits: QueueLimits = QUEUE_LIMITS) {}

  setSlots (service: string, slots: number): void {
    const queue = this.queueOf(service)
    queue.slots = Math.max(1, Math.floor(slots))
    this.dispatch(queue)
  }

  async enter (req: AdmissionReq, signal: AbortSignal): Promise<Result<Ticket, Refusal>> {
    const queue = this.queueOf(req.service)
    const account = queue.account(req.account, req.weight)
    const refusal = this.refusalFor(queue, account, req, signal)
    if (refusal !== undefined) return Err(refusal)
    return await new Promise((resolve) => {
      const request: WaitingRequest = { req, settle: resolve, settled: false, cancel: () => {} }
      queue.push(account, request, this.env.clock.now())
      this.waiting++
      this.dispatch(queue)
      if (!request.settled) this.watchDeadlineAndAbort(queue, account, request, signal)
    })
  }

  rows (): WorkRow[] {
    return [...this.services].flatMap(([service, queue]) => [...queue.accounts].map(([account, state]) => (
      { service, account, work: state.ownWork, backlog: state.waiting.length }
    )))
  }

  /** Fraction of this entry's slots that are free, in [0, 1]. */
  freeSlotFraction (): number {
    let slots = 0
    let usedSlots = 0
    for (const queue of this.services.values()) {
      slots += queue.slots
      usedSlots += Math.min(queue.slots, queue.running + queue.waiting)
    }
    return slots === 0 ? 1 : 1 - usedSlots / slots
  }

  /** The queue of a service, created on first use. */
  queueOf (service: string): ServiceQueue {
    let queue = this.services.get(service)
    if (queue === undefined) {
      queue = new ServiceQueue(service)
      this.services.set(service, queue)
    }
    return queue
  }

  private refusalFor (queue: ServiceQueue, account: AccountState, req: AdmissionReq, signal: AbortSignal): Refusal | undefined {
    if (signal.aborted) return createRefusal('caller_disconnected')
    const remainingMs = req.deadlineAt - this.env.clock.now()
    if (estimateMaxWaitMs(queue) > remainingMs) {
      const waitMs = estimateWaitMs(queue, account) ?? 0
      if (waitMs > remainingMs) return createRefusal('deadline_unreachable', waitMs)
    }
    if (account.waiting.length >= this.limits.account) return createRefusal('account_queue_full', estimateWaitMs(queue, account))
    const fullReason = this.waiting >= this.limits.entry ? 'entry_queue_full' : 'service_queue_full'
    const hasRoom = queue.waiting < this.limits.service && this.waiting < this.limits.entry
    return hasRoom || this.evictFromLongest(queue, account, fullReason) ? undefined : createRefusal(fullReason, estimateWaitMs(queue, account))
  }

  // When a queue is full, the account with the longest queue for its weight loses its newest request, so that no
  // account can fill the queue at the expense of the others.
  private evictFromLongest (queue: ServiceQueue, account: AccountState, reason: RefusalReason): boolean {
    const longest = queue.longestQueued()
    const newest = longest?.waiting.at(-1)
    if (longest === undefined || newest === undefined) return false
    if (longest.waiting.length / longest.weight <= (account.waiting.length + 1) / account.weight) return false
    this.drop(queue, longest, newest, reason)
    return true
  }

  private watchDeadlineAndAbort (queue: ServiceQueue, account: AccountState, request: WaitingRequest, signal: AbortSignal): void {
    const remainingMs = request.req.deadlineAt - this.env.clock.now()
    const timer = this.env.timers.after(remainingMs, () => this.drop(queue, account, request, 'deadline_exceeded'))
    const onAbort = (): void => this.drop(queue, account, request, 'caller_disconnected')
    signal.addEventListener('abort', onAbort, { once: true })
    request.cancel = () => {
      timer[Symbol.dispose]()
      signal.removeEventListener('abort', onAbort)
    }
  }

  private dispatch (queue: ServiceQueue): void {
    for (;;) {
      const request = queue.shift(this.env.clock.now())
      if (request === undefined) return
      this.markSettled(request)
      this.running++
      request.settle(Ok(this.createTicket(queue, queue.account(request.req.account), request.req)))
    }
  }

  private drop (queue: ServiceQueue, account: AccountState, request: WaitingRequest, reason: RefusalReason): void {
    if (request.settled) return
    queue.remove(account, request, this.env.clock.now())
    this.markSettled(request)
    request.settle(Err(createRefusal(reason, estimateWaitMs(queue, account))))
  }

  private markSettled (request: WaitingRequest): void {
    request.settled = true
    request.cancel()
    this.waiting--
  }

  private createTicket (queue: ServiceQueue, account: AccountState, req: AdmissionReq): Ticket {
    let remainingWork = req.work
    let released = false
    return {
      charge: (work) => {
        const expectedWork = released ? 0 : Math.min(remainingWork, work)
        remainingWork -= expectedWork
        queue.charge(account, work, expectedWork)
      },
      release: () => {
        if (released) return
        released = true
        queue.finish(account, req, remainingWork, this.env.clock.now())
        this.running--
        this.dispatch(queue)
      }
    }
  }
}

function estimateWaitMs (queue: ServiceQueue, account: AccountState): number | undefined {
  const workPerMs = queue.drainRate.workPerMs
  return workPerMs === undefined ? undefined : queue.workAhead(account) / workPerMs
}

// Wait behind all waiting requests: an upper bound that is far cheaper than the exact wait and admits most requests.
function estimateMaxWaitMs (queue: ServiceQueue): number {
  const workPerMs = queue.drainRate.workPerMs
  return workPerMs === undefined ? 0 : queue.queuedWork / workPerMs
}

function createRefusal (reason: RefusalReason, waitMs = RETRY_AFTER_DEFAULT_MS): Refusal {
  if (reason === 'caller_disconnected') return new Refusal(reason, { step: 'admit', ran: 'no' })
  const retryAfterMs = Math.round(Math.min(RETRY_AFTER_MAX_MS, Math.max(RETRY_AFTER_MIN_MS, waitMs)))
  return new Refusal(reason, { step: 'admit', ran: 'no', retryAfterMs })
}
