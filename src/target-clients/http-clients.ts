/** HTTP clients for all targets of a process. */
import * as undici from 'undici'
import * as sockets from '../sockets/index.js'
import { CONNECT_TIMEOUT_MS, ConnectionPools, MAX_CONNECTIONS_PER_TARGET } from './connection-pools.js'
import { HttpEngine } from './http-engine.js'
import { HttpPlainTarget } from './http-plain.js'
import type { Engine, PlainTarget, TargetClients } from './types.js'

/** HTTP clients whose connection pools are shared by all requests of a process. */
export class HttpTargetClients implements TargetClients, AsyncDisposable {
  private readonly enginePools = new ConnectionPools()

  private readonly keepAlivePools = new ConnectionPools()

  // A non-idempotent call uses a connection of its own: it must not be lost in a pooled connection that stalled
  // while idle.
  private readonly freshConnections = new undici.Agent({
    connections: MAX_CONNECTIONS_PER_TARGET, pipelining: 0, connect: sockets.createConnector(CONNECT_TIMEOUT_MS)
  })

  engine (url: string): Engine {
    return new HttpEngine(url, this.enginePools)
  }

  plain (url: string): PlainTarget {
    return new HttpPlainTarget(url, this.freshConnections, this.keepAlivePools)
  }

  async [Symbol.asyncDispose] (): Promise<void> {
    await Promise.all([this.enginePools[Symbol.asyncDispose](), this.freshConnections.destroy(), this.keepAlivePools[Symbol.asyncDispose]()])
  }
}
