/** Requests and responses of callers independent of sockets, and the dependencies of the request handler. */
import type { Admission } from '../admission/index.js'
import type { Claims } from '../claims/index.js'
import type { ConfigIndex } from '../config/index.js'
import type { Logger } from '../log/index.js'
import type { Metrics } from '../metrics/index.js'
import type { Router } from '../routing/index.js'
import type { TargetClients } from '../target-clients/index.js'
import type { Env } from '../time/index.js'
import type { UsageCounters } from '../usage/index.js'

/** A complete request of a caller. */
export interface CallerReq {
  readonly method: string
  readonly path: string
  /** Path with the query. */
  readonly url: string
  readonly authorization: string | undefined
  readonly idempotencyKey: string | undefined
  readonly contentType: string
  readonly body: Uint8Array
  /** Aborted when the caller disconnects. */
  readonly signal: AbortSignal
}

/** The response to a caller. */
export interface CallerRes {
  /** Whether the response head was sent. */
  readonly started: boolean
  start (status: number, contentType: string, headers?: Readonly<Record<string, string>>): void
  write (text: string): void
  /** `undefined` while the buffer has room, else resolves once the caller has read enough or has disconnected. */
  drained? (): Promise<void> | undefined
  end (body?: Uint8Array | string): void
}

/** The configuration in force, and whether its keys are fresh. */
export interface ConfigView {
  /** `undefined` before the first configuration. */
  current (): ConfigIndex | undefined
  /** False when the withdrawal of a key may not have arrived yet. */
  keysAreFresh (): boolean
  /** True when a key was withdrawn and the configuration in force does not show it yet. */
  isWithdrawn (keyId: string): boolean
}

/** An entry recommended to callers. */
export interface AdvisedEntry {
  readonly address: string
  readonly domain: string
  readonly weight: number
}

/** Which entries callers should use. */
export interface EntryAdvice {
  readonly entries: readonly AdvisedEntry[]
  readonly ttl_ms: number
}

/** Recommends entries to callers. */
export interface EntryAdvisor {
  advise (domain: string | undefined): EntryAdvice
}

/** Dependencies of the request handler. */
export interface EntryDeps {
  readonly env: Env
  readonly log: Logger
  readonly metrics: Metrics
  readonly incarnation: string
  readonly config: ConfigView
  readonly admission: Admission
  readonly router: Router
  readonly claims: Claims
  readonly targets: TargetClients
  readonly usage: UsageCounters
  readonly advisor: EntryAdvisor
}
