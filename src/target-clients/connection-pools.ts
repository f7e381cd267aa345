/** Connections to engines, one pool for each engine, replaced when a connection goes silent. */
import * as undici from 'undici'

/** Time allowed to open a connection, in ms. */
export const CONNECT_TIMEOUT_MS = 1_000

/** Idle connections are closed after this long, in ms, so that few go silent unnoticed. */
const KEEP_ALIVE_TIMEOUT_MS = 4_000

/** Connections kept to one target. */
export const MAX_CONNECTIONS_PER_TARGET = 256

/** Engines whose pools are kept; the least recently used go first. */
const MAX_POOLS = 4_096

/** Pools by engine URL. */
export class ConnectionPools implements AsyncDisposable {
  private readonly pools = new Map<string, undici.Pool>()
  private readonly closing = new Set<undici.Pool>()

  /** The pool for new requests to an engine. */
  poolFor (url: string): undici.Pool {
    const pool = this.pools.get(url) ?? new undici.Pool(url, {
      connections: MAX_CONNECTIONS_PER_TARGET, pipelining: 1, keepAliveTimeout: KEEP_ALIVE_TIMEOUT_MS, connect: { timeout: CONNECT_TIMEOUT_MS }
    })
    this.pools.delete(url)
    this.pools.set(url, pool)
    if (this.pools.size > MAX_POOLS) this.retire(this.pools.keys().next().value!)
    return pool
  }

  /**
   * Opens new connections from now on when one of `pool` went silent: its idle ones may have gone silent with
   * it, for instance when a switch lost its state. Requests that run on the old pool end there.
   */
  replacePool (url: string, pool: undici.Dispatcher): void {
    if (this.pools.get(url) === pool) this.retire(url)
  }

  async [Symbol.asyncDispose] (): Promise<void> {
    await Promise.all([...this.pools.values(), ...this.closing].map(async (pool) => await pool.destroy()))
  }

  private retire (url: string): void {
    const pool = this.pools.get(url)
    if (pool === undefined) return
    this.pools.delete(url)
    this.closing.add(pool)
    pool.close().then(() => this.closing.delete(pool), () => this.closing.delete(pool))
  }
}
