/** One HTTP connection to a target. */
import type * as net from 'node:net'
import * as undici from 'undici'
import * as sockets from '../sockets/index.js'
import type * as time from '../time/index.js'
import type * as types from './types.js'

/** Timeout for opening a connection, in ms; targets are in the same region. */
const CONNECT_TIMEOUT_MS = 700

/** Keep-alive timeout that is assumed when the target reports none, in ms. */
const DEFAULT_KEEP_ALIVE_MS = 1_500

/** Share of the keep-alive timeout within which an idle connection is used; smaller for non-idempotent requests. */
const KEEP_ALIVE_SHARE = 0.7
const KEEP_ALIVE_SHARE_NON_IDEMPOTENT = 0.4

/** Largest response header block accepted from a target, in bytes. */
const MAX_HEADER_BYTES = 64 * 1024

/**
 * Most bytes that may arrive without any of a body: heads, interim responses, chunk extensions and trailers. Larger than a
 * read of the socket, 64 KiB, as what was read and not parsed yet counts. The limit of undici alone counts names and values,
 * and allows tens of thousands of short fields, which take seconds when several targets send them at once.
 */
const MAX_BYTES_WITHOUT_BODY = 128 * 1024

/** Lowest status of HTTP, and lowest status of a response that is not interim. */
const MIN_STATUS = 100
const MIN_FINAL_STATUS = 200

/** A connection that carries one request at a time; it is closed on any error. */
export class Connection {
  private readonly client: undici.Client
  private idleSince = 0
  private keepAliveMs = DEFAULT_KEEP_ALIVE_MS
  private connected = false
  private used = false
  private socket: net.Socket | undefined
  /** Bytes received up to the last part of a body, or the last request. */
  private bytesUpToBody = 0
  closed = false

  constructor (readonly address: string, private readonly clock: time.Clock, private readonly onClosed: (connection: Connection) => void, private readonly onReceived?: (bytes: number) => void) {
    this.client = new undici.Client(`http://${address}`, {
      pipelining: 1,
      connect: this.createConnector(),
      keepAliveTimeout: 60_000,
      headersTimeout: 0,
      bodyTimeout: 0,
      maxHeaderSize: MAX_HEADER_BYTES
    })
    this.client.on('connect', () => { this.connected = true })
    this.client.on('disconnect', () => this.close())
    this.client.on('connectionError', () => this.close())
  }

  private createConnector (): undici.buildConnector.connector {
    const connect = sockets.createConnector(CONNECT_TIMEOUT_MS)
    return (opts, callback) => connect(opts, (...args) => {
      const socket = args[1]
      socket?.on('readable', () => this.checkBytesWithoutBody(socket))
      this.socket = socket ?? undefined
      callback(...args)
    })
  }

  // Called before undici reads, as its listener is added later.
  private checkBytesWithoutBody (socket: net.Socket): void {
    if (socket.bytesRead - this.bytesUpToBody > MAX_BYTES_WITHOUT_BODY) socket.destroy(new Error('too many bytes without a body'))
  }

  /** Notes that a request is being written, or that `receivedBytes` of a body have arrived. */
  noteProgress (receivedBytes = 0): void {
    if (receivedBytes > 0) this.onReceived?.(receivedBytes)
    this.bytesUpToBody = this.socket?.bytesRead ?? 0
  }

  /** Whether a request may be sent on this idle connection; `maxIdleMs` is the longest idle time known to be safe. */
  isUsable (nonIdempotent: boolean, maxIdleMs: number): boolean {
    const share = nonIdempotent ? KEEP_ALIVE_SHARE_NON_IDEMPOTENT : KEEP_ALIVE_SHARE
    return !this.closed && this.connected && this.clock.now() - this.idleSince < Math.min(maxIdleMs, this.keepAliveMs * share)
  }

  /** Sends a request; `handler` receives the response or the error. */
  send (req: types.SendReq, handler: types.ResponseHandler, events: ExchangeEvents): types.ActiveRequest {
    const idledMs = this.used ? this.clock.now() - this.idleSince : undefined
    this.used = true
    const exchange = new Exchange(this, handler, events, idledMs)
    const opts = {
      method: req.method as undici.Dispatcher.HttpMethod,
      path: req.path,
      headers: [...req.headers],
      body: req.body.length === 0 ? null : req.body,
      // undici treats some methods as idempotent and would resend them by itself.
      idempotent: false,
      reset: false
    }
    exchange.dispatch(this.client, opts)
    return exchange
  }

