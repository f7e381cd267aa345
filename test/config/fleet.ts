/** A fleet of processes that spread a configuration in virtual time. */
import * as fs from 'node:fs'
import { checkConfig, ConfigPropagator, publishConfig, readConfig, withKeyWithdrawn, type ConfigMember } from '../../src/config/index.js'
import { Err, Ok, type Result } from '../../src/errors/index.js'
import type { StoreError } from '../../src/external/index.js'
import { SILENT_LOGGER } from '../../src/log/index.js'
import { Metrics } from '../../src/metrics/index.js'
import type { PeerClient, PeerError, PeerHandler, PeerServer } from '../../src/peer/index.js'
import type { ConfigSet } from '../../src/schema/index.js'
import { MemoryStore } from '../../src/standin/index.js'
import { delay, VirtualTime } from '../../src/time/index.js'

const LATENCY_MS = 1.5

/** Time after which the clients of the store give up, in ms. */
const STORE_TIMEOUT_MS = 2_000

/** The example configuration with one key for each account. */
export function exampleSet (): ConfigSet {
  const set = checkConfig(JSON.parse(fs.readFileSync('examples/consortium.json', 'utf8'))).unwrap()
  return { ...set, keys: set.accounts.map((account, index) => ({ id: `key${index}`, account: account.name, digest: 'a'.repeat(64), withdrawn: false })) }
}

/** One process. */
export class FleetProcess {
  readonly metrics = new Metrics()
  readonly handlers = new Map<string, PeerHandler>()
  spread: ConfigPropagator
  /** Neither peers nor the store are reached, and it is not reached. */
  cut = false
  /** Calls to peers fail, though the failure detector does not see it. */
  peersCut = false
  running = true
  bytes = 0
  calls = 0
  incarnation = 1
  private detectedAt = -Infinity

  constructor (readonly name: string, readonly region: string, private readonly fleet: Fleet) {
    this.spread = this.newSpread()
  }

  restart (): void {
    this.spread[Symbol.asyncDispose]().catch(() => {})
    this.handlers.clear()
    this.incarnation++
    this.spread = this.newSpread()
    this.spread.start()
  }

  /** Ends the process; the failure detector of the others sees it after `detectMs`. */
  kill (detectMs = 0): void {
    this.running = false
    this.detectedAt = this.fleet.time.now() + detectMs
    this.spread[Symbol.asyncDispose]().catch(() => {})
  }

  get isWatcher (): boolean {
    return this.spread.isWatcher
  }

  /** Whether `other` takes it for alive. */
  looksAlive (other: FleetProcess): boolean {
    return this.reaches(other) || (!this.running && !this.cut && !other.cut && this.fleet.time.now() < this.detectedAt)
  }

  reaches (other: FleetProcess): boolean {
    return !this.cut && !other.cut && this.running && other.running
  }

  private newSpread (): ConfigPropagator {
    const { fleet } = this
    const peers: PeerClient & PeerServer = {
      handle: (method, handler) => { this.handlers.set(method, handler) },
      call: async <T>(address: string, method: string, params: unknown, timeoutMs: number) => await fleet.call<T>(this, address, method, params, timeoutMs)
    }
    const members = { name: this.name, region: this.region, others: () => fleet.membersFor(this) }
    const env = fleet.time.env(fleet.processes.length + 1)
    const spread = new ConfigPropagator({ env, store: fleet.storeFor(this), peers, members, metrics: this.metrics, log: SILENT_LOGGER })
    spread.serve(peers)
    return spread
  }
}

/** All processes, the network between them and the store. */
export class Fleet {
  readonly time = new VirtualTime()
  readonly store = new MemoryStore(this.time)
  readonly processes: FleetProcess[] = []
  /** The store takes calls and answers none in time. */
  storeTimesOut = false
  private readonly byName = new Map<string, FleetProcess>()

  constructor (count: number, regions: number) {
    for (let index = 0; index < count; index++) {
      const process = new FleetProcess(`p${index}`, `r${index % regions}`, this)
      this.processes.push(process)
      this.byName.set(process.name, process)
    }
  }

  async start (set: ConfigSet): Promise<void> {
    await this.settle(this.publish(() => set))
    for (const process of this.processes) process.spread.start()
    await this.time.advance(3_000)
  }

  async publish (edit: (set: ConfigSet | undefined) => ConfigSet): Promise<number> {
    const base = (await readConfig(this.store)).unwrap()
    return (await publishConfig(this.store, edit(base?.set), base)).unwrap().generation
  }

  /** Withdraws a key in the store alone, past all entries. */
  async withdrawInStore (id: string): Promise<void> {
    await this.settle(this.publish((set) => withKeyWithdrawn(set!, id).unwrap()))
  }

  /** The same while reads come from an old copy; the operator's own read is not an old one. */
  async withdrawInStoreWhileStale (id: string): Promise<void> {
    this.store.setReadsStale(false)
    const base = (await this.settle(readConfig(this.store))).unwrap()!
    this.store.setReadsStale(true)
    await this.settle(publishConfig(this.store, withKeyWithdrawn(base.set, id).unwrap(), base))
  }

  generations (): number[] {
    return this.processes.map((process) => process.spread.current()?.generation ?? 0)
  }

  async settle<T> (work: Promise<T>): Promise<T> {
    let done = false
    work.finally(() => { done = true }).catch(() => {})
    await this.time.advanceUntil(() => done, 120_000)
    return await work
  }

  /** Membership as an ideal failure detector sees it. */
  membersFor (self: FleetProcess): ConfigMember[] {
    return this.processes.filter((other) => other !== self).map((other) => ({
      name: other.name,
      incarnation: `${other.name}-${other.incarnation}`,
      region: other.region,
      address: other.name,
      alive: other.looksAlive(self),
      gone: !other.running && !other.looksAlive(self),
      lastContact: self.reaches(other) ? this.time.now() : -Infinity
    }))
  }

  async call<T> (from: FleetProcess, address: string, method: string, params: unknown, timeoutMs: number): Promise<Result<T, PeerError>> {
    const to = this.byName.get(address)
    const handler = to?.handlers.get(method)
    if (to === undefined || handler === undefined || !from.reaches(to) || from.peersCut) {
      await delay(this.time, timeoutMs)
      return Err({ kind: 'timeout', message: 'no answer' })
    }
    await delay(this.time, LATENCY_MS)
    const answer = JSON.stringify(await handler(JSON.parse(JSON.stringify(params))))
    await delay(this.time, LATENCY_MS)
    for (const end of [from, to]) {
      end.bytes += answer.length + JSON.stringify(params).length + method.length
      end.calls++
    }
    return Ok(JSON.parse(answer) as T)
  }

  storeFor (process: FleetProcess): MemoryStore {
    const unreachable = async (): Promise<never> => await new Promise<never>(() => {})
    const timesOut = async (): Promise<Result<never, StoreError>> => {
      await delay(this.time, STORE_TIMEOUT_MS)
      return Err({ kind: 'unknown', message: 'no answer in time' })
    }
    return new Proxy(this.store, {
      get: (store, key) => {
        const member: unknown = Reflect.get(store, key)
        if (typeof member !== 'function') return member
        if (process.cut) return unreachable
        return this.storeTimesOut ? timesOut : member.bind(store)
      }
    })
  }
}
