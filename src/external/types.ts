/** The platform's interfaces as the system uses them. */
import type { Result } from '../errors/index.js'
import type { PriceClass, UsageRow } from '../schema/index.js'

/** Object of the versioned object API. */
export interface StoredObject {
  readonly key: string
  /** Grows with each change of any object; also the object's own version. */
  readonly version: number
  readonly value: string
}

/** Condition of an update: the version that must be current, or that the object must not exist. */
export type ExpectedVersion = number | 'absent'

/** Why a store call failed. After `unknown` the write may or may not have taken effect. */
export interface StoreError {
  readonly kind: 'conflict' | 'unavailable' | 'unknown'
  readonly message: string
  /** The current object, on a conflict; absent when there is none. */
  readonly current?: StoredObject | undefined
}

/** Changes since a version. */
export interface WatchBatch {
  readonly changes: readonly StoredObject[]
  /** Keys deleted since. */
  readonly deleted: readonly string[]
  /** Version up to which the batch is complete. */
  readonly version: number
}

/** How fresh a read has to be: `stale_ok` reads may show a state that is seconds old also where the store's other reads do not. */
export type ReadMode = 'default' | 'stale_ok'

/** Versioned object API. Each call counts against the platform's rate; a waiting watch counts as one. */
export interface ObjectStore {
  /** Reads one object; may come from an old copy. Absent objects give `undefined`. */
  get (key: string, mode?: ReadMode): Promise<Result<StoredObject | undefined, StoreError>>
  /** Lists the objects under a prefix; may come from an old copy. */
  list (prefix: string, mode?: ReadMode): Promise<Result<readonly StoredObject[], StoreError>>
  /** Conditional update; the answer is authoritative. */
  put (key: string, value: string, expected: ExpectedVersion): Promise<Result<StoredObject, StoreError>>
  /** Conditional delete. */
  delete (key: string, expected: number): Promise<Result<void, StoreError>>
  /** Waits up to `waitMs` for changes under `prefix` after `version`. */
  watch (prefix: string, version: number, waitMs: number): Promise<Result<WatchBatch, StoreError>>
}

/** A VM as the platform lists it. */
export interface VmRecord {
  /** `ip:port` for callers. */
  readonly address: string
  /** `ip:port` for other entries; by default the address with the reader's own peer port. */
  readonly peer_address?: string | undefined
  readonly domain: string
  readonly state: 'live' | 'leaving'
}

/** The platform's lagging list of VMs; a VM that is gone is not listed. */
export interface VmDirectory {
  list (): Promise<Result<readonly VmRecord[], StoreError>>
}

/** An order for one target. */
export interface TargetOrder {
  /** Token by which the order is recognised when it is placed again. */
  readonly token: string
  readonly service: string
  readonly domain: string
  readonly priceClass: PriceClass
  readonly fence: number
}

/** A target as the platform knows it. */
export interface OrderedTarget {
  readonly token: string
  readonly name: string
  readonly service: string
  readonly domain: string
  readonly priceClass: PriceClass
  readonly state: 'pending' | 'running' | 'reclaiming' | 'released'
  readonly url: string
  /** Price per hour. */
  readonly price: number
  readonly checksFence: boolean
  /** When a reclaim takes effect, ms since the Unix epoch. */
  readonly reclaimAt?: number | undefined
}

/** Why an order failed; `unavailable` says the platform has none of that class in that domain. */
export interface OrderError {
  readonly kind: 'out_of_stock' | 'refused' | 'unavailable' | 'unknown'
  readonly message: string
}

/** Orders targets by failure domain. */
export interface TargetOrdering {
  order (order: TargetOrder): Promise<Result<OrderedTarget, OrderError>>
  release (name: string, token: string, fence: number): Promise<Result<void, OrderError>>
  list (): Promise<Result<readonly OrderedTarget[], OrderError>>
}

/** A bill of one account for one window. */
export interface UsageBill {
  readonly window: number
  readonly account: string
  readonly rows: readonly UsageRow[]
  /** Incarnation of the reporter. */
  readonly reporter: string
  readonly fence: number
}

/** Why a report failed. */
export interface ReportError {
  readonly kind: 'conflict' | 'unavailable' | 'unknown'
  readonly message: string
}

/** Bills each client account once per window. */
export interface UsageReports {
  report (bill: UsageBill): Promise<Result<'accepted' | 'already_reported', ReportError>>
}

/** All of the platform. */
export interface Platform {
  readonly store: ObjectStore
  readonly vms: VmDirectory
  readonly ordering: TargetOrdering
  readonly reports: UsageReports
}