  /** Notes the end of a response, and the keep-alive timeout that the target reported, in ms. */
  noteIdle (reportedKeepAliveMs: number | undefined): void {
    this.idleSince = this.clock.now()
    if (reportedKeepAliveMs !== undefined) this.keepAliveMs = reportedKeepAliveMs
  }

  /** Closes the socket. */
  close (): void {
    if (this.closed) return
    this.closed = true
    this.client.destroy().catch(() => { /* the client is already closed */ })
    this.onClosed(this)
  }
}

/** Callbacks that report the state of the connection after an exchange. */
export interface ExchangeEvents {
  /** The connection can carry another request. */
  readonly onIdle: () => void
  /** The connection was lost before the response began, after it had been idle for `idledMs`. */
  readonly onLostAfterIdle: (idledMs: number) => void
}

/** One request and its response on a connection. */
class Exchange implements types.ActiveRequest, undici.Dispatcher.DispatchHandler {
  written = false
  private controller: undici.Dispatcher.DispatchController | undefined
  private finished = false
  private mustClose = false
  private keepAliveMs: number | undefined
  private responseStarted = false
  private dispatching = false

  constructor (private readonly connection: Connection, private readonly handler: types.ResponseHandler, private readonly events: ExchangeEvents, private readonly idledMs: number | undefined) {}

  /** Hands the request to undici, which throws or reports an error at once when it cannot be encoded. */
  dispatch (client: undici.Client, opts: undici.Dispatcher.DispatchOptions): void {
    this.dispatching = true
    try {
      client.dispatch(opts, this)
    } catch (err) {
      this.onResponseError(undefined, err as Error)
    } finally {
      this.dispatching = false
    }
  }

  abort (): void {
    if (this.finished) return
    this.finished = true
    this.connection.close()
  }

  get reused (): boolean {
    return this.idledMs !== undefined
  }

  pause (): void {
    this.controller?.pause()
  }

  resume (): void {
    this.controller?.resume()
  }

  onRequestStart (controller: undici.Dispatcher.DispatchController): void {
    // undici may start a request again on a new connection, which would send it twice.
    if (this.written) controller.abort(new Error('connection lost; the request is not resent'))
    this.controller = controller
    if (!this.finished && this.handler.mayWrite?.() === false) {
      controller.abort(new Error('withdrawn before it was written'))
      return
    }
    this.connection.noteProgress()
    this.written = true
  }

  onResponseStart (controller: undici.Dispatcher.DispatchController, status: number, headers: types.ResponseHeaders): void {
    this.responseStarted = true
    // undici accepts such a head and fails an assertion at the end of its message.
    if (status < MIN_STATUS) controller.abort(new Error(`malformed status ${status}`))
    if (this.finished || status < MIN_FINAL_STATUS) return
    this.mustClose = /\bclose\b/i.test(joinValues(headers.connection) ?? '')
    this.keepAliveMs = parseKeepAliveMs(joinValues(headers['keep-alive']))
    this.handler.onHead(status, headers)
  }

  onResponseData (_controller: undici.Dispatcher.DispatchController, chunk: Buffer): void {
    // undici passes on an empty chunk after a pause; the response must not be paused again there, after its last read.
    if (chunk.length === 0) return
    this.connection.noteProgress(chunk.length)
    if (!this.finished) this.handler.onData(chunk)
  }

  onResponseEnd (): void {
    if (this.finished) return
    this.finished = true
    this.connection.noteIdle(this.keepAliveMs)
    if (this.mustClose) this.connection.close()
    else this.events.onIdle()
    this.handler.onEnd()
  }

  onResponseError (_controller: undici.Dispatcher.DispatchController | undefined, err: Error): void {
    if (this.dispatching) {
      // The sender gets the request before its error.
      queueMicrotask(() => this.onResponseError(undefined, err))
      return
    }
    if (this.finished) return
    this.finished = true
    this.connection.close()
    if (this.idledMs !== undefined && this.written && !this.responseStarted) this.events.onLostAfterIdle(this.idledMs)
    this.handler.onError({ written: this.written, message: err.message })
  }
}

function parseKeepAliveMs (value: string | undefined): number | undefined {
  const seconds = /timeout=(\d+)/i.exec(value ?? '')?.[1]
  return seconds === undefined ? undefined : Number(seconds) * 1_000
}

function joinValues (value: string | string[] | undefined): string | undefined {
  return Array.isArray(value) ? value.join(',') : value
}
