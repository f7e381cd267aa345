/** Interfaces for remote procedure calls between peers: entries or gateways. */
import type { Result } from '../errors/index.js'

/** Why a call to a peer failed. */
export interface PeerError {
  readonly kind: 'unreachable' | 'refused' | 'timeout' | 'failed'
  readonly message: string
}

/** Calls other peers by peer address (`ip:port`). */
export interface PeerClient {
  /** Sends a request and waits up to `timeoutMs` for its result. */
  call<T> (address: string, method: string, params: unknown, timeoutMs: number): Promise<Result<T, PeerError>>
}

/** Handles calls of one method; the handler validates `params`. */
export type PeerHandler = (params: unknown) => Promise<unknown>

/** Receives calls of other peers. */
export interface PeerServer {
  /** Registers the handler of a method; each method has one handler. */
  handle (method: string, handler: PeerHandler): void
}

/** Client and server side of the calls. */
export interface Peers extends PeerClient, PeerServer {}
