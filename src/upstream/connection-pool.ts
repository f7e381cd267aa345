/** Kept connections to targets. */
import type * as metrics from '../metrics/index.js'
import type * as time from '../time/index.js'
import * as connection from './connection.js'
import * as restLimits from './rest-limits.js'
import type * as types from './types.js'

/** Idle connections kept for each target. */
const MAX_IDLE = 32

/** Time between two looks for idle connections that are too old, in ms. */
const SWEEP_MS = 1_000

/** What a pool needs from its surroundings. */
export interface ConnectionPoolDeps {
  readonly env: time.Env
  readonly metrics: metrics.Metrics
}

/** Sends each request on an idle connection, the last used first, or on a new one. */
export class ConnectionPool implements types.Upstream, Disposable {
  private readonly idle = new Map<string, connection.Connection[]>()
  private readonly open = new Map<string, number>()
  private readonly rests: restLimits.RestLimits
  private readonly sweeper: Disposable

  constructor (private readonly deps: ConnectionPoolDeps) {
    this.rests = new restLimits.RestLimits(deps.env.clock)
    this.sweeper = deps.env.timers.every(SWEEP_MS, () => this.sweep())
  }

  send (req: types.SendReq, receiver: types.ResponseHandler): types.ActiveRequest {
    const conn = this.take(req.address, req.nonIdempotent) ?? this.connect(req.address)
    return conn.send(req, receiver, { idle: () => this.put(conn), lostAfterRest: (restedMs) => this.lost(conn, restedMs) })
  }

  /** Closes the idle connections to an address; its target is gone or has gone silent. */
  drop (address: string): void {
    for (const conn of this.idle.get(address)?.slice() ?? []) conn.close()
  }

  [Symbol.dispose] (): void {
    this.sweeper[Symbol.dispose]()
    for (const address of [...this.idle.keys()]) this.drop(address)
  }

  private connections (address: string): number {
    return this.open.get(address) ?? 0
  }

  private take (address: string, nonIdempotent: boolean): connection.Connection | undefined {
    const idle = this.idle.get(address)
    const conn = idle?.pop()
    if (conn === undefined) return undefined
    if (conn.usable(nonIdempotent, this.rests.of(address, nonIdempotent))) return conn
    if (conn.usable(false, this.rests.of(address, false))) idle!.push(conn)
    else conn.close()
    return undefined
  }

  private lost (conn: connection.Connection, restedMs: number): void {
    this.rests.lost(conn.address, restedMs)
    this.deps.metrics.count('godwitpoint_rested_connections_lost_total')
  }

  private connect (address: string): connection.Connection {
    this.open.set(address, this.connections(address) + 1)
    this.deps.metrics.count('godwitpoint_target_connections_total')
    return new connection.Connection(address, this.deps.env.clock, (conn) => this.forget(conn))
  }

  private put (conn: connection.Connection): void {
    const idle = this.idle.get(conn.address) ?? []
    this.idle.set(conn.address, idle)
    if (conn.closed || idle.length >= MAX_IDLE) conn.close()
    else idle.push(conn)
  }

  private forget (conn: connection.Connection): void {
    const left = this.connections(conn.address) - 1
    if (left > 0) this.open.set(conn.address, left)
    else this.open.delete(conn.address)
    const idle = this.idle.get(conn.address)
    const index = idle?.indexOf(conn) ?? -1
    if (index >= 0) idle!.splice(index, 1)
    if (idle?.length === 0) this.idle.delete(conn.address)
  }

  private sweep (): void {
    for (const idle of [...this.idle.values()]) {
      for (const conn of idle.filter((one) => !one.usable(false, this.rests.of(one.address, false)))) conn.close()
    }
  }
}
