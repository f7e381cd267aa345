/** What a gateway needs from the protocol that its callers speak. */
import type * as http from 'node:http'
import type * as calls from '../call/index.js'
import type * as errors from '../errors/index.js'

/** A caller's request as decoded from its head. */
export interface CallerReq {
  readonly id: string
  readonly method: string
  /** Path and query, as received. */
  readonly path: string
  readonly host: string
  readonly key?: string | undefined
  /** Time that the caller will wait, in ms. */
  readonly waitMs?: number | undefined
  readonly prompt?: calls.Prompt | undefined
  readonly resumeAfter?: string | undefined
  /** Headers that go on unchanged: names and values in turn. */
  readonly headers: readonly string[]
}

/** Translates between callers' HTTP requests and calls. */
export interface CallerProtocol {
  decode (req: http.IncomingMessage): CallerReq
  /** Headers that tell a caller when to come back. */
  retryHeaders (retryAfterMs: number): readonly string[]
}

/** What becomes of a decoded request. */
export interface CallHandler {
  /** Delivers an answer to `reply`, or returns why there is none. */
  handle (req: CallerReq, body: Uint8Array, reply: calls.Reply, signal: AbortSignal): Promise<errors.Refusal | undefined>
}
