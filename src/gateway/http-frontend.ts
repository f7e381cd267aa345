/** HTTP server for callers. */
import * as http from 'node:http'
import * as errors from '../errors/index.js'
import type * as log from '../log/index.js'
import type * as metrics from '../metrics/index.js'
import type * as serving from '../serving/index.js'
import * as resources from '../resources/index.js'
import * as sockets from '../sockets/index.js'
import type * as time from '../time/index.js'
import type * as callerConnection from './caller-connection.js'
import * as callerConnections from './caller-connections.js'
import type * as clientShares from './client-shares.js'
import * as connectionPolicy from './connection-policy.js'
import * as httpReply from './http-reply.js'
import * as requestBody from './request-body.js'
import type * as types from './types.js'

/** Limits while no configuration is known. */
const DEFAULT_LIMITS: serving.CallerLimits = { headerBytes: 16_384, bodyBytes: 1_048_576, headerTimeoutMs: 5_000, idleTimeoutMs: 15_000 }

/** Largest header block that the parser accepts, in bytes; the configured limit is checked after parsing. */
const PARSER_HEADER_BYTES = 65_536

/** Interval at which connections are checked for header timeouts, in ms. */
const SLOW_CALLER_CHECK_MS = 500

/** Length of the listen queue, in connections that wait to be accepted. */
const ACCEPT_BACKLOG = 1_024

/** Memory of the objects of a request, of its connection to a target, and of its attempts, in bytes. */
const REQUEST_BYTES = 48 * 1024

/** Retry-after of a request that was refused because no configuration is known yet, in ms. */
const NOT_READY_RETRY_AFTER_MS = 250

/** Time for which the rest of a refused request is read and discarded, in ms. */
const MAX_LINGER_MS = 1_000

/** Statuses of a refusal when the call may have been executed: they do not tell callers that it was not. */
const MAYBE_EXECUTED_STATUS = 502
const TIMEOUT_STATUS = 504

/** Dependencies of the HTTP frontend. */
export interface HttpFrontendDeps {
  readonly env: time.Env
  readonly protocol: types.CallerProtocol
  readonly handler: types.CallHandler
  readonly limits: () => serving.CallerLimits | undefined
  /** Name of the client account of a key; undefined when there is none. */
  readonly accountOf?: (key: string) => string | undefined
  /** Memory and descriptors; absent means those of a process whose VM is not known. */
  readonly resources?: resources.ProcessResources
  readonly log: log.Logger
  readonly metrics: metrics.Metrics
}

/** Reads requests within the limits of the configuration and writes the responses. */
export class HttpFrontend implements AsyncDisposable {
  private readonly server: http.Server
  private readonly resources: resources.ProcessResources
  private readonly connections: callerConnections.CallerConnections
  private readonly policy: connectionPolicy.ConnectionPolicy
  private closing = false
  private active = 0
  private readonly lingering = new WeakSet<http.ServerResponse>()
  private unfinished = 0

  constructor (private readonly deps: HttpFrontendDeps) {
    this.resources = deps.resources ?? resources.ofUnknownVm(deps)
    this.connections = new callerConnections.CallerConnections({
      ...deps,
      resources: this.resources,
      maxBodyBytes: () => this.limits.bodyBytes,
      outputTimeoutMs: () => this.limits.idleTimeoutMs
    })
    this.server = http.createServer({
      maxHeaderSize: PARSER_HEADER_BYTES,
      connectionsCheckingInterval: SLOW_CALLER_CHECK_MS,
      headersTimeout: DEFAULT_LIMITS.headerTimeoutMs,
      keepAliveTimeout: DEFAULT_LIMITS.idleTimeoutMs,
      requestTimeout: 0,
      noDelay: true
    }, (req, res) => { this.serve(req, res).catch((err: unknown) => this.failRequest(res, err)) })
    this.server.on('connection', (socket) => this.connections.add(socket))
    // Node's own method, which close() calls, also closes connections whose response is still buffered.
    this.server.closeIdleConnections = () => this.connections.closeIdle()
    this.policy = new connectionPolicy.ConnectionPolicy({ server: this.server, connections: this.connections, timers: deps.env.timers, log: deps.log, metrics: deps.metrics })
  }

  /** Number of requests being handled. */
  get activeRequests (): number {
    return this.active
  }

  /** Number of responses that were not written completely yet. */
  get unfinishedResponses (): number {
    return this.unfinished
  }

  /** Applies the timeouts of a new configuration. */
  applyLimits (limits: serving.CallerLimits): void {
    this.policy.applyLimits(limits)
  }

  /** Starts listening; rejects when the port cannot be bound. */
  async listen (host: string, port: number): Promise<void> {
    await sockets.listen(this.server, { host, port, backlog: ACCEPT_BACKLOG }, { timers: this.deps.env.timers, log: this.deps.log })
  }

  /** Makes each response from now on close its connection. */
  disableKeepAlive (): void {
    this.closing = true
  }

  /** Stops accepting connections and closes the idle ones. */
  stopListening (): void {
    this.server.close()
    this.server.closeIdleConnections()
  }

  /** Refuses the requests whose bodies are incomplete, as not executed. */
  refuseBodies (): void {
    this.connections.refuseBodies()
  }

  async [Symbol.asyncDispose] (): Promise<void> {
    this.policy[Symbol.dispose]()
    this.connections[Symbol.dispose]()
    this.server.close()
    this.server.closeAllConnections()
  }

