/** The connections of callers within the memory and the descriptors of the process. */
import type * as http from 'node:http'
import type * as net from 'node:net'
import type * as log from '../log/index.js'
import type * as metrics from '../metrics/index.js'
import type * as resources from '../resources/index.js'
import type * as time from '../time/index.js'
import * as callerConnection from './caller-connection.js'
import * as clientShares from './client-shares.js'
import * as inputTurns from './input-turns.js'

/** Share of all buffers that one connection may hold. */
const CONNECTION_SHARE = 0.25

/** Share of all connections that one address may have. */
const ADDRESS_CONNECTION_SHARE = 0.75

/** Bytes that one connection may hold beside a body of the largest size: input that waits, and output. */
const BESIDE_BODY_BYTES = 256 * 1024

/** Interval at which connections whose output is not read are looked for, in ms. */
const STALL_CHECK_MS = 1_000

/** Why a connection was closed, or made to release its memory. */
export type DropReason = 'memory' | 'address_memory' | 'account_memory' | 'output_not_read' | 'descriptors' | 'address_descriptors'

/** Dependencies of the connections. */
export interface CallerConnectionsDeps {
  readonly resources: resources.ProcessResources
  readonly env: Pick<time.Env, 'clock' | 'timers'>
  /** Largest body of the configuration, in bytes. */
  readonly maxBodyBytes: () => number
  /** Time for which output may stay unread, in ms. */
  readonly outputTimeoutMs: () => number
  readonly log: log.Logger
  readonly metrics: Pick<metrics.Metrics, 'count'>
}

/** Tracks the connections of callers, and drops those that progress least when memory or descriptors are short. */
export class CallerConnections implements Disposable {
  private readonly connections = new Map<net.Socket, callerConnection.CallerConnection>()
  private readonly shares: clientShares.ClientShares
  /** Connections that hold memory which they can be made to release; those that progressed least recently come first. */
  private readonly holding = new Set<callerConnection.CallerConnection>()
  private readonly turns = new inputTurns.InputTurns()
  private readonly stallCheck: Disposable

  constructor (private readonly deps: CallerConnectionsDeps) {
    this.shares = new clientShares.ClientShares(deps.resources.buffers)
    deps.resources.buffers.dropBuffers = (bytes) => this.dropHolding(bytes, 'memory')
    this.stallCheck = deps.env.timers.every(STALL_CHECK_MS, () => this.dropStalledOutput())
  }

  /** Tracks a connection until it closes; closes it, or another one, when there are too many. */
  add (socket: net.Socket): void {
    const { remoteAddress = '' } = socket
    const share = this.shares.ofAddress(remoteAddress)
    if (!this.makeRoom(share)) {
      this.noteDrop('descriptors', remoteAddress)
      socket.resetAndDestroy()
      return
    }
    const connection = this.createConnection(socket, this.shares.connect(remoteAddress))
    this.connections.set(socket, connection)
    socket.once('close', () => this.remove(connection))
  }

  /** The connection of a socket; undefined once it has closed. */
  get (socket: net.Socket): callerConnection.CallerConnection | undefined {
    return this.connections.get(socket)
  }

  /** The share of a client account. */
  shareOfAccount (account: string): clientShares.ClientShare {
    return this.shares.ofAccount(account)
  }

  /**
   * Notes a request; calls `onEnd` once, when the response was written completely or the connection has closed. Returns
   * undefined when an earlier response closes the connection: the request cannot have a response and must not be handled.
   */
  begin (req: http.IncomingMessage, res: http.ServerResponse, onEnd: () => void): callerConnection.CallerConnection | undefined {
    const connection = this.connections.get(req.socket)
    if (connection === undefined || connection.closing) return undefined
    connection.begin(req, res, onEnd)
    return connection
  }

  /**
   * Whether the response to `req` may announce that it closes the connection: no further request was read on it, and no earlier
   * response is pending, since the caller may send more until it learns of the close. A request whose body is not read on
   * always closes it. No request is accepted on the connection from then on.
   */
  closeAfter (req: http.IncomingMessage): boolean {
    return this.connections.get(req.socket)?.closeAfter(req) ?? true
  }

  /** Closes the connections whose responses were all written and on which no further request has begun to arrive. */
  closeIdle (): void {
    for (const connection of this.connections.values()) connection.closeIfIdle()
  }

  /** Refuses the requests whose bodies are incomplete. */
  refuseBodies (): void {
    for (const connection of this.connections.values()) connection.refuseBody()
  }

  [Symbol.dispose] (): void {
    this.stallCheck[Symbol.dispose]()
  }

