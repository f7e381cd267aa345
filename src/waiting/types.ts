/** Types of calls that wait at their gateway. Times are ms on the monotonic clock; work is in prompt tokens, or calls of plain services. */

/** A call that may wait, with what it needs. */
export interface WaitingCall {
  readonly id: string
  /** Client account; empty on open routes. */
  readonly account: string
  /** 0 is the most urgent. */
  readonly priority: number
  /** Size of the request body. */
  readonly bytes: number
  /** When the first event must arrive to meet the objective. */
  readonly objectiveAt: number
  /** When it must arrive at the latest: at the deadline or the idle timeout of the caller. */
  readonly limitAt: number
}

/** What a call needs at a target without backlog. */
export interface Estimate {
  readonly work: number
  /** Time from the send to the first event. */
  readonly ownMs: number
}

/** What the targets of a pool (those of one service and stage) can take, as this gateway knows it. */
export interface Room {
  /** Whether a target would start a call soon enough not to be late for others. */
  readonly free: boolean
  /** Shortest backlog of a target; 0 when none takes calls. */
  readonly backlogMs: number
  /** Backlog of all targets that take calls. */
  readonly backlogWork: number
  /** Part of it that is to be done before all targets would have room. */
  readonly excessWork: number
  /** Work per ms of all targets that take calls; 0 when none does. */
  readonly workPerMs: number
}

/** Work that waits at other gateways for the targets of a pool. */
export interface OthersWaiting {
  /** Work that is more urgent than `level`. */
  workAbove (level: number): number
  /** Work of exactly that urgency. */
  workAt (level: number): number
}

/** Calls that wait at one urgency level: their number and their work. */
export interface LevelTotals {
  readonly level: number
  readonly calls: number
  readonly work: number
}

/** Why a waiting call is sent: a target has room for it, or a later start would miss its deadline. */
export type SendCause = 'room' | 'latest_start'

/** Why a call is refused instead of waiting: it is too late even at an immediate start, the queue ahead takes too long, or a bound. */
export type RefusalCause = 'late' | 'queue' | 'calls' | 'bytes' | 'account'

/** Whether a call is sent now, waits until `untilMs` at the latest, or is refused. */
export type Decision =
  | { readonly kind: 'send' }
  | { readonly kind: 'wait', readonly untilMs: number, readonly workAhead: number }
  | { readonly kind: 'refuse', readonly cause: RefusalCause, readonly workAhead: number }

/** Bounds of one queue. */
export interface QueueBounds {
  readonly calls: number
  /** Bytes of request bodies. */
  readonly bytes: number
  /** Longest time that a call waits. */
  readonly waitMs: number
  /** Share of the calls and bytes that one account may hold. */
  readonly accountShare: number
}
