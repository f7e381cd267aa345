/** HTTP clients of all targets of a process. */
import * as undici from 'undici'
import { CONNECT_TIMEOUT_MS, Connections, CONNECTIONS_PER_TARGET } from './connections.js'
import { HttpEngine } from './http-engine.js'
import { HttpPlainTarget } from './http-plain.js'
import type { Engine, PlainTarget, TargetClients } from './types.js'

/** Connection pools shared by all requests of a process. */
export class HttpTargetClients implements TargetClients, AsyncDisposable {
  private readonly engines = new Connections()

  private readonly kept = new Connections()

  // A call that may not be repeated uses a connection of its own: it must not be lost in a pooled connection
  // that went silent while idle.
  private readonly plains = new undici.Agent({
    connections: CONNECTIONS_PER_TARGET, pipelining: 0, connect: { timeout: CONNECT_TIMEOUT_MS }
  })

  engine (url: string): Engine {
    return new HttpEngine(url, this.engines)
  }

  plain (url: string): PlainTarget {
    return new HttpPlainTarget(url, this.plains, this.kept)
  }

  async [Symbol.asyncDispose] (): Promise<void> {
    await Promise.all([this.engines[Symbol.asyncDispose](), this.plains.destroy(), this.kept[Symbol.asyncDispose]()])
  }
}
