/** Interfaces of target clients: model engines and plain services. */
import type { Result } from '../errors/index.js'
import type { CacheEvent, EngineOrder, EngineState, LoadReport, Piece } from '../schema/index.js'

/** Why a call to a target failed, and whether it may have been executed there. */
export interface TargetError {
  readonly kind: 'connect_failed' | 'not_run' | 'silent' | 'broken' | 'error' | 'cancelled'
  /** Whether the call was executed; `no` only when no byte was sent or the target reports so. */
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
  /** Index of the first chunk to send; above 0 when a stream is resumed. */
  readonly from: number
  /** Id of the imported KV cache on this engine that the call uses, when there is one. */
  readonly kv?: string | undefined
}

/** Receives chunks of a response as they arrive; while a returned promise is pending, no more chunks are read. */
export type PieceSink = (piece: Piece) => Promise<void> | undefined | void

/** Token counts at the end of a complete stream: the prompt, its cached part, and the chunks that this attempt sent. */
export interface GenerateEnd {
  readonly promptTokens: number
  readonly cachedTokens: number
  readonly outputTokens: number
}

/**
 * Cache events from a sequence number on, and the number to request next; a first event above the requested number
 * means a gap.
 */
export interface CacheBatch {
  readonly events: readonly CacheEvent[]
  readonly next: number
}

/** An engine's reply to an order. */
export type OrderReply = 'accepted' | 'stale_fence' | 'busy'

/** Client of a model engine. */
export interface Engine {
  /** Executes a model call and passes its chunks to `sink` in order; an abort cancels it at the engine. */
  generate (req: GenerateReq, sink: PieceSink, signal: AbortSignal): Promise<Result<GenerateEnd, TargetError>>
  load (): Promise<Result<LoadReport, TargetError>>
  cacheEvents (since: number): Promise<Result<CacheBatch, TargetError>>
  /** Prefills the prompt and holds its KV cache under the id `req.id` for a transfer. */
  prefill (req: GenerateReq, signal: AbortSignal): Promise<Result<GenerateEnd, TargetError>>
  /** Fetches the KV cache `id` from the engine at `sourceUrl`. */
  importKv (id: string, sourceUrl: string, signal: AbortSignal): Promise<Result<void, TargetError>>
  state (): Promise<Result<EngineState, TargetError>>
  order (id: string, fence: number, order: EngineOrder): Promise<Result<OrderReply, TargetError>>
}

/** A call to a plain service; it carries nothing that identifies the caller's key. */
export interface PlainReq {
  readonly id: string
  readonly method: string
  readonly path: string
  readonly contentType: string
  readonly body: Uint8Array
  /** Whether the call may use a kept-alive connection; else it gets a new one. */
  readonly keepAlive?: boolean
}

/** A complete response of a plain service. */
export interface PlainRes {
  readonly status: number
  readonly contentType: string
  readonly body: Uint8Array
}

/** Client of an instance of a plain service. */
export interface PlainTarget {
  call (req: PlainReq, signal: AbortSignal): Promise<Result<PlainRes, TargetError>>
  /** Drops kept-alive connections after one of them stalled; later calls open new ones. */
  dropIdleConnections? (): void
}

/** Provides the client of a target by its URL. */
export interface TargetClients {
  engine (url: string): Engine
  plain (url: string): PlainTarget
}
