/** Interfaces of the platform, as the system uses them. */
import type { Result } from '../errors/index.js'
import type { PriceClass, UsageRow } from '../schema/index.js'

/** An object of the platform's versioned store. */
export interface StoredObject {
  readonly key: string
  /**
   * Version of the object: the store's counter of changes at the last one, which covers all objects. Where the store may be
   * restored from an older copy, it also contains the era (`storeVersion`).
   */
  readonly version: number
  readonly value: string
}

/** Condition of an update: the version that must be current, or `absent` when the object must not exist. */
export type ExpectedVersion = number | 'absent'

/** Why a store call failed. After `unknown`, the write may or may not have taken effect. */
export interface StoreError {
  /** `unavailable`: the call had no effect. */
  readonly kind: 'conflict' | 'unavailable' | 'unknown'
  readonly message: string
  /** The current object after a conflict; absent when there is none, and for other kinds. */
  readonly current?: StoredObject | undefined
}

/** Changes under a prefix since a version. */
export interface WatchBatch {
  readonly changes: readonly StoredObject[]
  /** Keys deleted since. */
  readonly deleted: readonly string[]
  /** Version up to which the batch is complete. */
  readonly version: number
}

/** Freshness of a read: with `stale_ok` the result may be seconds old even where the store's other reads are current. */
export type ReadMode = 'default' | 'stale_ok'

/**
 * The versioned object store. Each call counts towards the platform's rate limit; a watch counts once, however long it
 * waits.
 */
export interface ObjectStore {
  /** Reads one object, possibly from a stale copy; `undefined` when there is none. */
  get (key: string, mode?: ReadMode): Promise<Result<StoredObject | undefined, StoreError>>
  /** Lists the objects under a prefix, possibly from a stale copy. */
  list (prefix: string, mode?: ReadMode): Promise<Result<readonly StoredObject[], StoreError>>
  /** Conditional update; success and conflict are authoritative, unlike the results of reads. */
  put (key: string, value: string, expected: ExpectedVersion): Promise<Result<StoredObject, StoreError>>
  /** Deletes an object if `expected` is its version. */
  delete (key: string, expected: number): Promise<Result<void, StoreError>>
  /** Waits up to `waitMs` for changes under `prefix` after `version`. */
  watch (prefix: string, version: number, waitMs: number): Promise<Result<WatchBatch, StoreError>>
}

/** A VM in the platform's list. */
export interface VmRecord {
  /** `ip:port` for callers. */
  readonly address: string
  /** `ip:port` for other entries; absent means the host of `address` with the reader's own peer port. */
  readonly peer_address?: string | undefined
  /** Failure domain. */
  readonly domain: string
  /** `leaving`: will be removed soon. */
  readonly state: 'live' | 'leaving'
}

/** The platform's list of VMs. It lags; a removed VM is not listed. */
export interface VmDirectory {
  list (): Promise<Result<readonly VmRecord[], StoreError>>
}

/** An order for one target. */
export interface TargetOrder {
  /** Idempotency token: an order with the token of an earlier one returns the target of that one. */
  readonly token: string
  readonly service: string
  /** Failure domain. */
  readonly domain: string
  readonly priceClass: PriceClass
  /** Fencing token of the lease holder that places the order. */
  readonly fence: number
}

/** An ordered target, as the platform reports it. */
export interface OrderedTarget {
  /** Token of the order. */
  readonly token: string
  readonly name: string
  readonly service: string
  /** Failure domain. */
  readonly domain: string
  readonly priceClass: PriceClass
  /** `reclaiming`: the platform takes the target back at `reclaimAt`. */
  readonly state: 'pending' | 'running' | 'reclaiming' | 'released'
  readonly url: string
  /** Price per hour. */
  readonly price: number
  /** Whether the target rejects orders with an outdated fencing token. */
  readonly checksFence: boolean
  /** When a reclaim takes effect, ms since the Unix epoch; absent when there is none. */
  readonly reclaimAt?: number | undefined
}

/** Why an order or release failed; after `unknown` it may have taken effect. */
export interface OrderError {
  /** `out_of_stock`: the failure domain has no target of that price class. `unavailable`: the call had no effect. */
  readonly kind: 'out_of_stock' | 'refused' | 'unavailable' | 'unknown'
  readonly message: string
}

/** Orders and releases targets. */
export interface TargetOrdering {
  order (order: TargetOrder): Promise<Result<OrderedTarget, OrderError>>
  /** Releases the target `name` that was ordered under `token`. */
  release (name: string, token: string, fence: number): Promise<Result<void, OrderError>>
  list (): Promise<Result<readonly OrderedTarget[], OrderError>>
}

/** Usage of one account in one window. */
export interface UsageBill {
  /** Number of the usage window: wall-clock time divided by the window length. */
  readonly window: number
  readonly account: string
  /** Usage by service. */
  readonly rows: readonly UsageRow[]
  /** Incarnation that sends the report. */
  readonly reporter: string
  /** Fencing token of the reporter's lease. */
  readonly fence: number
}

/** Why a usage report failed; after `unknown` it may have taken effect. */
export interface ReportError {
  /** `conflict`: the window was reported with other counts. */
  readonly kind: 'conflict' | 'unavailable' | 'unknown'
  readonly message: string
}

/** Accepts one usage report per client account and window. */
export interface UsageReports {
  /** `already_reported`: the same report was accepted before. */
  report (bill: UsageBill): Promise<Result<'accepted' | 'already_reported', ReportError>>
}

/** All interfaces of the platform. */
export interface Platform {
  readonly store: ObjectStore
  readonly vms: VmDirectory
  readonly ordering: TargetOrdering
  readonly reports: UsageReports
}
