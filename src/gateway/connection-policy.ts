/** Timeouts and protocol errors on the connections of callers. */
import type * as http from 'node:http'
import type * as net from 'node:net'
import type * as stream from 'node:stream'
import type * as errors from '../errors/index.js'
import type * as log from '../log/index.js'
import type * as metrics from '../metrics/index.js'
import type * as serving from '../serving/index.js'
import type * as time from '../time/index.js'
import type * as callerConnections from './caller-connections.js'

/** Error code of Node when a request head was not complete within the header timeout. */
const HEAD_TIMEOUT_CODE = 'ERR_HTTP_REQUEST_TIMEOUT'

/** Error codes when the caller closed the connection, also in the middle of a request. */
const CALLER_LEFT_CODES: ReadonlySet<string> = new Set(['ECONNRESET', 'EPIPE', 'HPE_INVALID_EOF_STATE'])

/** Time for which a caller may keep a connection open that the gateway has ended, in ms. */
const CLOSE_WAIT_MS = 1_000

const MALFORMED_STATUS_LINE = '400 Bad Request'
const NO_TUNNELS_STATUS_LINE = '405 Method Not Allowed'
const HEAD_TIMEOUT_STATUS_LINE = '408 Request Timeout'

/** Dependencies of the connections. */
export interface ConnectionPolicyDeps {
  readonly server: http.Server
  readonly connections: Pick<callerConnections.CallerConnections, 'get'>
  readonly timers: time.Timers
  readonly log: log.Logger
  readonly metrics: metrics.Metrics
}

/** Decides when the connections of an HTTP server are closed that are idle, too slow or malformed. */
export class ConnectionPolicy implements Disposable {
  private lowering: Disposable | undefined
  private hasLimits = false

  constructor (private readonly deps: ConnectionPolicyDeps) {
    deps.server.on('clientError', (err, socket) => this.handleError(err, socket))
    deps.server.on('connect', (_req, socket) => this.refuseTunnel(socket))
    deps.server.on('timeout', (socket) => this.closeUnlessUsed(socket))
  }

  /**
   * Applies the timeouts of a new configuration. A shorter header timeout is applied once the previous one has passed: a head
   * that began under the previous one may take that time, and Node applies one timeout to all connections.
   */
  applyLimits (limits: serving.CallerLimits): void {
    const { server, timers } = this.deps
    server.keepAliveTimeout = limits.idleTimeoutMs
    this.lowering?.[Symbol.dispose]()
    this.lowering = undefined
    if (!this.hasLimits || limits.headerTimeoutMs >= server.headersTimeout) server.headersTimeout = limits.headerTimeoutMs
    else this.lowering = timers.after(server.headersTimeout, () => { server.headersTimeout = limits.headerTimeoutMs })
    this.hasLimits = true
  }

  /** Notes a response that is to be written on a connection; its Keep-Alive header announces the present idle timeout. */
  announce (socket: net.Socket, res: http.ServerResponse): void {
    const announcedMs = this.deps.server.keepAliveTimeout
    // Node has just set the idle timeout of the configuration in force now, which may be shorter than the announced one.
    res.on('finish', () => {
      const shortenedMs = announcedMs - this.deps.server.keepAliveTimeout
      if (socket.timeout !== undefined && socket.timeout > 0 && shortenedMs > 0) socket.setTimeout(socket.timeout + shortenedMs)
    })
  }

  [Symbol.dispose] (): void {
    this.lowering?.[Symbol.dispose]()
  }

  private handleError (err: NodeJS.ErrnoException, socket: stream.Duplex): void {
    const { connections, log, metrics } = this.deps
    metrics.count('godwitpoint_client_errors_total')
    const connection = connections.get(socket as net.Socket)
    const open = connection?.openResponses() ?? []
    const last = open.at(-1)
    if (!socket.writable || CALLER_LEFT_CODES.has(err.code ?? '')) {
      socket.destroy()
      return
    }
    log.info({ code: err.code, open_responses: open.length }, 'caller_connection_failed')
    connection?.discardInput()
    if (last !== undefined && last.req.complete) this.endAfter(last, socket)
    else if (last?.headersSent === true || open.length > 1) socket.destroy()
    else if (err.code !== HEAD_TIMEOUT_CODE) this.refuse(socket, MALFORMED_STATUS_LINE, 'malformed_request')
    else if ((socket as net.Socket).bytesRead === 0) socket.destroy()
    else this.refuse(socket, HEAD_TIMEOUT_STATUS_LINE, 'request_too_slow')
  }

  private refuse (socket: stream.Duplex, statusLine: string, reason: errors.RefusalReason): void {
    this.deps.metrics.countRefusal(reason, 'parse')
    this.end(socket, `HTTP/1.1 ${statusLine}\r\nConnection: close\r\nContent-Length: 0\r\n\r\n`)
  }

  /** Ends a connection, and closes it when the caller does not. */
  private end (socket: stream.Duplex, text = ''): void {
    socket.end(text)
    const timer = this.deps.timers.after(CLOSE_WAIT_MS, () => socket.destroy())
    socket.on('close', () => timer[Symbol.dispose]())
  }

  /** Lets the responses to complete requests end; nothing more is read from the connection. */
  private endAfter (last: http.ServerResponse, socket: stream.Duplex): void {
    last.shouldKeepAlive = false
    last.on('close', () => this.end(socket))
  }

  /** Answers a CONNECT request, for which Node would close the connection; it has removed its own listeners from the socket. */
  private refuseTunnel (socket: stream.Duplex): void {
    socket.on('error', (err: NodeJS.ErrnoException) => this.deps.log.info({ code: err.code, open_responses: 0 }, 'caller_connection_failed'))
    // Node has taken its parser from the connection.
    const connection = this.deps.connections.get(socket as net.Socket)
    connection?.discardInput()
    if ((connection?.openResponses().length ?? 0) > 0) socket.destroy()
    else this.refuse(socket, NO_TUNNELS_STATUS_LINE, 'method_not_allowed')
  }

  /** Closes an idle connection unless bytes have arrived that this process has not read yet: timers run before reads. */
  private closeUnlessUsed (socket: net.Socket): void {
    const { bytesRead } = socket
    setImmediate(() => {
      if (socket.bytesRead === bytesRead) socket.destroy()
    })
  }
}
