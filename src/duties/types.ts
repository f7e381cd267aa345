/** Leader duties, which one gateway performs for all: usage reports and target orders. */
import type * as errors from '../errors/index.js'

/** Holder of the lease and its fencing token, sent with each call that only the holder may make. */
export interface LeaseStamp {
  readonly holder: string
  /** Fencing token; grows with each new holder. */
  readonly token: number
}

/** Number of requests that began to execute, by client account. */
export type AccountCounts = Readonly<Record<string, number>>

/** Desired number of targets of one kind in one failure domain. */
export interface DesiredTargets {
  readonly service: string
  readonly domain: string
  readonly count: number
  readonly preemptible: boolean
}

/** Why a call of the lease holder failed; after `unknown` it may have taken effect. */
export interface DutyError {
  readonly kind: 'refused' | 'unavailable' | 'unknown'
  readonly message: string
}

/** Platform calls that only the lease holder makes. */
export interface DutyApi {
  reportUsage (stamp: LeaseStamp, window: number, counts: AccountCounts): Promise<errors.Result<void, DutyError>>
  orderTargets (stamp: LeaseStamp, desired: DesiredTargets): Promise<errors.Result<void, DutyError>>
}
