/** HTTP server of a stand-in engine. */
import type * as http from 'node:http'
import * as undici from 'undici'
import * as z from 'zod'
import type { Result } from '../errors/index.js'
import { EngineOrder } from '../schema/index.js'
import type { GenerateEnd, GenerateReq, PieceSink, TargetError } from '../target-clients/index.js'
import type { Timers } from '../time/index.js'
import type { StandinEngine } from './engine.js'
import { listenOnLoopback, readJson, sendJson, type StandinServer } from './http-common.js'

/** Interval of keep-alive comments on a stream, in ms. */
const KEEP_ALIVE_MS = 500

const GenerateWire = z.object({
  request_id: z.string(),
  model: z.string(),
  prompt: z.string(),
  max_tokens: z.int(),
  priority: z.int(),
  seed: z.int(),
  from: z.int(),
  kv: z.string().optional()
})
const ImportWire = z.object({ id: z.string(), source: z.string() })
const OrderWire = z.object({ id: z.string(), fence: z.int(), order: EngineOrder })

/** Starts the HTTP server of an engine on loopback. */
export async function serveEngine (engine: StandinEngine, timers: Timers, port = 0): Promise<StandinServer> {
  return await listenOnLoopback(async (req, res, url) => {
    if (engine.faults.crashed) {
      req.socket.destroy()
      return
    }
    switch (`${req.method} ${url.pathname}`) {
      case 'POST /v1/completions': return await serveStream(engine, timers, req, res, async (call, sink, signal) => await engine.generate(call, sink, signal))
      case 'POST /v1/prefill': return await serveStream(engine, timers, req, res, async (call, _sink, signal) => await engine.prefill(call, signal))
      case 'POST /v1/kv/import': return await handleImportKv(engine, req, res)
      case 'GET /v1/kv': return sendJson(res, 200, { tokens: engine.exportedTokens(url.searchParams.get('id') ?? '') ?? 0 })
      case 'GET /v1/load': return sendResult(res, await engine.load(), (report) => report)
      case 'GET /v1/cache/events': return sendResult(res, await engine.cacheEvents(Number(url.searchParams.get('since') ?? 0)), (batch) => batch)
      case 'GET /v1/state': return sendResult(res, await engine.state(), (state) => state)
      case 'POST /v1/orders': return await handleOrder(engine, req, res)
      default: sendJson(res, 404, { message: 'unknown path' })
    }
  }, port)
}

type StreamCall = (req: GenerateReq, sink: PieceSink, signal: AbortSignal) => Promise<Result<GenerateEnd, TargetError>>

async function serveStream (engine: StandinEngine, timers: Timers, req: http.IncomingMessage, res: http.ServerResponse, call: StreamCall): Promise<void> {
  const body = GenerateWire.parse(await readJson(req))
  const abort = new AbortController()
  res.once('close', () => abort.abort())
  const sendHead = (): void => {
    if (!res.headersSent) res.writeHead(200, { 'content-type': 'text/event-stream' })
  }
  using _keepAlive = timers.every(KEEP_ALIVE_MS, () => {
    if (engine.faults.stalled) return
    sendHead()
    res.write(': keep-alive\n\n')
  })
  const outcome = await call(toGenerateReq(body), (chunk) => { sendHead(); res.write(`data: ${JSON.stringify(chunk)}\n\n`) }, abort.signal)
  if (outcome.err) {
    if (res.headersSent || outcome.val.ran === 'maybe') res.destroy()
    else sendJson(res, 503, { error: { ran: 'no', message: outcome.val.message } })
    return
  }
  sendHead()
  const { promptTokens, cachedTokens, outputTokens } = outcome.val
  res.end(`data: ${JSON.stringify({ end: { prompt_tokens: promptTokens, cached_tokens: cachedTokens, output_tokens: outputTokens } })}\n\n`)
}

function toGenerateReq (body: z.infer<typeof GenerateWire>): GenerateReq {
  const { request_id: id, model, prompt, max_tokens: maxTokens, priority, seed, from, kv } = body
  return { id, model, prompt, maxTokens, priority, seed, from, kv }
}

async function handleImportKv (engine: StandinEngine, req: http.IncomingMessage, res: http.ServerResponse): Promise<void> {
  const { id, source } = ImportWire.parse(await readJson(req))
  const exportRes = await undici.request(`${source}/v1/kv?id=${encodeURIComponent(id)}`)
  const { tokens } = z.object({ tokens: z.number() }).parse(await exportRes.body.json())
  sendResult(res, await engine.importKv(id, String(tokens), new AbortController().signal), () => ({}))
}

async function handleOrder (engine: StandinEngine, req: http.IncomingMessage, res: http.ServerResponse): Promise<void> {
  const body = OrderWire.parse(await readJson(req))
  sendResult(res, await engine.order(body.id, body.fence, body.order), (reply) => ({ reply }))
}

function sendResult<T> (res: http.ServerResponse, outcome: Result<T, TargetError>, toBody: (value: T) => unknown): void {
  if (outcome.ok) sendJson(res, 200, toBody(outcome.val))
  else sendJson(res, 503, { error: { ran: outcome.val.ran, message: outcome.val.message } })
}
