/** HTTP listener for callers. */
import * as http from 'node:http'
import type * as net from 'node:net'
import type * as stream from 'node:stream'
import { Refusal } from '../errors/index.js'
import type { Timers } from '../time/index.js'
import type { RequestHandler } from './request-handler.js'
import type { CallerReq, CallerRes } from './types.js'

/** Largest request body, in bytes. */
export const MAX_BODY_BYTES = 256 * 1024

/** Largest request head, in bytes. */
const MAX_HEADER_BYTES = 16 * 1024

/** Timeout for receiving a complete request, in ms. */
const REQUEST_TIMEOUT_MS = 10_000

/** Time after which an idle connection is closed, in ms. */
const KEEP_ALIVE_TIMEOUT_MS = 5_000

/** Interval at which request timeouts are checked, in ms; Node's default is three times the request timeout. */
const TIMEOUT_CHECK_INTERVAL_MS = 1_000

/** Bytes of a response buffered for a slow caller; beyond, no more is read from the engine. */
const MAX_BUFFERED_BYTES = 64 * 1024

/** Time after which a caller that has not read a complete response is disconnected, in ms. */
const SLOW_READER_TIMEOUT_MS = 15_000

/** Maximum number of concurrent connections. */
const MAX_CONNECTIONS = 10_000

/** HTTP listener for callers; a drain lets running requests finish. */
export class CallerListener implements AsyncDisposable {
  private readonly server: http.Server
  private stopping = false

  constructor (private readonly handler: RequestHandler, private readonly timers: Timers) {
    this.server = http.createServer({
      maxHeaderSize: MAX_HEADER_BYTES,
      requestTimeout: REQUEST_TIMEOUT_MS,
      headersTimeout: REQUEST_TIMEOUT_MS,
      keepAliveTimeout: KEEP_ALIVE_TIMEOUT_MS,
      connectionsCheckingInterval: TIMEOUT_CHECK_INTERVAL_MS
    }, (req, res) => {
      this.serve(req, res).catch(() => res.destroy())
    })
    this.server.on('clientError', (err: NodeJS.ErrnoException, socket) => this.refuseUnparsed(err, socket))
    this.server.maxConnections = MAX_CONNECTIONS
  }

  /** Starts listening; resolves with the port. */
  async listen (host: string, port: number): Promise<number> {
    await new Promise<void>((resolve, reject) => {
      this.server.once('error', reject)
      this.server.listen(port, host, resolve)
    })
    return (this.server.address() as net.AddressInfo).port
  }

  /** Stops accepting connections and resolves once all running requests have finished. */
  async drain (): Promise<void> {
    this.stopping = true
    const closed = new Promise<void>((resolve) => { this.server.close(() => resolve()) })
    this.server.closeIdleConnections()
    await closed
  }

  async [Symbol.asyncDispose] (): Promise<void> {
    const drained = this.drain()
    this.server.closeAllConnections()
    await drained
  }

  /** Refuses a request that the HTTP parser could not complete. */
  private refuseUnparsed (err: NodeJS.ErrnoException, socket: stream.Duplex): void {
    if (err.code === 'ECONNRESET' || !socket.writable) {
      socket.destroy()
      return
    }
    const refusal = parserRefusal(err)
    this.handler.countRefusal(refusal)
    const body = JSON.stringify(refusal.toBody())
    const head = `HTTP/1.1 ${refusal.status} ${http.STATUS_CODES[refusal.status] ?? ''}`
    socket.end(`${head}\r\ncontent-type: application/json\r\ncontent-length: ${Buffer.byteLength(body)}\r\nconnection: close\r\n\r\n${body}`)
  }

  private async serve (req: http.IncomingMessage, res: http.ServerResponse): Promise<void> {
    const callerRes = new HttpCallerRes(res, this.timers, () => this.stopping)
    const body = await readBody(req)
    if (body === undefined) {
      const refusal = new Refusal('request_too_large', { step: 'parse', ran: 'no', message: `the body is larger than ${MAX_BODY_BYTES} bytes` })
      this.handler.countRefusal(refusal)
      callerRes.start(refusal.status, 'application/json', { connection: 'close' })
      callerRes.end(JSON.stringify(refusal.toBody()))
      return
    }
    await this.handler.handle(toCallerReq(req, res, body), callerRes)
  }
}

/** The refusal for a request that the HTTP parser could not complete. */
function parserRefusal (err: NodeJS.ErrnoException): Refusal {
  if (err.code === 'ERR_HTTP_REQUEST_TIMEOUT') {
    return new Refusal('request_too_slow', { step: 'parse', ran: 'no', message: `the request took longer than ${REQUEST_TIMEOUT_MS} ms to arrive` })
  }
  if (err.code === 'HPE_HEADER_OVERFLOW') {
    return new Refusal('request_too_large', { step: 'parse', ran: 'no', message: `the head is larger than ${MAX_HEADER_BYTES} bytes` })
  }
  return new Refusal('malformed_request', { step: 'parse', ran: 'no' })
}

class HttpCallerRes implements CallerRes {
  constructor (private readonly res: http.ServerResponse, private readonly timers: Timers, private readonly isStopping: () => boolean) {}

  get started (): boolean {
    return this.res.headersSent
  }

  start (status: number, contentType: string, headers: Readonly<Record<string, string>> = {}): void {
    const closeHeader = this.isStopping() ? { connection: 'close' } : {}
    this.res.writeHead(status, { 'content-type': contentType, ...headers, ...closeHeader })
  }

  write (text: string): void {
    this.res.write(text)
  }

  end (body?: Uint8Array | string): void {
    const timer = this.timers.after(SLOW_READER_TIMEOUT_MS, () => this.res.destroy())
    this.res.once('close', () => timer[Symbol.dispose]())
    this.res.end(body)
  }

  drained (): Promise<void> | undefined {
    if (this.res.writableLength < MAX_BUFFERED_BYTES || this.res.destroyed) return undefined
    return new Promise((resolve) => {
      this.res.once('drain', resolve)
      this.res.once('close', resolve)
    })
  }
}

function toCallerReq (req: http.IncomingMessage, res: http.ServerResponse, body: Uint8Array): CallerReq {
  const url = req.url ?? '/'
  const abort = new AbortController()
  res.once('close', () => { if (!res.writableFinished) abort.abort() })
  return {
    method: req.method ?? 'GET',
    path: url.split('?', 1)[0] ?? '/',
    url,
    authorization: req.headers.authorization,
    idempotencyKey: header(req, 'idempotency-key'),
    contentType: req.headers['content-type'] ?? 'application/octet-stream',
    body,
    signal: abort.signal
  }
}

function header (req: http.IncomingMessage, name: string): string | undefined {
  const value = req.headers[name]
  return Array.isArray(value) ? value[0] : value
}

async function readBody (req: http.IncomingMessage): Promise<Uint8Array | undefined> {
  const chunks: Buffer[] = []
  let size = 0
  for await (const chunk of req as AsyncIterable<Buffer>) {
    size += chunk.length
    if (size > MAX_BODY_BYTES) return undefined
    chunks.push(chunk)
  }
  return Buffer.concat(chunks)
}
