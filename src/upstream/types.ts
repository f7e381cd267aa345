/** Sending a request to a target over HTTP and receiving its answer in pieces. */

/** A request ready to be written. */
export interface SendReq {
  /** `ip:port` of the target. */
  readonly address: string
  readonly method: string
  /** Path and query. */
  readonly path: string
  /** Names and values in turn. */
  readonly headers: readonly string[]
  readonly body: Uint8Array
  /** Whether a broken connection leaves open if the request ran; such a request avoids connections that may be about to close. */
  readonly nonIdempotent: boolean
}

/** Headers of an answer by lower-case name. */
export type ResponseHeaders = Readonly<Record<string, string | string[] | undefined>>

/** Why a send failed. Without `written` no byte reached the target. */
export interface SendError {
  readonly written: boolean
  readonly message: string
}

/** Receives a response as it arrives; nothing follows `onEnd` or `onError`. */
export interface ResponseHandler {
  onHead (status: number, headers: ResponseHeaders): void
  onData (chunk: Uint8Array): void
  onEnd (): void
  onError (err: SendError): void
}

/** A send under way. */
export interface ActiveRequest {
  /** Closes the connection, so that the target stops work; the receiver hears nothing further. */
  abort (): void
  /** Pauses or resumes reading from the target. */
  pause (): void
  resume (): void
  /** Whether the request may have reached the target. */
  readonly written: boolean
}

/** Sends requests to targets. */
export interface Upstream {
  send (req: SendReq, receiver: ResponseHandler): ActiveRequest
}
