/** Types of admission. */
import type { Refusal, Result } from '../errors/index.js'

/** A request to be admitted. */
export interface AdmissionReq {
  readonly id: string
  readonly service: string
  readonly account: string
  /** Weight of the account. */
  readonly weight: number
  /** Estimated work, in work units. */
  readonly work: number
  /** Monotonic time by which the response must be complete, in ms. */
  readonly deadlineAt: number
}

/** A slot for a running request, held until it is released. */
export interface Ticket {
  /** Counts work as it is done, in work units. */
  charge (work: number): void
  /** Releases the slot; later calls do nothing. */
  release (): void
}

/** Cumulative work of an account on a service. */
export interface WorkRow {
  readonly service: string
  readonly account: string
  /** Work units since the incarnation started. */
  readonly work: number
  /** Waiting requests. */
  readonly backlog: number
}

/** Maximum numbers of waiting requests: of one account on a service, of a service, and of an entry. */
export interface QueueLimits {
  readonly account: number
  readonly service: number
  readonly entry: number
}

/** Admission control: queues requests and decides which one runs next. */
export interface Admission {
  /** Sets how many requests of a service this entry may run concurrently. */
  setSlots (service: string, slots: number): void
  /** Waits for a slot; aborting the signal leaves the queue. Fails with a refusal when the request is rejected. */
  enter (req: AdmissionReq, signal: AbortSignal): Promise<Result<Ticket, Refusal>>
  /** Cumulative work and backlog of each known account. */
  rows (): readonly WorkRow[]
  /** Waiting requests over all services. */
  readonly waiting: number
  /** Running requests over all services. */
  readonly running: number
}
