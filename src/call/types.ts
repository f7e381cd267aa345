/** A call on its way from a caller to a target, without the words of any protocol. */
import type * as errors from '../errors/index.js'
import type * as serving from '../serving/index.js'
import type * as upstream from '../upstream/index.js'

/** A part of a prompt that requests may share. */
export interface PromptSegment {
  readonly id: string
  readonly tokens: number
}

/** What a model call asks for. */
export interface Prompt {
  readonly promptTokens: number
  /** Most tokens of output. */
  readonly outputTokens: number
  /** Parts in order; the last one is the request's own. */
  readonly segments: readonly PromptSegment[]
}

/** A caller's request. */
export interface Call {
  /** Id of this attempt of the caller. */
  readonly id: string
  readonly method: string
  /** Path and query, as received. */
  readonly path: string
  /** Headers that go on unchanged: names and values in turn. */
  readonly headers: readonly string[]
  readonly body: Uint8Array
  readonly route: serving.ServingRoute
  readonly service: serving.ServingService
  /** Absent on open routes. */
  readonly account?: string | undefined
  /** 0 is the most urgent. */
  readonly priority: number
  readonly arrivedAt: number
  /** When the caller or the route's timeout ends the call, on the steady clock. */
  readonly deadlineAt: number
  readonly prompt?: Prompt | undefined
  /** Event after which the caller wants the stream to go on. */
  readonly resumeAfter?: string | undefined
  /** Says why the call must not be sent now: its key was withdrawn, or cannot be proved current. */
  readonly checkAuthorization: () => errors.Refusal | undefined
}

/** A prompt that another target has read and whose cache a target is to fetch. */
export interface KvSource {
  /** `ip:port` of the target that has read the prompt. */
  readonly address: string
  readonly handle: string
}

/** How a call is sent to one target. */
export interface SendPlan {
  readonly target: serving.TargetRecord
  /** Time left, in ms. */
  readonly remainingMs: number
  /** Event after which the stream goes on. */
  readonly resumeAfter?: string | undefined
  /** Rank for the target: the call's own, or a later one when the call is not expected to be in time. */
  readonly priority: number
  /** Only reads the prompt, and keeps its cache for a hand-over. */
  readonly prefillOnly?: boolean | undefined
  readonly kvSource?: KvSource | undefined
}

/** Load that a target states in an answer. */
export interface ReportedLoad {
  readonly running: number
  readonly waiting: number
  readonly slots: number
}

/** The head of a target's answer. */
export interface ResponseHead {
  readonly status: number
  /** Id of the request that is answered. */
  readonly id?: string | undefined
  /** Whether the target states that it did not run the request. */
  readonly notExecuted: boolean
  /** Whether another target answers at the address. */
  readonly wrongTarget: boolean
  /** Whether the body is encoded, which no caller asked for. */
  readonly encoded: boolean
  readonly load?: ReportedLoad | undefined
  /** Headers for the caller: names and values in turn. */
  readonly headers: readonly string[]
}

/** Translates between calls and what targets speak. */
export interface TargetProtocol {
  /** Headers of a send: names and values in turn. */
  encodeHeaders (call: Call, plan: SendPlan): readonly string[]
  decodeHead (status: number, headers: upstream.ResponseHeaders): ResponseHead
  /** The handle in the answer to a send with `prefillOnly`; undefined when there is none. */
  decodeKvHandle (body: Uint8Array): string | undefined
  /** Tells a target that a handle is not needed. */
  encodeKvRelease (handle: string): Pick<upstream.SendReq, 'method' | 'path'>
}

/** The answer to a caller. */
export interface Reply {
  readonly started: boolean
  /** Sends a whole answer. */
  send (head: ResponseHead, body: Uint8Array): void
  /** Starts a streamed answer. */
  start (head: ResponseHead): void
  /** Sends more of a stream; false while the caller does not keep up. */
  write (chunk: Uint8Array): boolean
  /** Ends a stream as complete. */
  end (): void
  /** Closes the connection so that the answer cannot look complete. */
  abort (): void
  /** Calls `fn` when the caller can take more. */
  onDrain (fn: () => void): void
}

/** A question for the changes of what an engine keeps. */
export type CacheQuery = Pick<upstream.SendReq, 'method' | 'path' | 'headers' | 'nonIdempotent'>

/** A part of prompts and how many of its tokens an engine keeps now. */
export interface CacheChange {
  readonly id: string
  readonly tokens: number
}

/** Changes since an earlier answer. */
export interface CacheChanges {
  /** Changes when the engine starts again. */
  readonly epoch: number | string
  /** Where the next question goes on. */
  readonly next: number
  readonly changes: readonly CacheChange[]
}

/** How engines are asked what they keep. */
export interface CacheProtocol {
  encodeCacheQuery (target: serving.TargetRecord, since: number, waitMs: number): CacheQuery
  /** Undefined when the body holds no changes that can be read. */
  decodeCacheChanges (body: Uint8Array): CacheChanges | undefined
}
