/** Types of a call between caller and target, independent of any wire protocol. */
import type * as errors from '../errors/index.js'
import type * as serving from '../serving/index.js'
import type * as upstream from '../upstream/index.js'

/** A segment of a prompt prefix, which requests with the same prefix share. */
export interface PromptSegment {
  /** Equal ids mean equal text. */
  readonly id: string
  /** Length in tokens. */
  readonly tokens: number
}

/** Size of a model call, as the caller declares it. */
export interface Prompt {
  /** Tokens of the complete prompt. */
  readonly promptTokens: number
  /** Maximum number of output tokens. */
  readonly outputTokens: number
  /** Prompt segments in order; the last one is the request's own. */
  readonly segments: readonly PromptSegment[]
}

/** Credit that a call has taken from the quota of its account. */
export interface CallCredit {
  /** Whether the call may still be sent; borrowed credit expires. */
  readonly isValid: boolean
  /** Notes that the call is about to be written to a target; false when its credit has expired and nothing may be sent. */
  mayWrite (): boolean
  /** Notes that a send which `mayWrite` allowed was not executed. */
  noteNotExecuted (): void
}

/** A caller's request. */
export interface Call {
  /** Request id that the caller chose for this attempt; empty when it sent none. */
  readonly id: string
  /** HTTP method. */
  readonly method: string
  /** Path and query, as received. */
  readonly path: string
  /** Headers that are forwarded unchanged: alternating names and values. */
  readonly headers: readonly string[]
  /** Complete request body; empty when there is none. */
  readonly body: Uint8Array
  readonly route: serving.ServingRoute
  /** Service that was picked for this call from those of the route. */
  readonly service: serving.ServingService
  /** Version of the configuration under which the call was admitted. */
  readonly configVersion: number
  /** Name of the client account; absent on open routes. */
  readonly account?: string | undefined
  /** 0 is the most urgent. */
  readonly priority: number
  /** When the request arrived, in ms on the monotonic clock. */
  readonly arrivedAt: number
  /** When the call ends at the latest: by its own wait, the route's timeout or the end of this process; ms, monotonic. */
  readonly deadlineAt: number
  /** Absent when the caller declared no token counts. */
  readonly prompt?: Prompt | undefined
  /** Id of the last event that the caller has received of a stream to be resumed; absent for a new call. */
  readonly resumeAfter?: string | undefined
  /**
   * Rechecks the caller's key before each send. Returns the refusal when the key was withdrawn or the configuration
   * is too old to tell; undefined when the call may be sent.
   */
  readonly checkAuthorization: () => errors.Refusal | undefined
  /** Absent when the account has no quota. */
  readonly credit?: CallCredit | undefined
}

/** Source of a KV transfer: the target that prefilled a prompt, and the handle of its KV cache there. */
export interface KvSource {
  /** `ip:port` of the target that prefilled the prompt. */
  readonly address: string
  /** Opaque; valid at that target only. */
  readonly handle: string
}

/** How a call is sent to one target. */
export interface SendPlan {
  readonly target: serving.TargetRecord
  /** Time to the call's deadline, in ms. */
  readonly remainingMs: number
  /** Id of the event after which the target resumes the stream; absent for a send from the start. */
  readonly resumeAfter?: string | undefined
  /** Priority sent to the target: the call's own, or a deferred one when the call is expected to miss its objective. */
  readonly priority: number
  /** Only prefills the prompt and holds its KV cache for a transfer; absent means false. */
  readonly prefillOnly?: boolean | undefined
  /** Where the target fetches the prompt's KV cache; absent when it prefills the prompt itself. */
  readonly kvSource?: KvSource | undefined
  /** `ip:port` of a target from which it first fetches the segments that it has not cached itself; absent for none. */
  readonly fetchFrom?: string | undefined
}

/** Load that a target reports in a response. */
export interface ReportedLoad {
  /** Requests that execute now. */
  readonly running: number
  /** Requests in the target's queue. */
  readonly waiting: number
  /** Requests that the target executes at once. */
  readonly slots: number
  /** How long work takes there at the moment: 1 is normal, 2 means twice as long; absent when not reported. */
  readonly workFactor?: number | undefined
}

/** The head of a target's response. */
export interface ResponseHead {
  /** HTTP status. */
  readonly status: number
  /** Id of the request that this responds to; absent when the target sent none. */
  readonly id?: string | undefined
  /** Whether the target reports that it did not execute the request. */
  readonly notExecuted: boolean
  /** Whether another target now uses the address. */
  readonly wrongTarget: boolean
  /** Whether the body has a content encoding, although no caller requests one. */
  readonly encoded: boolean
  /** Whether the target reports that it is leaving; absent means false. */
  readonly leaving?: boolean | undefined
  /** Time for which the target, which rejects the request, wants no further one from this gateway, in ms; absent for none. */
  readonly retryAfterMs?: number | undefined
  /** Absent when the target reported none, or it cannot be decoded. */
  readonly load?: ReportedLoad | undefined
  /** Headers for the caller: alternating names and values. */
  readonly headers: readonly string[]
}

/** Translates between calls and the protocol of the targets. */
export interface TargetProtocol {
  /** Headers of a send: alternating names and values. */
  encodeHeaders (call: Call, plan: SendPlan): readonly string[]
  /** Decodes a response head; `headers` are keyed by lower-case name. */
  decodeHead (status: number, headers: upstream.ResponseHeaders): ResponseHead
  /** The KV handle in the response to a send with `prefillOnly`; undefined when there is none. */
  decodeKvHandle (body: Uint8Array): string | undefined
  /** The request that makes a target release a KV handle. */
  encodeKvRelease (handle: string): Pick<upstream.SendReq, 'method' | 'path'>
}

/** The response to a caller. */
export interface Reply {
  /** Whether the head was sent. */
  readonly started: boolean
  /** Sends a complete response; throws when a head was sent. */
  send (head: ResponseHead, body: Uint8Array): void
  /** Sends the head of a streamed response; throws when a head was sent. */
  start (head: ResponseHead): void
  /** Sends a chunk of a stream; false while the caller reads too slowly and output is buffered. */
  write (chunk: Uint8Array): boolean
  /** Ends a stream as complete. */
  end (): void
  /** Closes the connection so that the response cannot look complete. */
  abort (): void
  /** Calls `fn` once the buffered output was sent. */
  onDrain (fn: () => void): void
}

/** Request for the changes of an engine's KV cache. */
export type CacheQuery = Pick<upstream.SendReq, 'method' | 'path' | 'headers' | 'nonIdempotent'>

/** A changed prompt segment in an engine's KV cache. */
export interface CacheChange {
  /** Id of the segment. */
  readonly id: string
  /** Tokens of the segment that are cached now; 0 when none are. */
  readonly tokens: number
}

/** Cache changes since a position. */
export interface CacheChanges {
  /** Changes when the engine restarts. */
  readonly epoch: number | string
  /** Position from which the next request continues. */
  readonly next: number
  readonly changes: readonly CacheChange[]
}

/** Requests and responses about the KV caches of engines. */
export interface CacheProtocol {
  /** Request for the changes since a position; the engine waits up to `waitMs` for the first one. */
  encodeCacheQuery (target: serving.TargetRecord, since: number, waitMs: number): CacheQuery
  /** Load that the response reports; undefined when there is none, or it is malformed. */
  decodeLoad (headers: upstream.ResponseHeaders): ReportedLoad | undefined
  /** Undefined when the body cannot be decoded. */
  decodeCacheChanges (body: Uint8Array): CacheChanges | undefined
}
