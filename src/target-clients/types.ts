/** Targets as the system uses them: model engines and plain services. */
import type { Result } from '../errors/index.js'
import type { CacheEvent, EngineOrder, EngineState, LoadReport, Piece } from '../schema/index.js'

/** Why a call to a target failed, and whether it may have run there. */
export interface TargetError {
  readonly kind: 'connect_failed' | 'not_run' | 'silent' | 'broken' | 'error' | 'cancelled'
  /** `no` only when no byte was sent, or the target states so. */
  readonly ran: 'no' | 'maybe'
  readonly message: string
}

/** A model call as an entry sends it to an engine; it never carries the caller's key. */
export interface GenerateReq {
  /** Id of this attempt, unique across entries and incarnations. */
  readonly id: string
  readonly model: string
  readonly prompt: string
  readonly maxTokens: number
  readonly priority: number
  readonly seed: number
  /** Index of the first piece wanted; above 0 when a stream is resumed. */
  readonly from: number
  /** Id of the attempt whose KV cache on this engine is to be used, when one was imported. */
  readonly kv?: string | undefined
}

/** Takes pieces of an answer as they arrive; while a returned promise waits, no more pieces are read. */
export type PieceSink = (piece: Piece) => Promise<void> | undefined | void

/** How a stream ended: whole, with the tokens of the prompt, how many of these were cached, and the pieces this attempt sent. */
export interface GenerateEnd {
  readonly promptTokens: number
  readonly cachedTokens: number
  readonly outputTokens: number
}

/** Cache events after a sequence number; `from` above the one asked for means a gap. */
export interface CacheBatch {
  readonly events: readonly CacheEvent[]
  readonly next: number
}

/** Answer to an order. */
export type OrderReply = 'accepted' | 'stale_fence' | 'busy'

/** A model engine. */
export interface Engine {
  /** Runs a model call; pieces go to `sink` in order. Aborting cancels it at the engine. */
  generate (req: GenerateReq, sink: PieceSink, signal: AbortSignal): Promise<Result<GenerateEnd, TargetError>>
  load (): Promise<Result<LoadReport, TargetError>>
  cacheEvents (since: number): Promise<Result<CacheBatch, TargetError>>
  /** Computes the prompt's KV cache under id `req.id` and keeps it for export. */
  prefill (req: GenerateReq, signal: AbortSignal): Promise<Result<GenerateEnd, TargetError>>
  /** Fetches the KV cache `id` from the engine at `sourceUrl`. */
  importKv (id: string, sourceUrl: string, signal: AbortSignal): Promise<Result<void, TargetError>>
  state (): Promise<Result<EngineState, TargetError>>
  order (id: string, fence: number, order: EngineOrder): Promise<Result<OrderReply, TargetError>>
}

/** A call to a plain service; headers hold nothing that identifies the caller's key. */
export interface PlainReq {
  readonly id: string
  readonly method: string
  readonly path: string
  readonly contentType: string
  readonly body: Uint8Array
  /** Whether the call may use a connection that is kept open; else it gets a new one. */
  readonly keepAlive?: boolean
}

/** A plain service's whole answer. */
export interface PlainRes {
  readonly status: number
  readonly contentType: string
  readonly body: Uint8Array
}

/** An instance of a plain service. */
export interface PlainTarget {
  call (req: PlainReq, signal: AbortSignal): Promise<Result<PlainRes, TargetError>>
  /** Tells that kept connections have gone silent; new ones are opened from now on. */
  dropIdleConnections? (): void
}

/** Gives the client of a target by its URL. */
export interface TargetClients {
  engine (url: string): Engine
  plain (url: string): PlainTarget
}
