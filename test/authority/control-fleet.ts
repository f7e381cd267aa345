/** Control children of several entries over one store, in virtual time. */
import type { ScopeHandle } from '../../src/authority/index.js'
import { ConfigIndex } from '../../src/config/index.js'
import { ControlChild, scopesOf } from '../../src/daemon/control-child.js'
import { Err } from '../../src/errors/index.js'
import { SILENT_LOGGER } from '../../src/log/index.js'
import type { Member, MemberChange, MembershipView } from '../../src/membership/index.js'
import { Metrics } from '../../src/metrics/index.js'
import type { ConfigSet } from '../../src/schema/index.js'
import { MemoryStore, MemoryVms } from '../../src/standin/index.js'
import { VirtualTime } from '../../src/time/index.js'
import { exampleSet } from '../config/fleet.js'

/** Number of usage shards. */
export const SHARDS = 4

/** The entries of one region. */
export class ControlFleet {
  readonly time = new VirtualTime()
  readonly children = new Map<string, ControlChild>()
  readonly scopes: string[]
  readonly store = new MemoryStore(this.time)
  private readonly dead = new Set<string>()
  private readonly listeners: Array<(change: MemberChange) => void> = []

  constructor (private readonly names: readonly string[], set: ConfigSet = exampleSet()) {
    const cfg = new ConfigIndex(1, set)
    this.scopes = scopesOf(cfg, 'great-lakes', SHARDS).map((spec) => spec.scope).sort()
    for (const [index, name] of names.entries()) {
      const child = new ControlChild({
        env: this.time.env(index + 1),
        log: SILENT_LOGGER,
        metrics: new Metrics(),
        store: this.storeFor(name),
        vms: new MemoryVms(),
        peers: { handle: () => {}, call: async () => Err({ kind: 'timeout', message: 'no reply' }) },
        membership: this.membershipViewOf(name),
        shards: SHARDS,
        createDuty: () => ({ tick: async (_handle: ScopeHandle) => {} })
      })
      this.children.set(name, child)
      child.applyConfig(cfg)
    }
  }

  heldScopes (): string[] {
    return [...this.children].filter(([name]) => !this.dead.has(name)).flatMap(([, child]) => child.heldScopes).sort()
  }

  kill (name: string): void {
    this.dead.add(name)
    const member = this.memberOf(name)
    for (const listener of this.listeners) listener({ member, previous: { ...member, state: 'alive' } })
  }

  private memberOf (name: string): Member {
    const state = this.dead.has(name) ? 'dead' : 'alive'
    return {
      id: name, incarnation: `${name}-1`, address: `${name}:1`, peerAddress: `${name}:2`, domain: 'gl-west', region: 'great-lakes', state, lastContactMs: 0, configGeneration: 1, freeCapacity: 1
    }
  }

  private membershipViewOf (name: string): MembershipView {
    return {
      self: this.memberOf(name),
      members: () => this.names.map((other) => this.memberOf(other)),
      member: (id) => this.memberOf(id),
      byIncarnation: (incarnation) => this.memberOf(incarnation.slice(0, -2)),
      terminationEvidence: () => undefined,
      subscribe: (listener) => {
        this.listeners.push(listener)
        return { [Symbol.dispose]: () => {} }
      },
      addExtra: () => {}
    }
  }

  private storeFor (name: string): MemoryStore {
    return new Proxy(this.store, {
      get: (store, key) => {
        const member: unknown = Reflect.get(store, key)
        if (typeof member !== 'function') return member
        return async (...args: unknown[]) => this.dead.has(name) ? await new Promise<never>(() => {}) : await member.apply(store, args)
      }
    })
  }
}