  private createConnection (socket: net.Socket, address: clientShares.ClientShare): callerConnection.CallerConnection {
    const { resources, env } = this.deps
    return new callerConnection.CallerConnection(socket, {
      address,
      maxBytes: Math.max(resources.buffers.maxBytes * CONNECTION_SHARE, this.deps.maxBodyBytes() + BESIDE_BODY_BYTES),
      turns: this.turns,
      now: () => env.clock.now(),
      onReceived: (bytes) => resources.noteReceived(bytes),
      onHolding: (connection) => this.noteHolding(connection),
      onAccountGrown: (account) => this.checkShare(account),
      onProgress: (connection) => this.noteProgress(connection),
      onReleased: (connection) => this.holding.delete(connection)
    })
  }

  private remove (connection: callerConnection.CallerConnection): void {
    this.connections.delete(connection.socket)
    connection.close()
    this.shares.disconnect(connection.address)
  }

  private noteHolding (connection: callerConnection.CallerConnection): void {
    if (!connection.dropped && !this.holding.has(connection)) {
      connection.progressAt = this.deps.env.clock.now()
      this.holding.add(connection)
    }
    this.checkShare(connection.address)
  }

  private checkShare (share: clientShares.ClientShare): void {
    if (share.excessBytes === 0 || share.reclaiming) return
    share.reclaiming = true
    // Whoever holds bytes may be parsing them now.
    queueMicrotask(() => {
      share.reclaiming = false
      this.dropHolding(share.excessBytes, `${share.kind}_memory`, share)
    })
  }

  private noteProgress (connection: callerConnection.CallerConnection): void {
    if (!this.holding.delete(connection)) return
    connection.progressAt = this.deps.env.clock.now()
    this.holding.add(connection)
  }

  /** Drops connections until `bytes` are released; those that count in `share` only if it is given. */
  private dropHolding (bytes: number, reason: DropReason, share?: clientShares.ClientShare): void {
    let left = bytes
    for (const connection of this.holding) {
      if (left <= 0) return
      if (share !== undefined && !connection.countsIn(share)) continue
      left -= connection.memory.heldBytes
      this.drop(connection, reason)
    }
  }

  private dropStalledOutput (): void {
    const stalledSince = this.deps.env.clock.now() - this.deps.outputTimeoutMs()
    for (const connection of this.holding) {
      if (connection.progressAt > stalledSince) return
      if (connection.hasUnreadOutput) this.drop(connection, 'output_not_read')
    }
  }

  private drop (connection: callerConnection.CallerConnection, reason: DropReason): void {
    this.holding.delete(connection)
    this.noteDrop(reason, connection.address.name, connection)
    connection.drop()
  }

  private noteDrop (reason: DropReason, address: string, connection?: callerConnection.CallerConnection): void {
    const { env, log, metrics } = this.deps
    metrics.count('godwitpoint_callers_dropped_total', `reason="${reason}"`)
    log.info({
      reason,
      address,
      address_connections: this.shares.ofAddress(address)?.connections,
      held_bytes: connection?.memory.heldBytes,
      without_progress_ms: connection === undefined ? undefined : Math.round(env.clock.now() - connection.progressAt)
    }, 'caller_dropped')
  }

  /** Makes room for one more connection of a client; false when all others are in use. */
  private makeRoom (share: clientShares.ClientShare | undefined): boolean {
    const { callerConnections } = this.deps.resources.limits
    const isLarge = share !== undefined && share.connections >= callerConnections * ADDRESS_CONNECTION_SHARE
    if (!isLarge && this.connections.size < callerConnections) return true
    const replaced = this.longestUnused(isLarge ? share : undefined)
    if (replaced === undefined) return false
    this.noteDrop(isLarge ? 'address_descriptors' : 'descriptors', replaced.address.name, replaced)
    replaced.socket.resetAndDestroy()
    return true
  }

  /** The connection without a request in progress that has received nothing for the longest time; one that never had a request first. */
  private longestUnused (share: clientShares.ClientShare | undefined): callerConnection.CallerConnection | undefined {
    let found: callerConnection.CallerConnection | undefined
    for (const connection of this.connections.values()) {
      if ((share !== undefined && connection.address !== share) || !connection.idle || connection.socket.destroyed) continue
      if (found === undefined || isEvictedBefore(connection, found)) found = connection
    }
    return found
  }
}

function isEvictedBefore (one: callerConnection.CallerConnection, other: callerConnection.CallerConnection): boolean {
  return one.unused === other.unused ? one.receivedAt < other.receivedAt : one.unused
}
