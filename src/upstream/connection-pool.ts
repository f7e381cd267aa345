/** Pool of keep-alive connections to targets. */
import type * as metrics from '../metrics/index.js'
import type * as time from '../time/index.js'
import * as connection from './connection.js'
import * as idleLimits from './idle-limits.js'
import type * as types from './types.js'

/** Maximum number of idle connections per target. */
const MAX_IDLE_PER_TARGET = 32

/** Interval at which idle connections that are no longer usable are closed, in ms. */
const SWEEP_INTERVAL_MS = 1_000

/** Dependencies of a connection pool. */
export interface ConnectionPoolDeps {
  readonly env: time.Env
  readonly metrics: metrics.Metrics
  /** Open connections to all targets together; absent means that they are not limited. */
  readonly maxConnections?: number | undefined
  /** Called with the bytes of each piece of a response. */
  readonly onReceived?: ((bytes: number) => void) | undefined
}

/** Sends each request on the most recently used idle connection, or on a new one. */
export class ConnectionPool implements types.Upstream, Disposable {
  private readonly idle = new Map<string, connection.Connection[]>()
  private readonly openCounts = new Map<string, number>()
  private open = 0
  private readonly idleLimits: idleLimits.IdleLimits
  private readonly sweeper: Disposable

  constructor (private readonly deps: ConnectionPoolDeps) {
    this.idleLimits = new idleLimits.IdleLimits(deps.env.clock)
    this.sweeper = deps.env.timers.every(SWEEP_INTERVAL_MS, () => this.closeExpired())
  }

  send (req: types.SendReq, handler: types.ResponseHandler): types.ActiveRequest {
    const conn = this.takeIdle(req) ?? this.connect(req.address)
    if (conn instanceof Error) return new UnsentRequest(handler, conn)
    req.usedConnections?.add(conn)
    return conn.send(req, handler, { onIdle: () => this.addIdle(conn), onLostAfterIdle: (idledMs) => this.noteLoss(conn, idledMs) })
  }

  /** Closes the idle connections to an address whose target was removed, is unreachable or has stalled. */
  dropIdleConnections (address: string): void {
    for (const conn of this.idle.get(address)?.slice() ?? []) conn.close()
  }

  [Symbol.dispose] (): void {
    this.sweeper[Symbol.dispose]()
    for (const address of [...this.idle.keys()]) this.dropIdleConnections(address)
  }

  private openCount (address: string): number {
    return this.openCounts.get(address) ?? 0
  }

  private takeIdle ({ address, nonIdempotent, usedConnections }: types.SendReq): connection.Connection | undefined {
    const idle = this.idle.get(address) ?? []
    const conn = idle.slice().reverse().find((candidate) => usedConnections?.has(candidate) !== true)
    if (conn === undefined) return undefined
    idle.splice(idle.lastIndexOf(conn), 1)
    if (conn.isUsable(nonIdempotent, this.idleLimits.maxIdleMs(address, nonIdempotent))) return conn
    if (conn.isUsable(false, this.idleLimits.maxIdleMs(address, false))) idle.push(conn)
    else conn.close()
    return undefined
  }

  private noteLoss (conn: connection.Connection, idledMs: number): void {
    this.idleLimits.noteLoss(conn.address, idledMs)
    this.deps.metrics.count('godwitpoint_rested_connections_lost_total')
  }

  /** A new connection, or the error for an address that is malformed. */
  private connect (address: string): connection.Connection | Error {
    if (!this.makeRoom()) {
      this.deps.metrics.count('godwitpoint_target_connections_refused_total')
      return new Error('no descriptor for a connection')
    }
    try {
      const conn = new connection.Connection(address, this.deps.env.clock, (closed) => this.noteClosed(closed), this.deps.onReceived)
      this.openCounts.set(address, this.openCount(address) + 1)
      this.open++
      this.deps.metrics.count('godwitpoint_target_connections_total')
      return conn
    } catch (err) {
      this.deps.metrics.count('godwitpoint_malformed_target_addresses_total')
      return err instanceof Error ? err : new Error(String(err))
    }
  }

  /** Closes an idle connection when as many are open as may be; false when all are in use. */
  private makeRoom (): boolean {
    if (this.open < (this.deps.maxConnections ?? Infinity)) return true
    for (const [oldest] of this.idle.values()) {
      if (oldest === undefined) continue
      oldest.close()
      return true
    }
    return false
  }

  private addIdle (conn: connection.Connection): void {
    const idle = this.idle.get(conn.address) ?? []
    this.idle.set(conn.address, idle)
    if (conn.closed || idle.length >= MAX_IDLE_PER_TARGET) conn.close()
    else idle.push(conn)
  }

  private noteClosed (conn: connection.Connection): void {
    this.open--
    const remaining = this.openCount(conn.address) - 1
    if (remaining > 0) this.openCounts.set(conn.address, remaining)
    else this.openCounts.delete(conn.address)
    const idle = this.idle.get(conn.address)
    const index = idle?.indexOf(conn) ?? -1
    if (index >= 0) idle!.splice(index, 1)
    if (idle?.length === 0) this.idle.delete(conn.address)
  }

  private closeExpired (): void {
    for (const idle of [...this.idle.values()]) {
      for (const conn of idle.filter((candidate) => !candidate.isUsable(false, this.idleLimits.maxIdleMs(candidate.address, false)))) conn.close()
    }
  }
}

/** A request for which there is no connection; its error is reported after the sender has got it. */
class UnsentRequest implements types.ActiveRequest {
  readonly written = false
  readonly reused = false
  private aborted = false

  constructor (handler: types.ResponseHandler, err: Error) {
    queueMicrotask(() => { if (!this.aborted) handler.onError({ written: false, message: err.message }) })
  }

  abort (): void {
    this.aborted = true
  }

  pause (): void {}

  resume (): void {}
}