  private async serve (req: http.IncomingMessage, res: http.ServerResponse): Promise<void> {
    const callerLeft = new AbortController()
    const connection = this.connections.begin(req, res, () => {
      this.unfinished--
      if (res.writableFinished || this.lingering.has(res)) return
      this.noteUnfinished(req, res)
      callerLeft.abort()
    })
    if (connection === undefined) {
      req.resume()
      return
    }
    this.policy.announce(req.socket, res)
    this.unfinished++
    this.active++
    this.resources.buffers.take(REQUEST_BYTES)
    try {
      using reader = new requestBody.RequestBody(connection.memory, this.deps.env.timers, this.limits, connection, this.accountOf)
      const isConfigured = this.deps.limits() !== undefined
      const body = this.checkHead(req) ?? await reader.read(req, res)
      if (body instanceof errors.Refusal) this.refuse(req, res, isConfigured ? body : notReady())
      else if (body !== undefined) await this.handleRequest(req, res, body, connection, callerLeft.signal)
    } finally {
      this.active--
      this.resources.buffers.releaseObjects(REQUEST_BYTES)
    }
  }

  private noteUnfinished (req: http.IncomingMessage, res: http.ServerResponse): void {
    const closedBy = closerOf(req)
    this.deps.metrics.count('godwitpoint_unfinished_responses_total', `closed_by="${closedBy}"`)
    this.deps.log.info({ id: req.headers['request-id'], closed_by: closedBy, head_sent: res.headersSent, ended: res.writableEnded, request_complete: req.complete, stopping: this.closing }, 'response_unfinished')
  }

  private async handleRequest (req: http.IncomingMessage, res: http.ServerResponse, body: Uint8Array, connection: callerConnection.CallerConnection, signal: AbortSignal): Promise<void> {
    const reply = new httpReply.HttpReply(res, () => this.closing && this.connections.closeAfter(req), (bytes) => connection.addUnread(bytes))
    const refusal = await this.deps.handler.handle(this.deps.protocol.decode(req), body, reply, signal)
    if (refusal !== undefined) this.refuse(req, res, refusal)
  }

  private get limits (): serving.CallerLimits {
    return this.deps.limits() ?? DEFAULT_LIMITS
  }

  private readonly accountOf = (req: http.IncomingMessage): clientShares.ClientShare | undefined => {
    const { key } = this.deps.protocol.decode(req)
    const account = key === undefined ? undefined : this.deps.accountOf?.(key)
    return account === undefined ? undefined : this.connections.shareOfAccount(account)
  }

  private checkHead (req: http.IncomingMessage): errors.Refusal | undefined {
    if (this.active > this.resources.limits.activeRequests || this.resources.buffers.refuses(0)) return requestBody.overloaded()
    return headerBytes(req) > this.limits.headerBytes ? new errors.Refusal('headers_too_large', { step: 'parse', ran: 'no' }) : undefined
  }

  private refuse (req: http.IncomingMessage, res: http.ServerResponse, refusal: errors.Refusal): void {
    const { ran, step, retryAfterMs } = refusal.detail
    const status = statusOf(refusal)
    this.deps.metrics.countRefusal(refusal.reason, step)
    this.deps.log.info({ id: req.headers['request-id'], status, reason: refusal.reason, ran, detail: refusal.message, retry_after_ms: retryAfterMs === undefined ? undefined : Math.round(retryAfterMs) }, 'call_refused')
    if (res.headersSent || res.destroyed) {
      httpReply.breakOff(res)
      return
    }
    const bodyPending = !req.complete
    const headers = ['content-length', '0', ...(retryAfterMs === undefined ? [] : this.deps.protocol.retryHeaders(retryAfterMs))]
    const closes = (bodyPending || this.closing) && this.connections.closeAfter(req)
    res.writeHead(status, closes ? [...headers, 'connection', 'close'] : headers)
    if (bodyPending) this.endAfterBody(req, res)
    else res.end()
  }

  /** Ends a response once the rest of the request has arrived: a connection that is closed with bytes unread is reset, which can discard the response. */
  private endAfterBody (req: http.IncomingMessage, res: http.ServerResponse): void {
    this.lingering.add(res)
    res.flushHeaders()
    const timer = this.deps.env.timers.after(MAX_LINGER_MS, () => res.end())
    req.on('end', () => res.end())
    res.on('close', () => timer[Symbol.dispose]())
    // Counts the chunks of a body that is not read.
    const connection = this.connections.get(req.socket)
    req.on('data', () => connection?.noteBodyChunk(0))
  }

  private failRequest (res: http.ServerResponse, err: unknown): void {
    this.deps.log.error({ err }, 'request_failed')
    this.deps.metrics.countRefusal('internal_error', 'settle')
    if (!res.headersSent && !res.destroyed) {
      res.writeHead(MAYBE_EXECUTED_STATUS, ['content-length', '0'])
      res.end()
    } else httpReply.breakOff(res)
  }
}

function statusOf (refusal: errors.Refusal): number {
  if (refusal.detail.ran === 'no') return refusal.reason === 'deadline_exceeded' ? 503 : refusal.status
  return refusal.reason === 'deadline_exceeded' ? TIMEOUT_STATUS : MAYBE_EXECUTED_STATUS
}

/** Which end closed the connection of a response that was not written completely. */
function closerOf (req: http.IncomingMessage): 'caller' | 'gateway' {
  return req.socket.readableEnded || req.socket.errored !== null ? 'caller' : 'gateway'
}

/** Refusal while the limits of the configuration are unknown; the default ones are no reason for a final refusal. */
function notReady (): errors.Refusal {
  return new errors.Refusal('entry_not_ready', { step: 'parse', ran: 'no', retryAfterMs: NOT_READY_RETRY_AFTER_MS })
}

function headerBytes (req: http.IncomingMessage): number {
  let bytes = (req.url?.length ?? 0) + (req.method?.length ?? 0)
  for (const text of req.rawHeaders) bytes += text.length + 2
  return bytes
}
