/** One connection to a target. */
import type * as net from 'node:net'
import type * as time from '../time/index.js'
import * as undici from 'undici'
import type * as types from './types.js'

/** Time allowed to open a connection, in ms; targets are in the same region. */
const CONNECT_TIMEOUT_MS = 700

/** Idle time after which a connection is not used when the target states none, in ms. */
const DEFAULT_IDLE_MS = 1_500

/** Part of the stated idle time for which a connection is used. */
const IDLE_SHARE = 0.7
const IDLE_SHARE_NON_IDEMPOTENT = 0.4

/** Largest header block accepted from a target, in bytes. */
const MAX_HEADER_BYTES = 64 * 1024

/** A connection that carries one request at a time; it is given up when anything on it goes wrong. */
export class Connection {
  private readonly client: undici.Client
  private idleSince = 0
  private idleMs = DEFAULT_IDLE_MS
  private connected = false
  private used = false
  closed = false
  /** Whether the connection was reset; undici takes a reset as the end of an answer that has no length. */
  reset = false
  /** Whether the answer under way has no length and ends with the connection. */
  endsAnswer = false

  constructor (readonly address: string, private readonly clock: time.Clock, private readonly onClosed: (connection: Connection) => void) {
    this.client = new undici.Client(`http://${address}`, {
      pipelining: 1,
      connect: this.connector(),
      keepAliveTimeout: 60_000,
      headersTimeout: 0,
      bodyTimeout: 0,
      maxHeaderSize: MAX_HEADER_BYTES
    })
    this.client.on('connect', () => { this.connected = true })
    this.client.on('disconnect', () => this.close())
    this.client.on('connectionError', () => this.close())
  }

  private connector (): undici.buildConnector.connector {
    const options = { timeout: CONNECT_TIMEOUT_MS, allowHalfOpen: true }
    const connect = undici.buildConnector(options)
    return (opts, callback) => connect(opts, (...args) => {
      const socket = args[1]
      socket?.once('error', () => { this.reset = true })
      socket?.once('end', () => this.probe(socket))
      callback(...args)
    })
  }

  // The event loop reports data and a reset that arrive together as data and an end. A write tells them apart: it fails
  // on a connection that was reset, and is dropped with one that has ended.
  private probe (socket: net.Socket): void {
    if (!this.endsAnswer) return
    socket.write('\r\n')
    if (socket.errored !== null) this.reset = true
  }

  /** Whether a request may still be sent on this idle connection; `limitMs` is the longest rest that is known to be safe. */
  usable (nonIdempotent: boolean, limitMs: number): boolean {
    const share = nonIdempotent ? IDLE_SHARE_NON_IDEMPOTENT : IDLE_SHARE
    return !this.closed && this.connected && this.clock.now() - this.idleSince < Math.min(limitMs, this.idleMs * share)
  }

  /** Sends a request. */
  send (req: types.SendReq, receiver: types.ResponseHandler, events: ExchangeEvents): types.ActiveRequest {
    const restedMs = this.used ? this.clock.now() - this.idleSince : undefined
    this.used = true
    const exchange = new Exchange(this, receiver, events, restedMs)
    const opts = {
      method: req.method as undici.Dispatcher.HttpMethod,
      path: req.path,
      headers: [...req.headers],
      body: req.body.length === 0 ? null : req.body,
      // undici treats some methods as idempotent and would send them again by itself.
      idempotent: false,
      reset: false
    }
    try {
      this.client.dispatch(opts, exchange)
    } catch (err) {
      exchange.onResponseError(undefined, err as Error)
    }
    return exchange
  }

  /** Notes the end of an answer and the idle time that the target stated. */
  becameIdle (statedIdleMs: number | undefined): void {
    this.idleSince = this.clock.now()
    if (statedIdleMs !== undefined) this.idleMs = statedIdleMs
  }

  /** Closes the socket. */
  close (): void {
    if (this.closed) return
    this.closed = true
    this.client.destroy().catch(() => { /* destroying a closed client has no effect */ })
    this.onClosed(this)
  }
}

/** What becomes of a connection with an exchange. */
export interface ExchangeEvents {
  /** The connection may carry another request. */
  readonly idle: () => void
  /** It was lost before a byte of the answer, after it had rested for so many ms. */
  readonly lostAfterRest: (restedMs: number) => void
}

/** A request and its answer on a connection. */
class Exchange implements types.ActiveRequest, undici.Dispatcher.DispatchHandler {
  written = false
  private controller: undici.Dispatcher.DispatchController | undefined
  private finished = false
  private mustClose = false
  private idleMs: number | undefined
  private answered = false

  constructor (private readonly connection: Connection, private readonly receiver: types.ResponseHandler, private readonly events: ExchangeEvents, private readonly restedMs: number | undefined) {}

  abort (): void {
    if (this.finished) return
    this.finished = true
    this.connection.close()
  }

  pause (): void {
    this.controller?.pause()
  }

  resume (): void {
    this.controller?.resume()
  }

  onRequestStart (controller: undici.Dispatcher.DispatchController): void {
    // A second start would send the request again on a new connection.
    if (this.written) controller.abort(new Error('the connection was lost'))
    this.controller = controller
    this.written = true
  }

  onResponseStart (_controller: undici.Dispatcher.DispatchController, status: number, headers: types.ResponseHeaders): void {
    this.answered = true
    if (this.finished || status < 200) return
    this.mustClose = /\bclose\b/i.test(single(headers.connection) ?? '')
    this.connection.endsAnswer = headers['content-length'] === undefined && headers['transfer-encoding'] === undefined
    this.idleMs = keepAliveMs(single(headers['keep-alive']))
    this.receiver.onHead(status, headers)
  }

  onResponseData (_controller: undici.Dispatcher.DispatchController, chunk: Buffer): void {
    if (!this.finished) this.receiver.onData(chunk)
  }

  onResponseEnd (): void {
    if (this.finished) return
    if (this.connection.reset) {
      this.onResponseError(undefined, new Error('connection reset'))
      return
    }
    this.finished = true
    this.connection.becameIdle(this.idleMs)
    if (this.mustClose) this.connection.close()
    else this.events.idle()
    this.receiver.onEnd()
  }

  onResponseError (_controller: undici.Dispatcher.DispatchController | undefined, err: Error): void {
    if (this.finished) return
    this.finished = true
    this.connection.close()
    if (this.restedMs !== undefined && this.written && !this.answered) this.events.lostAfterRest(this.restedMs)
    this.receiver.onError({ written: this.written, message: err.message })
  }
}

function keepAliveMs (value: string | undefined): number | undefined {
  const seconds = /timeout=(\d+)/i.exec(value ?? '')?.[1]
  return seconds === undefined ? undefined : Number(seconds) * 1_000
}

function single (value: string | string[] | undefined): string | undefined {
  return Array.isArray(value) ? value.join(',') : value
}
