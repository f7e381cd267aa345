/** Calls between processes in memory, over links that can be cut. */
import { Err, Ok, type Result } from '../errors/index.js'
import type { PeerError, PeerHandler, Peers } from '../peer/index.js'
import { delay, withTimeout, type VirtualTime } from '../time/index.js'
import type { LinkedProcess } from './links.js'

/** One-way latency between failure domains, in ms. */
const LATENCY_MS = 1.5

/** Processes that can call each other by address. */
export class MemoryPeers {
  private readonly members = new Map<string, Member>()

  constructor (private readonly time: VirtualTime) {}

  /** Adds a process; the result is its side of all links. */
  join (proc: LinkedProcess & { readonly address: string }): Peers {
    const member: Member = { proc, handlers: new Map() }
    this.members.set(proc.address, member)
    return {
      handle: (method, handler) => { member.handlers.set(method, handler) },
      call: async <T>(address: string, method: string, params: unknown, timeoutMs: number) => {
        await proc.gate.pass()
        const late = (): Result<T, PeerError> => Err({ kind: 'timeout', message: `no answer from ${address}` })
        const answer = await withTimeout(this.time, timeoutMs, this.deliver<T>(member, address, method, params), late)
        await proc.gate.pass()
        return answer
      }
    }
  }

  private async deliver<T> (from: Member, address: string, method: string, params: unknown): Promise<Result<T, PeerError>> {
    await delay(this.time, LATENCY_MS)
    const to = this.members.get(address)
    if (to === undefined || !to.proc.gate.alive) return Err({ kind: 'unreachable', message: `${address}: connection refused` })
    await this.whenConnected(from, to)
    await to.proc.gate.pass()
    const handler = to.handlers.get(method)
    if (handler === undefined) return Err({ kind: 'refused', message: `no method ${method}` })
    // What crosses a connection is a copy.
    const answer = JSON.stringify(await handler(JSON.parse(JSON.stringify(params))) ?? null)
    await to.proc.gate.pass()
    await delay(this.time, LATENCY_MS)
    await this.whenConnected(from, to)
    return Ok(JSON.parse(answer) as T)
  }

  private async whenConnected (from: Member, to: Member): Promise<void> {
    if (from !== to && (from.proc.gate.cut || to.proc.gate.cut)) await new Promise<never>(() => {})
  }
}

interface Member {
  readonly proc: LinkedProcess
  readonly handlers: Map<string, PeerHandler>
}
