/** Membership children of several entries on an in-memory network, in virtual time. */
import { MembershipChild } from '../../src/daemon/membership-child.js'
import { Err, Ok, type Result } from '../../src/errors/index.js'
import { SILENT_LOGGER } from '../../src/log/index.js'
import type { Member, MemberState } from '../../src/membership/index.js'
import { Metrics } from '../../src/metrics/index.js'
import type { PeerError, PeerHandler, Peers } from '../../src/peer/index.js'
import { MemoryVms } from '../../src/standin/index.js'
import { delay, VirtualTime, type Env } from '../../src/time/index.js'

/** Default one-way delay between entries, in ms. */
const DEFAULT_LATENCY_MS = 1.5

export interface NodeSpec {
  readonly id: string
  readonly epoch?: number
  readonly address?: string
  readonly domain?: string
}

export interface Node {
  readonly child: MembershipChild
  readonly peers: MemoryPeers
  readonly address: string
  generation: number
  /** Number of notices that its VM is leaving, by the platform's list. */
  leavingNotices: number
}

/** The network: which addresses accept connections, and which pairs reach each other. */
export class MemberNet {
  readonly time = new VirtualTime()
  readonly vms = new MemoryVms()
  readonly listening = new Map<string, MemoryPeers>()
  /** Addresses whose process neither sends nor replies. */
  readonly paused = new Set<string>()
  canReach: (from: string, to: string) => boolean = () => true
  latencyMs: () => number = () => DEFAULT_LATENCY_MS
  bytesSent = 0
  private seed = 0

  async start (spec: NodeSpec): Promise<Node> {
    const env = this.time.env(++this.seed)
    const address = spec.address ?? spec.id
    const domain = spec.domain ?? 'd'
    const peers = new MemoryPeers(this, env, address)
    this.listening.set(address, peers)
    this.vms.records.set(address, { address, peer_address: address, domain, state: 'live' })
    const record = { id: spec.id, incarnation: `${spec.id}-${this.seed}`, epoch: spec.epoch ?? this.seed, version: 0, state: 'alive', address, peer: address, domain, region: 'r' } as const
    const child = new MembershipChild({
      env, log: SILENT_LOGGER, metrics: new Metrics(), peers, vms: this.vms, peerPort: 0, localStatus: () => ({ generation: node.generation, free: 0.5 }), onVmLeaving: () => { node.leavingNotices++ }
    }, record)
    const node: Node = { child, peers, address, generation: 1, leavingNotices: 0 }
    await child.start()
    return node
  }

  async startAll (count: number): Promise<Node[]> {
    const nodes: Node[] = []
    for (let index = 0; index < count; index++) nodes.push(await this.start({ id: `e${index}`, domain: `d${index % 3}` }))
    await this.time.advance(5_000)
    return nodes
  }

  /** Terminates a process: its timers stop and its address refuses connections. */
  async kill (node: Node): Promise<void> {
    await node.child[Symbol.asyncDispose]()
    this.listening.delete(node.address)
  }
}

/** Peer calls over the network. */
export class MemoryPeers implements Peers {
  private readonly handlers = new Map<string, PeerHandler>()

  constructor (private readonly net: MemberNet, private readonly env: Env, private readonly address: string) {}

  handle (method: string, handler: PeerHandler): void {
    this.handlers.set(method, handler)
  }

  async call<T> (address: string, method: string, params: unknown, timeoutMs: number): Promise<Result<T, PeerError>> {
    const startedAt = this.env.clock.now()
    const target = this.net.listening.get(address)
    const paramsText = JSON.stringify(params)
    this.net.bytesSent += paramsText.length
    if (!this.net.canReach(this.address, address) || this.net.paused.has(address) || this.net.paused.has(this.address)) return await this.timeout(timeoutMs)
    await delay(this.env.timers, this.net.latencyMs())
    if (target === undefined || this.net.listening.get(address) !== target) return Err({ kind: 'refused', message: address })
    const replyText = JSON.stringify(await target.handlers.get(method)?.(JSON.parse(paramsText)) ?? null)
    this.net.bytesSent += replyText.length
    const remainingMs = timeoutMs - (this.env.clock.now() - startedAt)
    const replyDelayMs = this.net.latencyMs()
    if (replyDelayMs > remainingMs || !this.net.canReach(address, this.address)) return await this.timeout(remainingMs)
    await delay(this.env.timers, replyDelayMs)
    return Ok(JSON.parse(replyText) as T)
  }

  private async timeout<T> (ms: number): Promise<Result<T, PeerError>> {
    await delay(this.env.timers, ms)
    return Err({ kind: 'timeout', message: this.address })
  }
}

/** The member record of `node` at `viewer`. */
export function memberSeenBy (viewer: Node, node: Node): Member | undefined {
  return viewer.child.membership.member(node.child.membership.self.id)
}

export function stateSeenBy (viewer: Node, node: Node): MemberState | undefined {
  return memberSeenBy(viewer, node)?.state
}

/** Addresses that `viewer` recommends to callers. */
export function advisedAddresses (viewer: Node): string[] {
  return viewer.child.advise(undefined).entries.map((entry) => entry.address).sort()
}
