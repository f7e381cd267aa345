/** The configuration that a gateway serves under, in the product's own words. */

/** What may be sent more than once: any call, none, or a stream that can be continued after its last event. */
export type Idempotency = 'idempotent' | 'non_idempotent' | 'resumable'

/** A service that takes part of a route's calls. */
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
  /** Whether the answer is a stream of events. */
  readonly streaming: boolean
  /** Longest time a caller is kept waiting, in ms. */
  readonly timeoutMs: number
  /** Time to the answer, or to its first event, that counts as in time, in ms. */
  readonly sloMs: number
  /** Silence after which callers give up, in ms. */
  readonly callerIdleTimeoutMs: number
  /** 0 is the most urgent. */
  readonly priority: number
  readonly shares: readonly RouteShare[]
  /** Most targets that one call may be sent to. */
  readonly maxTargets: number
  /** An open route needs no key. */
  readonly open: boolean
}

/** Limits of an engine service. */
export interface EngineLimits {
  /** Requests that an engine runs at once. */
  readonly slots: number
  /** Memory of an engine, in tokens. */
  readonly kvCapacityTokens: number
}

/** How many targets of a service may be ordered, and at what price. */
export interface OrderLimits {
  /** Fewest and most targets in each failure domain. */
  readonly min: number
  readonly max: number
  /** Time from an order to a running target, in ms. */
  readonly deliveryMs: number
  /** Price of a preemptible target as a share of the standard price; absent when there are none. */
  readonly preemptiblePrice?: number | undefined
  /** Price of a target a second by failure domain. */
  readonly domainPrices: ReadonlyMap<string, number>
}

/** A model service (with `engine`) or a plain one. */
export interface ServingService {
  readonly name: string
  /** Connections that one target accepts from all gateways. */
  readonly maxConnections: number
  readonly engine?: EngineLimits | undefined
  readonly orders?: OrderLimits | undefined
}

/** A client account with its keys. */
export interface ServingAccount {
  readonly name: string
  readonly keys: readonly string[]
  /** Goes before the rank of the route; 0 is the most urgent. */
  readonly priority?: number | undefined
}

/** What a caller may send, and how long it may take. */
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

/** What an engine does: reads prompts for others, or runs whole calls. */
export type Stage = 'prefill' | 'decode'

/** A target as it registered itself. */
export interface TargetRecord {
  /** Id of this incarnation. */
  readonly id: string
  readonly service: string
  /** `ip:port`. */
  readonly address: string
  readonly domain: string
  readonly slots: number
  readonly leaving: boolean
  /** Absent for plain services. */
  readonly stage?: Stage | undefined
  /** Whether it is preemptible: cheaper, and may be reclaimed. */
  readonly preemptible: boolean
  /** Start of the incarnation, ms since the Unix epoch; 0 when not stated. */
  readonly startedAt: number
}
