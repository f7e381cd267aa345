/** Duties that one gateway has for all: usage reports and target orders. */
import type * as errors from '../errors/index.js'

/** Proof of who holds the duties. */
export interface LeaseStamp {
  readonly holder: string
  /** Fencing number; grows with each new holder. */
  readonly token: number
}

/** Requests that began to run, by client account. */
export type AccountCounts = Readonly<Record<string, number>>

/** Wanted number of targets of one kind. */
export interface DesiredTargets {
  readonly service: string
  readonly domain: string
  readonly count: number
  readonly preemptible: boolean
}

/** Why a duty call failed; after `unknown` it may have taken effect. */
export interface DutyError {
  readonly kind: 'refused' | 'unavailable' | 'unknown'
  readonly message: string
}

/** The platform's interfaces that only the holder of the duties calls. */
export interface DutyApi {
  reportUsage (stamp: LeaseStamp, window: number, counts: AccountCounts): Promise<errors.Result<void, DutyError>>
  orderTargets (stamp: LeaseStamp, wish: DesiredTargets): Promise<errors.Result<void, DutyError>>
}
