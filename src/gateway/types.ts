/** Interface between the gateway and the protocol of its callers. */
import type * as http from 'node:http'
import type * as calls from '../call/index.js'
import type * as errors from '../errors/index.js'

/** A caller's request, decoded from its method, path and headers. */
export interface CallerReq {
  readonly id: string
  readonly method: string
  /** Path and query, as received. */
  readonly path: string
  readonly host: string
  readonly key?: string | undefined
  /** Time that the caller waits for the response, in ms. */
  readonly waitMs?: number | undefined
  readonly prompt?: calls.Prompt | undefined
  readonly resumeAfter?: string | undefined
  /** Headers that are forwarded unchanged: names and values alternate. */
  readonly headers: readonly string[]
}

/** Translates between callers' HTTP requests and calls. */
export interface CallerProtocol {
  decode (req: http.IncomingMessage): CallerReq
  /** Headers that tell a caller after how many ms to retry. */
  retryHeaders (retryAfterMs: number): readonly string[]
}

/** Handles a decoded request. */
export interface CallHandler {
  /** Delivers a response to `reply`, or returns the refusal; `signal` is aborted when the caller disconnects. */
  handle (req: CallerReq, body: Uint8Array, reply: calls.Reply, signal: AbortSignal): Promise<errors.Refusal | undefined>
}
