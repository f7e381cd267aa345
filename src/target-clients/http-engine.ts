/** HTTP client for model engines. */
import * as undici from 'undici'
import * as z from 'zod'
import * as bytes from '../bytes/index.js'
import { Err, Ok, type Result } from '../errors/index.js'
import { CacheEvent, EngineState, LoadReport, Piece, type EngineOrder } from '../schema/index.js'
import * as validation from '../validation/index.js'
import type { ConnectionPools } from './connection-pools.js'
import { statusError, toTargetError } from './http-errors.js'
import { readEvents } from './sse.js'
import type { CacheBatch, Engine, GenerateEnd, GenerateReq, OrderReply, PieceSink, TargetError } from './types.js'

/** Time without a byte after which a stream counts as stalled, in ms; engines send a keep-alive every 500 ms. */
export const STALL_TIMEOUT_MS = 2_000

/** Timeout of a short call, in ms. */
const SHORT_CALL_TIMEOUT_MS = 1_000

/** Largest response of a short call, in bytes. */
const MAX_TEXT_BYTES = 4 * 1024 * 1024

const StreamEnd = z.object({ prompt_tokens: z.number(), cached_tokens: z.number(), output_tokens: z.number() })
const StreamEvent = z.union([Piece, z.object({ end: StreamEnd })])
const CacheEventsRes = z.object({ events: validation.list(CacheEvent), next: z.int() })
const OrderRes = z.object({ reply: z.enum(['accepted', 'stale_fence', 'busy']) })

/** Client for one engine at `url`. */
export class HttpEngine implements Engine {
  constructor (private readonly url: string, private readonly pools: ConnectionPools) {}

  async generate (req: GenerateReq, sink: PieceSink, signal: AbortSignal): Promise<Result<GenerateEnd, TargetError>> {
    return await this.requestStream('/v1/completions', req, sink, signal)
  }

  async prefill (req: GenerateReq, signal: AbortSignal): Promise<Result<GenerateEnd, TargetError>> {
    return await this.requestStream('/v1/prefill', req, () => {}, signal)
  }

  async importKv (id: string, sourceUrl: string, signal: AbortSignal): Promise<Result<void, TargetError>> {
    const response = await this.requestJson('POST', '/v1/kv/import', z.object({}), { id, source: sourceUrl }, signal)
    return response.map(() => undefined)
  }

  async load (): Promise<Result<LoadReport, TargetError>> {
    return await this.requestJson('GET', '/v1/load', LoadReport)
  }

  async cacheEvents (since: number): Promise<Result<CacheBatch, TargetError>> {
    return await this.requestJson('GET', `/v1/cache/events?since=${since}`, CacheEventsRes)
  }

  async state (): Promise<Result<EngineState, TargetError>> {
    return await this.requestJson('GET', '/v1/state', EngineState)
  }

  async order (id: string, fence: number, order: EngineOrder): Promise<Result<OrderReply, TargetError>> {
    const response = await this.requestJson('POST', '/v1/orders', OrderRes, { id, fence, order })
    return response.map((body) => body.reply)
  }

  private async requestStream (path: string, req: GenerateReq, sink: PieceSink, signal: AbortSignal): Promise<Result<GenerateEnd, TargetError>> {
    const dispatcher = this.pools.poolFor(this.url)
    try {
      const res = await undici.request(this.url + path, {
        method: 'POST',
        dispatcher,
        signal,
        headers: { 'content-type': 'application/json' },
        body: JSON.stringify(toWire(req)),
        headersTimeout: STALL_TIMEOUT_MS,
        bodyTimeout: STALL_TIMEOUT_MS
      })
      if (res.statusCode !== 200) return Err(statusError(res.statusCode, await readText(res.body), this.url))
      return await this.readStream(res.body, sink, signal)
    } catch (err) {
      return Err(this.handleFailure(err, dispatcher))
    }
  }

  private handleFailure (err: unknown, dispatcher: undici.Dispatcher): TargetError {
    const failure = toTargetError(err, this.url)
    if (failure.kind === 'silent') this.pools.replacePool(this.url, dispatcher)
    return failure
  }

  private async readStream (body: AsyncIterable<Uint8Array>, sink: PieceSink, signal: AbortSignal): Promise<Result<GenerateEnd, TargetError>> {
    for await (const data of readEvents(body)) {
      const event = StreamEvent.parse(JSON.parse(data))
      if ('end' in event) {
        return Ok({ promptTokens: event.end.prompt_tokens, cachedTokens: event.end.cached_tokens, outputTokens: event.end.output_tokens })
      }
      if (signal.aborted) continue
      const backpressure = sink(event)
      if (backpressure !== undefined) await backpressure
    }
    return Err({ kind: 'broken', ran: 'maybe', message: `${this.url}: stream ended before the answer did` })
  }

  private async requestJson<T> (method: 'GET' | 'POST', path: string, schema: z.ZodType<T>, body?: unknown, signal?: AbortSignal): Promise<Result<T, TargetError>> {
    const dispatcher = this.pools.poolFor(this.url)
    try {
      const res = await undici.request(this.url + path, {
        method,
        dispatcher,
        signal: signal ?? null,
        headers: { 'content-type': 'application/json' },
        body: body === undefined ? null : JSON.stringify(body),
        headersTimeout: SHORT_CALL_TIMEOUT_MS,
        bodyTimeout: SHORT_CALL_TIMEOUT_MS
      })
      const text = await readText(res.body)
      if (res.statusCode !== 200) return Err(statusError(res.statusCode, text, this.url))
      return Ok(schema.parse(JSON.parse(text)))
    } catch (err) {
      return Err(this.handleFailure(err, dispatcher))
    }
  }
}

async function readText (body: AsyncIterable<Uint8Array>): Promise<string> {
  return (await bytes.readAll(body, MAX_TEXT_BYTES)).toString('utf8')
}

function toWire (req: GenerateReq): object {
  const { id, model, prompt, maxTokens, priority, seed, from, kv } = req
  return { request_id: id, model, prompt, max_tokens: maxTokens, priority, seed, from, kv, stream: true }
}
