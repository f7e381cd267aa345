/** Sending an HTTP request to a target and receiving the response as it arrives. */
import type * as usedConnections from './used-connections.js'

/** An encoded request. */
export interface SendReq {
  /** `ip:port` of the target. */
  readonly address: string
  readonly method: string
  /** Path and query. */
  readonly path: string
  /** Names and values alternate. */
  readonly headers: readonly string[]
  readonly body: Uint8Array
  /**
   * Whether the outcome is unknown when the connection breaks, so that the request must not be repeated then; such a
   * request avoids connections that may be about to close.
   */
  readonly nonIdempotent: boolean
  /** Connections that carried other attempts of the same call: this one is sent on another, which is added. */
  readonly usedConnections?: usedConnections.UsedConnections
}

/** Response headers by lower-case name. */
export type ResponseHeaders = Readonly<Record<string, string | string[] | undefined>>

/** Why a request failed. Unless `written`, no byte of it reached the target. */
export interface SendError {
  readonly written: boolean
  readonly message: string
}

/** Receives a response as it arrives; nothing follows `onEnd` or `onError`. */
export interface ResponseHandler {
  /**
   * Called when the connection is open, before the first byte of the request is written. Returns false to withdraw the
   * request: nothing is written, and `onError` follows.
   */
  mayWrite? (): boolean
  onHead (status: number, headers: ResponseHeaders): void
  onData (chunk: Uint8Array): void
  onEnd (): void
  onError (err: SendError): void
}

/** A request in flight. */
export interface ActiveRequest {
  /** Closes the connection, so that the target stops working; the handler is not called any more. */
  abort (): void
  /** Stops reading from the target until `resume`. */
  pause (): void
  resume (): void
  /** Whether the request may have reached the target. */
  readonly written: boolean
  /** Whether the connection carried another request before, so that a faulty target may repeat a response to that one. */
  readonly reused: boolean
}

/** Sends requests to targets. */
export interface Upstream {
  send (req: SendReq, handler: ResponseHandler): ActiveRequest
}
