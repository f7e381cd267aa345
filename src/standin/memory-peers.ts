/** In-memory peer calls between simulated processes, over links that can be partitioned. */
import { Err, Ok, type Result } from '../errors/index.js'
import type { PeerError, PeerHandler, Peers } from '../peer/index.js'
import { delay, withTimeout, type VirtualTime } from '../time/index.js'
import type { LinkedProcess } from './links.js'

/** One-way latency between failure domains, in ms. */
const ONE_WAY_LATENCY_MS = 1.5

/** Processes that can call each other by address. */
export class MemoryPeers {
  private readonly members = new Map<string, LinkedPeer>()

  constructor (private readonly time: VirtualTime) {}

  /** Adds a process; returns its peer client and server. */
  join (proc: LinkedProcess & { readonly address: string }): Peers {
    const self: LinkedPeer = { proc, handlers: new Map() }
    this.members.set(proc.address, self)
    return {
      handle: (method, handler) => { self.handlers.set(method, handler) },
      call: async <T>(address: string, method: string, params: unknown, timeoutMs: number) => {
        await proc.gate.whenRunning()
        const onTimeout = (): Result<T, PeerError> => Err({ kind: 'timeout', message: `no reply from ${address}` })
        const outcome = await withTimeout(this.time, timeoutMs, this.deliver<T>(self, address, method, params), onTimeout)
        await proc.gate.whenRunning()
        return outcome
      }
    }
  }

  private async deliver<T> (from: LinkedPeer, address: string, method: string, params: unknown): Promise<Result<T, PeerError>> {
    await delay(this.time, ONE_WAY_LATENCY_MS)
    const to = this.members.get(address)
    if (to === undefined || !to.proc.gate.alive) return Err({ kind: 'unreachable', message: `${address}: connection refused` })
    await this.whenConnected(from, to)
    await to.proc.gate.whenRunning()
    const handler = to.handlers.get(method)
    if (handler === undefined) return Err({ kind: 'refused', message: `no method ${method}` })
    // Parameters and replies are copied, as on a real connection.
    const replyText = JSON.stringify(await handler(JSON.parse(JSON.stringify(params))) ?? null)
    await to.proc.gate.whenRunning()
    await delay(this.time, ONE_WAY_LATENCY_MS)
    await this.whenConnected(from, to)
    return Ok(JSON.parse(replyText) as T)
  }

  private async whenConnected (from: LinkedPeer, to: LinkedPeer): Promise<void> {
    if (from !== to && (from.proc.gate.partitioned || to.proc.gate.partitioned)) await new Promise<never>(() => {})
  }
}

interface LinkedPeer {
  readonly proc: LinkedProcess
  readonly handlers: Map<string, PeerHandler>
}
