/** Connection pools, one per target, each replaced when one of its connections stalls. */
import * as undici from 'undici'
import * as sockets from '../sockets/index.js'

/** Timeout for opening a connection, in ms. */
export const CONNECT_TIMEOUT_MS = 1_000

/** Time after which an idle connection is closed, in ms; short, so that few stall unnoticed. */
const KEEP_ALIVE_TIMEOUT_MS = 4_000

/** Maximum number of connections to one target. */
export const MAX_CONNECTIONS_PER_TARGET = 256

/** Maximum number of pools; the least recently used one is closed first. */
const MAX_POOLS = 4_096

/** Connection pools by target URL. */
export class ConnectionPools implements AsyncDisposable {
  private readonly pools = new Map<string, undici.Pool>()
  private readonly closing = new Set<undici.Pool>()

  /** The pool for new requests to a target. */
  poolFor (url: string): undici.Pool {
    const pool = this.pools.get(url) ?? new undici.Pool(url, {
      connections: MAX_CONNECTIONS_PER_TARGET, pipelining: 1, keepAliveTimeout: KEEP_ALIVE_TIMEOUT_MS, connect: sockets.createConnector(CONNECT_TIMEOUT_MS)
    })
    this.pools.delete(url)
    this.pools.set(url, pool)
    if (this.pools.size > MAX_POOLS) this.closePool(this.pools.keys().next().value!)
    return pool
  }

  /**
   * Replaces `pool` after one of its connections stalled: its idle connections may have stalled with it, for instance
   * when a switch lost its state. Running requests finish on the old pool.
   */
  replacePool (url: string, pool: undici.Dispatcher): void {
    if (this.pools.get(url) === pool) this.closePool(url)
  }

  async [Symbol.asyncDispose] (): Promise<void> {
    await Promise.all([...this.pools.values(), ...this.closing].map(async (pool) => await pool.destroy()))
  }

  private closePool (url: string): void {
    const pool = this.pools.get(url)
    if (pool === undefined) return
    this.pools.delete(url)
    this.closing.add(pool)
    pool.close().then(() => this.closing.delete(pool), () => this.closing.delete(pool))
  }
}
