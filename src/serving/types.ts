/** The configuration that a gateway serves under, independent of the format in which the platform stores it. */

/** Which calls of a route may be sent again: any, none, or streams that can be resumed after the last event. */
export type Idempotency = 'idempotent' | 'non_idempotent' | 'resumable'

/** Share of a route's calls that goes to a service. */
export interface RouteShare {
  readonly service: string
  /** Relative share of the route's calls. */
  readonly weight: number
}

/** Calls of one host and path prefix. */
export interface ServingRoute {
  readonly name: string
  readonly host: string
  /** Begins and ends with a slash. */
  readonly path: string
  readonly idempotency: Idempotency
  /** Whether the response is an event stream. */
  readonly streaming: boolean
  /** Longest time that a caller waits for the response, in ms. */
  readonly timeoutMs: number
  /** Latency objective: time to the response, or to its first event, in ms. */
  readonly sloMs: number
  /** Objective for the time between events: the longest gap of a stream that is on time, in ms; infinite without one. */
  readonly gapSloMs: number
  /** Time without a byte after which callers give up, in ms. */
  readonly callerIdleTimeoutMs: number
  /** 0 is the most urgent. */
  readonly priority: number
  readonly shares: readonly RouteShare[]
  /** Maximum number of targets that one call may be sent to. */
  readonly maxTargets: number
  /** An open route needs no key. */
  readonly open: boolean
}

/** Limits of an engine service. */
export interface EngineLimits {
  /** Number of requests that an engine executes concurrently. */
  readonly slots: number
  /** KV cache capacity of an engine, in tokens. */
  readonly kvCapacityTokens: number
  /** Size of the KV cache of one token, in bytes; absent when unknown. */
  readonly kvTokenBytes?: number | undefined
  /** Rate of an engine's link for KV transfers, in bytes per ms; absent when unknown. */
  readonly kvLinkBytesPerMs?: number | undefined
}

/** Limits and prices for ordering targets of a service. */
export interface OrderLimits {
  /** Minimum and maximum number of targets in each failure domain. */
  readonly min: number
  readonly max: number
  /** Time from an order to a running target, in ms. */
  readonly deliveryMs: number
  /** Price of a preemptible target as a share of the standard price; absent when none are offered. */
  readonly preemptiblePrice?: number | undefined
  /** Price of a target per second, by failure domain. */
  readonly domainPrices: ReadonlyMap<string, number>
}

/** A model service (with `engine`) or a plain service. */
export interface ServingService {
  readonly name: string
  /** Connections that one target accepts from all gateways. */
  readonly maxConnections: number
  readonly engine?: EngineLimits | undefined
  readonly orders?: OrderLimits | undefined
}

/** What a client account may execute over all gateways together. */
export interface AccountQuota {
  /** What is counted: requests, or the tokens that calls declare. */
  readonly unit: 'requests' | 'tokens'
  /** Units per ms. */
  readonly ratePerMs: number
  /** Units that may be executed at once. */
  readonly burst: number
  /** Tokens that a call without declared counts counts as. */
  readonly plainTokens: number
}

/** A client account with its keys. */
export interface ServingAccount {
  readonly name: string
  readonly keys: readonly string[]
  /** Overrides the priority of the route; 0 is the most urgent. */
  readonly priority?: number | undefined
  /** Absent for no limit. */
  readonly quota?: AccountQuota | undefined
}

/** Limits on the size and the sending time of a caller's request. */
export interface CallerLimits {
  readonly headerBytes: number
  readonly bodyBytes: number
  readonly headerTimeoutMs: number
  readonly idleTimeoutMs: number
}

/** One version of the configuration. */
export interface ServingConfig {
  readonly version: number
  readonly routes: readonly ServingRoute[]
  readonly services: ReadonlyMap<string, ServingService>
  readonly limits: CallerLimits
  /** Absent when requests carry no keys. */
  readonly accounts?: readonly ServingAccount[] | undefined
}

/** Stage of an engine: `prefill` only prefills prompts for other engines, `decode` executes complete calls. */
export type Stage = 'prefill' | 'decode'

/** A target as it registered itself in the store. */
export interface TargetRecord {
  /** Id of the incarnation. */
  readonly id: string
  readonly service: string
  /** `ip:port`. */
  readonly address: string
  readonly domain: string
  readonly slots: number
  readonly leaving: boolean
  /** Absent for plain services. */
  readonly stage?: Stage | undefined
  /** A preemptible target is cheaper and may be reclaimed. */
  readonly preemptible: boolean
  /** Start of the incarnation, in ms since the Unix epoch; 0 when not reported. */
  readonly startedAt: number
}
